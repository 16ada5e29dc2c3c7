package dispatch_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/service"
)

// An endpoint sends the head of its answer and then breaks off or falls silent, before the first
// byte of the body. Nothing has reached the caller: the call is made again where it may be, and
// else ends with a failure that says whether it ran. A caller whose answer counts as begun gets
// a closed connection.
func TestPlainAnswerOfHeadersOnly(t *testing.T) {
	broken := func(context.Context) io.Reader { return failingReader{errors.New("reset")} }
	silent := func(ctx context.Context) io.Reader { return blockedReader{ctx} }
	part := func(context.Context) io.Reader {
		return io.MultiReader(strings.NewReader("part"), failingReader{errors.New("reset")})
	}
	for name, test := range map[string]struct {
		first      func(ctx context.Context) io.Reader
		idempotent bool
		code       peridotpath.Code
		calls      int
		body, from string
	}{
		"broken, idempotent":     {broken, true, peridotpath.CodeOK, 2, "done", "call 2"},
		"broken, not idempotent": {broken, false, peridotpath.CodeOutcomeUnknown, 1, "", ""},
		"silent, idempotent":     {silent, true, peridotpath.CodeDeadline, 1, "", ""},
		"silent, not idempotent": {silent, false, peridotpath.CodeOutcomeUnknown, 1, "", ""},
		"broken in the body":     {part, true, peridotpath.CodeStreamCut, 1, "part", "call 1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fixture, calls := newFixture(), 0
				fixture.SendPlain = func(ctx context.Context, _ netip.AddrPort, _ *service.Request) (*http.Response, error) {
					calls++
					body, from := io.Reader(strings.NewReader("done")), "call 2"
					if calls == 1 {
						body, from = test.first(ctx), "call 1"
					}
					return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"From": {from}}, Body: io.NopCloser(body)}, nil
				}
				defer fixture.start(t)()
				work := request(test.idempotent).Work
				work.PromptTokens, work.MaxOutputTokens = 0, 0
				answer, startedAt := httptest.NewRecorder(), time.Now()
				result := fixture.DoPlain(t.Context(), work, &service.Request{}, nil, answer)
				if test.code == peridotpath.CodeOK {
					is.True(result == nil)
				} else {
					is.Equal(result.Code, test.code)
				}
				is.Equal(calls, test.calls)
				is.Equal(answer.Body.String(), test.body)
				is.Equal(answer.Header().Get("From"), test.from)
				is.True(time.Since(startedAt) <= deadline)
				is.Equal(work.Endpoint, peridotpath.EndpointID("")) // the attempt is accounted as ended
			})
		})
	}
}
