package readings

import (
	"net/netip"
	"sync/atomic"
)

// Peer is an instance that may be asked for what it has read.
type Peer struct {
	Address netip.AddrPort
	// Near says that it is in the same data centre.
	Near bool
}

// Newer holds the peers that told last of a reading newer than the one here, until
// one of them is asked for it.
type Newer struct {
	near, far atomic.Pointer[netip.AddrPort]
}

// Note takes the place of the peer noted before at about the same distance.
func (newer *Newer) Note(peer Peer) {
	if peer.Near {
		newer.near.Store(&peer.Address)
	} else {
		newer.far.Store(&peer.Address)
	}
}

// Take returns a near peer, or else a far one, and forgets both; false where there
// is none.
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
