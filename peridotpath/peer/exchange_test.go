package peer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/fleet"
	"peridotpath.example/peridotpath/peer"
)

// Each endpoint is read by its owner only, and all instances hold its load, no
// older than two seconds.
func TestLoadReachesEveryInstanceThroughItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 8, 20)
		defer network.run(t)()
		time.Sleep(5 * time.Second)
		network.engines[3].set(func(load *peridotpath.Load) { load.Running, load.PrefillTokens = 7, 123_456 })
		time.Sleep(2 * time.Second)
		for _, engine := range network.engines {
			is.Equal(engine.readBy(), 1)
		}
		for _, node := range network.nodes {
			load := node.load("engine-003")
			is.Equal(load.Running, 7)
			is.True(load.PrefillTokens > 115_000 && load.PrefillTokens < 132_000)
			for _, engine := range network.engines {
				age := time.Since(node.load(engine.ID).AsOf)
				is.True(age >= 0 && age < 2*time.Second)
			}
		}
	})
}

// An endpoint announces that it leaves, and the membership list goes on calling
// it live for 30 seconds, and then flaps. Callers would see refusals and retries
// for as long, from every instance that goes by the list.
func TestLeavingReachesEveryInstance(t *testing.T) {
	for _, size := range []struct{ instances, engines int }{{8, 20}, {33, 150}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) { testLeaving(t, size.instances, size.engines) })
	}
}

func testLeaving(t *testing.T, instances, engines int) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, instances, engines)
		defer network.run(t)()
		time.Sleep(10 * time.Second)
		network.engines[3].set(func(load *peridotpath.Load) { load.Leaving = true })
		time.Sleep(2 * time.Second)
		for _, node := range network.nodes {
			is.Equal(node.state("engine-003"), peridotpath.StateLeaving)
			is.Equal(node.state("engine-004"), peridotpath.StateLive)
		}
		without := append(network.endpoints()[:3:3], network.endpoints()[4:]...)
		for range 10 {
			for _, node := range network.nodes {
				node.setMembers(network.nodes, without)
			}
			time.Sleep(3 * time.Second)
			network.list(network.nodes)
			for _, node := range network.nodes {
				is.Equal(node.state("engine-003"), peridotpath.StateLeaving)
			}
			time.Sleep(time.Second)
		}
		// Its return is in no hurry and keeps to the budget.
		network.engines[3].set(func(load *peridotpath.Load) { load.Leaving = false })
		time.Sleep(15 * time.Second)
		for _, node := range network.nodes {
			is.Equal(node.state("engine-003"), peridotpath.StateLive)
		}
	})
}

// The owner of some endpoints hangs: it is listed as live and answers nobody.
// The others would route by its last figures for as long as the list names it.
func TestSilentOwnerIsReplacedByOwnReadings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 8, 20)
		owner, _ := network.nodes[0].owners.Current().Endpoint("engine-003")
		defer network.run(t)()
		time.Sleep(5 * time.Second)
		for _, node := range network.nodes {
			if node.ID == owner.ID {
				network.isolate(node, true)
			}
		}
		time.Sleep(20 * time.Second)
		for _, node := range network.nodes {
			age := time.Since(node.load("engine-003").AsOf)
			is.True(age < fleet.DefaultStaleAfter+2*time.Second)
		}
		for _, node := range network.nodes {
			network.isolate(node, false)
		}
		time.Sleep(2 * 10 * time.Second)
		network.engines[3].set(func(load *peridotpath.Load) { load.Running = 5 })
		network.engines[3].forgetReads()
		time.Sleep(2 * time.Second)
		is.Equal(network.engines[3].readBy(), 1)
		for _, node := range network.nodes {
			is.Equal(node.load("engine-003").Running, 5)
		}
	})
}

// An owner loses its way to an endpoint that others still reach. It must neither
// keep the last figures fresh for them, by which they would send work for
// minutes, nor let the loads of its other endpoints grow old with that one.
func TestUnreadEndpointIsReadByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 4, 8)
		owner, _ := network.nodes[0].owners.Current().Endpoint("engine-003")
		defer network.run(t)()
		time.Sleep(5 * time.Second)
		network.setCut(string(owner.ID), "engine-003", true)
		time.Sleep(time.Second)
		network.engines[3].set(func(load *peridotpath.Load) { load.Running = 9 })
		time.Sleep(fleet.DefaultStaleAfter + 3*time.Second)
		for _, node := range network.nodes {
			if node.ID != owner.ID {
				is.Equal(node.load("engine-003").Running, 9)
			}
			for _, engine := range network.engines {
				old := time.Since(node.load(engine.ID).AsOf) > 3*time.Second
				is.True(!old || engine.ID == "engine-003") // another endpoint's load is old
			}
		}
	})
}

// A busy data centre of 33 instances with 750 endpoints, all of whose loads
// change all the time. The interval has to give way, not the budget.
func TestExchangeKeepsItsByteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 33, 750)
		defer network.run(t)()
		const span = 60
		for second := range 10 + span {
			for i, engine := range network.engines {
				engine.set(func(load *peridotpath.Load) {
					load.Running = (second*7 + i) % 97
					load.PrefillTokens = peridotpath.Tokens((second*37 + i*101) % 5000)
				})
			}
			time.Sleep(time.Second)
			if second < 10 {
				for _, node := range network.nodes {
					node.mu.Lock()
					node.bytes = 0
					node.mu.Unlock()
				}
			}
		}
		var total, most int
		var age time.Duration
		for _, node := range network.nodes {
			node.mu.Lock()
			total += node.bytes
			most = max(most, node.bytes)
			node.mu.Unlock()
			for _, engine := range network.engines {
				age += time.Since(node.load(engine.ID).AsOf)
			}
		}
		t.Logf("bytes a second: mean %d, most %d, budget %d; mean age of a load %v",
			total/33/span, most/span, peer.DefaultBudget, age/33/750)
		const burst = 2 * peer.DefaultBudget
		is.True(total/33 <= peer.DefaultBudget*span+burst)
		// What peers begin is charged, but can't be refused.
		is.True(most <= (peer.DefaultBudget*span+burst)*13/10)
	})
}

// During a roll an instance of a version that nobody here can read joins. The
// others must not act on its messages, and their endpoints' loads, read by it
// so far, must come from somewhere.
func TestUnreadableVersionFallsBackToOwnReadings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 3, 6)
		owner, _ := network.nodes[0].owners.Current().Endpoint("engine-003")
		network.future[owner.ID] = true
		defer network.run(t)()
		time.Sleep(10 * time.Second)
		for _, node := range network.nodes {
			is.True(time.Since(node.load("engine-003").AsOf) < fleet.DefaultStaleAfter+time.Second)
		}
		is.True(network.engines[3].readBy() == 3)
	})
}

// A new instance has the list that names it; the others' lists lag by half a
// minute. Whichever of a pair is to begin, the two must soon hold each other's.
func TestInstanceThatOthersDoNotListYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 8, 20)
		fresh := network.nodes[7]
		network.list(network.nodes[:7])
		fresh.setMembers(network.nodes, network.endpoints())
		defer network.run(t)()
		time.Sleep(4 * time.Second)
		for _, remote := range fresh.exchanger.Remotes() {
			is.True(time.Since(remote.ReceivedAt) < 2*time.Second)
		}
		for _, engine := range network.engines {
			is.True(time.Since(fresh.load(engine.ID).AsOf) < 3*time.Second)
		}
	})
}
