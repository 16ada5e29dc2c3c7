package gossip

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
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

// Each cell must ask the one cell that reads a subject first, in its own data centre where that has
// an instance there, and that cell must ask nobody, or no cell reads the store in time.
func TestOneCellReadsFirst(t *testing.T) {
	is := is.New(t)
	const instances = 400 // four cells
	var peers []Peer
	for number := range instances {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 9)
		peers = append(peers, Peer{Address: address, SnapshotPort: 10, DataCentre: []peridotpath.DataCentre{"a", "b"}[number%2]})
	}
	for subject := range uint64(5) {
		readers := map[int]bool{}
		asked := map[int]bool{}
		for _, self := range peers[:40] {
			gossip := &Gossip{Address: self.Address, DataCentre: self.DataCentre, Log: zerolog.Nop()}
			gossip.SetPeers(peers)
			own := gossip.Cell().IndexOf(self.Address)
			peer, found := gossip.ReadingPeer(subject)
			if !found {
				readers[own] = true
				is.Equal(gossip.PollRank(subject), gossip.Rank(subject))
				continue
			}
			is.Equal(gossip.PollRank(subject), gossip.Rank(subject)+1)
			is.True(peer.InSameDataCentre)
			is.Equal(peer.Address.Port(), uint16(10))
			asked[gossip.Cell().IndexOf(netip.AddrPortFrom(peer.Address.Addr(), 9))] = true
		}
		is.Equal(len(readers), 1)
		is.Equal(readers, asked)
	}
}
