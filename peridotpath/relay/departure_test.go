package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/relay"
	"peridotpath.example/peridotpath/relay/relaytest"
)

// Callers leave while connections to their endpoints are opened: sound endpoints are avoided by all
// instances, and those without power by none.
func TestCallersThatLeaveDoNotEjectEndpoints(t *testing.T) {
	for _, test := range []struct {
		name     string
		patience time.Duration
		ejected  int
	}{{"at once", 20 * time.Millisecond, 0}, {"after a second without a connection", time.Second, 1}} {
		t.Run(test.name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				dial := func(ctx context.Context, _ *relay.Call) (*relay.Answer, error) {
					<-ctx.Done()
					return nil, outbound.ErrNotSent.Wrap(ctx.Err())
				}
				fixture := relaytest.NewFixture(dial, &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2))
				ctx, leave := context.WithCancel(t.Context())
				time.AfterFunc(test.patience, leave)
				outcome := fixture.Send(ctx, "short", nil)
				is.Equal(outcome.Result.Code, peridotpath.CodeCallerGone)
				is.Equal(outcome.Took, test.patience)
				is.Equal(len(fixture.LoadTracker.EjectedEndpoints(time.Now())), test.ejected)
				is.Equal(len(fixture.LoadTracker.LocalInFlight()), 0)
			})
		})
	}
}
