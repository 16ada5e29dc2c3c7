package outbound

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"peridotpath.example/peridotpath/telemetry"
)

// Dial opens a connection to an address, which is an IP address with a port.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

type (
	dialKey  struct{}
	routeKey struct{}
)

// WithDial returns a context whose requests open their connections by dial in place of
// DialDirect.
func WithDial(ctx context.Context, dial Dial) context.Context {
	return context.WithValue(ctx, dialKey{}, dial)
}

// Route is the way that the connection of a request takes. It may be used by several goroutines.
type Route struct {
	peer atomic.Pointer[netip.AddrPort]
}

// WithRoute returns a context whose requests record in the route how they are sent.
func WithRoute(ctx context.Context) (context.Context, *Route) {
	route := &Route{}
	return context.WithValue(ctx, routeKey{}, route), route
}

// RecordPeer records that the connection of a request with the context leads through a peer.
func RecordPeer(ctx context.Context, peer netip.AddrPort) {
	if route, ok := ctx.Value(routeKey{}).(*Route); ok {
		route.peer.Store(&peer)
	}
}

// Peer returns the peer that the connection leads through; false if it leads through none.
func (route *Route) Peer() (netip.AddrPort, bool) {
	if peer := route.peer.Load(); peer != nil {
		return *peer, true
	}
	return netip.AddrPort{}, false
}

// DialContext opens a connection in the way that the context asks for.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if dial, ok := ctx.Value(dialKey{}).(Dial); ok {
		return dial(ctx, network, address)
	}
	return DialDirect(ctx, network, address)
}

// source is the local address of connections; nil leaves it to the kernel.
var source atomic.Pointer[net.TCPAddr]

// SetSource makes all connections leave from an address, if it is a loopback address. The
// kernel would use 127.0.0.1 for all of them, so that servers on the same machine could not
// tell its processes apart.
func SetSource(address netip.Addr) {
	if address.IsLoopback() {
		source.Store(net.TCPAddrFromAddrPort(netip.AddrPortFrom(address, 0)))
	}
}

// DialDirect opens a connection to an address and counts how it went.
func DialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	if local := source.Load(); local != nil {
		dialer.LocalAddr = local
	}
	startedAt := time.Now()
	opened, err := dialer.DialContext(ctx, network, address)
	telemetry.RecordDial(dialResult(ctx, err), time.Since(startedAt))
	if err != nil {
		return nil, err
	}
	return newConn(opened), nil
}

// dialResult names the result of a dial.
func dialResult(ctx context.Context, err error) telemetry.DialResult {
	var timeout net.Error
	switch {
	case err == nil:
		return telemetry.DialConnected
	case ctx.Err() != nil:
		return telemetry.DialCancelled
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return telemetry.DialRefused
	case errors.As(err, &timeout) && timeout.Timeout():
		return telemetry.DialTimeout
	}
	return telemetry.DialFailed
}
