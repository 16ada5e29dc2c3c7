package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/fleet"
)

// maxLoadAge returns the age of the oldest load that any of the nodes has.
func (network *network) maxLoadAge(nodes []*node) time.Duration {
	var oldest time.Duration
	for _, node := range nodes {
		for _, engine := range network.engines {
			oldest = max(oldest, time.Since(node.load(engine.ID).AsOf))
		}
	}
	return oldest
}

// Two data centres are partitioned for two minutes. The instances of both still reach all
// endpoints, but receive no digests from the owners on the other side. They must poll the
// endpoints of these owners, or placement would use loads that are two minutes old.
func TestPartitionBetweenDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 8, 20)
		defer network.start(t)()
		time.Sleep(10 * time.Second)
		setSplit := func(partitioned bool) {
			for _, a := range network.nodes[:4] {
				for _, b := range network.nodes[4:] {
					network.setPartitioned(string(a.ID), string(b.ID), partitioned)
				}
			}
		}
		setSplit(true)
		var maxAge time.Duration
		for range 120 {
			time.Sleep(time.Second)
			maxAge = max(maxAge, network.maxLoadAge(network.nodes))
		}
		is.True(maxAge < fleet.DefaultStaleAfter+4*time.Second)
		for _, engine := range network.engines {
			engine.resetReads()
		}
		setSplit(false)
		healedAt := time.Now()
		for network.maxLoadAge(network.nodes) > 2*time.Second {
			time.Sleep(100 * time.Millisecond)
		}
		recoveryTime := time.Since(healedAt)
		t.Logf("oldest load during the partition %v; loads from owners again after %v", maxAge, recoveryTime)
		is.True(recoveryTime < 15*time.Second)
		time.Sleep(15*time.Second - recoveryTime)
		for _, engine := range network.engines {
			engine.resetReads()
		}
		time.Sleep(10 * time.Second)
		for _, engine := range network.engines {
			is.Equal(engine.readerCount(), 1) // fallback polls have ended
		}
	})
}

// An instance flaps, and no load may stay stale: the membership list adds and removes the
// instance every three seconds, and the instances read the list at different times.
// Ownership of its endpoints moves each time; if the new owner's entries or the old owner's
// withdrawal were lost, some instance would keep an old load.
func TestFlappingMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 8, 20)
		defer network.start(t)()
		time.Sleep(10 * time.Second)
		var maxAge time.Duration
		for round := range 20 {
			listed := network.nodes
			if round%2 == 0 {
				listed = network.nodes[:7]
			}
			for _, node := range network.nodes {
				node.setMembers(listed, network.endpoints())
				time.Sleep(3 * time.Second / 8)
				maxAge = max(maxAge, network.maxLoadAge(network.nodes))
			}
		}
		t.Logf("oldest load %v", maxAge)
		is.True(maxAge < fleet.DefaultStaleAfter)
	})
}

// An instance is killed, while the membership list still contains it for 30 seconds. The loads
// of its endpoints must not become stale.
func TestDeadInstanceStillListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 8, 20)
		defer network.start(t)()
		time.Sleep(10 * time.Second)
		dead := network.nodes[3]
		network.setIsolated(dead, true)
		for _, engine := range network.engines {
			network.setPartitioned(string(dead.ID), string(engine.ID), true)
		}
		alive := append(network.nodes[:3:3], network.nodes[4:]...)
		var maxAge time.Duration
		for range 30 {
			time.Sleep(time.Second)
			maxAge = max(maxAge, network.maxLoadAge(alive))
		}
		for _, node := range alive {
			node.setMembers(alive, network.endpoints())
		}
		time.Sleep(3 * time.Second)
		t.Logf("oldest load while the dead instance is listed %v, afterwards %v", maxAge, network.maxLoadAge(alive))
		is.True(maxAge < fleet.DefaultStaleAfter+4*time.Second)
		is.True(network.maxLoadAge(alive) < 2*time.Second)
	})
}
