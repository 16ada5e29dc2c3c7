package fairshare_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/placement"
)

// floodPart records the part of a flood that arrives at the instance, and the same part of what the
// small customer uses: one of the seven seconds that both use. What waits of the flood is in the
// prefill queue, where it does not decay.
func (instance *instance) floodPart(part float64) {
	instance.use(large, time.Duration(part*6*float64(time.Second)))
	instance.use(small, time.Duration(part*float64(time.Second)))
	if part > 0 {
		instance.LoadTracker.Join(placement.QueuedPrompt{Customer: placement.HashCustomer(large), PrefillTime: time.Duration(part * 300 * float64(time.Second))})
	}
}

// findTaken puts the shares in force, as a short prompt that finds all slots taken.
func (instance *instance) findTaken() {
	instance.AdmitShort(placement.HashCustomer(small), allTaken(), time.Now())
}

// settle lets instances that find all slots taken exchange their usages.
func settle(instances []*instance) {
	for range 2 {
		for _, instance := range instances {
			instance.findTaken()
		}
		exchange(instances)
		time.Sleep(50 * time.Millisecond)
	}
	for _, instance := range instances {
		instance.findTaken()
	}
}

// floodRoom is the part of the slots and of the excess that is the flood's.
func floodRoom() float64 { return float64(roomForShort()) * 6 / 7 }

// A flood arrives unevenly at several instances. Together they must have its part of the slots in
// flight: with a whole part each, the others wait behind it in the engines, and with equal parts,
// engines are idle while the instance with most of the flood refuses.
func TestInstancesDivideTheWindow(t *testing.T) {
	for _, parts := range [][]float64{{1}, {0.5, 0.5}, {0.5, 0.3, 0.1, 0.05, 0.05}, {0.9, 0.1, 0, 0, 0, 0}} {
		runVirtual(t, func(is *is.I) {
			instances := newInstances(len(parts), small, large)
			for i, instance := range instances {
				instance.floodPart(parts[i])
			}
			settle(instances)
			total := 0
			for i, instance := range instances {
				is.True(instance.OverShare(large, time.Now())) // also where nothing of it arrives
				is.True(!instance.OverShare(small, time.Now()))
				window := instance.window(large, noLimit)
				is.True(math.Abs(float64(window)-floodRoom()*parts[i]) <= 1) // its part, and one request at least
				total += window
			}
			is.True(float64(total) <= floodRoom()+float64(len(parts)))
		})
	}
}

// An instance starts beside a flood, with an empty ledger. The reports of its peers must tell it the
// shares: by its own ledger, nobody is above its share, and it admits the flood without a bound.
func TestNewInstanceKnowsTheFlood(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instances := newInstances(6, small, large)
		for _, instance := range instances[:5] {
			instance.floodPart(0.2)
		}
		settle(instances[:5])
		exchange(instances)

		started := instances[5]
		is.True(started.OverShare(large, time.Now())) // before a prompt has waited here
		is.True(!started.OverShare(small, time.Now()))
		is.Equal(started.window(large, noLimit), 1) // none of its demand arrives here yet
		is.Equal(started.window(small, noLimit), noLimit)
	})
}

// A flood begins at all instances. Before the first digest with usages, each sees its own part alone:
// it must count the others as having the same, or each admits a whole share. Peers of an earlier
// version never report.
func TestSilentPeersCountAsAlike(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instances := newInstances(6, small, large)
		exchange(instances)
		instances[0].floodPart(1.0 / 6)
		instances[0].findTaken()
		is.True(instances[0].OverShare(large, time.Now()))
		is.True(!instances[0].OverShare(small, time.Now()))
		is.True(math.Abs(float64(instances[0].window(large, noLimit))-floodRoom()/6) <= 1)
	})
}

// A peer stops beside a flood, and the flood moves to the others. After 2 s, its usage must not count,
// or the others admit too little for good.
func TestUsageOfStoppedPeerIsDropped(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instances := newInstances(4, small, large)
		for _, instance := range instances {
			instance.floodPart(0.25)
		}
		settle(instances)
		is.True(math.Abs(float64(instances[0].window(large, noLimit))-floodRoom()/4) <= 1)

		for range 60 {
			settle(instances[:3])
		}
		for _, instance := range instances[:3] {
			instance.floodPart(1.0 / 3)
		}
		settle(instances[:3])
		is.True(math.Abs(float64(instances[0].window(large, noLimit))-floodRoom()/3) <= 1)
	})
}

// lostWindow is the window of a flood at an instance that has lost the digests of all of its five
// peers for a time. Their last ones arrive at even distances within spread.
func lostWindow(spread, lost time.Duration) int {
	instances := newInstances(6, small, large)
	for round := range 4 {
		for _, peer := range instances[1:] {
			if round == 0 {
				peer.floodPart(1.0 / 6)
			}
			peer.findTaken()
			instances[0].LoadTracker.ApplyPeerReport(peer.digest(), time.Now())
			instances[0].findTaken()
			time.Sleep(spread / 5)
		}
		time.Sleep(250*time.Millisecond - spread)
	}
	for since := time.Duration(0); since < lost; since += 20 * time.Millisecond {
		instances[0].findTaken() // short prompts keep coming
		time.Sleep(20 * time.Millisecond)
	}
	instances[0].floodPart(1.0 / 6)
	time.Sleep(50 * time.Millisecond)
	instances[0].findTaken()
	return instances[0].window(large, noLimit)
}

// An instance does not receive the digests of its peers any more, while they go on. For 30 s it must
// count them as having its own usages: it would otherwise admit a whole share by itself. After that,
// they are gone, and it must not leave engines idle.
func TestDigestsLostInOneDirection(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		for _, lost := range []time.Duration{0, 1900 * time.Millisecond, 3 * time.Second, 28 * time.Second} {
			is.True(math.Abs(float64(lostWindow(0, lost))-floodRoom()/6) <= 1)
		}
		is.True(float64(lostWindow(0, 35*time.Second)) >= floodRoom())
	})
}

// Instances exchange usages while a flood is at one of them. One where no prompt waits must report as
// well, what is used there and no waiting time: as long as each reported waiting time because another
// does, none would stop.
func TestReportsBeginAndEndWithTheLoad(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instances := newInstances(3, small, large)
		flooded, used, idle := instances[0], instances[1], instances[2]
		flooded.flood(large)
		used.use(large, time.Second)
		used.arrive(large, 100)
		ask := func() {
			for _, instance := range instances {
				instance.OverShare(small, time.Now())
			}
		}
		ask()
		for _, instance := range instances {
			is.Equal(len(instance.LoadTracker.LocalUsages()), 0) // no prompt waits
		}
		flooded.findTaken()
		is.True(flooded.reported(large).Waiting > 0)
		exchange(instances)
		time.Sleep(50 * time.Millisecond)
		ask()
		is.True(used.reported(large).Used > 0)
		for _, usage := range used.LoadTracker.LocalUsages() {
			is.Equal(usage.Waiting, time.Duration(0))
		}
		is.Equal(idle.LoadTracker.LocalUsages(), []placement.CustomerUsage{{}}) // it is there, with nothing to report

		// No request arrives any more.
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			exchange(instances)
		}
		for _, instance := range instances {
			is.Equal(len(instance.LoadTracker.LocalUsages()), 0)
			is.Equal(instance.AboveShareCount(time.Now()), 0)
		}
	})
}

// The routing is left with one customer while its shares are reported. The reports must end, or the
// peers go on by them.
func TestReportsEndWithTheSecondCustomer(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instance := newInstance(0, small, large)
		instance.floodPart(1)
		instance.findTaken()
		is.True(instance.OverShare(large, time.Now()))
		instance.Routing.Apply(customerRouting(2, large), time.Hour)
		time.Sleep(50 * time.Millisecond)
		is.True(!instance.OverShare(large, time.Now()))
		is.Equal(len(instance.LoadTracker.LocalUsages()), 0)
	})
}

// More customers than a digest holds, with the flood among them: it must be among those that are
// reported, so that an instance that it does not reach knows it.
func TestDigestHoldsTheLargestUsages(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instances := newInstances(2, small, large)
		for i := range 500 {
			instances[0].use(peridotpath.CustomerID(rune('一'+i)), time.Duration(1+i%7)*time.Millisecond)
		}
		instances[0].floodPart(1)
		instances[0].findTaken()
		is.Equal(len(instances[0].LoadTracker.LocalUsages()), 64)
		exchange(instances)
		is.True(instances[1].OverShare(large, time.Now()))
		is.True(!instances[1].OverShare(small, time.Now()))
	})
}

// All requests arrive at one of six instances, as where callers reach the one next to them. An
// instance where no prompt waits must report because a peer does, also if no request arrives there:
// while it does not, it counts as having the same usages, the flood is admitted to a sixth of its part
// of the slots, and the engines are idle.
func TestInstancesWithoutRequestsReport(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instances := newInstances(6, small, large)
		exchange(instances)
		instances[0].floodPart(1)
		for range 20 {
			instances[0].findTaken()
			time.Sleep(100 * time.Millisecond)
			exchange(instances)
		}
		instances[0].findTaken()
		is.Equal(instances[0].LoadTracker.UsageReporters(time.Now()), 5)
		is.True(float64(instances[0].window(large, noLimit)) >= floodRoom())
	})
}

// As TestDigestsLostInOneDirection, with digests at the times of heartbeats: those of five peers within
// 250 ms. The peers expire one after the other while short prompts keep coming, and must count for
// 30 s all the same.
func TestHeartbeatsLostInOneDirection(t *testing.T) {
	for _, spread := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 250 * time.Millisecond} {
		t.Run(spread.String(), func(t *testing.T) {
			runVirtual(t, func(is *is.I) {
				for _, lost := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 28 * time.Second} {
					is.True(math.Abs(float64(lostWindow(spread, lost))-floodRoom()/6) <= 1)
				}
			})
		})
	}
}
