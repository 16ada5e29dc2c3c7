package gossip

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Most traffic between the data centres of an idle fleet is heartbeats that report no
// change. Other data centres receive them half as often, which still keeps their state from
// expiring; peers in the same data centre receive every one.
func TestRemoteHeartbeatsAreLessFrequent(t *testing.T) {
	is := is.New(t)
	gossip := &Gossip{Address: netip.MustParseAddrPort("10.0.0.1:1"), DataCentre: "a"}
	near, remote := netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.1.0.1:1")
	gossip.SetPeers([]Peer{{Address: near, DataCentre: "a"}, {Address: remote, DataCentre: "b"}})
	sent := map[netip.AddrPort]int{}
	now := time.Now()
	for range 16 {
		now = now.Add(heartbeatInterval)
		for _, target := range gossip.selectTargets(now, gossip.remoteHeartbeatDue(now)) {
			sent[target.address]++
		}
	}
	is.Equal(sent[near], 16)
	is.Equal(sent[remote], 8)
	sent = map[netip.AddrPort]int{}
	for _, target := range gossip.selectTargets(now, true) { // after a change
		sent[target.address]++
	}
	is.Equal(sent[remote], 1)
}
