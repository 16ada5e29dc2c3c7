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
	conn, err := dialer.DialContext(ctx, network, address)
	telemetry.RecordDial(dialResult(ctx, err), time.Since(startedAt))
	return conn, err
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
