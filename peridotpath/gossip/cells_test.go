package gossip

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/cell"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/gossip/wire"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/readings"
)

// While the fleet grows from two cells to four, instances that have read the new number
// still gossip to the old, larger cell: instances that have not read it send requests to
// the engines of that cell, and would place prompts on busy ones. While the fleet shrinks
// again, instances use the endpoints of the smaller cell only, until they have received
// the load of the larger one.
func TestCellChangeOverlaps(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("10.0.0.1:1")
	two, four := cell.Of(address, 150), cell.Of(address, 250)
	is.Equal(two.Count(), 2)
	is.Equal(four.Count(), 4)
	startedAt := time.Now()
	var membership cellMembership
	is.True(membership.update(two, startedAt))
	is.Equal(membership.EndpointCell(), two)
	is.Equal(membership.gossipCell, two) // no overlap at the start

	grownAt := startedAt.Add(20 * time.Second)
	is.True(membership.update(four, grownAt))
	is.Equal(membership.EndpointCell(), four) // its load was received before
	is.Equal(membership.gossipCell, two)      // some instances still use it
	is.True(!membership.update(four, grownAt.Add(6*time.Second)))
	is.Equal(membership.gossipCell, two)
	membership.update(four, grownAt.Add(9*time.Second))
	is.Equal(membership.gossipCell, four)

	shrunkAt := grownAt.Add(30 * time.Second)
	is.True(membership.update(two, shrunkAt))
	is.Equal(membership.EndpointCell(), four) // the load of the rest is not received yet
	is.Equal(membership.gossipCell, two)
	membership.update(two, shrunkAt.Add(9*time.Second))
	is.Equal(membership.EndpointCell(), two)

	// Two changes within seconds: the gossip cell stays the larger, the endpoint cell the
	// smaller one.
	membership.update(four, shrunkAt.Add(30*time.Second))
	membership.update(two, shrunkAt.Add(32*time.Second))
	is.Equal(membership.EndpointCell(), four)
	is.Equal(membership.gossipCell, two)
}

// The list of instances falls far short of a fleet of which hundreds are heard. If only the listed
// ones counted, the fleet would be one cell, in which all send their digests to all.
func TestCellsCountPeersThatAreHeard(t *testing.T) {
	is := is.New(t)
	gossip := &Gossip{Address: netip.MustParseAddrPort("10.0.0.1:1"), DataCentre: "a", Log: zerolog.Nop()}
	gossip.SetPeers([]Peer{{Address: netip.MustParseAddrPort("10.0.0.2:1"), DataCentre: "a"}})
	is.Equal(gossip.cells.latestCount(), 1)
	gossip.Facts, gossip.Loads = &facts.Table{}, &placement.LoadTracker{}
	gossip.OnPeerFreshness = func(readings.Peer, Freshness, time.Duration) {}
	gossip.OnCellCountMismatch = func() {}
	gossip.Clock = func() time.Duration { return time.Hour }
	for number := range 300 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 1)
		gossip.handleDigest(nil, &wire.Digest{Instance: address.String(), Address: address.String(), DataCentre: "b"}, time.Now())
	}
	is.Equal(gossip.cells.latestCount(), 4)
}
