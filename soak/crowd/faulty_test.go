package crowd

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

const (
	// faultyEngines and faultyPlain are as many endpoints as a small deployment has.
	faultyEngines, faultyPlain = 21, 6
	// callersBeside is the number of clients that have a request open at all times.
	callersBeside = 400
	slowPause     = 100 * time.Millisecond
)

// Endpoints in trouble send bytes that are no answer, without end, to many requests at once: what the
// instance keeps of them ends the process, and the requests of all other callers there.
func TestFaultyEndpoints(t *testing.T) {
	const (
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		stream  = "Content-Type: text/event-stream\r\n" + chunked
		toEnd   = "Connection: close\r\n\r\n"
	)
	fill := strings.Repeat("x", 16<<10)
	tests := []struct {
		name   string
		route  peridotpath.RouteName
		answer Answer
	}{
		{"event without end", standin.RouteStream, Endless(stream, chunkOf("data: ", 6), chunkOf("d", 16<<10), 0)},
		{"event without end, slowly", standin.RouteStream, Endless(stream, chunkOf("data: d", 1_000_000), chunkOf("d", 10), slowPause)},
		{"lines of no event", standin.RouteStream, Endless(stream, "", chunkOf("x\n", 16<<10), 0)},
		{"line of a head", standin.RouteIdempotent, Endless("X-Long: ", "", fill, 0)},
		{"distinct lines of a head", standin.RouteIdempotent, Endless("", "", distinctLines(16<<10), 0)},
		{"distinct lines of a head, slowly", standin.RouteIdempotent, Endless(distinctLines(60<<10), "", "x:\n", slowPause)},
		{"distinct lines of a head of streams, slowly", standin.RouteStream, Endless(distinctLines(60<<10), "", "x:\n", slowPause)},
		{"body without a length", standin.RouteIdempotent, Endless(toEnd, "", fill, 0)},
		{"body without a length, slowly", standin.RouteIdempotent, Endless(toEnd, strings.Repeat("x", 7<<20), "x", slowPause)},
		{"chunk without end", standin.RouteIdempotent, Endless(chunked, "4000000\r\n", fill, 0)},
		{"trailers without end", standin.RouteIdempotent, Endless(chunked, "1\r\nx\r\n0\r\n", "X-Fill: y\r\n", 0)},
		{"informational answers", standin.RouteIdempotent, Endless("Content-Length: 0\r\n", "", "HTTP/1.1 103 X\r\nX-Fill: y\r\n\r\n", 0)},
	}
	binary := buildPeridotd(t)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			instance := startInstance(t, binary, standin.Limits{MemoryMB: 284, MaxFDs: 4100})
			calm := measureCalm(t, instance)
			remove, err := instance.AddFaulty(faultyEngines, engineService, test.answer)
			if err != nil {
				t.Fatal(err)
			}
			removePlain, err := instance.AddFaulty(faultyPlain, plainService, test.answer)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			callers := &Callers{Instance: instance, Route: test.route, Clients: callersBeside}
			var running sync.WaitGroup
			running.Go(func() { callers.Run(ctx) })
			peak := instance.sample(crowdTime)
			cancel()
			running.Wait()
			remove()
			removePlain()
			t.Logf("%d answers, %d served", callers.answered.Load(), callers.served.Load())
			if wrong := callers.wrong.Load(); wrong > 0 {
				t.Errorf("want no answer of an endpoint in trouble to be served, got %d", wrong)
			}
			checkBounds(t, instance, peak)
			checkCalm(t, instance, calm)
		})
	}
}
