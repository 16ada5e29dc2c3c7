package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/outbound/rawtest"
)

// Each failed attempt must get the class that states whether its request may have run. If
// the refusal of a draining engine were classified as ErrFailed, the client would not retry
// a request that the engine never started.
func TestSendClassifiesFailures(t *testing.T) {
	notSent := outbound.ErrNotSent.New("dial")
	tests := []struct {
		name   string
		status int
		notRun string
		err    error
		want   *errs.Class
	}{
		{"refused while draining", 503, "true", nil, &engine.ErrRefused},
		{"refused when full", 429, "true", nil, &engine.ErrRefused},
		{"503 without the header", 503, "", nil, &engine.ErrFailed},
		{"500", 500, "", nil, &engine.ErrFailed},
		{"bad request", 400, "", nil, &engine.ErrBadRequest},
		{"unprocessable request", 422, "", nil, &engine.ErrBadRequest},
		{"gone", 410, "", nil, &engine.ErrStreamGone},
		{"not found", 404, "", nil, &engine.ErrStreamGone},
		{"redirect", 302, "", nil, &engine.ErrFailed},
		{"success that denies the run", 200, "true", nil, &engine.ErrFailed},
		{"success that denies the run, leaving", 200, engine.NotRunLeaving, nil, &engine.ErrFailed},
		{"accepted, and denied", 202, "true", nil, &engine.ErrFailed},
		{"no connection", 0, "", notSent, &engine.ErrNotConnected},
		{"connection lost", 0, "", io.ErrUnexpectedEOF, &engine.ErrFailed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			client := &engine.Client{Do: func(*http.Request) (*http.Response, error) {
				header := http.Header{}
				header.Set(engine.HeaderNotRun, test.notRun)
				return &http.Response{StatusCode: test.status, Header: header, Body: io.NopCloser(strings.NewReader("why"))}, test.err
			}}
			prompt := &engine.Request{ID: "r1", Path: engine.PathCompletions, Deadline: time.Now()}
			_, err := client.Send(context.Background(), netip.MustParseAddrPort("127.0.0.1:1"), prompt)
			classes := []*errs.Class{&engine.ErrNotConnected, &engine.ErrRefused, &engine.ErrBadRequest, &engine.ErrFailed, &engine.ErrStreamGone}
			for _, class := range classes {
				is.Equal(class.Has(err), class == test.want) // the class of the failure
			}
		})
	}
}

// An engine stops anywhere within the head of its answer: a refusal that is not whole would let the request run at
// another engine, and a success would be an answer without content.
func TestHeadThatStopsIsAFailure(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 503 Full\r\nX-Not-Run: true\r\nRetry-After: 3\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Stream-Id: s1\r\nContent-Type: text/event-stream\r\n\r\n",
	} {
		is := is.New(t)
		for length := range len(head) {
			client, prompt := &engine.Client{}, &engine.Request{ID: "r1", Path: engine.PathCompletions, Deadline: time.Now()}
			_, err := client.Send(t.Context(), rawtest.Respond(t, head[:length]), prompt)
			is.True(engine.ErrFailed.Has(err))
			is.True(!engine.ErrRefused.Has(err))
		}
	}
}
