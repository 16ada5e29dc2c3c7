package dispatch_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine"
)

var errReset = errors.New("connection reset")

// TestRepeatsOnlyWhatIsSafe puts each way in which a first attempt fails before
// an idempotent and a non-idempotent request.
//
// What a user would see otherwise: a claim acknowledged twice. An endpoint read
// the body, ran it and lost the connection; the layer took that for "not run"
// and sent the same body to a second endpoint.
func TestRepeatsOnlyWhatIsSafe(t *testing.T) {
	failures := map[string]struct {
		stream string
		err    error
		// idempotent and other say whether a second attempt is wanted.
		idempotent, other bool
		code              peridotpath.Code
	}{
		"connection never made":  {"", engine.ErrNotConnected.Wrap(errReset), true, true, 0},
		"refused as not run":     {"", engine.ErrRefused.New("full"), true, true, 0},
		"failed after sending":   {"", engine.ErrFailed.Wrap(errReset), true, false, peridotpath.CodeOutcomeUnknown},
		"empty success":          {"data: [DONE]\n\n", nil, true, false, peridotpath.CodeOutcomeUnknown},
		"request found at fault": {"", engine.ErrBadRequest.New("no"), false, false, peridotpath.CodeBadRequest},
	}
	for name, failure := range failures {
		for _, idempotent := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					fixture := newFixture()
					fixture.send = func(call int, _ context.Context) (*engine.Answer, error) {
						if call == 0 && failure.err != nil {
							return nil, failure.err
						}
						if call == 0 {
							return answered(failure.stream, nil), nil
						}
						return answered(events(0, 2, true), nil), nil
					}
					defer fixture.run(t)()
					received := &received{}
					result := fixture.Do(t.Context(), request(idempotent), received.sink())
					repeated := failure.other
					if idempotent {
						repeated = failure.idempotent
					}
					if !repeated {
						is.Equal(len(fixture.sends), 1) // sent once
						is.Equal(result.Code, failure.code)
						is.Equal(received.started, 0)
						return
					}
					is.Equal(result, nil)
					is.Equal(len(fixture.sends), 2)
					is.True(fixture.sends[0] != fixture.sends[1]) // elsewhere
					is.Equal(strings.Join(received.events, " "), "0:t0 1:t1 2:t2 3:[DONE]")
				})
			})
		}
	}
}

// TestResumesABrokenStream breaks a stream off after its second token. The
// caller must see each token once and in order. Without the check of offsets
// it saw the tokens that the engine sends again twice.
func TestResumesABrokenStream(t *testing.T) {
	resumed := map[string]string{
		"from where it broke off": events(2, 4, true),
		"with tokens sent again":  events(0, 4, true),
	}
	for name, stream := range resumed {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fixture := newFixture()
				fixture.send = func(int, context.Context) (*engine.Answer, error) {
					return answered(events(0, 1, false)+"id: 2\ndata: {\"cho", errReset), nil
				}
				fixture.resume = func(int, int64) (*engine.Answer, error) { return answered(stream, nil), nil }
				defer fixture.run(t)()
				received := &received{}
				result := fixture.Do(t.Context(), request(false), received.sink())
				is.Equal(result, nil)
				is.Equal(fixture.resumes, []int64{1})
				is.Equal(strings.Join(received.events, " "), "0:t0 1:t1 2:t2 3:t3 4:t4 5:[DONE]")
			})
		})
	}
}

// TestSkippedTokensAreNotPassedOn has the engine leave out a token, as when
// events are lost on its side. The caller must not get a text with a hole in it.
func TestSkippedTokensAreNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		fixture.send = func(int, context.Context) (*engine.Answer, error) {
			return answered(events(0, 1, false)+events(3, 4, true), nil), nil
		}
		fixture.resume = func(int, int64) (*engine.Answer, error) { return nil, engine.ErrStreamGone.New("s1") }
		defer fixture.run(t)()
		received := &received{}
		result := fixture.Do(t.Context(), request(true), received.sink())
		is.Equal(result.Code, peridotpath.CodeStreamCut)
		is.Equal(strings.Join(received.events, " "), "0:t0 1:t1") // no hole, no end mark
		is.Equal(len(fixture.sends), 1)                           // what has begun is not run again
	})
}

// TestEndsByItsDeadline has an endpoint hang in every way there is. The caller
// waits no longer than the deadline, and the engine's memory is freed.
func TestEndsByItsDeadline(t *testing.T) {
	hangs := map[string]func(ctx context.Context) (*engine.Answer, error){
		"before the headers": func(ctx context.Context) (*engine.Answer, error) {
			<-ctx.Done()
			return nil, engine.ErrFailed.Wrap(ctx.Err())
		},
		"before the first token": func(ctx context.Context) (*engine.Answer, error) { return hanging(ctx, ""), nil },
		"between two tokens": func(ctx context.Context) (*engine.Answer, error) {
			return hanging(ctx, events(0, 1, false)), nil
		},
	}
	for name, send := range hangs {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fixture := newFixture()
				fixture.send = func(_ int, ctx context.Context) (*engine.Answer, error) { return send(ctx) }
				defer fixture.run(t)()
				began := time.Now()
				result := fixture.Do(t.Context(), request(true), (&received{}).sink())
				is.Equal(result.Code, peridotpath.CodeDeadline)
				is.Equal(time.Since(began), deadline)
				time.Sleep(time.Second)
				if name != "before the headers" {
					is.Equal(fixture.cancelled(), []string{"s1 only_detached=false"})
				}
			})
		})
	}
}

// TestCallerWhoLeavesMayReturn has a caller vanish in the middle of a stream.
// It may come back for the rest at any instance within the resume window; after
// that the engine's memory must come free, unless someone reads the stream.
func TestCallerWhoLeavesMayReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		fixture.send = func(_ int, ctx context.Context) (*engine.Answer, error) {
			return hanging(ctx, events(0, 1, false)), nil
		}
		defer fixture.run(t)()
		caller, leave := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, leave)
		result := fixture.Do(caller, request(true), (&received{}).sink())
		is.Equal(result.Code, peridotpath.CodeCallerGone)
		time.Sleep(fixture.ResumeWindow - time.Second)
		is.Equal(len(fixture.cancelled()), 0)
		time.Sleep(2 * time.Second)
		is.Equal(fixture.cancelled(), []string{"s1 only_detached=true"})
	})
}

// TestWholeAnswerIsDeliveredWholeOrNotAtAll covers answers that are no stream.
func TestWholeAnswerIsDeliveredWholeOrNotAtAll(t *testing.T) {
	const good = `{"choices":[{"text":"all"}],"usage":{"completion_tokens":1}}`
	cases := map[string]struct {
		body string
		err  error
		code peridotpath.Code
	}{
		"whole":         {good, nil, peridotpath.CodeOK},
		"cut off":       {good[:20], io.ErrUnexpectedEOF, peridotpath.CodeOutcomeUnknown},
		"not JSON":      {"<html>", nil, peridotpath.CodeOutcomeUnknown},
		"empty success": {`{"choices":[{"text":""}]}`, nil, peridotpath.CodeOutcomeUnknown},
		"no choices":    {`{"choices":[]}`, nil, peridotpath.CodeOutcomeUnknown},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fixture := newFixture()
				fixture.send = func(int, context.Context) (*engine.Answer, error) { return answered(test.body, test.err), nil }
				defer fixture.run(t)()
				received := &received{}
				request := request(false)
				request.Stream = false
				result := fixture.Do(t.Context(), request, received.sink())
				is.Equal(len(fixture.sends), 1)
				if test.code == peridotpath.CodeOK {
					is.Equal(result, nil)
					is.Equal(received.whole, good)
					return
				}
				is.Equal(result.Code, test.code)
				is.Equal(received.whole, "")
			})
		})
	}
}

// TestBodyIsLetGoOfAtTheFirstToken: forty callers with prompts of a million
// tokens read their answers for minutes. Held until the end, their bodies used
// up the memory for bodies, and every other caller was refused with body_memory.
func TestBodyIsLetGoOfAtTheFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		fixture.send = func(_ int, ctx context.Context) (*engine.Answer, error) {
			return hanging(ctx, events(0, 0, false)), nil
		}
		defer fixture.run(t)()
		request := request(true)
		freed := 0
		request.Free = func() { freed++ }
		received := &received{}
		sink := received.sink()
		sink.Event = func(int64, []byte) error {
			is.Equal(freed, 1)
			is.Equal(request.Body.Len(), 0)
			return nil
		}
		result := fixture.Do(t.Context(), request, sink)
		is.Equal(result.Code, peridotpath.CodeDeadline)
		is.Equal(freed, 1)
	})
}

// TestUsageIsPassedOn: the lengths that engines count correct the estimates
// that prompts are placed and refused by, from whole answers and from streams.
func TestUsageIsPassedOn(t *testing.T) {
	const usage = `"usage":{"prompt_tokens":1234,"completion_tokens":1}`
	for name, stream := range map[string]string{
		"whole":  `{"choices":[{"text":"all"}],` + usage + `}`,
		"stream": events(0, 1, false) + "id: 2\ndata: {\"choices\":[]," + usage + "}\n\nid: 3\ndata: [DONE]\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fixture := newFixture()
				fixture.send = func(int, context.Context) (*engine.Answer, error) { return answered(stream, nil), nil }
				defer fixture.run(t)()
				var told []peridotpath.Tokens
				request := request(true)
				request.Stream = name == "stream"
				request.Usage = func(prompt peridotpath.Tokens) { told = append(told, prompt) }
				is.Equal(fixture.Do(t.Context(), request, (&received{}).sink()), nil)
				is.Equal(told, []peridotpath.Tokens{1234})
			})
		})
	}
}
