package fairshare_test

import (
	"fmt"
	"math"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/fairness"
	"peridotpath.example/peridotpath/fairshare"
	"peridotpath.example/peridotpath/placement"
)

// flood records a customer that has used its part of the engines and asks for several times as much,
// beside the small one that asks for little.
func (instance *instance) flood(customer peridotpath.CustomerID) {
	instance.use(customer, 6*time.Second)
	instance.use(small, time.Second)
	instance.arrive(customer, 300)
}

// An instance that divides no engine time must refuse nobody by shares.
func TestWithoutDivider(t *testing.T) {
	is := is.New(t)
	var divider *fairshare.Divider
	is.True(!divider.OverShare(large, time.Now()))
	is.Equal(divider.AboveShareCount(time.Now()), 0)
}

// A flood while no prompt waits, or of the only customer, takes nothing from anybody. To refuse its
// requests would leave engines unused.
func TestSharesNeedScarcityAndTwoCustomers(t *testing.T) {
	for _, test := range []struct {
		name      string
		customers []peridotpath.CustomerID
		waits     bool
		after     time.Duration
		applies   bool
	}{
		{"no prompt waits", []peridotpath.CustomerID{small, large}, false, 0, false},
		{"a prompt waits", []peridotpath.CustomerID{small, large}, true, 0, true},
		{"a prompt waited 0.4 s ago", []peridotpath.CustomerID{small, large}, true, 400 * time.Millisecond, true},
		{"a prompt waited 0.5 s ago", []peridotpath.CustomerID{small, large}, true, 500 * time.Millisecond, false},
		{"the only customer of the routing", []peridotpath.CustomerID{large}, true, 0, false},
		{"a routing without customers", nil, true, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			runVirtual(t, func(is *is.I) {
				instance := newInstance(0, test.customers...)
				is.True(!instance.OverShare(large, time.Now()))
				if test.waits {
					instance.RecordWait(time.Now())
				}
				time.Sleep(test.after)
				instance.flood(large)
				is.Equal(instance.OverShare(large, time.Now()), test.applies)
				is.True(!instance.OverShare(small, time.Now()))
				is.True(!instance.OverShare("", time.Now()))
			})
		})
	}
}

// The others use what an idle customer leaves. When it returns, its requests must not yield, and
// those of the flood must at once: the idle customer would otherwise wait behind what the flood was
// allowed while it was alone.
func TestIdleCustomerReturns(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instance := newInstance(0, small, large)
		for range 40 {
			instance.arrive(large, 50)
			instance.use(large, 400*time.Millisecond)
			instance.RecordWait(time.Now())
			is.True(!instance.OverShare(large, time.Now())) // nobody else wants the engines
			is.Equal(instance.window(large, noLimit), noLimit)
			time.Sleep(50 * time.Millisecond)
		}
		instance.arrive(small, 1)
		instance.use(small, shortEngineTime)
		is.True(instance.OverShare(large, time.Now()))
		is.True(!instance.OverShare(small, time.Now()))
		is.Equal(instance.window(small, noLimit), noLimit)

		// Idle again, its usage decays and the flood gets the rest.
		for range 200 {
			instance.arrive(large, 50)
			instance.use(large, 400*time.Millisecond)
			instance.RecordWait(time.Now())
			time.Sleep(50 * time.Millisecond)
		}
		is.True(!instance.OverShare(large, time.Now()))
	})
}

// A flood of short prompts while a service has free slots: nobody waits for a slot, so none is
// refused. Once all are taken, the flood keeps its part of the slots and of the excess, and one
// request at least.
func TestWindowOfFlood(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instance := newInstance(0, small, large)
		instance.flood(large)
		instance.RecordWait(time.Now())
		is.True(instance.OverShare(large, time.Now()))
		// The small customer has one of the seven seconds that are used.
		want := float64(roomForShort()) * 6 / 7
		demand, free := shortDemand(large), allTaken()
		free.Occupied--
		for range int(want) + 1 {
			instance.RecordDispatch(demand, time.Now())
		}
		is.Equal(instance.AdmitShort(demand.Customer, free, time.Now()), time.Duration(0))
		is.True(!instance.LacksSlots(time.Now()))
		checkRetryAfter(is, instance.AdmitShort(demand.Customer, allTaken(), time.Now()))
		is.True(instance.LacksSlots(time.Now()))
		is.Equal(instance.window(small, noLimit), noLimit)

		time.Sleep(500 * time.Millisecond)
		instance.RecordWait(time.Now()) // of a long prompt
		is.True(instance.OverShare(large, time.Now()))
		is.True(!instance.LacksSlots(time.Now()))
		is.Equal(instance.AdmitShort(demand.Customer, free, time.Now()), time.Duration(0))

		another := newInstance(0, small, large)
		another.flood(large)
		another.RecordWait(time.Now())
		is.True(math.Abs(float64(another.window(large, noLimit))-want) <= 1)
	})
}

// Prompts wait although the engines' time is not used up, or more is recorded than the engines have.
// A share of a capacity that does not exist is no bound, and one of too little refuses what engines
// could run.
func TestCapacity(t *testing.T) {
	for _, test := range []struct {
		name string
		// used and queued are the large customer's; the small one has used half a second.
		used, queued time.Duration
		above        bool
	}{
		{"more than the engines have", 12 * time.Second, 0, true},
		{"what they have", 7500 * time.Millisecond, 0, false},
		{"all that is used, and as much waits", 5500 * time.Millisecond, 6 * time.Second, true},
		{"less than 0.6 of them", 3 * time.Second, 1300 * time.Millisecond, false},
		{"less than 0.6 of them, and more waits", 3 * time.Second, 1600 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			runVirtual(t, func(is *is.I) {
				instance := newInstance(0, small, large)
				instance.use(small, 500*time.Millisecond)
				instance.use(large, test.used)
				instance.LoadTracker.Join(placement.QueuedPrompt{PrefillTime: test.queued, Customer: placement.HashCustomer(large)})
				instance.RecordWait(time.Now())
				is.Equal(instance.OverShare(large, time.Now()), test.above)
				is.True(!instance.OverShare(small, time.Now()))
			})
		})
	}
}

// A customer sends two of its largest prompts together, which is no flood although they ask for more
// than its share; four of them are.
func TestTwoLargestRequestsAreNoFlood(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		for _, count := range []int{2, 4} {
			instance := newInstance(0, small, large)
			instance.use(small, time.Second)
			for range count {
				demand := shortDemand(large)
				demand.Prefill = 5 * time.Second
				instance.RecordArrival(demand, time.Now())
				instance.LoadTracker.Join(placement.QueuedPrompt{PrefillTime: demand.Prefill, Customer: demand.Customer})
			}
			instance.RecordWait(time.Now())
			is.Equal(instance.OverShare(large, time.Now()), count > 2)
		}
	})
}

// Reports that are too old to show that all slots are taken: the estimate from the requests of this
// instance must put the shares in force.
func TestEstimatedRequestsTakeSlots(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instance := newInstance(0, small, large)
		instance.flood(large)
		state := fairshare.Slots{Count: slotCount, Room: roomForShort(), Estimated: slotCount - 1}
		instance.AdmitShort(placement.HashCustomer(small), state, time.Now())
		is.True(!instance.LacksSlots(time.Now()))
		state.Estimated = slotCount
		instance.AdmitShort(placement.HashCustomer(small), state, time.Now())
		is.True(instance.LacksSlots(time.Now()))
		is.True(instance.OverShare(large, time.Now()))
	})
}

// Engines that keep up by their time, but have twice as many requests in flight as may wait for a
// slot: the capacity must count as less, or the small customer's requests wait in the engines behind
// those of the large one, which is nominally within its share.
func TestRequestsBeyondTheRoomReduceCapacity(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		for _, occupied := range []int{slotCount, 2 * roomForShort()} {
			instance := newInstance(0, small, large)
			instance.use(large, 5*time.Second)
			instance.use(small, time.Second)
			state := allTaken()
			state.Occupied = occupied
			instance.AdmitShort(placement.HashCustomer(small), state, time.Now())
			is.Equal(instance.OverShare(large, time.Now()), occupied > roomForShort())
			is.True(!instance.OverShare(small, time.Now()))
		}
	})
}

// Operators change the ranks of keys while two customers flood the engines. The parts must follow the
// routing in force, halved with each rank, the most urgent key of a customer counts, and a customer
// without a rank has that of the routes.
func TestSharesFollowTheRouting(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instance := newInstance(0, small, large)
		keys := func(version peridotpath.RoutingVersion, holders ...peridotpath.KeyHolder) {
			routing := customerRouting(version)
			for i, holder := range holders {
				routing.Keys[peridotpath.APIKey(fmt.Sprint(i))] = holder
			}
			instance.Routing.Apply(routing, time.Hour)
			time.Sleep(50 * time.Millisecond)
		}
		ranked := func(customer peridotpath.CustomerID, rank int) peridotpath.KeyHolder {
			return peridotpath.KeyHolder{Customer: customer, Priority: rank, HasPriority: true}
		}
		// above returns which of the two customers is above its share when the first has used the
		// part of what both have used.
		above := func(part float64) (first, second bool) {
			time.Sleep(time.Minute)
			instance.use(small, time.Duration(part*float64(nominalCapacity)))
			instance.use(large, time.Duration((1-part)*float64(nominalCapacity)))
			for range 40 {
				instance.LoadTracker.Join(placement.QueuedPrompt{PrefillTime: time.Second, Customer: placement.HashCustomer(small)})
				instance.LoadTracker.Join(placement.QueuedPrompt{PrefillTime: time.Second, Customer: placement.HashCustomer(large)})
			}
			defer func() {
				for _, prompt := range instance.LoadTracker.LocalQueued() {
					instance.LoadTracker.Dequeue(prompt.Number)
				}
			}()
			instance.RecordWait(time.Now())
			return instance.OverShare(small, time.Now()), instance.OverShare(large, time.Now())
		}
		// hasParts fails the test unless the customers get the parts: both yield where they have
		// had them, and only the other one where a customer has had less than 0.8 of its part.
		hasParts := func(part float64) {
			is.Helper()
			first, second := above(part)
			is.True(first && second)
			first, second = above(0.7 * part)
			is.True(!first && second)
			first, second = above(1 - 0.7*(1-part))
			is.True(first && !second)
		}
		hasParts(0.5)
		keys(2, ranked(small, 1), peridotpath.KeyHolder{Customer: large})
		hasParts(2.0 / 3)
		for version := range peridotpath.RoutingVersion(20) { // the keys are read in an order by chance
			keys(3+version, ranked(small, 3), ranked(small, 1), ranked(large, 3))
			hasParts(0.8)
		}
		keys(30, ranked(small, 0), ranked(large, 9)) // four ranks apart at most
		hasParts(16.0 / 17)
		keys(31, ranked(small, 3), ranked(large, 2))
		hasParts(1.0 / 3)
		keys(32, ranked(small, 9), peridotpath.KeyHolder{Customer: small})

		first, second := above(0.5)
		is.True(!first && !second) // one customer is left
	})
}

// A customer is refused, sends nothing more and returns at the time that it was told, while another
// one floods the engines all along. Its share must have room then, or it returns in vain.
func TestRefusedCustomerReturns(t *testing.T) {
	for _, perStep := range []int{4, 8, 16} { // 80, 160 and 320 a second; its equal part is 80
		t.Run(fmt.Sprint(perStep), func(t *testing.T) {
			runVirtual(t, func(is *is.I) {
				instance := newInstance(0, small, large, other)
				const step = 50 * time.Millisecond
				for range 80 {
					instance.arrive(large, perStep)
					instance.arrive(other, 16)
					instance.use(large, 4*shortEngineTime)
					instance.use(other, 4*shortEngineTime)
					instance.RecordWait(time.Now())
					time.Sleep(step)
				}
				// The flood of the other customer asks for twice the engines: the customer is above
				// its share unless it sends half of what they serve.
				retryAfter := instance.RefuseQueued(large, time.Now())
				is.Equal(retryAfter > 0, perStep > 4)
				for since := time.Duration(0); since < retryAfter; since += step {
					instance.arrive(other, 16)
					instance.use(other, 4*shortEngineTime)
					instance.RecordWait(time.Now())
					time.Sleep(min(step, retryAfter-since))
				}
				instance.arrive(large, 1)
				is.True(!instance.OverShare(large, time.Now()))
				is.Equal(instance.AdmitShort(placement.HashCustomer(large), allTaken(), time.Now()), time.Duration(0))
			})
		})
	}
}

// An instance stands still for 4 s. What its customers used before must count as 0.14 of it, or it
// refuses those whose requests have long ended.
func TestUseDecaysWhileFrozen(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instance := newInstance(0, small, large)
		instance.flood(large)
		instance.RecordWait(time.Now())
		is.True(instance.OverShare(large, time.Now()))
		time.Sleep(4 * time.Second)
		instance.RecordWait(time.Now())
		is.True(!instance.OverShare(large, time.Now()))
		is.True(instance.reported(large).Used <= 14*6*time.Second/100)
	})
}

// More customers than an instance remembers pass by, beside one that floods and one that is far below
// its share. What the instance holds and reports must stay bounded, and the flood must be found.
func TestManyCustomers(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instance := newInstance(0, small, large)
		pass := func(count int) {
			for i := range count {
				if i%1000 == 0 {
					instance.flood(large)
				}
				customer := peridotpath.CustomerID(fmt.Sprint("passer-by ", i))
				instance.arrive(customer, 1)
				charge := instance.RecordDispatch(shortDemand(customer), time.Now())
				instance.RecordEnd(&charge, fairshare.Answer{IsStreamed: true, Events: 8, IsWhole: true}, time.Now())
			}
			time.Sleep(50 * time.Millisecond)
			instance.RecordWait(time.Now())
			instance.AboveShareCount(time.Now())
		}
		pass(2_000)
		before := heapInUse()
		pass(6_000)
		is.True(int64(heapInUse())-int64(before) < 60_000) // ten bytes for each are less than a record
		is.True(instance.OverShare(large, time.Now()))
		is.True(!instance.OverShare(small, time.Now()))
		is.True(len(instance.LoadTracker.LocalUsages()) <= 64)
		is.True(instance.reported(large).Used > 0) // those with the most engine time are reported
		is.True(instance.reported(small).Used > 0)
		runtime.KeepAlive(instance)
	})
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Requests of all kinds, digests of peers, new routings and the gauge use the shares at the same
// time. Beside races, a request that is counted and not taken back would narrow its customer's window
// for good.
func TestConcurrentUse(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instances := newInstances(2, small, large)
		instance := instances[0]
		var all sync.WaitGroup
		work := func(step func(i int)) {
			all.Go(func() {
				for i := range 300 {
					step(i)
					time.Sleep(time.Millisecond)
				}
			})
		}
		for _, customer := range []peridotpath.CustomerID{small, large, large, large} {
			work(func(i int) {
				demand := shortDemand(customer)
				instance.RecordArrival(demand, time.Now())
				if instance.AdmitShort(demand.Customer, allTaken(), time.Now()) == 0 {
					charge := instance.RecordDispatch(demand, time.Now())
					time.Sleep(10 * time.Millisecond)
					instance.RecordEnd(&charge, fairshare.Answer{IsStreamed: true, Events: 8, IsWhole: i%2 == 0}, time.Now())
				}
				instance.RecordServed("long", 150_000, i%2 == 0, time.Now())
				instance.Order(longRequest(customer, 150_000), time.Now())
				instance.RefuseQueued(customer, time.Now())
			})
		}
		work(func(int) { exchange(instances) })
		work(func(int) {
			instance.RecordWait(time.Now())
			instance.LacksSlots(time.Now())
			instance.AboveShareCount(time.Now())
			instance.OverShare(large, time.Now())
		})
		work(func(i int) {
			instance.Routing.Apply(customerRouting(peridotpath.RoutingVersion(2+i), small, large), time.Hour)
		})
		all.Wait()

		time.Sleep(time.Minute) // the peer has been silent for long enough not to count
		instance.flood(large)
		window := instance.window(large, noLimit)
		is.True(math.Abs(float64(window)-float64(roomForShort())*6/7) <= 1) // as without earlier requests
	})
}

// Callers refused together must not return together: as one wave, they find the share without room
// again.
func TestReturnsAreSpread(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instance := newInstance(0, small, large)
		instance.flood(large)
		instance.RecordWait(time.Now())
		demand := shortDemand(large)
		for range 2 * roomForShort() {
			instance.RecordDispatch(demand, time.Now())
		}
		for _, refuse := range []func() time.Duration{
			func() time.Duration { return instance.RefuseQueued(large, time.Now()) },
			func() time.Duration { return instance.AdmitShort(demand.Customer, allTaken(), time.Now()) },
		} {
			earliest, latest := time.Hour, time.Duration(0)
			for range 200 {
				retryAfter := refuse()
				checkRetryAfter(is, retryAfter)
				earliest, latest = min(earliest, retryAfter), max(latest, retryAfter)
			}
			is.True(latest > earliest+earliest/4) // spread over half as much; 200 within the first half are no chance
			is.True(latest <= earliest+earliest/2+earliest/100)
			is.True(earliest >= fairness.TimeConstant) // it asks for more than e times its share
		}
	})
}

// Instances with old reports that go by them all send to the same engine. By its own requests, an
// instance must take one of the engines with the fewest, each with the same chance, and none that is
// ejected.
func TestLeastUsed(t *testing.T) {
	is := is.New(t)
	candidates := make([]placement.Candidate, 4)
	for i := range candidates {
		endpoint := &peridotpath.Endpoint{ID: peridotpath.EndpointID(fmt.Sprint(i))}
		candidates[i] = placement.Candidate{Endpoint: endpoint, Key: endpoint.Key()}
	}
	candidates[3].IsEjected = true
	at := func(numbers ...int) []placement.InFlight {
		var requests []placement.InFlight
		for _, number := range numbers {
			requests = append(requests, placement.InFlight{Parts: []placement.PrefillPart{{Endpoint: candidates[number].Key}}})
		}
		return requests
	}
	drawn := func(candidates []placement.Candidate, local []placement.InFlight) map[string]int {
		counts := map[string]int{}
		for range 600 {
			least := fairshare.LeastUsed(candidates, local)
			is.Equal(len(least), 1)
			counts[string(least[0].Endpoint.ID)]++
		}
		return counts
	}
	is.Equal(drawn(candidates, at(0, 0, 1, 1, 1, 2)), map[string]int{"2": 600})
	is.Equal(drawn(candidates, at(0, 0, 1, 2, 2)), map[string]int{"1": 600})
	even := drawn(candidates, at(0, 2))
	is.Equal(even, map[string]int{"1": 600})
	even = drawn(candidates, nil)
	is.Equal(len(even), 3)
	for _, count := range even {
		is.True(count > 120) // 200 are expected; less than 120 is seven standard deviations
	}
	is.Equal(len(fairshare.LeastUsed(candidates[3:], nil)), 1) // all are ejected: the choice is left as it is
	is.Equal(len(fairshare.LeastUsed(nil, nil)), 0)
}
