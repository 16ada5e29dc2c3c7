package readings

import (
	"net/netip"
	"sync/atomic"
)

// Peer is an instance that serves snapshots.
type Peer struct {
	Address netip.AddrPort
	// Near reports whether the peer is in the same data centre.
	Near bool
}

// Newer holds the peers that last reported a newer snapshot than the local one: one in
// the same data centre and one elsewhere.
type Newer struct {
	near, far atomic.Pointer[netip.AddrPort]
}

// Note stores a peer in place of the previous one in the same or in other data centres.
func (newer *Newer) Note(peer Peer) {
	if peer.Near {
		newer.near.Store(&peer.Address)
	} else {
		newer.far.Store(&peer.Address)
	}
}

// Take removes both peers and returns the near one if there is one, else the far one; false
// if there is none.
func (newer *Newer) Take() (Peer, bool) {
	near, far := newer.near.Swap(nil), newer.far.Swap(nil)
	switch {
	case near != nil:
		return Peer{Address: *near, Near: true}, true
	case far != nil:
		return Peer{Address: *far}, true
	}
	return Peer{}, false
}
