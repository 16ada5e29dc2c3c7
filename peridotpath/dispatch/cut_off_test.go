package dispatch_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/reach"
)

// An instance takes its own links for lost for 1.3 s, as when endpoints are silent. Its requests
// are refused as not run, with a time to come back. That says nothing about the endpoints: none may
// be ejected, which would keep requests off half of them for seconds, and those that may not run
// twice for half a minute.
func TestCutOffInstanceEjectsNoEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture, startedAt := newFixture(), time.Now()
		fixture.send = func(int, context.Context) (*engine.Answer, error) {
			if time.Since(startedAt) < 1300*time.Millisecond {
				return nil, engine.ErrNotConnected.Wrap(outbound.ErrNotSent.Wrap(reach.ErrCutOff.New("no peer")))
			}
			return scriptedAnswer(events(0, 1, true), nil), nil
		}
		defer fixture.start(t)()
		for range 13 {
			result := fixture.Do(t.Context(), request(false), (&received{}).sink())
			is.Equal(result.Code, peridotpath.CodeUnreachable)
			is.True(result.RetryAfter > 0)
			time.Sleep(100 * time.Millisecond)
		}
		fixture.sends = nil
		used := map[netip.AddrPort]int{}
		for range 40 {
			is.Equal(fixture.Do(t.Context(), request(false), (&received{}).sink()), nil)
			time.Sleep(25 * time.Millisecond)
		}
		for _, address := range fixture.sends {
			used[address]++
		}
		is.Equal(len(used), 2) // an endpoint is ejected
	})
}
