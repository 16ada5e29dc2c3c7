package reach

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/outbound"
)

// sighting is what the probes of one endpoint have met: over this instance's own link, and through
// peers.
type sighting struct {
	endpoint *peridotpath.Endpoint

	mutex     sync.Mutex
	own, peer contact
	// isRefused reports whether the own link or the endpoint refused or reset the connection.
	isRefused bool
}

func newSightings(endpoints []*peridotpath.Endpoint) []*sighting {
	sightings := make([]*sighting, 0, len(endpoints))
	for _, endpoint := range endpoints {
		sightings = append(sightings, &sighting{endpoint: endpoint})
	}
	return sightings
}

func (sighting *sighting) recordOwn(reached contact) {
	sighting.mutex.Lock()
	defer sighting.mutex.Unlock()
	sighting.own = max(sighting.own, reached)
}

func (sighting *sighting) recordPeer(reached contact) {
	sighting.mutex.Lock()
	defer sighting.mutex.Unlock()
	sighting.peer = max(sighting.peer, reached)
}

// recordOwnResult records how the probe over the own link has ended.
func (sighting *sighting) recordOwnResult(err error) {
	sighting.mutex.Lock()
	defer sighting.mutex.Unlock()
	if err == nil {
		sighting.own = contactAnswered
	}
	sighting.isRefused = err != nil && !isTimeout(err)
}

// isTimeout reports whether an operation failed because its time was over.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// isAnswered reports whether the endpoint has answered over the own link.
func (sighting *sighting) isAnswered() bool {
	sighting.mutex.Lock()
	defer sighting.mutex.Unlock()
	return sighting.own == contactAnswered
}

// isSilent reports whether the probe over the own link met nothing at all.
func (sighting *sighting) isSilent() bool {
	sighting.mutex.Lock()
	defer sighting.mutex.Unlock()
	return sighting.own != contactAnswered && !sighting.isRefused
}

// isReachedByPeerOnly reports whether a peer came further with the endpoint than this instance.
func (sighting *sighting) isReachedByPeerOnly() bool {
	sighting.mutex.Lock()
	defer sighting.mutex.Unlock()
	return isReachedByPeerOnly(sighting.own, sighting.peer)
}

// probeDirectly probes the endpoint over this instance's own link until ctx ends.
func (dialer *Dialer) probeDirectly(ctx context.Context, sighting *sighting) {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.dialProbe(ctx, network, address)
		if err != nil {
			return nil, err
		}
		sighting.recordOwn(contactOpened)
		return &observedConn{Conn: conn, onReceived: func() { sighting.recordOwn(contactAnswered) }}, nil
	}
	err := dialer.Probe(outbound.WithDial(ctx, dial), sighting.endpoint)
	if ctx.Err() != nil {
		// The error may say that the connection was closed at the end.
		err = context.Cause(ctx)
	}
	sighting.recordOwnResult(err)
}

// probeThroughPeer probes the endpoint over a connection that a peer carries, until ctx ends.
func (dialer *Dialer) probeThroughPeer(ctx context.Context, peer netip.AddrPort, sighting *sighting) {
	conn, err := dialer.ThroughPeer(ctx, peer, sighting.endpoint.Address)
	if err != nil {
		return
	}
	defer conn.Close()
	sighting.recordPeer(contactOpened)
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	observed := &observedConn{Conn: conn, onReceived: func() { sighting.recordPeer(contactAnswered) }}
	dial := func(context.Context, string, string) (net.Conn, error) { return observed, nil }
	// The result is not needed: any answer shows that the peer reaches the endpoint.
	_ = dialer.Probe(outbound.WithDial(ctx, dial), sighting.endpoint)
}

// observedConn is a connection that reports when something is received.
type observedConn struct {
	net.Conn
	onReceived func()
}

// Read reads from the connection.
func (conn *observedConn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	if count > 0 {
		conn.onReceived()
	}
	return count, err
}
