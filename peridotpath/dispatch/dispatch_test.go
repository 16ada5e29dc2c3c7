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

var errConnectionReset = errors.New("connection reset")

// TestRetriesOnlyWhatIsSafe runs an idempotent and a non-idempotent request
// against each kind of failure of the first attempt.
//
// A claim must not run twice. An endpoint reads a claim's body, runs the claim and
// loses the connection; if that counted as "not run", the same body would be sent
// to a second endpoint.
func TestRetriesOnlyWhatIsSafe(t *testing.T) {
	failures := map[string]struct {
		stream string
		err    error
		// retriesIdempotent is set if an idempotent request is attempted again,
		// retriesOther if a non-idempotent one is.
		retriesIdempotent, retriesOther bool
		code                            peridotpath.Code
	}{
		"connection never made": {"", engine.ErrNotConnected.Wrap(errConnectionReset), true, true, 0},
		"refused as not run":    {"", engine.ErrRefused.New("full"), true, true, 0},
		"failed after sending":  {"", engine.ErrFailed.Wrap(errConnectionReset), true, false, peridotpath.CodeOutcomeUnknown},
		"empty success":         {"data: [DONE]\n\n", nil, true, false, peridotpath.CodeOutcomeUnknown},
		"rejected as invalid":   {"", engine.ErrBadRequest.New("no"), false, false, peridotpath.CodeBadRequest},
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
							return scriptedAnswer(failure.stream, nil), nil
						}
						return scriptedAnswer(events(0, 2, true), nil), nil
					}
					defer fixture.start(t)()
					received := &received{}
					result := fixture.Do(t.Context(), request(idempotent), received.sink())
					retried := failure.retriesOther
					if idempotent {
						retried = failure.retriesIdempotent
					}
					if !retried {
						is.Equal(len(fixture.sends), 1) // sent once
						is.Equal(result.Code, failure.code)
						is.Equal(received.started, 0)
						return
					}
					is.Equal(result, nil)
					is.Equal(len(fixture.sends), 2)
					is.True(fixture.sends[0] != fixture.sends[1]) // the retry goes to another endpoint
					is.Equal(strings.Join(received.events, " "), "0:t0 1:t1 2:t2 3:[DONE]")
				})
			})
		}
	}
}

// TestResumesInterruptedStream interrupts a stream after its second token. The caller
// must receive each token once and in order. Without the check of offsets,
// tokens that the engine sends again would reach the caller twice.
func TestResumesInterruptedStream(t *testing.T) {
	resumed := map[string]string{
		"after the last event": events(2, 4, true),
		"from the first event": events(0, 4, true),
	}
	for name, stream := range resumed {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fixture := newFixture()
				fixture.send = func(int, context.Context) (*engine.Answer, error) {
					return scriptedAnswer(events(0, 1, false)+"id: 2\ndata: {\"cho", errConnectionReset), nil
				}
				fixture.resume = func(int, int64) (*engine.Answer, error) { return scriptedAnswer(stream, nil), nil }
				defer fixture.start(t)()
				received := &received{}
				result := fixture.Do(t.Context(), request(false), received.sink())
				is.Equal(result, nil)
				is.Equal(fixture.resumes, []int64{1})
				is.Equal(strings.Join(received.events, " "), "0:t0 1:t1 2:t2 3:t3 4:t4 5:[DONE]")
			})
		})
	}
}

// TestTokensAfterAGapAreNotRelayed makes the engine omit a token, which happens when
// it loses events. The caller must not receive a text with a gap.
func TestTokensAfterAGapAreNotRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		fixture.send = func(int, context.Context) (*engine.Answer, error) {
			return scriptedAnswer(events(0, 1, false)+events(3, 4, true), nil), nil
		}
		fixture.resume = func(int, int64) (*engine.Answer, error) { return nil, engine.ErrStreamGone.New("s1") }
		defer fixture.start(t)()
		received := &received{}
		result := fixture.Do(t.Context(), request(true), received.sink())
		is.Equal(result.Code, peridotpath.CodeStreamCut)
		is.Equal(strings.Join(received.events, " "), "0:t0 1:t1") // no gap, no end marker
		is.Equal(len(fixture.sends), 1)                           // no retry after content was sent
	})
}

// TestHangingEndpointEndsByDeadline makes an endpoint hang before the headers, before the
// first token and between two tokens. The caller must get a result by the
// deadline, and the engine's memory must be freed.
func TestHangingEndpointEndsByDeadline(t *testing.T) {
	hangs := map[string]func(ctx context.Context) (*engine.Answer, error){
		"before the headers": func(ctx context.Context) (*engine.Answer, error) {
			<-ctx.Done()
			return nil, engine.ErrFailed.Wrap(ctx.Err())
		},
		"before the first token": func(ctx context.Context) (*engine.Answer, error) { return hangingAnswer(ctx, ""), nil },
		"between two tokens": func(ctx context.Context) (*engine.Answer, error) {
			return hangingAnswer(ctx, events(0, 1, false)), nil
		},
	}
	for name, send := range hangs {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fixture := newFixture()
				fixture.send = func(_ int, ctx context.Context) (*engine.Answer, error) { return send(ctx) }
				defer fixture.start(t)()
				startedAt := time.Now()
				result := fixture.Do(t.Context(), request(true), (&received{}).sink())
				is.Equal(result.Code, peridotpath.CodeDeadline)
				is.Equal(time.Since(startedAt), deadline)
				time.Sleep(time.Second)
				if name != "before the headers" {
					is.Equal(fixture.cancelled(), []string{"s1 only_detached=false"})
				}
			})
		})
	}
}

// TestStreamStaysResumableAfterDisconnect disconnects a caller in the middle of a
// stream. The stream stays resumable at any instance for the resume window. After that
// it must be cancelled to free the engine's memory, unless a reader is attached.
func TestStreamStaysResumableAfterDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		fixture.send = func(_ int, ctx context.Context) (*engine.Answer, error) {
			return hangingAnswer(ctx, events(0, 1, false)), nil
		}
		defer fixture.start(t)()
		caller, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, disconnect)
		result := fixture.Do(caller, request(true), (&received{}).sink())
		is.Equal(result.Code, peridotpath.CodeCallerGone)
		time.Sleep(fixture.ResumeWindow - time.Second)
		is.Equal(len(fixture.cancelled()), 0)
		time.Sleep(2 * time.Second)
		is.Equal(fixture.cancelled(), []string{"s1 only_detached=true"})
	})
}

// TestWholeAnswerIsAllOrNothing covers answers that are not streams.
func TestWholeAnswerIsAllOrNothing(t *testing.T) {
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
				fixture.send = func(int, context.Context) (*engine.Answer, error) { return scriptedAnswer(test.body, test.err), nil }
				defer fixture.start(t)()
				received := &received{}
				request := request(false)
				request.WantsStream = false
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

// TestBodyIsReleasedAtFirstToken checks that a body is not held until the end of the
// answer. Held that long, the bodies of forty callers with prompts of a million
// tokens, whose answers take minutes, use up the body memory, and every other caller
// is refused with body_memory.
func TestBodyIsReleasedAtFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		fixture.send = func(_ int, ctx context.Context) (*engine.Answer, error) {
			return hangingAnswer(ctx, events(0, 0, false)), nil
		}
		defer fixture.start(t)()
		request := request(true)
		releaseCount := 0
		request.OnBodyReleased = func() { releaseCount++ }
		received := &received{}
		sink := received.sink()
		sink.WriteEvent = func(int64, []byte) error {
			is.Equal(releaseCount, 1)
			is.Equal(request.Body.Len(), 0)
			return nil
		}
		result := fixture.Do(t.Context(), request, sink)
		is.Equal(result.Code, peridotpath.CodeDeadline)
		is.Equal(releaseCount, 1)
	})
}

// TestUsageIsReported checks that the engine's token counts reach Request.OnPromptUsage
// from whole answers and from streams. They correct the estimates by which prompts
// are placed and refused.
func TestUsageIsReported(t *testing.T) {
	const usage = `"usage":{"prompt_tokens":1234,"completion_tokens":1}`
	for name, stream := range map[string]string{
		"whole":  `{"choices":[{"text":"all"}],` + usage + `}`,
		"stream": events(0, 1, false) + "id: 2\ndata: {\"choices\":[]," + usage + "}\n\nid: 3\ndata: [DONE]\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fixture := newFixture()
				fixture.send = func(int, context.Context) (*engine.Answer, error) { return scriptedAnswer(stream, nil), nil }
				defer fixture.start(t)()
				var reported []peridotpath.Tokens
				request := request(true)
				request.WantsStream = name == "stream"
				request.OnPromptUsage = func(prompt peridotpath.Tokens) { reported = append(reported, prompt) }
				is.Equal(fixture.Do(t.Context(), request, (&received{}).sink()), nil)
				is.Equal(reported, []peridotpath.Tokens{1234})
			})
		})
	}
}
