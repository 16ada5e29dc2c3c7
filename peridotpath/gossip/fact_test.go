package gossip_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/gossip"
)

// holdsFact reports whether the node holds the fact.
func holdsFact(node *node, fact facts.Fact) bool {
	_, found := node.facts.Get(fact.Kind, fact.Subject, fact.Detail, time.Now())
	return found
}

// A fact reaches the peers of the sender's and of other data centres.
func TestFactsReachPeers(t *testing.T) {
	sender, near, remote := startNode(t, "one", "a", gossip.Freshness{}), startNode(t, "two", "a", gossip.Freshness{}), startNode(t, "three", "b", gossip.Freshness{})
	sender.gossip.SetPeers([]gossip.Peer{{Address: near.gossip.Address, DataCentre: "a"}, {Address: remote.gossip.Address, DataCentre: "b"}})
	fact := facts.Fact{Kind: facts.KindCrashed, Subject: facts.Subject{7}, Detail: 5, ObservedAt: time.Now()}
	sender.facts.Observe(fact)
	eventually(t, "the fact is received", func() bool { return holdsFact(near, fact) && holdsFact(remote, fact) })
}

// Facts must cross cells: otherwise a request that is quarantined in one cell goes on to
// crash endpoints in the others.
func TestFactsReachOtherCells(t *testing.T) {
	is := is.New(t)
	sender := startNode(t, "one", "a", gossip.Freshness{})
	var peers []gossip.Peer
	for i := range 400 {
		unused := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 9)
		peers = append(peers, gossip.Peer{Address: unused, DataCentre: "a"})
	}
	sender.gossip.SetPeers(peers)
	senderCell := sender.gossip.Cell()
	is.True(senderCell.Count() > 1)
	others := make([]*node, senderCell.Count())
	for found := 0; found < len(others)-1; {
		node := startNode(t, "another", "a", gossip.Freshness{})
		index := senderCell.IndexOf(node.gossip.Address)
		if senderCell.HasInstance(node.gossip.Address) || others[index] != nil {
			continue
		}
		others[index] = node
		found++
	}
	// Each of these nodes is the only live instance of its cell.
	peers = peers[:0]
	for i := range 400 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 9)
		if senderCell.HasInstance(address) {
			peers = append(peers, gossip.Peer{Address: address, DataCentre: "a"})
		}
	}
	for i := 0; len(peers) < 400; i++ {
		peers = append(peers, gossip.Peer{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i)}), 9), DataCentre: "a"})
		if !senderCell.HasInstance(peers[len(peers)-1].Address) {
			peers = peers[:len(peers)-1]
		}
	}
	for _, node := range others {
		if node != nil {
			peers = append(peers, gossip.Peer{Address: node.gossip.Address, DataCentre: "a"})
		}
	}
	sender.gossip.SetPeers(peers)
	fact := facts.Fact{Kind: facts.KindQuarantined, Subject: facts.Subject{7}, Value: 60, ObservedAt: time.Now()}
	sender.facts.Observe(fact)
	eventually(t, "the fact is received in every cell", func() bool {
		for _, node := range others {
			if node != nil && !holdsFact(node, fact) {
				return false
			}
		}
		return true
	})
}

// A busy instance sends no heartbeats. It must still repeat facts to a new peer, or the
// peer sends quarantined requests to endpoints, which crash.
func TestBusyInstanceRepeatsFactsToNewPeer(t *testing.T) {
	busy := startNode(t, "one", "a", gossip.Freshness{})
	fact := facts.Fact{Kind: facts.KindQuarantined, Subject: facts.Subject{7}, Value: 60, ObservedAt: time.Now()}
	busy.facts.Receive([]facts.Fact{fact}, false) // received from another peer, not to be sent as new
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for ctx.Err() == nil {
			busy.gossip.RequestDigest()
			time.Sleep(5 * time.Millisecond)
		}
	}()
	time.Sleep(50 * time.Millisecond)
	newPeer := startNode(t, "two", "a", gossip.Freshness{})
	newPeer.gossip.SetPeers([]gossip.Peer{{Address: busy.gossip.Address, DataCentre: "a"}})
	eventually(t, "the fact is received", func() bool {
		for len(newPeer.received) > 0 {
			<-newPeer.received
		}
		return holdsFact(newPeer, fact)
	})
}
