package reach

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"peridotpath.example/peridotpath/tunnel"
)

// way is one of the ways in which a connection may be opened.
type way struct {
	// peer is the peer that carries the connection; zero for a direct one.
	peer netip.AddrPort
	// headStart is how long this way is tried before the next one is tried as well.
	headStart time.Duration
}

func (way way) isDirect() bool { return !way.peer.IsValid() }

// opened is the result of trying one way.
type opened struct {
	way  way
	conn net.Conn
	err  error
}

// hedge tries one way after the other and returns the first connection that opens. The next way
// is tried when one has failed or the last one has had its head start. All that are still being
// tried are then cancelled. It asks for more ways once, when there is no other left: most
// connections open at once, and finding peers takes time.
func hedge(ctx context.Context, ways []way, more func() []way, open func(context.Context, way) (net.Conn, error)) (net.Conn, way, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan opened, len(ways)+maxPeers)
	headStart := time.NewTimer(0)
	defer headStart.Stop()
	var failures []error
	for started, running := 0, 0; started < len(ways) || more != nil || running > 0; {
		select {
		case result := <-results:
			running--
			if result.err == nil {
				go closeLate(results, running)
				return result.conn, result.way, nil
			}
			failures = append(failures, result.err)
			if isRefusedAtPeer(result.err) {
				go closeLate(results, running)
				return nil, way{}, joinFailures(failures)
			}
			headStart.Reset(0)
		case <-headStart.C:
			if started == len(ways) && more != nil {
				ways, more = append(ways, more()...), nil
			}
			if started == len(ways) {
				continue
			}
			next := ways[started]
			started++
			running++
			go func() {
				conn, err := open(ctx, next)
				results <- opened{way: next, conn: conn, err: err}
			}()
			headStart.Reset(next.headStart)
		}
	}
	return nil, way{}, joinFailures(failures)
}

// isRefusedAtPeer reports whether a peer says that nobody listens at the endpoint's address. Other
// ways are then not waited for: a peer that is frozen would delay each request to an endpoint that
// has ended.
func isRefusedAtPeer(err error) bool {
	return tunnel.ErrUnreachable.Has(err) && errors.Is(err, syscall.ECONNREFUSED)
}

// joinFailures joins the errors of all ways. Where a peer says that the endpoint cannot be reached,
// only its errors count: that this instance's own link refuses connections may be the fault of
// the link.
func joinFailures(failures []error) error {
	var ofPeers []error
	for _, failure := range failures {
		if tunnel.ErrUnreachable.Has(failure) {
			ofPeers = append(ofPeers, failure)
		}
	}
	if len(ofPeers) > 0 {
		return errors.Join(ofPeers...)
	}
	return errors.Join(failures...)
}

// closeLate closes connections that opened although they were no longer needed.
func closeLate(results <-chan opened, running int) {
	for range running {
		if result := <-results; result.err == nil {
			result.conn.Close()
		}
	}
}
