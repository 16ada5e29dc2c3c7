package reach

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/telemetry"
	"peridotpath.example/peridotpath/tunnel"
)

// ErrCutOff means that this instance reaches no endpoint and no peer carried the connection. It
// says nothing about the endpoint.
var ErrCutOff = errs.Class("cut off from all endpoints")

const (
	// overdueAfter is the time after which a direct connection that is not open yet is also
	// requested from a peer. Connections open within milliseconds, unless a packet is lost.
	overdueAfter = 100 * time.Millisecond
	// nextPeerAfter is the time after which the next peer is asked: the one before may be frozen.
	nextPeerAfter = 200 * time.Millisecond
	// maxPeers bounds the peers that are asked for one connection.
	maxPeers = 3
	// hopelessAfter is how long an instance must be cut off, without a peer that carries, to give
	// connections up at once: endpoints that all refuse connections may be starting. Endpoints that
	// are merely silent are awaited for maxSilence before the instance counts as cut off.
	hopelessAfter = time.Second
	// CarryTimeout bounds opening a connection for a peer, which has others to ask.
	CarryTimeout = 300 * time.Millisecond
)

// Dialer opens connections to endpoints. Set the exported fields before use.
type Dialer struct {
	Tracker *Tracker
	// Direct opens a connection over this instance's own link.
	Direct outbound.Dial
	// ThroughPeer opens a connection that a peer carries.
	ThroughPeer func(ctx context.Context, peer, address netip.AddrPort) (net.Conn, error)
	// Peers returns the peers that reach the endpoints, in the order in which they are asked to
	// carry a connection to the address.
	Peers func(address netip.AddrPort) []netip.AddrPort
	// Sample returns up to count endpoints in use, if possible at other addresses.
	Sample func(count int, except netip.AddrPort) []*peridotpath.Endpoint
	// Probe asks an endpoint whether it is there.
	Probe func(ctx context.Context, endpoint *peridotpath.Endpoint) error

	peerOrder  peerOrder
	suspicions chan netip.AddrPort
	lingering  lingeringConns
}

// Init prepares the dialer for use.
func (dialer *Dialer) Init() { dialer.suspicions = make(chan netip.AddrPort, 1) }

// Dial opens a connection to an endpoint, directly or through a peer. It is an outbound.Dial.
func (dialer *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	preferred := dialer.Tracker.PrefersPeers(target, time.Now())
	first, more := dialer.ways(target, preferred)
	conn, used, err := hedge(ctx, first, more, func(ctx context.Context, way way) (net.Conn, error) {
		if way.isDirect() {
			return dialer.dialDirect(ctx, network, target)
		}
		done := dialer.peerOrder.watch(way.peer)
		conn, err := dialer.ThroughPeer(ctx, way.peer, target)
		done(err)
		return conn, err
	})
	switch {
	case err != nil && dialer.Tracker.IsCutOff() && !tunnel.ErrUnreachable.Has(err):
		// A refusal by the own link must not look like one by the endpoint.
		return nil, ErrCutOff.New("%v", err)
	case err != nil:
		return nil, err
	case conn == nil:
		return nil, ErrCutOff.New("no peer reaches %s", address)
	case used.isDirect():
		return conn, nil
	}
	outbound.RecordPeer(ctx, used.peer)
	telemetry.CountDialThroughPeer()
	if !preferred {
		dialer.Tracker.HoldForPeers(target, time.Now())
	}
	if !dialer.Tracker.IsCutOff() {
		return conn, nil
	}
	// An answer shows that the peer reaches what this instance does not.
	return &observedConn{Conn: conn, onReceived: func() { dialer.Tracker.RecordCarriedAnswer(time.Now()) }}, nil
}

// DialForPeer opens a direct connection to an endpoint on behalf of a peer.
func (dialer *Dialer) DialForPeer(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, CarryTimeout)
	defer cancel()
	return dialer.dialDirect(ctx, "tcp", address)
}

// CanReach reports whether a connection to some endpoint may be opened: directly, or through a
// peer.
func (dialer *Dialer) CanReach() bool {
	return !dialer.isHopeless() || len(dialer.Peers(netip.AddrPort{})) > 0
}

// isHopeless reports whether trying the own link can only use up the request's time.
func (dialer *Dialer) isHopeless() bool {
	return dialer.Tracker.CutOffFor(time.Now()) >= hopelessAfter
}

// ways returns the ways to try first, and a function that returns those to try after them. An
// instance that is cut off tries its own link only while no peer is known to reach the endpoints,
// and not for long.
func (dialer *Dialer) ways(target netip.AddrPort, prefersPeers bool) (first []way, more func() []way) {
	throughPeers := func() []way { return dialer.waysThroughPeers(target) }
	direct := []way{{headStart: overdueAfter}}
	switch {
	case !prefersPeers:
		return direct, throughPeers
	case dialer.Tracker.IsCutOff():
		ways := throughPeers()
		switch {
		case dialer.isHopeless():
			return ways, nil
		case len(ways) == 0:
			return direct, nil
		case dialer.Tracker.IsReachedByPeers(time.Now()):
			return ways, nil
		}
		// No peer is known to reach the endpoints, so these may be the ones that refuse.
		return ways, func() []way { return direct }
	default:
		return throughPeers(), func() []way { return direct }
	}
}

// waysThroughPeers returns a way through each of the first peers that carry connections.
func (dialer *Dialer) waysThroughPeers(target netip.AddrPort) []way {
	var ways []way
	peers := dialer.peerOrder.sort(dialer.Peers(target), time.Now())
	for _, peer := range peers[:min(len(peers), maxPeers)] {
		ways = append(ways, way{peer: peer, headStart: nextPeerAfter})
	}
	return ways
}

// dialDirect opens a connection over this instance's own link and watches whether the endpoint
// answers.
func (dialer *Dialer) dialDirect(ctx context.Context, network string, target netip.AddrPort) (net.Conn, error) {
	openedAt := time.Now()
	overdue := time.AfterFunc(overdueAfter, func() { dialer.suspectDial(target, openedAt) })
	conn, err := dialer.Direct(ctx, network, target.String())
	overdue.Stop()
	if err != nil {
		if ctx.Err() == nil {
			dialer.suspectDial(target, openedAt)
		}
		return nil, err
	}
	return &watchedConn{Conn: conn, dialer: dialer, target: target, openedAt: openedAt}, nil
}
