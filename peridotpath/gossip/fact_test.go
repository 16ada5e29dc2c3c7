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

// A fact reaches the peers of the own and of other data centres.
func TestFactsReachPeers(t *testing.T) {
	one, near, remote := start(t, "one", "a", gossip.Freshness{}), start(t, "two", "a", gossip.Freshness{}), start(t, "three", "b", gossip.Freshness{})
	one.gossip.SetPeers([]gossip.Peer{{Address: near.gossip.Address, DataCentre: "a"}, {Address: remote.gossip.Address, DataCentre: "b"}})
	fact := facts.Fact{Kind: facts.KindCrashed, Subject: facts.Subject{7}, Detail: 5, ObservedAt: time.Now()}
	one.facts.Observe(fact)
	eventually(t, "the fact is received", func() bool { return holdsFact(near, fact) && holdsFact(remote, fact) })
}

// A fact crosses cells: a request that is quarantined in one cell otherwise goes on to
// crash endpoints in the others.
func TestFactsReachOtherCells(t *testing.T) {
	is := is.New(t)
	one := start(t, "one", "a", gossip.Freshness{})
	var peers []gossip.Peer
	for i := range 400 {
		unused := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 9)
		peers = append(peers, gossip.Peer{Address: unused, DataCentre: "a"})
	}
	one.gossip.SetPeers(peers)
	own := one.gossip.Cell()
	is.True(own.Count() > 1)
	others := make([]*node, own.Count())
	for found := 0; found < len(others)-1; {
		node := start(t, "another", "a", gossip.Freshness{})
		index := own.IndexOf(node.gossip.Address)
		if own.HasInstance(node.gossip.Address) || others[index] != nil {
			continue
		}
		others[index] = node
		found++
	}
	// Each of these nodes is the only live instance of its cell.
	peers = peers[:0]
	for i := range 400 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 9)
		if own.HasInstance(address) {
			peers = append(peers, gossip.Peer{Address: address, DataCentre: "a"})
		}
	}
	for i := 0; len(peers) < 400; i++ {
		peers = append(peers, gossip.Peer{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i)}), 9), DataCentre: "a"})
		if !own.HasInstance(peers[len(peers)-1].Address) {
			peers = peers[:len(peers)-1]
		}
	}
	for _, node := range others {
		if node != nil {
			peers = append(peers, gossip.Peer{Address: node.gossip.Address, DataCentre: "a"})
		}
	}
	one.gossip.SetPeers(peers)
	fact := facts.Fact{Kind: facts.KindQuarantined, Subject: facts.Subject{7}, Value: 60, ObservedAt: time.Now()}
	one.facts.Observe(fact)
	eventually(t, "the fact is received in every cell", func() bool {
		for _, node := range others {
			if node != nil && !holdsFact(node, fact) {
				return false
			}
		}
		return true
	})
}

// A busy instance sends no heartbeats. It must repeat lasting facts to a new peer all the
// same, or the peer does not learn which requests are quarantined.
func TestBusyInstanceSendsLastingFactsToNewPeer(t *testing.T) {
	one := start(t, "one", "a", gossip.Freshness{})
	fact := facts.Fact{Kind: facts.KindQuarantined, Subject: facts.Subject{7}, Value: 60, ObservedAt: time.Now()}
	one.facts.Receive([]facts.Fact{fact}, false) // received from another peer, not to be sent as new
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for ctx.Err() == nil {
			one.gossip.RequestDigest()
			time.Sleep(5 * time.Millisecond)
		}
	}()
	time.Sleep(50 * time.Millisecond)
	two := start(t, "two", "a", gossip.Freshness{})
	two.gossip.SetPeers([]gossip.Peer{{Address: one.gossip.Address, DataCentre: "a"}})
	eventually(t, "the fact is received", func() bool {
		for len(two.received) > 0 {
			<-two.received
		}
		return holdsFact(two, fact)
	})
}
