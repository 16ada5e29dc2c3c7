package dispatch_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/dispatch"
	"peridotpath.example/peridotpath/engine"
)

// A browser that has the complete stream reconnects on its own with the last
// event's id. The engine has no more events and ends its answer at once. The
// dispatcher must not resume in a busy loop until the request's deadline.
func TestResumingCompleteStreamEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		const maxResumes = 100
		fixture.resume = func(call int, _ int64) (*engine.Answer, error) {
			if call > maxResumes {
				return nil, engine.ErrStreamGone.New("resumed %d times", call)
			}
			return &engine.Answer{Status: 200, Body: io.NopCloser(strings.NewReader(""))}, nil
		}
		work := &decide.Work{Profile: &peridotpath.Profile{Idempotent: true}, Deadline: time.Now().Add(deadline)}
		startedAt := time.Now()
		endpoint := peridotpath.Endpoint{ID: "engine-1", Address: netip.MustParseAddrPort("127.0.0.1:1")}
		sink := &dispatch.Sink{BeginAnswer: func(http.Header, peridotpath.EndpointID, string) {}, WriteEvent: func(int64, []byte) error { return nil }}
		result := fixture.ContinueStream(context.Background(), work, endpoint, "s1", 7, sink)
		is.Equal(result.Code, peridotpath.CodeStreamCut)
		is.Equal(len(fixture.resumes), 4)                      // number of resume requests
		is.True(time.Since(startedAt) < 2*time.Second)         // the result came too late
		is.True(time.Since(startedAt) >= 500*time.Millisecond) // no delay between the resume requests
	})
}

// An engine sends unusable events, with a gap in their offsets, each time a stream
// is resumed. A connection that is not closed stays healthy: the engine keeps
// sending and counts the stream as attached until the request's end, with one more
// open connection for each resume.
func TestResumingClosesPreviousAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		open, maxOpen := 0, 0
		fixture.resume = func(int, int64) (*engine.Answer, error) {
			open++
			maxOpen = max(maxOpen, open)
			body := strings.NewReader("id: 9\ndata: {}\n\n")
			return &engine.Answer{Status: 200, Body: &countedBody{Reader: body, open: &open}}, nil
		}
		work := &decide.Work{Profile: &peridotpath.Profile{Idempotent: true}, Deadline: time.Now().Add(deadline)}
		endpoint := peridotpath.Endpoint{ID: "engine-1", Address: netip.MustParseAddrPort("127.0.0.1:1")}
		sink := &dispatch.Sink{BeginAnswer: func(http.Header, peridotpath.EndpointID, string) {}, WriteEvent: func(int64, []byte) error { return nil }}
		result := fixture.ContinueStream(context.Background(), work, endpoint, "s1", 0, sink)
		is.Equal(result.Code, peridotpath.CodeStreamCut)
		is.True(len(fixture.resumes) > 1)
		is.Equal(maxOpen, 1) // answers open at the same time
		is.Equal(open, 0)    // answers left open
	})
}

// countedBody decrements the number of open bodies on Close.
type countedBody struct {
	io.Reader
	open *int
}

func (body *countedBody) Close() error {
	*body.open--
	return nil
}

// The connection to the engine breaks in the middle of a stream and the engine is out of reach for
// longer than the attempts to resume take. Its caller holds a cursor and is told to resume by it.
// The stream must stay at the engine for the resume window, as after a disconnect of the caller.
func TestCutStreamStaysResumable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		fixture.send = func(int, context.Context) (*engine.Answer, error) {
			return scriptedAnswer(events(0, 1, false), io.ErrUnexpectedEOF), nil
		}
		fixture.resume = func(int, int64) (*engine.Answer, error) {
			return nil, engine.ErrNotConnected.Wrap(syscall.ECONNREFUSED)
		}
		defer fixture.start(t)()
		received := &received{}
		result := fixture.Do(t.Context(), request(true), received.sink())
		is.Equal(result.Code, peridotpath.CodeStreamCut)
		is.Equal(len(received.events), 2)
		time.Sleep(fixture.ResumeWindow - time.Second)
		is.Equal(fixture.cancelled(), nil) // the caller may still resume
		time.Sleep(2 * time.Second)
		is.Equal(fixture.cancelled(), []string{"s1 only_detached=true"})
	})
}

// The same before the first content: nobody has a cursor, so the engine's memory is freed at once.
func TestCutStreamWithoutContentIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		fixture.send = func(int, context.Context) (*engine.Answer, error) {
			return scriptedAnswer("", io.ErrUnexpectedEOF), nil
		}
		fixture.resume = func(int, int64) (*engine.Answer, error) {
			return nil, engine.ErrNotConnected.Wrap(syscall.ECONNREFUSED)
		}
		defer fixture.start(t)()
		result := fixture.Do(t.Context(), request(false), (&received{}).sink())
		is.Equal(result.Code, peridotpath.CodeOutcomeUnknown)
		time.Sleep(time.Second)
		is.Equal(fixture.cancelled(), []string{"s1 only_detached=false"})
	})
}

// The connection to the engine breaks in the middle of a stream, and for a while no other opens, as
// after links were taken for lost. Only that engine can go on with the stream, so it is awaited.
// One whose process is gone is not.
func TestStreamAwaitsEngineOutOfReach(t *testing.T) {
	for name, test := range map[string]struct {
		outOfReach time.Duration
		err        error
		served     bool
		within     time.Duration
	}{
		"1.3 s":        {1300 * time.Millisecond, errors.New("cut off"), true, 2 * time.Second},
		"2.5 s":        {2500 * time.Millisecond, errors.New("cut off"), true, 3 * time.Second},
		"for good":     {time.Hour, errors.New("cut off"), false, 11 * time.Second},
		"process gone": {time.Hour, syscall.ECONNREFUSED, false, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fixture, startedAt := newFixture(), time.Now()
				fixture.send = func(int, context.Context) (*engine.Answer, error) {
					return scriptedAnswer(events(0, 1, false), io.ErrUnexpectedEOF), nil
				}
				fixture.resume = func(int, int64) (*engine.Answer, error) {
					if time.Since(startedAt) < test.outOfReach {
						return nil, engine.ErrNotConnected.Wrap(test.err)
					}
					return scriptedAnswer(events(2, 4, true), nil), nil
				}
				defer fixture.start(t)()
				received := &received{}
				result := fixture.Do(t.Context(), request(false), received.sink())
				is.True(time.Since(startedAt) <= test.within)
				is.True(len(fixture.resumes) <= 25) // no busy loop
				if !test.served {
					is.Equal(result.Code, peridotpath.CodeOutcomeUnknown)
					return
				}
				is.Equal(result, nil)
				is.Equal(strings.Join(received.events, " "), "0:t0 1:t1 2:t2 3:t3 4:t4 5:[DONE]")
			})
		})
	}
}
