package relay_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"peridotpath.example/peridotpath/relay/relaytest"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/relay"
)

// failingEngines is a set of engines. The first one that is called stops answering for good.
type failingEngines struct {
	mutex  sync.Mutex
	failed peridotpath.EndpointID
	// reservations holds the active reservations and firstReservations those of the
	// first attempt; firstReleasedAt is when the last of the latter was released.
	reservations      map[string]bool
	firstReservations map[string]bool
	firstReleasedAt   time.Time
	checks            int
	calls             int
}

func (engines *failingEngines) send(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
	engines.mutex.Lock()
	engines.calls++
	fails := engines.failed == "" && engines.calls == 1
	if fails {
		engines.recordFirst(call)
	}
	engines.mutex.Unlock()
	if fails {
		return noAnswer()(ctx, call)
	}
	return answer(200, "id: 1\ndata: x\n\n", nil)(ctx, call)
}

// recordFirst records the primary of the first attempt, which fails, and the reservations at its
// helpers. The caller holds the mutex.
func (engines *failingEngines) recordFirst(call *relay.Call) {
	engines.failed, engines.firstReservations = call.Endpoint.ID, map[string]bool{}
	for _, helper := range call.Helpers {
		if helper.ReservationID != "" {
			engines.firstReservations[helper.ReservationID] = true
		}
	}
}

func (engines *failingEngines) check(ctx context.Context, endpoint *peridotpath.Endpoint) error {
	engines.mutex.Lock()
	engines.checks++
	failed := engines.failed == endpoint.ID
	engines.mutex.Unlock()
	if !failed {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (engines *failingEngines) reserve(_ context.Context, _ *peridotpath.Endpoint, id string, _ peridotpath.Tokens, _ time.Duration) (bool, error) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	engines.reservations[id] = true
	return true, nil
}

func (engines *failingEngines) release(_ context.Context, _ *peridotpath.Endpoint, id string) error {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	delete(engines.reservations, id)
	if engines.firstReservations[id] {
		engines.firstReleasedAt = time.Now()
	}
	return nil
}

func newFailingFixture(t *testing.T, engines *failingEngines) *relaytest.Fixture {
	engines.reservations = map[string]bool{}
	fixture := relaytest.NewFixture(engines.send, &relaytest.Rates, relaytest.Endpoint(0), relaytest.Endpoint(1), relaytest.Endpoint(2), relaytest.Endpoint(3))
	manager := fixture.Relay.Reservations
	manager.Reserve, manager.Release = engines.reserve, engines.release
	fixture.Relay.Check = engines.check
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- manager.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	return fixture
}

// A prompt that exceeds one engine's KV cache is sent to a primary with three helpers, and
// the primary loses power without a reset. Without liveness probes the caller waits for
// three times the predicted prefill time, 10 s and more, and the reservations at the helpers
// are renewed for that time.
func TestReservationsAreReleasedWhenPrimaryIsUnreachable(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := &failingEngines{}
		fixture := newFailingFixture(t, engines)
		began := time.Now()
		outcome := fixture.Send(t.Context(), "long", func(request *relay.Request) {
			request.PromptTokens, request.MaxAnswerTokens, request.Timeout = 600_000, 100, 30*time.Second
		})
		time.Sleep(200 * time.Millisecond)
		engines.mutex.Lock()
		defer engines.mutex.Unlock()
		is.True(outcome.Ended)                                      // served by another endpoint
		is.True(outcome.TimeToFirstEvent < 3*time.Second)           // soon after the failure
		is.True(len(engines.firstReservations) > 0)                 // KV cache was reserved
		is.Equal(len(engines.reservations), 0)                      // no reservation is left
		is.True(engines.firstReleasedAt.Sub(began) < 3*time.Second) // released in time
	})
}

// A slow engine that answers its probes must keep the request. If the request were
// cancelled, its prompt would be prefilled again on other engines.
func TestSlowEngineKeepsItsRequest(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := &failingEngines{failed: "none"}
		fixture := newFailingFixture(t, engines)
		slow := func(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
			time.Sleep(4500 * time.Millisecond)
			return engines.send(ctx, call)
		}
		fixture.Relay.Send = slow
		outcome := fixture.Send(t.Context(), "long", func(request *relay.Request) {
			request.PromptTokens, request.MaxAnswerTokens, request.Timeout = 600_000, 100, 30*time.Second
		})
		is.True(outcome.Ended)
		is.Equal(engines.calls, 1)
		is.Equal(engines.checks, 4) // one for each second of silence
	})
}
