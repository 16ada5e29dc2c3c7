package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/fleet"
)

// oldest returns the age of the oldest load that any of the nodes goes by.
func (network *network) oldest(nodes []*node) time.Duration {
	var oldest time.Duration
	for _, node := range nodes {
		for _, engine := range network.engines {
			oldest = max(oldest, time.Since(node.load(engine.ID).AsOf))
		}
	}
	return oldest
}

// Two data centres lose each other for two minutes; both still reach all
// endpoints. Neither hears the owners on the other side, and callers of both
// would be sent by loads of two minutes ago.
func TestSplitBetweenDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 8, 20)
		defer network.run(t)()
		time.Sleep(10 * time.Second)
		split := func(cut bool) {
			for _, a := range network.nodes[:4] {
				for _, b := range network.nodes[4:] {
					network.setCut(string(a.ID), string(b.ID), cut)
				}
			}
		}
		split(true)
		var worst time.Duration
		for range 120 {
			time.Sleep(time.Second)
			worst = max(worst, network.oldest(network.nodes))
		}
		is.True(worst < fleet.DefaultStaleAfter+4*time.Second)
		for _, engine := range network.engines {
			engine.forgetReads()
		}
		split(false)
		healed := time.Now()
		for network.oldest(network.nodes) > 2*time.Second {
			time.Sleep(100 * time.Millisecond)
		}
		took := time.Since(healed)
		t.Logf("oldest load in the split %v; loads from owners again after %v", worst, took)
		is.True(took < 15*time.Second)
		time.Sleep(15*time.Second - took)
		for _, engine := range network.engines {
			engine.forgetReads()
		}
		time.Sleep(10 * time.Second)
		for _, engine := range network.engines {
			is.Equal(engine.readBy(), 1) // nobody reads for others any more
		}
	})
}

// The membership list names an instance and drops it again every three seconds,
// and each instance reads the list at another moment. Ownership of its endpoints
// moves each time; were a new owner's table or the old one's withdrawal lost, some
// instance would go by old loads from then on.
func TestFlappingInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 8, 20)
		defer network.run(t)()
		time.Sleep(10 * time.Second)
		var worst time.Duration
		for round := range 20 {
			listed := network.nodes
			if round%2 == 0 {
				listed = network.nodes[:7]
			}
			for _, node := range network.nodes {
				node.setMembers(listed, network.endpoints())
				time.Sleep(3 * time.Second / 8)
				worst = max(worst, network.oldest(network.nodes))
			}
		}
		t.Logf("oldest load %v", worst)
		is.True(worst < fleet.DefaultStaleAfter)
	})
}

// An instance is killed, and the list goes on naming it for 30 seconds.
func TestListNamesDeadInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork(t, 8, 20)
		defer network.run(t)()
		time.Sleep(10 * time.Second)
		dead := network.nodes[3]
		network.isolate(dead, true)
		for _, engine := range network.engines {
			network.setCut(string(dead.ID), string(engine.ID), true)
		}
		alive := append(network.nodes[:3:3], network.nodes[4:]...)
		var worst time.Duration
		for range 30 {
			time.Sleep(time.Second)
			worst = max(worst, network.oldest(alive))
		}
		for _, node := range alive {
			node.setMembers(alive, network.endpoints())
		}
		time.Sleep(3 * time.Second)
		t.Logf("oldest load while the list lags %v, after it %v", worst, network.oldest(alive))
		is.True(worst < fleet.DefaultStaleAfter+4*time.Second)
		is.True(network.oldest(alive) < 2*time.Second)
	})
}
