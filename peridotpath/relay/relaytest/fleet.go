package relaytest

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

// Fleet is a set of instances in front of the same engines. Each receives the others'
// in-flight requests with a delay.
type Fleet struct {
	Relays []*Fixture
	// Lag is the time from a change until the digest with it is applied.
	Lag time.Duration
	// Batching, when set, is the time from a change until the digest with it is sent; the digest
	// then takes the whole lag. Otherwise each takes half of the lag.
	Batching time.Duration
	// Lost, when set, reports whether a digest from one instance to another is lost.
	Lost  func(from, to int) bool
	mutex sync.Mutex
	// scheduled reports for each instance whether a digest is scheduled.
	scheduled []bool
	sequences []uint64
}

// NewFleet returns count instances that exchange their digests after lag.
func NewFleet(count int, lag time.Duration, newInstance func(i int) *Fixture) *Fleet {
	fleet := &Fleet{Lag: lag, scheduled: make([]bool, count), sequences: make([]uint64, count)}
	for i := range count {
		instance := newInstance(i)
		instance.Relay.Instance = peridotpath.InstanceID(fmt.Sprintf("edge-%d", i))
		instance.Relay.Quarantine.Instance = instance.Relay.Instance
		instance.LoadTracker.OnChange = func() { fleet.ScheduleDigest(i) }
		instance.Facts.OnChange = func() { fleet.ScheduleDigest(i) }
		fleet.Relays = append(fleet.Relays, instance)
	}
	return fleet
}

// ScheduleDigest schedules a digest of an instance's state. Further changes until it is
// sent are part of it.
func (fleet *Fleet) ScheduleDigest(number int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.scheduled[number] {
		return
	}
	fleet.scheduled[number] = true
	time.AfterFunc(fleet.untilSent(), func() { fleet.sendDigest(number) })
}

func (fleet *Fleet) untilSent() time.Duration {
	if fleet.Batching > 0 {
		return fleet.Batching
	}
	return fleet.Lag / 2
}

func (fleet *Fleet) delivery() time.Duration {
	if fleet.Batching > 0 {
		return fleet.Lag
	}
	return fleet.Lag / 2
}

// SetLost replaces Lost while the instances run.
func (fleet *Fleet) SetLost(lost func(from, to int) bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.Lost = lost
}

func (fleet *Fleet) isLost(from, to int) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.Lost != nil && fleet.Lost(from, to)
}

// SendPeriodically makes all instances send digests at the interval, until ctx ends.
func (fleet *Fleet) SendPeriodically(ctx context.Context, interval time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
			for i := range fleet.Relays {
				fleet.ScheduleDigest(i)
			}
		}
	}
}

func (fleet *Fleet) sendDigest(number int) {
	fleet.mutex.Lock()
	fleet.scheduled[number] = false
	fleet.sequences[number]++
	sequence := fleet.sequences[number]
	fleet.mutex.Unlock()
	sender := fleet.Relays[number]
	report := placement.PeerReport{
		Peer: sender.Relay.Instance, Incarnation: 1, Sequence: sequence, InFlight: asReported(sender.LoadTracker.LocalInFlight()), Queued: sender.LoadTracker.LocalQueued(),
		ShortWaits: sender.LoadTracker.LocalShortWaits(),
		Usages:     sender.LoadTracker.LocalUsages(),
	}
	sent := sender.Facts.TakeDue(time.Now(), false)
	time.AfterFunc(fleet.delivery(), func() {
		for i, other := range fleet.Relays {
			if i != number && !fleet.isLost(number, i) {
				other.LoadTracker.ApplyPeerReport(report, time.Now())
				other.Facts.Receive(sent, false)
			}
		}
	})
}

// asReported leaves out what a digest does: the helpers of a decoding request that hold no KV
// cache of it.
func asReported(requests []placement.InFlight) []placement.InFlight {
	for i := range requests {
		for number, part := range requests[i].Parts {
			if requests[i].Decoding && number > 0 && part.ReservedKV == 0 {
				requests[i].Parts = requests[i].Parts[:number]
				break
			}
		}
	}
	return requests
}

// RunFleetWorkload runs a workload against fake engines, with each request at a random
// instance.
func RunFleetWorkload(t *testing.T, instances, engineCount int, lag time.Duration, rates *peridotpath.EngineRates, load []Arrival) []*Outcome {
	t.Helper()
	outcomes := make([]*Outcome, len(load))
	virtual.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(9, 9))
		ctx, cancel := context.WithCancel(t.Context())
		engines, endpoints := NewEngines(ctx, rates, engineCount)
		fleet := NewFleet(instances, lag, func(int) *Fixture { return NewFixture(engines.Send, rates, endpoints...) })
		SendAll(ctx, load, outcomes, func() *Fixture { return fleet.Relays[random.IntN(instances)] })
		cancel()
		time.Sleep(lag)
	})
	return outcomes
}

// SmallBatch returns the rates of engines that decode ten requests at once.
func SmallBatch() *peridotpath.EngineRates {
	rates := Rates
	rates.BatchSize, rates.StepsPerIteration = 10, 73
	return &rates
}
