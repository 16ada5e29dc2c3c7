package reservation_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/soak"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/reservation"
)

// fakeEngine holds reservations by id within its memory, each for its TTL from the
// arrival of the call.
type fakeEngine struct {
	mutex  sync.Mutex
	memory peridotpath.Tokens
	held   map[string]holding
	// effectDelay, when set, returns how much later a call takes effect, without an answer.
	effectDelay func(operation string) time.Duration
	calls       int
}

type holding struct {
	tokens peridotpath.Tokens
	until  time.Time
}

func (engine *fakeEngine) removeExpired() {
	maps.DeleteFunc(engine.held, func(_ string, holding holding) bool { return !time.Now().Before(holding.until) })
}

func (engine *fakeEngine) callCount() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.calls
}

func (engine *fakeEngine) heldIDs() []string {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.removeExpired()
	return slices.Sorted(maps.Keys(engine.held))
}

var errNoAnswer = errors.New("no answer")

// call applies a change, at once or after the delay and without an answer.
func (engine *fakeEngine) call(ctx context.Context, operation string, apply func()) error {
	engine.mutex.Lock()
	engine.calls++
	delay := time.Duration(0)
	if engine.effectDelay != nil {
		delay = engine.effectDelay(operation)
	}
	engine.mutex.Unlock()
	applyLocked := func() {
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		engine.removeExpired()
		apply()
	}
	if delay > 0 {
		time.AfterFunc(delay, applyLocked)
		<-ctx.Done()
		return errNoAnswer
	}
	applyLocked()
	return nil
}

func newManager(engines map[peridotpath.EndpointID]*fakeEngine) *reservation.Manager {
	return &reservation.Manager{
		Instance: "edge-1", Incarnation: 5, Log: zerolog.Nop(),
		Reserve: func(ctx context.Context, endpoint *peridotpath.Endpoint, id string, tokens peridotpath.Tokens, ttl time.Duration) (bool, error) {
			engine := engines[endpoint.ID]
			var reserved atomic.Bool
			err := engine.call(ctx, "reserve", func() {
				sum := tokens
				for other, holding := range engine.held {
					if other != id {
						sum += holding.tokens
					}
				}
				if sum <= engine.memory {
					reserved.Store(true)
					engine.held[id] = holding{tokens: tokens, until: time.Now().Add(ttl)}
				}
			})
			return reserved.Load(), err
		},
		Release: func(ctx context.Context, endpoint *peridotpath.Endpoint, id string) error {
			engine := engines[endpoint.ID]
			return engine.call(ctx, "release", func() { delete(engine.held, id) })
		},
	}
}

func twoEngines() (map[peridotpath.EndpointID]*fakeEngine, []reservation.MemoryRequest) {
	engines := map[peridotpath.EndpointID]*fakeEngine{}
	var needs []reservation.MemoryRequest
	for _, id := range []peridotpath.EndpointID{"one", "two"} {
		engines[id] = &fakeEngine{memory: 1000, held: map[string]holding{}}
		needs = append(needs, reservation.MemoryRequest{Endpoint: &peridotpath.Endpoint{ID: id}, Tokens: 600})
	}
	return engines, needs
}

// run starts the manager and returns a function that stops it.
func run(t *testing.T, manager *reservation.Manager) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- manager.Run(ctx) }()
	return func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}
}

// A prefill takes twelve seconds, longer than the TTL of a reservation. Renewals must keep
// the memory reserved until the prefill ends, and the memory must be free within 100 ms of
// that.
func TestRenewedWhileInUse(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines, needs := twoEngines()
		manager := newManager(engines)
		defer run(t, manager)()
		reservations, err := manager.Acquire(t.Context(), needs)
		is.NoErr(err)
		is.Equal(len(reservations), 2)
		time.Sleep(12 * time.Second)
		is.Equal(len(engines["one"].heldIDs()), 1)
		is.Equal(len(engines["two"].heldIDs()), 1)
		manager.ReleaseAsync(reservations)
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(engines["one"].heldIDs())+len(engines["two"].heldIDs()), 0)
		is.Equal(manager.ActiveCount(), 0)
	})
}

// One of two engines has too little memory. The reservation on the other engine must be
// released: two prompts that each kept a part would deadlock.
func TestAllOrNothing(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines, needs := twoEngines()
		engines["two"].memory = 100
		manager := newManager(engines)
		defer run(t, manager)()
		_, err := manager.Acquire(t.Context(), needs)
		var reserveError *reservation.ReserveError
		is.True(errors.As(err, &reserveError))
		is.Equal(reserveError.Endpoint, needs[1].Endpoint.Key())
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(engines["one"].heldIDs()), 0)
	})
}

// A call to reserve times out and takes effect eight seconds later, long after the request
// was sent elsewhere. If the reservation is not released after that, the memory stays
// reserved but unused.
func TestReservationThatTakesEffectLate(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines, needs := twoEngines()
		delay := 8 * time.Second
		engines["two"].effectDelay = func(operation string) time.Duration {
			if operation == "reserve" {
				return delay
			}
			return 0
		}
		manager := newManager(engines)
		defer run(t, manager)()
		_, err := manager.Acquire(t.Context(), needs)
		is.True(err != nil)
		time.Sleep(delay + time.Second)
		is.Equal(len(engines["two"].heldIDs()), 0)
		before := engines["two"].callCount()
		time.Sleep(time.Minute)
		is.True(engines["two"].callCount()-before < 20) // and the release is not repeated forever
	})
}

// After an instance crashes nothing is renewed, and the memory must be free within four
// seconds of its last use.
func TestInstanceCrash(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines, needs := twoEngines()
		manager := newManager(engines)
		stop := run(t, manager)
		_, err := manager.Acquire(t.Context(), needs)
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		stop()
		time.Sleep(4 * time.Second)
		is.Equal(len(engines["one"].heldIDs())+len(engines["two"].heldIDs()), 0)
	})
}

// For any sequence of reservations, releases and delayed calls, all memory must be free
// within the window for late effects and one TTL, and no id may be used twice.
func TestEveryReservationEnds(t *testing.T) {
	soak.Check(t, 1, func(random *rapid.T) {
		delays := rapid.SliceOfN(rapid.IntRange(0, 12), 40, 40).Draw(random, "delays")
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 20).Draw(random, "steps")
		virtual.Test(t, func(t *testing.T) {
			engines, needs := twoEngines()
			var next atomic.Int64
			for _, engine := range engines {
				engine.memory = 5000
				engine.effectDelay = func(string) time.Duration {
					delay := delays[int(next.Add(1))%len(delays)]
					return time.Duration(max(delay-6, 0)) * time.Second
				}
			}
			manager := newManager(engines)
			stop := run(t, manager)
			seen := map[string]bool{}
			var held [][]*reservation.Reservation
			for _, step := range steps {
				switch {
				case step == 0 && len(held) > 0:
					manager.ReleaseAsync(held[0])
					held = held[1:]
				case step == 1:
					time.Sleep(700 * time.Millisecond)
				default:
					reservations, err := manager.Acquire(t.Context(), needs)
					if err != nil {
						continue
					}
					for _, reserved := range reservations {
						if seen[reserved.ID] {
							t.Errorf("%s is used twice", reserved.ID)
						}
						seen[reserved.ID] = true
					}
					held = append(held, reservations)
				}
			}
			for _, reservations := range held {
				manager.ReleaseAsync(reservations)
			}
			time.Sleep(30 * time.Second)
			for id, engine := range engines {
				if ids := engine.heldIDs(); len(ids) > 0 {
					t.Errorf("engine %s still holds %v", id, ids)
				}
			}
			stop()
		})
	})
}
