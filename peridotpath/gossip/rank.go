package gossip

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpath.example/peridotpath/cell"
	"peridotpath.example/peridotpath/readings"
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

// PollRank returns the rank of this instance among those that poll the store for a subject: Rank,
// and one more in all cells but the one that reads the subject first.
func (gossip *Gossip) PollRank(subject uint64) int {
	rank := gossip.Rank(subject)
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	if gossipCell := gossip.cells.gossipCell; gossipCell.IndexOf(gossip.Address) != readingCell(subject, gossipCell) {
		rank++
	}
	return rank
}

// ReadingPeer returns an instance of the cell that reads a subject first, at random, and from this
// data centre if there is one; false in that cell itself, or if no instance of it is known.
//
// It matters in a fleet of many cells: they hear nothing of each other's snapshots, so that each
// would poll the store as often as a fleet of one cell does.
func (gossip *Gossip) ReadingPeer(subject uint64) (readings.Peer, bool) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossipCell := gossip.cells.gossipCell
	index := readingCell(subject, gossipCell)
	if gossipCell.IndexOf(gossip.Address) == index {
		return readings.Peer{}, false
	}
	var near, far []netip.AddrPort
	for address, peer := range gossip.peers {
		switch {
		case !peer.registered || peer.snapshotPort == 0 || gossipCell.IndexOf(address) != index:
		case peer.dataCentre == gossip.DataCentre:
			near = append(near, netip.AddrPortFrom(address.Addr(), peer.snapshotPort))
		default:
			far = append(far, netip.AddrPortFrom(address.Addr(), peer.snapshotPort))
		}
	}
	if len(near) > 0 {
		return readings.Peer{Address: near[rand.IntN(len(near))], InSameDataCentre: true}, true
	}
	if len(far) > 0 {
		return readings.Peer{Address: far[rand.IntN(len(far))]}, true
	}
	return readings.Peer{}, false
}

// readingCell returns the index of the cell that reads a subject first.
func readingCell(subject uint64, of cell.Cell) int {
	return int(xxhash.Sum64(binary.BigEndian.AppendUint64(nil, subject)) % uint64(of.Count()))
}

// rendezvousHash returns the hash by which instances are ranked for a subject.
func rendezvousHash(subject uint64, address netip.AddrPort) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(address.String()), subject))
}
