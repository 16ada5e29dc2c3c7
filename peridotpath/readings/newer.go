package readings

import (
	"net/netip"
	"sync/atomic"
)

// Newer holds the peer that told last of a reading newer than the one here, until
// it is asked for it.
type Newer struct {
	peer atomic.Pointer[netip.AddrPort]
}

// Note takes the place of the peer noted before.
func (newer *Newer) Note(peer netip.AddrPort) { newer.peer.Store(&peer) }

// Take returns the peer and forgets it; false where there is none.
func (newer *Newer) Take() (netip.AddrPort, bool) {
	peer := newer.peer.Swap(nil)
	if peer == nil {
		return netip.AddrPort{}, false
	}
	return *peer, true
}
