package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/dispatch"
	"peridotpath.example/peridotpath/engine"
)

// A volunteer's browser has the whole line and, as browsers do, connects again
// with the last event's id. The engine has nothing more to give and ends its
// answer at once; the instance asked it again without a pause until the
// request's deadline, for every such browser.
func TestResumingAWholeStreamEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		const enough = 100
		fixture.resume = func(call int, _ int64) (*engine.Answer, error) {
			if call > enough {
				return nil, engine.ErrStreamGone.New("asked %d times", call)
			}
			return &engine.Answer{Status: 200, Body: io.NopCloser(strings.NewReader(""))}, nil
		}
		work := &decide.Work{Profile: &peridotpath.Profile{Idempotent: true}, Deadline: time.Now().Add(deadline)}
		began := time.Now()
		endpoint := peridotpath.Endpoint{ID: "engine-1", Address: netip.MustParseAddrPort("127.0.0.1:1")}
		sink := &dispatch.Sink{Start: func(http.Header, peridotpath.EndpointID, string) {}, Event: func(int64, []byte) error { return nil }}
		result := fixture.Continue(context.Background(), work, endpoint, "s1", 7, sink)
		is.Equal(result.Code, peridotpath.CodeStreamCut)
		is.Equal(len(fixture.resumes), 4)                  // the endpoint was asked over and over
		is.True(time.Since(began) < 2*time.Second)         // the caller was kept waiting
		is.True(time.Since(began) >= 500*time.Millisecond) // the tries came without a pause
	})
}

// An engine sends events that cannot be used, with a gap among them, each time
// that a stream is resumed. The connection is whole, so the engine went on
// sending into it and took the stream for read, for as long as the request
// lived: one connection more for every try.
func TestResumingClosesTheAnswerBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		open, most := 0, 0
		fixture.resume = func(int, int64) (*engine.Answer, error) {
			open++
			most = max(most, open)
			body := strings.NewReader("id: 9\ndata: {}\n\n")
			return &engine.Answer{Status: 200, Body: &countedBody{Reader: body, open: &open}}, nil
		}
		work := &decide.Work{Profile: &peridotpath.Profile{Idempotent: true}, Deadline: time.Now().Add(deadline)}
		endpoint := peridotpath.Endpoint{ID: "engine-1", Address: netip.MustParseAddrPort("127.0.0.1:1")}
		sink := &dispatch.Sink{Start: func(http.Header, peridotpath.EndpointID, string) {}, Event: func(int64, []byte) error { return nil }}
		result := fixture.Continue(context.Background(), work, endpoint, "s1", 0, sink)
		is.Equal(result.Code, peridotpath.CodeStreamCut)
		is.True(len(fixture.resumes) > 1)
		is.Equal(most, 1) // answers that were open at a time
		is.Equal(open, 0) // answers that were left open
	})
}

// countedBody counts itself as open until it is closed.
type countedBody struct {
	io.Reader
	open *int
}

func (body *countedBody) Close() error {
	*body.open--
	return nil
}
