package relay_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/relay"
)

// darkFleet is engines of which one falls silent for good as soon as it is called.
type darkFleet struct {
	mutex sync.Mutex
	dark  peridotpath.EndpointID
	// tickets are the reservations that stand, lastOfFirst when the last one of
	// those of the first attempt was given back.
	tickets     map[string]bool
	first       map[string]bool
	lastOfFirst time.Time
	checks      int
	calls       int
}

func (fleet *darkFleet) send(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
	fleet.mutex.Lock()
	fleet.calls++
	goesDark := fleet.dark == "" && fleet.calls == 1
	if goesDark {
		fleet.dark = call.Endpoint.ID
		fleet.first = map[string]bool{}
		for _, helper := range call.Helpers {
			if helper.Ticket != "" {
				fleet.first[helper.Ticket] = true
			}
		}
	}
	fleet.mutex.Unlock()
	if goesDark {
		return hang()(ctx, call)
	}
	return answer(200, "id: 1\ndata: x\n\n", nil)(ctx, call)
}

func (fleet *darkFleet) check(ctx context.Context, endpoint *peridotpath.Endpoint) error {
	fleet.mutex.Lock()
	fleet.checks++
	dark := fleet.dark == endpoint.ID
	fleet.mutex.Unlock()
	if !dark {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (fleet *darkFleet) reserve(_ context.Context, _ *peridotpath.Endpoint, id string, _ peridotpath.Tokens, _ time.Duration) (bool, error) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.tickets[id] = true
	return true, nil
}

func (fleet *darkFleet) release(_ context.Context, _ *peridotpath.Endpoint, id string) error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	delete(fleet.tickets, id)
	if fleet.first[id] {
		fleet.lastOfFirst = time.Now()
	}
	return nil
}

func fixtureOf(t *testing.T, fleet *darkFleet) *fixture {
	fleet.tickets = map[string]bool{}
	fixture := newFixture(fleet.send, &testRates, testEndpoint(0), testEndpoint(1), testEndpoint(2), testEndpoint(3))
	keeper := fixture.relay.Keeper
	keeper.Reserve, keeper.Release = fleet.reserve, fleet.release
	fixture.relay.Check = fleet.check
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- keeper.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	return fixture
}

// A dossier that no engine holds alone is sent to one engine with three helpers,
// and that engine loses its power: no reset, no answer. Its caller waits for three
// times the predicted reading, 10 s and more, and for that long the helpers'
// memory is renewed and lies idle, though nothing can use it any more. The cause:
// until the first event is due by far nobody asked whether the engine was there.
func TestMemoryIsGivenBackWhenTheWriterIsGone(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &darkFleet{}
		fixture := fixtureOf(t, fleet)
		began := time.Now()
		outcome := fixture.ask(t.Context(), "long", func(request *relay.Request) {
			request.Prompt, request.Answer, request.Patience = 600_000, 100, 30*time.Second
		})
		time.Sleep(200 * time.Millisecond)
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		is.True(outcome.ended)                                // served elsewhere
		is.True(outcome.first < 3*time.Second)                // soon after the loss
		is.True(len(fleet.first) > 0)                         // memory was reserved
		is.Equal(len(fleet.tickets), 0)                       // nothing stands
		is.True(fleet.lastOfFirst.Sub(began) < 3*time.Second) // while it counts as in use
	})
}

// An engine that takes long but answers its checks is left to its work: given up,
// its prompt would be read once more by the others.
func TestSlowEngineIsLeftToItsWork(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &darkFleet{dark: "none"}
		fixture := fixtureOf(t, fleet)
		slow := func(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
			time.Sleep(4500 * time.Millisecond)
			return fleet.send(ctx, call)
		}
		fixture.relay.Send = slow
		outcome := fixture.ask(t.Context(), "long", func(request *relay.Request) {
			request.Prompt, request.Answer, request.Patience = 600_000, 100, 30*time.Second
		})
		is.True(outcome.ended)
		is.Equal(fleet.calls, 1)
		is.Equal(fleet.checks, 4) // one for each second of silence
	})
}
