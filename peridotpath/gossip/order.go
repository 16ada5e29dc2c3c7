package gossip

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Before returns how many instances of the own data centre and cell come before
// this one in an order that all of them agree on, another one for each matter.
// Those that have been silent lately do not count.
func (gossip *Gossip) Before(matter uint64) int {
	now := time.Now()
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	own, place, before := gossip.cells.told, placeIn(matter, gossip.Address), 0
	for address, peer := range gossip.peers {
		if peer.dataCentre == gossip.DataCentre && own.HasInstance(address) && now.Sub(peer.heard) < silentAfter && placeIn(matter, address) < place {
			before++
		}
	}
	return before
}

// placeIn orders instances for a matter.
func placeIn(matter uint64, address netip.AddrPort) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(address.String()), matter))
}
