package reach_test

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/tunnel"
)

// newNetworkBesideFrozenPeer returns a network whose instance is cut off and whose first peer leaves
// calls unanswered until it goes on; the others answer that nobody listens at the endpoint.
func newNetworkBesideFrozenPeer(goesOnAfter time.Duration) *network {
	made, began := newNetwork(), time.Now()
	made.cut(linkHangs, first, second)
	made.dialer.Tracker.HoldForPeers(first, began)
	made.dialer.ThroughPeer = func(ctx context.Context, peer, _ netip.AddrPort) (net.Conn, error) {
		made.mutex.Lock()
		made.asked = append(made.asked, peer)
		made.mutex.Unlock()
		if peer == peers[0] && time.Since(began) < goesOnAfter {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		time.Sleep(roundTrip)
		return nil, tunnel.ErrUnreachable.Wrap(syscall.ECONNREFUSED)
	}
	return made
}

// A peer is frozen and endpoints refuse one after the other. Only the first connection may wait for the
// frozen peer: a request that meets three such endpoints was held for 0.6 s.
func TestFrozenPeerDelaysOneConnection(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetworkBesideFrozenPeer(time.Hour)
		began := time.Now()
		for range 5 {
			network.dialer.Tracker.HoldForPeers(first, time.Now())
			_, err := network.dialer.Dial(t.Context(), "tcp", first.String())
			is.True(err != nil)
		}
		t.Logf("five connections took %v, peers asked: %v", time.Since(began), network.asked)
		is.True(time.Since(began) < 300*time.Millisecond)
	})
}

// A frozen peer goes on. It must carry connections again, or peers that stood still once each would
// leave nobody in the first place.
func TestFrozenPeerIsAskedAgain(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetworkBesideFrozenPeer(time.Second)
		dial := func() netip.AddrPort {
			network.dialer.Tracker.HoldForPeers(first, time.Now())
			asked := network.askedCount()
			_, err := network.dialer.Dial(t.Context(), "tcp", first.String())
			is.True(err != nil)
			return network.asked[asked]
		}
		is.Equal(dial(), peers[0])
		is.Equal(dial(), peers[1])
		time.Sleep(3 * time.Second)
		is.Equal(dial(), peers[0])
		is.Equal(dial(), peers[0])
	})
}
