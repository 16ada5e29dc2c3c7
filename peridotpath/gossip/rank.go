package gossip

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the rank of this instance for a subject by rendezvous hashing: how many
// instances of its data centre and cell precede it in an order that all of them compute
// alike and that differs from subject to subject. Instances that have been silent for
// peerSilentAfter do not count.
func (gossip *Gossip) Rank(subject uint64) int {
	now := time.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossipCell, ownHash, rank := gossip.cells.gossipCell, rendezvousHash(subject, gossip.Address), 0
	for address, peer := range gossip.peers {
		if peer.dataCentre == gossip.DataCentre && gossipCell.HasInstance(address) && now.Sub(peer.receivedAt) < peerSilentAfter && rendezvousHash(subject, address) < ownHash {
			rank++
		}
	}
	return rank
}

// rendezvousHash returns the hash by which instances are ranked for a subject.
func rendezvousHash(subject uint64, address netip.AddrPort) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(address.String()), subject))
}
