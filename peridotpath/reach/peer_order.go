package reach

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"peridotpath.example/peridotpath/tunnel"
)

// silentPeerFor is the time for which a peer that has let its head start pass without an answer is
// asked after the others. A frozen process goes on after some seconds, and a peer that answers
// meanwhile is asked in its turn again.
const silentPeerFor = 2 * time.Second

// peerOrder is the order in which peers are asked to carry connections.
//
// It matters where a peer stands still while this instance is cut off: asked first for each
// connection, it would delay every attempt of every request by its whole head start.
type peerOrder struct {
	mutex sync.Mutex
	// silentSince holds when peers let a head start pass.
	silentSince map[netip.AddrPort]time.Time
}

// watch records that the peer is silent if done is not called within its head start. done records
// whether the peer has answered.
func (order *peerOrder) watch(peer netip.AddrPort) (done func(err error)) {
	timer := time.AfterFunc(nextPeerAfter, func() { order.recordSilence(peer, time.Now()) })
	return func(err error) {
		timer.Stop()
		if err == nil || tunnel.ErrUnreachable.Has(err) {
			order.recordAnswer(peer)
		}
	}
}

func (order *peerOrder) recordSilence(peer netip.AddrPort, now time.Time) {
	order.mutex.Lock()
	defer order.mutex.Unlock()
	if order.silentSince == nil {
		order.silentSince = map[netip.AddrPort]time.Time{}
	}
	// Peers that are no longer there are forgotten with the others.
	for other, since := range order.silentSince {
		if now.Sub(since) >= silentPeerFor {
			delete(order.silentSince, other)
		}
	}
	order.silentSince[peer] = now
}

func (order *peerOrder) recordAnswer(peer netip.AddrPort) {
	order.mutex.Lock()
	defer order.mutex.Unlock()
	delete(order.silentSince, peer)
}

// sort returns the peers with those that are silent last, each part in its former order.
func (order *peerOrder) sort(peers []netip.AddrPort, now time.Time) []netip.AddrPort {
	order.mutex.Lock()
	defer order.mutex.Unlock()
	if len(order.silentSince) == 0 {
		return peers
	}
	isSilent := func(peer netip.AddrPort) int {
		if since, found := order.silentSince[peer]; found && now.Sub(since) < silentPeerFor {
			return 1
		}
		return 0
	}
	sorted := slices.Clone(peers)
	slices.SortStableFunc(sorted, func(a, b netip.AddrPort) int { return isSilent(a) - isSilent(b) })
	return sorted
}
