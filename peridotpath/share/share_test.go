package share_test

import (
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/digest"
	"peridotpath.example/peridotpath/share"
)

const (
	instanceCount = 8
	limit         = 100
	// exchangeDelay is the delay with which instances receive one another's
	// demand.
	exchangeDelay = time.Second
)

var airline = &peridotpath.Customer{ID: "airline", MaxRequestsPerS: limit}

// simulation is a set of instances that exchange their demand with a delay.
type simulation struct {
	limiters []*share.Limiter
	// published is the demand that each instance publishes, and received what
	// each has received from the others.
	published         []map[peridotpath.CustomerID]float64
	received          [][]share.PeerDemand
	isCut             func(receiver, sender int) bool
	random            *rand.Rand
	admitted          []int
	offered           []int
	admittedPerSecond []int // by second, over all instances
}

func newSimulation() *simulation {
	simulation := &simulation{random: rand.New(rand.NewPCG(1, 2)), isCut: func(int, int) bool { return false }}
	simulation.limiters = make([]*share.Limiter, instanceCount)
	simulation.published = make([]map[peridotpath.CustomerID]float64, instanceCount)
	simulation.received = make([][]share.PeerDemand, instanceCount)
	for index := range instanceCount {
		simulation.restart(index)
	}
	simulation.admitted, simulation.offered = make([]int, instanceCount), make([]int, instanceCount)
	return simulation
}

func (simulation *simulation) restart(index int) {
	simulation.published[index] = map[peridotpath.CustomerID]float64{}
	simulation.received[index] = make([]share.PeerDemand, instanceCount)
	simulation.limiters[index] = &share.Limiter{
		Peers: func() []share.PeerDemand { return simulation.peers(index) },
		Publish: func(id peridotpath.CustomerID, perSecond float64) {
			simulation.published[index][id] = digest.QuantisedDemand(perSecond)
		},
		RetainPublished: func(keep func(peridotpath.CustomerID) bool) {
			for id := range simulation.published[index] {
				if !keep(id) {
					delete(simulation.published[index], id)
				}
			}
		},
	}
	simulation.limiters[index].UpdateShares(time.Now(), 0)
}

func (simulation *simulation) peers(index int) []share.PeerDemand {
	var peers []share.PeerDemand
	for other, peer := range simulation.received[index] {
		if other != index {
			peers = append(peers, peer)
		}
	}
	return peers
}

// exchange delivers the published demand between instances that are connected.
func (simulation *simulation) exchange() {
	for sender := range instanceCount {
		for receiver := range instanceCount {
			if !simulation.isCut(receiver, sender) {
				simulation.received[receiver][sender] = share.PeerDemand{ReceivedAt: time.Now(), Demand: maps.Clone(simulation.published[sender])}
			}
		}
	}
}

// run offers requests at random times for a span. Each instance receives its part
// of rate.
func (simulation *simulation) run(span time.Duration, rate float64, parts []float64) {
	clear(simulation.admitted)
	clear(simulation.offered)
	simulation.admittedPerSecond = nil
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < span; at += step {
		if at%time.Second == 0 {
			simulation.admittedPerSecond = append(simulation.admittedPerSecond, 0)
		}
		if at%exchangeDelay == 0 {
			simulation.exchange()
		}
		for i, limiter := range simulation.limiters {
			if at%share.UpdateInterval == 0 {
				limiter.UpdateShares(time.Now(), share.UpdateInterval)
			}
			simulation.offer(i, rate*parts[i]*step.Seconds())
		}
		time.Sleep(step)
	}
}

// offer offers requests to an instance; mean is their expected number.
func (simulation *simulation) offer(index int, mean float64) {
	for ; mean > 0; mean-- {
		if simulation.random.Float64() >= mean {
			continue
		}
		simulation.offered[index]++
		if ok, _ := simulation.limiters[index].Allow(time.Now(), airline, 0); ok {
			simulation.admitted[index]++
			simulation.admittedPerSecond[len(simulation.admittedPerSecond)-1]++
		}
	}
}

func sum(counts []int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}

var (
	even        = []float64{0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125}
	skewed      = []float64{0.6, 0.2, 0.1, 0.05, 0.03, 0.02, 0, 0}
	single      = []float64{1, 0, 0, 0, 0, 0, 0, 0}
	singleOther = []float64{0, 0, 0, 0, 0, 0, 0, 1}
)

// The limit must hold for any distribution of a customer's requests over the
// instances. With equal parts, a customer whose requests all arrive at one
// instance would be granted an eighth of its limit; with the whole limit at
// each instance, a customer with evenly distributed requests would be granted
// eight times as much.
func TestLimitHoldsAtAnySkew(t *testing.T) {
	cases := []struct {
		name  string
		rate  float64
		parts []float64
		// low and high bound the admitted rate, as a part of the limit.
		low, high float64
	}{
		{"even, three times the limit", 3 * limit, even, 0.9, 1.1},
		{"skewed, three times the limit", 3 * limit, skewed, 0.9, 1.1},
		{"one instance, three times the limit", 3 * limit, single, 0.9, 1.1},
		{"skewed, a little above the limit", 1.2 * limit, skewed, 0.9, 1.1},
		{"skewed, within the limit", 0.8 * limit, skewed, 0.72, 0.88},
		{"one instance, within the limit", 0.8 * limit, single, 0.72, 0.88},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation()
				simulation.run(10*time.Second, test.rate, test.parts)
				simulation.run(time.Minute, test.rate, test.parts)
				admittedPart := float64(sum(simulation.admitted)) / 60 / limit
				t.Logf("admitted %.3f of the limit, offered %.3f", admittedPart, float64(sum(simulation.offered))/60/limit)
				is.New(t).True(admittedPart >= test.low && admittedPart <= test.high)
			})
		})
	}
}

// A share must follow the demand when the load balancer moves a customer from one
// instance to another.
func TestShareFollowsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		simulation := newSimulation()
		simulation.run(20*time.Second, 2*limit, single)
		simulation.run(10*time.Second, 0.8*limit, singleOther)
		t.Logf("admitted of %d by second %v", limit*8/10, simulation.admittedPerSecond)
		is.True(sum(simulation.admitted) > sum(simulation.offered)*8/10)
		simulation.run(30*time.Second, 3*limit, singleOther)
		admittedPart := float64(sum(simulation.admitted)) / 30 / limit
		t.Logf("admitted after the move: %.3f of the limit", admittedPart)
		is.True(admittedPart > 0.9 && admittedPart < 1.1)
	})
}

// A customer must not be refused by an earlier, lower share. One request
// at an instance with a minimum share moves the time of the next one far ahead;
// without a cap, the customer would be refused for a minute after its demand
// has moved to this instance.
func TestEarlierShareDoesNotDelayRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	small := &peridotpath.Customer{ID: "small", MaxRequestsPerS: 1}
	elsewhere := 5.0
	limiter := &share.Limiter{
		Peers: func() []share.PeerDemand {
			return []share.PeerDemand{{ReceivedAt: now, Demand: map[peridotpath.CustomerID]float64{"small": elsewhere}}, {ReceivedAt: now}}
		},
		Publish:         func(peridotpath.CustomerID, float64) {},
		RetainPublished: func(func(peridotpath.CustomerID) bool) {},
	}
	limiter.Allow(now, small, 0)
	limiter.UpdateShares(now, share.UpdateInterval)
	limiter.Allow(now.Add(2*time.Second), small, 0)
	ok, retryAfter := limiter.Allow(now, small, 0)
	is.True(!ok)
	is.True(retryAfter > 0 && retryAfter <= 2*time.Second)
	elsewhere = 0
	limiter.UpdateShares(now, share.UpdateInterval)
	ok, _ = limiter.Allow(now.Add(4*time.Second), small, 0)
	is.True(ok)
}

// A flood that begins at all instances at once must stay within the bound of the
// package comment, also before the instances have received one another's
// demand.
func TestFloodIsBoundedFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation()
		simulation.run(10*time.Second, 10*limit, skewed)
		t.Logf("admitted by second %v", simulation.admittedPerSecond)
		is.New(t).True(sum(simulation.admitted) <= limit*10*11/10+limit)
	})
}

// After a network partition into two halves, with a flood on both sides, each
// side must reserve the parts of its silent peers. Otherwise each would grant the
// whole limit.
func TestSilentPeersKeepTheirShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		simulation := newSimulation()
		simulation.run(20*time.Second, 3*limit, single)
		simulation.isCut = func(receiver, sender int) bool { return receiver < 4 != (sender < 4) }
		simulation.run(share.PeerDemandTTL+2*time.Second, 3*limit, even)
		before := float64(sum(simulation.admitted)) / (share.PeerDemandTTL + 2*time.Second).Seconds() / limit
		simulation.run(30*time.Second, 3*limit, even)
		after := float64(sum(simulation.admitted)) / 30 / limit
		t.Logf("both sides admit %.3f of the limit until silent peers expire, %.3f after", before, after)
		is.True(before <= 2)
		is.True(after > 0.9 && after < 1.1)
		simulation.isCut = func(int, int) bool { return false }
		simulation.run(10*time.Second, 3*limit, skewed)
		simulation.run(30*time.Second, 3*limit, skewed)
		admittedPart := float64(sum(simulation.admitted)) / 30 / limit
		is.True(admittedPart > 0.9 && admittedPart < 1.1)
	})
}

// A rolling restart of half of the instances during a flood must not exceed the
// limit, although a restarted instance has no state of the customer or its peers.
func TestRestartsDoNotExceedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation()
		simulation.run(10*time.Second, 3*limit, even)
		admitted := 0
		for index := range instanceCount / 2 {
			simulation.restart(index)
			simulation.run(5*time.Second, 3*limit, even)
			admitted += sum(simulation.admitted)
		}
		admittedPart := float64(admitted) / 20 / limit
		t.Logf("admitted %.3f of the limit", admittedPart)
		is.New(t).True(admittedPart > 0.85 && admittedPart < 1.15)
	})
}
