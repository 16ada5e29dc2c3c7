package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/placement"
)

// fleet is many instances before the same engines, each of which hears what the
// others have under way some milliseconds late.
type fleet struct {
	relays []*fixture
	// lag is how long a digest takes from a change until it is taken in.
	lag time.Duration
	// lost, when set, says of a digest from one instance to another that it is lost.
	lost func(from, to int) bool
	// told says of each instance that a digest is on its way.
	mutex sync.Mutex
	told  []bool
	sent  []uint64
}

func newFleet(count int, lag time.Duration, makeOne func(i int) *fixture) *fleet {
	fleet := &fleet{lag: lag, told: make([]bool, count), sent: make([]uint64, count)}
	for i := range count {
		one := makeOne(i)
		one.relay.Instance = peridotpath.InstanceID(fmt.Sprintf("edge-%d", i))
		one.book.OnChange = func() { fleet.changed(i) }
		one.facts.OnChange = func() { fleet.changed(i) }
		fleet.relays = append(fleet.relays, one)
	}
	return fleet
}

// changed tells the others of an instance's requests, with what else changes until
// the digest is made.
func (fleet *fleet) changed(number int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.told[number] {
		return
	}
	fleet.told[number] = true
	time.AfterFunc(fleet.lag/2, func() { fleet.tell(number) })
}

func (fleet *fleet) loses(from, to int) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.lost != nil && fleet.lost(from, to)
}

// beat lets all instances tell what they know now and then, until ctx ends.
func (fleet *fleet) beat(ctx context.Context, every time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
			for i := range fleet.relays {
				fleet.changed(i)
			}
		}
	}
}

func (fleet *fleet) tell(number int) {
	fleet.mutex.Lock()
	fleet.told[number] = false
	fleet.sent[number]++
	sequence := fleet.sent[number]
	fleet.mutex.Unlock()
	one := fleet.relays[number]
	report := placement.PeerReport{
		Peer: one.relay.Instance, Incarnation: 1, Sequence: sequence, InFlight: one.book.LocalInFlight(), Queued: one.book.LocalQueued(),
	}
	told := one.facts.TakeDue(time.Now(), false)
	time.AfterFunc(fleet.lag/2, func() {
		for i, other := range fleet.relays {
			if i != number && !fleet.loses(number, i) {
				other.book.ApplyPeerReport(report, time.Now())
				other.facts.Receive(told, false)
			}
		}
	})
}

// playFleet runs a load against fake engines, each request at an instance by chance.
func playFleet(t *testing.T, instances, engineCount int, lag time.Duration, rates *peridotpath.EngineRates, load []arrival) []*outcome {
	t.Helper()
	outcomes := make([]*outcome, len(load))
	virtual.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(9, 9))
		ctx, cancel := context.WithCancel(t.Context())
		engines, endpoints := newFakeEngines(ctx, rates, engineCount)
		fleet := newFleet(instances, lag, func(int) *fixture { return newFixture(engines.Send, rates, endpoints...) })
		askAll(ctx, load, outcomes, func() *fixture { return fleet.relays[random.IntN(instances)] })
		cancel()
		time.Sleep(lag)
	})
	return outcomes
}

// smallBatch are the rates of engines that write ten answers at once.
func smallBatch() *peridotpath.EngineRates {
	rates := testRates
	rates.BatchSize, rates.StepsPerIteration = 10, 73
	return &rates
}

// Short prompts come at two and a half times their usual rate to a hundred
// instances before 56 engines that are three fifths full. Each instance knows of
// the others' requests some milliseconds late; all put theirs on the engine that
// looked best, those before them had filled it, and a quarter was late. The same when
// nobody writes yet: all avoided the engines that were still empty, and one in ten
// was late.
func TestShortBurstAtManyInstances(t *testing.T) {
	for _, seed := range []uint64{5, 6, 7} {
		random := rand.New(rand.NewPCG(seed, seed))
		load := poisson(random, 0, 5*time.Second, 195, func(at time.Duration) arrival {
			return arrival{at: at, route: "short", prompt: min(lengths(random, 5_000, 0.7), 24_000), answer: lengths(random, 1780, 0.5)}
		})
		outcomes := playFleet(t, 97, 56, 25*time.Millisecond, smallBatch(), load)
		short := onTime(load, outcomes, "short", 300*time.Millisecond, 250*time.Millisecond)
		t.Logf("seed %d: in time: short %.3f", seed, short)
		if short < 0.9 {
			t.Errorf("seed %d: short prompts in time: %.3f, want 0.9", seed, short)
		}
	}
}

// Short and long prompts come to a hundred instances before 28 engines, which the long
// ones keep half busy. Where instances knew little of each other's, short ones were put
// on every engine, and four in ten of the long ones found too few to be read at in time.
func TestMixAtManyInstances(t *testing.T) {
	const seeds = 4
	short, long := 0.0, 0.0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed+5, seed+5))
		load := poisson(random, 0, 10*time.Second, 50, func(at time.Duration) arrival {
			return arrival{at: at, route: "short", prompt: min(lengths(random, 5_000, 0.7), 24_000), answer: lengths(random, 1780, 0.5)}
		})
		load = append(load, poisson(random, 0, 10*time.Second, 4, func(at time.Duration) arrival {
			return arrival{at: at, route: "long", prompt: min(lengths(random, 300_000, 0.5), 440_000), answer: 73 * 12}
		})...)
		outcomes := playFleet(t, 97, 28, 25*time.Millisecond, smallBatch(), load)
		short += onTime(load, outcomes, "short", 300*time.Millisecond, 250*time.Millisecond) / seeds
		long += onTime(load, outcomes, "long", 4*time.Second, time.Second) / seeds
	}
	t.Logf("in time: short %.3f, long %.3f", short, long)
	if short < 0.9 || long < 0.6 {
		t.Errorf("in time: short %.3f, want 0.9; long %.3f, want 0.6", short, long)
	}
}
