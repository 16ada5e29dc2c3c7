package relay_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/pace"
)

// squareRates are those of engines at which reading grows with the square of a prompt's
// length from a hundred thousand tokens on.
var squareRates = peridotpath.EngineRates{
	BatchSize: 12, KVTokens: 344_250, StepsPerIteration: 38, Chunk: 2048,
	Step: 1310 * time.Microsecond, StepPerSequence: 917 * time.Nanosecond, StepPerContextK: 2130 * time.Nanosecond,
	PrefillPerSecond: 154_000, PerMillionPairs: 162 * time.Microsecond,
}

// watchPaces lets all instances of a fleet ask engines for their pace.
func watchPaces(ctx context.Context, fleet *fleet, engines *fakeEngines, endpoints []peridotpath.Endpoint) *sync.WaitGroup {
	var all sync.WaitGroup
	for _, one := range fleet.relays {
		watch := &pace.Prober{
			Facts: one.facts, FetchSlowdown: engines.pace, Log: zerolog.Nop(),
			FindEndpoint: func(key peridotpath.EndpointKey) *peridotpath.Endpoint {
				for i := range endpoints {
					if endpoints[i].Key() == key {
						return &endpoints[i]
					}
				}
				return nil
			},
			OwnsEndpoint: func(key peridotpath.EndpointKey) bool { return one.book.IsOwner(one.relay.Instance, key) },
		}
		one.relay.Doubt = watch.ProbeOverdue
		one.book.ReportedSlowdowns = func(now time.Time) map[peridotpath.EndpointKey]float64 {
			slow := map[peridotpath.EndpointKey]float64{}
			for key, pace := range watch.SlowEngines(now) {
				slow[key] = float64(pace)
			}
			return slow
		}
		all.Go(func() { _ = watch.Run(ctx) })
	}
	return &all
}

// Dossiers come at nearly three times their usual rate, and eight of 45 engines turn slow.
// Spread over a third of the engines each, all of them had a part at a slow one; the parts
// queued up there, and in a few seconds every prompt waited behind them.
func TestLongPromptsAmongSlowEngines(t *testing.T) {
	const seeds, instances, engineCount, lag = 3, 20, 45, 25 * time.Millisecond
	var short, long float64
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed+1, seed+1))
		load := poisson(random, 0, 9*time.Second, 17, func(at time.Duration) arrival {
			return arrival{at: at, route: "short", prompt: min(lengths(random, 5_000, 0.7), 24_000), answer: lengths(random, 1360, 0.5)}
		})
		load = append(load, poisson(random, 0, 9*time.Second, 3, func(at time.Duration) arrival {
			return arrival{at: at, route: "long", prompt: min(lengths(random, 230_000, 0.4), 330_000), answer: 38 * 18}
		})...)
		outcomes := make([]*outcome, len(load))
		virtual.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			engines, endpoints := newFakeEngines(ctx, &squareRates, engineCount)
			fleet := newFleet(instances, lag, func(int) *fixture { return newFixture(engines.Send, &squareRates, endpoints...) })
			go fleet.beat(ctx, 250*time.Millisecond)
			watching := watchPaces(ctx, fleet, engines, endpoints)
			time.AfterFunc(1500*time.Millisecond, func() { engines.setSlow(8, 3.6) })
			askAll(ctx, load, outcomes, func() *fixture { return fleet.relays[random.IntN(instances)] })
			cancel()
			watching.Wait()
			time.Sleep(lag)
		})
		short += onTime(load, outcomes, "short", 300*time.Millisecond, 250*time.Millisecond) / seeds
		long += onTime(load, outcomes, "long", 4*time.Second, time.Second) / seeds
	}
	t.Logf("in time: short %.3f, long %.3f", short, long)
	if short < 0.85 || long < 0.9 {
		t.Errorf("in time: short %.3f, want 0.85; long %.3f, want 0.9", short, long)
	}
}
