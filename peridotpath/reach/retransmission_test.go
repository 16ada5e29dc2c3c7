package reach_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/internal/virtual"
)

// The network drops all packets of the endpoints for a while, to all instances alike. A dial whose
// first packet was dropped opens when that is sent again, a second after it, while one that begins
// after the end of the drop opens at once. Peers are asked later than the own link is tried; that
// they reach an endpoint first is no loss of links.
func TestRetransmittedDialIsNoLossOfLinks(t *testing.T) {
	const retransmitAfter = time.Second
	for dropped := 400 * time.Millisecond; dropped <= 2300*time.Millisecond; dropped += 20 * time.Millisecond {
		t.Run(fmt.Sprint(dropped), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := newSilentNetwork(pathOpen, pathOpen, pathOpen)
				until := time.Now().Add(dropped)
				awaitSent := func(ctx context.Context) error {
					for time.Now().Before(until) {
						select {
						case <-ctx.Done():
							return ctx.Err()
						case <-time.After(retransmitAfter):
						}
					}
					return nil
				}
				direct, throughPeer := network.dialer.Direct, network.dialer.ThroughPeer
				network.dialer.Direct = func(ctx context.Context, protocol, address string) (net.Conn, error) {
					if err := awaitSent(ctx); err != nil {
						return nil, err
					}
					return direct(ctx, protocol, address)
				}
				network.dialer.ThroughPeer = func(ctx context.Context, peer, address netip.AddrPort) (net.Conn, error) {
					if err := awaitSent(ctx); err != nil {
						return nil, err
					}
					return throughPeer(ctx, peer, address)
				}
				defer network.start(t)()
				for i := range 70 {
					// Most requests use open connections, so that new dials are rare.
					if i%8 == 0 {
						network.request(t.Context())
					}
					time.Sleep(50 * time.Millisecond)
					if network.dialer.Tracker.IsCutOff() {
						t.Fatalf("cut off after %v, %v after the end of the drop", dropped, time.Since(until))
					}
				}
				is.Equal(network.changes.Load(), int64(0))
			})
		})
	}
}
