package fairshare_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/fairness"
	"peridotpath.example/peridotpath/fairshare"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/routing"
	"peridotpath.example/peridotpath/telemetry"
)

// rates are those of engines that decode four requests at once and whose iteration takes 10 ms,
// whatever the length of the prompts.
var rates = peridotpath.EngineRates{BatchSize: 4, StepsPerIteration: 10, Step: time.Millisecond}

const (
	// engineCount engines have slotCount slots, and nominalCapacity of engine time within
	// fairness.TimeConstant.
	engineCount     = 4
	slotCount       = 16
	nominalCapacity = engineCount * fairness.TimeConstant

	shortTTFTTarget = 300 * time.Millisecond
	// shortEngineTime is the engine time of the demand of a short prompt: 5 ms of prefill and
	// eight iterations, divided by the batch size. The engines serve 160 of them a second.
	shortEngineTime = 25 * time.Millisecond

	// small, large and other are customers.
	small peridotpath.CustomerID = "small"
	large peridotpath.CustomerID = "large"
	other peridotpath.CustomerID = "other"
)

// shortDemand returns the demand of a short prompt with an answer of eight events.
func shortDemand(customer peridotpath.CustomerID) *fairshare.Demand {
	return &fairshare.Demand{
		Customer: placement.HashCustomer(customer), Rates: &rates, PromptTokens: 1000, Prefill: 5 * time.Millisecond, AnswerTokens: 80,
	}
}

// roomForShort is the number of short prompts that may be in flight.
func roomForShort() int {
	return fairness.RoomFor(slotCount, shortTTFTTarget, shortDemand(small).SlotTime())
}

// allTaken is the state of the engines when each slot has a request and none waits for one.
func allTaken() fairshare.Slots {
	return fairshare.Slots{Count: slotCount, Room: roomForShort(), Occupied: slotCount}
}

// customerRouting returns a routing with one route of rank 2 and a key for each of the customers.
func customerRouting(version peridotpath.RoutingVersion, customers ...peridotpath.CustomerID) *peridotpath.Routing {
	routing := &peridotpath.Routing{
		Version:  version,
		Routes:   []peridotpath.Route{{Name: "short", Priority: 2, TTFTTarget: shortTTFTTarget}},
		Services: map[peridotpath.Service]peridotpath.ServiceSpec{"llm": {Name: "llm", Engine: &rates}, "plain": {Name: "plain"}},
		Keys:     map[peridotpath.APIKey]peridotpath.KeyHolder{},
	}
	for _, customer := range customers {
		routing.Keys[peridotpath.APIKey(customer)] = peridotpath.KeyHolder{Customer: customer}
	}
	return routing
}

// instance is one instance in front of the engines.
type instance struct {
	*fairshare.Divider
	id       peridotpath.InstanceID
	sequence uint64
}

// newInstance returns an instance in front of engineCount engines and as many plain endpoints, whose
// routing names the customers.
func newInstance(number int, customers ...peridotpath.CustomerID) *instance {
	state := &routing.State{Now: func() time.Duration { return time.Hour }, KeyLifetime: time.Hour, Log: zerolog.Nop()}
	state.Apply(customerRouting(1, customers...), time.Hour)
	endpoints := &directory.Directory{Log: zerolog.Nop()}
	listing := directory.Listing{}
	for i := range 2 * engineCount {
		service := peridotpath.Service("llm")
		if i >= engineCount {
			service = "plain" // not engines
		}
		listing.Endpoints = append(listing.Endpoints, peridotpath.Endpoint{
			ID: peridotpath.EndpointID(fmt.Sprintf("i-%d", i)), Service: service, DataCentre: "a", State: peridotpath.StateLive, Incarnation: 1,
		})
	}
	endpoints.Apply(listing, time.Hour)
	divider := &fairshare.Divider{
		Log: zerolog.Nop(), Sampler: &telemetry.LogSampler{PerSecond: 5}, LoadTracker: &placement.LoadTracker{},
		Routing: state, Endpoints: endpoints.Current,
	}
	divider.LoadTracker.OnPeerWaits = divider.Update
	return &instance{Divider: divider, id: peridotpath.InstanceID(fmt.Sprintf("edge-%d", number))}
}

// newInstances returns instances in front of the same engines.
func newInstances(count int, customers ...peridotpath.CustomerID) []*instance {
	var all []*instance
	for i := range count {
		all = append(all, newInstance(i, customers...))
	}
	return all
}

// digest returns what the instance tells its peers.
func (instance *instance) digest() placement.PeerReport {
	instance.sequence++
	return placement.PeerReport{
		Peer: instance.id, Incarnation: 1, Sequence: instance.sequence, Usages: instance.LoadTracker.LocalUsages(), Queued: instance.LoadTracker.LocalQueued(),
	}
}

// exchange passes the digest of each instance to all others.
func exchange(instances []*instance) {
	for _, from := range instances {
		report := from.digest()
		for _, to := range instances {
			if to != from {
				to.LoadTracker.ApplyPeerReport(report, time.Now())
			}
		}
	}
}

// use records a request of a customer that took the engine time and has ended.
func (instance *instance) use(customer peridotpath.CustomerID, engineTime time.Duration) {
	charge := instance.RecordDispatch(&fairshare.Demand{Customer: placement.HashCustomer(customer), Rates: &rates, Prefill: engineTime}, time.Now())
	instance.RecordEnd(&charge, fairshare.Answer{}, time.Now())
}

// arrive records arrivals of short prompts.
func (instance *instance) arrive(customer peridotpath.CustomerID, count int) {
	for range count {
		instance.RecordArrival(shortDemand(customer), time.Now())
	}
}

// window returns how many short prompts of the customer the instance has in flight before it refuses
// one; limit if it refuses none of as many. It ends them again.
func (instance *instance) window(customer peridotpath.CustomerID, limit int) int {
	demand := shortDemand(customer)
	demand.Prefill = 0
	var charges []fairshare.Charge
	for len(charges) < limit && instance.AdmitShort(demand.Customer, allTaken(), time.Now()) == 0 {
		charges = append(charges, instance.RecordDispatch(demand, time.Now()))
	}
	for i := range charges {
		instance.RecordEnd(&charges[i], fairshare.Answer{IsStreamed: true}, time.Now())
	}
	return len(charges)
}

// noLimit is a limit for window that no share allows.
const noLimit = 1000

// reported returns what the instance tells its peers about a customer.
func (instance *instance) reported(customer peridotpath.CustomerID) placement.CustomerUsage {
	for _, usage := range instance.LoadTracker.LocalUsages() {
		if usage.Customer == placement.HashCustomer(customer) {
			return usage
		}
	}
	return placement.CustomerUsage{}
}

// runVirtual runs a test in virtual time.
func runVirtual(t *testing.T, test func(is *is.I)) {
	t.Helper()
	virtual.Test(t, func(t *testing.T) {
		t.Helper()
		test(is.New(t))
	})
}

// isClose reports whether two durations differ by a millisecond at most.
func isClose(a, b time.Duration) bool {
	return math.Abs(float64(a-b)) <= float64(time.Millisecond)
}
