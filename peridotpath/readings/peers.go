package readings

import (
	"net/netip"
	"sync/atomic"
)

// Peer is an instance that serves snapshots.
type Peer struct {
	Address netip.AddrPort
	// InSameDataCentre reports whether the peer is in the same data centre.
	InSameDataCentre bool
}

// NewerPeers holds the peers that last reported a newer snapshot than the local one: one in
// the same data centre and one elsewhere.
type NewerPeers struct {
	near, far atomic.Pointer[netip.AddrPort]
}

// Set stores a peer. The peer replaces the previous one of the same data centre, or the
// previous one elsewhere.
func (newerPeers *NewerPeers) Set(peer Peer) {
	if peer.InSameDataCentre {
		newerPeers.near.Store(&peer.Address)
	} else {
		newerPeers.far.Store(&peer.Address)
	}
}

// Take removes both peers and returns the near one if there is one, else the far one; false
// if there is none.
func (newerPeers *NewerPeers) Take() (Peer, bool) {
	near, far := newerPeers.near.Swap(nil), newerPeers.far.Swap(nil)
	switch {
	case near != nil:
		return Peer{Address: *near, InSameDataCentre: true}, true
	case far != nil:
		return Peer{Address: *far}, true
	}
	return Peer{}, false
}
