package fairshare_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/fairshare"
)

const (
	// heartbeat is the greatest time between two digests of an instance.
	heartbeat = 250 * time.Millisecond
	// slotHold is the time for which a short prompt has a slot of a full engine, so that the engines
	// serve as many as their time allows; its first event comes after firstEvent of it, the prefill
	// beside three others and an iteration.
	slotHold   = 4 * shortEngineTime
	firstEvent = 30 * time.Millisecond
	// sustained is the number of short prompts that the engines serve in a second.
	sustained = float64(time.Second) / float64(shortEngineTime) * engineCount
)

// stream is what a customer sends.
type stream struct {
	customer    peridotpath.CustomerID
	from, until time.Duration
	perSecond   float64
	// instances is the number of instances at which the requests arrive, each at one by chance.
	instances int
}

// tally counts the short prompts of a customer.
type tally struct {
	total, onTime, served, refused int
	retryAfter                     []time.Duration
}

func (tally *tally) onTimePart() float64 { return float64(tally.onTime) / float64(tally.total) }

// replay runs streams of short prompts at several instances in front of the same slots, which take
// the prompts in the order of arrival. The number of requests in flight is known to all; the usages
// go by digests of age newsAge.
type replay struct {
	instances []*instance
	newsAge   time.Duration
	streams   []stream
	// measured is the time within which requests count.
	measuredFrom, measuredUntil time.Duration
	// change, when set, is called every 50 ms, while no request and no digest is handled.
	change func(since time.Duration)

	mutex             sync.Mutex
	inFlight, running int
	queue             []func()
	tallies           map[peridotpath.CustomerID]*tally
}

func (replay *replay) run(seed uint64) map[peridotpath.CustomerID]*tally {
	type arrival struct {
		at       time.Duration
		customer peridotpath.CustomerID
		instance int
	}
	random := rand.New(rand.NewPCG(seed, 1))
	replay.tallies = map[peridotpath.CustomerID]*tally{}
	var arrivals []arrival
	for _, stream := range replay.streams {
		replay.tallies[stream.customer] = &tally{}
		for at := stream.from; at < stream.until; at += time.Duration(random.ExpFloat64() / stream.perSecond * float64(time.Second)) {
			arrivals = append(arrivals, arrival{at, stream.customer, random.IntN(stream.instances)})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })

	start, ended := time.Now(), make(chan struct{})
	var others sync.WaitGroup
	for i := range replay.instances {
		others.Go(func() {
			time.Sleep(heartbeat * time.Duration(i) / time.Duration(len(replay.instances)))
			for {
				replay.sendDigest(i)
				select {
				case <-ended:
					return
				case <-time.After(heartbeat):
				}
			}
		})
	}
	if replay.change != nil {
		others.Go(func() {
			for {
				replay.mutex.Lock()
				replay.change(time.Since(start))
				replay.mutex.Unlock()
				select {
				case <-ended:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	for _, arrival := range arrivals {
		time.Sleep(arrival.at - time.Since(start))
		replay.send(arrival.instance, arrival.customer, arrival.at >= replay.measuredFrom && arrival.at < replay.measuredUntil)
	}
	time.Sleep(5 * time.Second)
	close(ended)
	others.Wait()
	time.Sleep(replay.newsAge)
	return replay.tallies
}

func (replay *replay) sendDigest(number int) {
	replay.mutex.Lock()
	defer replay.mutex.Unlock()
	from := replay.instances[number]
	report := from.digest()
	time.AfterFunc(replay.newsAge, func() {
		replay.mutex.Lock()
		defer replay.mutex.Unlock()
		for _, to := range replay.instances {
			if to != from {
				to.LoadTracker.ApplyPeerReport(report, time.Now())
			}
		}
	})
}

// send sends a short prompt as a request does: it is refused, or waits in the engines for a slot.
func (replay *replay) send(number int, customer peridotpath.CustomerID, counts bool) {
	replay.mutex.Lock()
	defer replay.mutex.Unlock()
	at := replay.instances[number]
	result := replay.tallies[customer]
	if !counts {
		result = &tally{}
	}
	result.total++
	demand, now := shortDemand(customer), time.Now()
	at.RecordArrival(demand, now)
	state := allTaken()
	state.Occupied = replay.inFlight
	if retryAfter := at.AdmitShort(demand.Customer, state, now); retryAfter > 0 {
		result.refused++
		result.retryAfter = append(result.retryAfter, retryAfter)
		return
	}
	charge := at.RecordDispatch(demand, now)
	replay.inFlight++
	start := func() {
		if time.Since(now)+firstEvent <= shortTTFTTarget {
			result.onTime++
		}
		time.AfterFunc(slotHold, func() {
			replay.mutex.Lock()
			defer replay.mutex.Unlock()
			at.RecordEnd(&charge, fairshare.Answer{IsStreamed: true, Events: 8, IsWhole: true}, time.Now())
			result.served++
			replay.inFlight--
			replay.running--
			if len(replay.queue) > 0 {
				replay.running++
				replay.queue[0]()
				replay.queue = replay.queue[1:]
			}
		})
	}
	if replay.running == slotCount {
		replay.queue = append(replay.queue, start)
		return
	}
	replay.running++
	start()
}

// A customer sends several times what the engines serve, for a time, beside one that sends an eighth
// of it. The small customer must be on time and never refused, before, during and after the burst;
// the engines must not be idle meanwhile, and the burst must leave nothing behind.
func TestSmallCustomerBesideBurst(t *testing.T) {
	for _, newsAge := range []time.Duration{25 * time.Millisecond, 600 * time.Millisecond} {
		for _, perSecond := range []float64{130, 200, 500} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%v/%.0f/%d", newsAge, perSecond, seed), func(t *testing.T) {
					runVirtual(t, func(is *is.I) {
						replay := replay{
							instances: newInstances(6, small, large), newsAge: newsAge, measuredUntil: 10 * time.Second,
							streams: []stream{{small, 0, 10 * time.Second, 20, 6}, {large, 2 * time.Second, 7 * time.Second, perSecond, 6}},
						}
						results := replay.run(seed)
						t.Logf("small %+v", *results[small])
						t.Logf("large %d, %d on time, %d served, %d refused", results[large].total, results[large].onTime, results[large].served, results[large].refused)
						is.True(results[small].onTimePart() >= 0.95)
						is.Equal(results[small].refused, 0)
						// The engines can be used to 0.6 at least; the small customer has 20 of what they serve.
						is.True(float64(results[large].served) >= min(perSecond, 0.6*sustained-20)*5*0.95)
						for _, retryAfter := range results[large].retryAfter {
							checkRetryAfter(is, retryAfter)
						}
						for _, instance := range replay.instances {
							is.Equal(len(instance.LoadTracker.LocalUsages()), 0)
							is.Equal(instance.AboveShareCount(time.Now()), 0)
						}
					})
				})
			}
		}
	}
}

// Two customers flood the engines, one with three times as much as the other, and the rank of a key
// changes meanwhile. What is served must follow the parts in force: within 0.8 of each other's use of
// its part, and the margin of 0.05.
func TestFloodsBesideChangingRanks(t *testing.T) {
	for _, test := range []struct {
		name string
		// changed is the rank of the small customer's key from 4 s on, ratio what is then served to it by
		// one of the other's.
		changed int
		ratio   float64
	}{{"as before", 2, 1}, {"more urgent", 1, 2}, {"less urgent", 3, 0.5}} {
		t.Run(test.name, func(t *testing.T) {
			runVirtual(t, func(is *is.I) {
				replay := replay{
					instances: newInstances(6, small, large), newsAge: 25 * time.Millisecond, measuredFrom: 8 * time.Second, measuredUntil: 18 * time.Second,
					streams: []stream{{small, 0, 18 * time.Second, 200, 6}, {large, 0, 18 * time.Second, 600, 6}},
				}
				replay.change = func(since time.Duration) {
					if since < 4*time.Second {
						return
					}
					for _, instance := range replay.instances {
						routing := customerRouting(2, small, large)
						routing.Keys["small"] = peridotpath.KeyHolder{Customer: small, Priority: test.changed, HasPriority: true}
						instance.Routing.Apply(routing, time.Hour)
					}
				}
				results := replay.run(1)
				ratio := float64(results[small].served) / float64(results[large].served)
				t.Logf("served %d and %d, ratio %.2f", results[small].served, results[large].served, ratio)
				is.True(ratio >= test.ratio*0.8/1.05)
				is.True(ratio <= test.ratio/0.8*1.05)
			})
		})
	}
}

// Six instances are replaced one after the other beside a flood: each new one has an empty ledger. The
// small customer must be on time all along.
func TestReplacedInstancesBesideFlood(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		replay := replay{
			instances: newInstances(6, small, large), newsAge: 25 * time.Millisecond, measuredFrom: time.Second, measuredUntil: 10 * time.Second,
			streams: []stream{{small, 0, 10 * time.Second, 20, 6}, {large, 0, 10 * time.Second, 500, 6}},
		}
		replaced := 0
		replay.change = func(since time.Duration) {
			if replaced < 6 && since >= time.Duration(replaced+2)*time.Second {
				replay.instances[replaced] = newInstance(6+replaced, small, large)
				replaced++
			}
		}
		results := replay.run(1)
		t.Logf("small %+v; large %d served, %d refused", *results[small], results[large].served, results[large].refused)
		is.Equal(replaced, 6)
		is.True(results[small].onTimePart() >= 0.95)
		is.Equal(results[small].refused, 0)
	})
}

// The load of TestSmallCustomerBesideBurst arrives at one or two of six instances; the others have no
// requests. The engines must be used as if it arrived at all. Until the first digests, the others
// count as having the same usages, so that a few prompts of the small customer may be refused.
func TestBurstAtFewInstances(t *testing.T) {
	for _, count := range []int{1, 2} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d/%d", count, seed), func(t *testing.T) {
				runVirtual(t, func(is *is.I) {
					replay := replay{
						instances: newInstances(6, small, large), newsAge: 25 * time.Millisecond, measuredUntil: 10 * time.Second,
						streams: []stream{{small, 0, 10 * time.Second, 20, count}, {large, 2 * time.Second, 7 * time.Second, 500, count}},
					}
					results := replay.run(seed)
					t.Logf("small %+v", *results[small])
					t.Logf("large %d, %d on time, %d served, %d refused", results[large].total, results[large].onTime, results[large].served, results[large].refused)
					is.True(results[small].onTimePart() >= 0.95)
					is.True(float64(results[large].served) >= (0.6*sustained-20)*5*0.95)
				})
			})
		}
	}
}
