package gossip

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/cell"
)

// While the fleet grows from two cells to four, instances that already know gossip to the
// old, larger cell, since others still send to its engines and would otherwise take them
// for idle. While it shrinks again, they use the endpoints of the smaller cell only, until
// they have received the load of the larger one.
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

	joined := startedAt.Add(20 * time.Second)
	is.True(membership.update(four, joined))
	is.Equal(membership.EndpointCell(), four) // its load was received before
	is.Equal(membership.gossipCell, two)      // some instances still use it
	is.True(!membership.update(four, joined.Add(6*time.Second)))
	is.Equal(membership.gossipCell, two)
	membership.update(four, joined.Add(9*time.Second))
	is.Equal(membership.gossipCell, four)

	left := joined.Add(30 * time.Second)
	is.True(membership.update(two, left))
	is.Equal(membership.EndpointCell(), four) // the load of the rest is not received yet
	is.Equal(membership.gossipCell, two)
	membership.update(two, left.Add(9*time.Second))
	is.Equal(membership.EndpointCell(), two)

	// Two changes within seconds: the gossip cell stays the larger, the endpoint cell the
	// smaller one.
	membership.update(four, left.Add(30*time.Second))
	membership.update(two, left.Add(32*time.Second))
	is.Equal(membership.EndpointCell(), four)
	is.Equal(membership.gossipCell, two)
}
