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

// While only the owner polls an endpoint, every instance must have a load of the endpoint that is
// at most two seconds old.
func TestLoadReachesEveryInstanceThroughItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 8, 20)
		defer network.start(t)()
		time.Sleep(5 * time.Second)
		network.engines[3].updateLoad(func(load *peridotpath.Load) { load.Running, load.PrefillTokens = 7, 123_456 })
		time.Sleep(2 * time.Second)
		for _, engine := range network.engines {
			is.Equal(engine.readerCount(), 1)
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

// An endpoint is leaving, while the membership list shows it as live for 30 seconds more and then
// flaps. Every instance must stop sending requests to the endpoint: an instance that relied on the
// list would cause refusals and retries in that time.
func TestLeavingStatePropagatesToEveryInstance(t *testing.T) {
	for _, size := range []struct{ instances, engines int }{{8, 20}, {33, 150}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) { testLeavingPropagates(t, size.instances, size.engines) })
	}
}

func testLeavingPropagates(t *testing.T, instances, engines int) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, instances, engines)
		defer network.start(t)()
		time.Sleep(10 * time.Second)
		network.engines[3].updateLoad(func(load *peridotpath.Load) { load.Leaving = true })
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
			network.setMembers(network.nodes)
			for _, node := range network.nodes {
				is.Equal(node.state("engine-003"), peridotpath.StateLeaving)
			}
			time.Sleep(time.Second)
		}
		// The return of an endpoint is not urgent and is subject to the byte budget.
		network.engines[3].updateLoad(func(load *peridotpath.Load) { load.Leaving = false })
		time.Sleep(15 * time.Second)
		for _, node := range network.nodes {
			is.Equal(node.state("engine-003"), peridotpath.StateLive)
		}
	})
}

// An owner hangs: it is listed as live, but answers no peer. The other instances must poll its
// endpoints; without fallback polls they would use its last loads until it is unlisted.
func TestFallbackPollsReplaceUnresponsiveOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 8, 20)
		owner, _ := network.nodes[0].owners.Current().EndpointOwner("engine-003")
		defer network.start(t)()
		time.Sleep(5 * time.Second)
		for _, node := range network.nodes {
			if node.ID == owner.ID {
				network.setIsolated(node, true)
			}
		}
		time.Sleep(20 * time.Second)
		for _, node := range network.nodes {
			age := time.Since(node.load("engine-003").AsOf)
			is.True(age < fleet.DefaultStaleAfter+2*time.Second)
		}
		for _, node := range network.nodes {
			network.setIsolated(node, false)
		}
		time.Sleep(2 * 10 * time.Second)
		network.engines[3].updateLoad(func(load *peridotpath.Load) { load.Running = 5 })
		network.engines[3].resetReads()
		time.Sleep(2 * time.Second)
		is.Equal(network.engines[3].readerCount(), 1)
		for _, node := range network.nodes {
			is.Equal(node.load("engine-003").Running, 5)
		}
	})
}

// An owner cannot reach an endpoint that its peers can reach, and their loads of it must not
// become stale. The owner must not confirm the last load, since peers would use it for minutes,
// and the loads of its other endpoints must stay fresh.
func TestFallbackPollsWhenOwnerCannotReachEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 4, 8)
		owner, _ := network.nodes[0].owners.Current().EndpointOwner("engine-003")
		defer network.start(t)()
		time.Sleep(5 * time.Second)
		network.setPartitioned(string(owner.ID), "engine-003", true)
		time.Sleep(time.Second)
		network.engines[3].updateLoad(func(load *peridotpath.Load) { load.Running = 9 })
		time.Sleep(fleet.DefaultStaleAfter + 3*time.Second)
		for _, node := range network.nodes {
			if node.ID != owner.ID {
				is.Equal(node.load("engine-003").Running, 9)
			}
			for _, engine := range network.engines {
				isStale := time.Since(node.load(engine.ID).AsOf) > 3*time.Second
				is.True(!isStale || engine.ID == "engine-003") // another endpoint's load is old
			}
		}
	})
}

// In a data centre of 33 instances and 750 endpoints all loads change every second. The
// exchange interval must grow so that the traffic stays within the budget.
func TestExchangeStaysWithinByteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 33, 750)
		defer network.start(t)()
		const seconds = 60
		for second := range 10 + seconds {
			for i, engine := range network.engines {
				engine.updateLoad(func(load *peridotpath.Load) {
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
		var total, maxBytes int
		var age time.Duration
		for _, node := range network.nodes {
			node.mu.Lock()
			total += node.bytes
			maxBytes = max(maxBytes, node.bytes)
			node.mu.Unlock()
			for _, engine := range network.engines {
				age += time.Since(node.load(engine.ID).AsOf)
			}
		}
		t.Logf("bytes per second: mean %d, max %d, budget %d; mean age of a load %v",
			total/33/seconds, maxBytes/seconds, peer.DefaultBytesPerSecond, age/33/750)
		const burst = 2 * peer.DefaultBytesPerSecond
		is.True(total/33 <= peer.DefaultBytesPerSecond*seconds+burst)
		// Exchanges that peers initiate are charged to the budget but cannot be refused.
		is.True(maxBytes <= (peer.DefaultBytesPerSecond*seconds+burst)*13/10)
	})
}

// During a rolling upgrade the owner of an endpoint runs a version that the others cannot
// read. They must ignore its messages and poll the endpoint themselves.
func TestUnreadableVersionFallsBackToPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 3, 6)
		owner, _ := network.nodes[0].owners.Current().EndpointOwner("engine-003")
		network.unreadableVersion[owner.ID] = true
		defer network.start(t)()
		time.Sleep(10 * time.Second)
		for _, node := range network.nodes {
			is.True(time.Since(node.load("engine-003").AsOf) < fleet.DefaultStaleAfter+time.Second)
		}
		is.True(network.engines[3].readerCount() == 3)
	})
}

// The other instances do not list a new instance yet, since their lists lag by half a minute. The
// new instance must not be without loads in that time. Both sides of each pair must receive the
// other's digest soon, whichever of them is the initiator.
func TestExchangeWithInstanceNotYetListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 8, 20)
		unlisted := network.nodes[7]
		network.setMembers(network.nodes[:7])
		unlisted.setMembers(network.nodes, network.endpoints())
		defer network.start(t)()
		time.Sleep(4 * time.Second)
		for _, demand := range unlisted.exchanger.PeerDemands() {
			is.True(time.Since(demand.ReceivedAt) < 2*time.Second)
		}
		for _, engine := range network.engines {
			is.True(time.Since(unlisted.load(engine.ID).AsOf) < 3*time.Second)
		}
	})
}
