package gossip

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Nothing is asked of the fleet, and most bytes between its data centres said so: four
// times a second from each instance into each of them. Half as often keeps what is
// known there from lapsing; those nearby hear it as often as before.
func TestFarIsToldLessWhileNothingChanges(t *testing.T) {
	is := is.New(t)
	gossip := &Gossip{Address: netip.MustParseAddrPort("10.0.0.1:1"), DataCentre: "a"}
	near, far := netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.1.0.1:1")
	gossip.SetPeers([]Peer{{Address: near, DataCentre: "a"}, {Address: far, DataCentre: "b"}})
	told := map[netip.AddrPort]int{}
	now := time.Now()
	for range 16 {
		now = now.Add(heartbeat)
		for _, target := range gossip.targets(now, gossip.farDue(now)) {
			told[target.address]++
		}
	}
	is.Equal(told[near], 16)
	is.Equal(told[far], 8)
	told = map[netip.AddrPort]int{}
	for _, target := range gossip.targets(now, true) { // something changed
		told[target.address]++
	}
	is.Equal(told[far], 1)
}
