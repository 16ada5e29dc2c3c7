package gossip

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"peridotpath.example/peridotpath"
)

// Carriers returns the addresses at which peers that were heard lately carry connections to
// endpoints. Those of this data centre come first, then those of the endpoint's, since bytes
// between data centres are metered; the order among them is random, which spreads the load.
func (gossip *Gossip) Carriers(endpointsDataCentre peridotpath.DataCentre, now time.Time) []netip.AddrPort {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	var near, atEndpoint, far []netip.AddrPort
	for address, peer := range gossip.peers {
		if peer.carryPort == 0 || now.Sub(peer.receivedAt) > peerSilentAfter {
			continue
		}
		carrier := netip.AddrPortFrom(address.Addr(), peer.carryPort)
		switch peer.dataCentre {
		case gossip.DataCentre:
			near = append(near, carrier)
		case endpointsDataCentre:
			atEndpoint = append(atEndpoint, carrier)
		default:
			far = append(far, carrier)
		}
	}
	for _, group := range [][]netip.AddrPort{near, atEndpoint, far} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	return append(append(near, atEndpoint...), far...)
}

// HasCarrier reports whether a peer that was heard lately carries connections to endpoints.
func (gossip *Gossip) HasCarrier(now time.Time) bool {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for _, peer := range gossip.peers {
		if peer.carryPort != 0 && now.Sub(peer.receivedAt) <= peerSilentAfter {
			return true
		}
	}
	return false
}
