package reach

import (
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"peridotpath.example/peridotpath/tcpinfo"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// maxLingering bounds the connections whose end is awaited, and lingerTime how long.
	maxLingering = 256
	lingerTime   = 30 * time.Second
)

// halfCloser is a connection of which one direction can be ended.
type halfCloser interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	// HasArrived reports whether the other side has all that was written.
	HasArrived() bool
	// Reset closes the connection at once.
	Reset() error
}

// lingeringConns are connections that were closed while their link may carry nothing, and whose endpoints
// have not noticed it. The kernel sends the end of a connection again at intervals that double: after
// a cut of twelve seconds an endpoint may work on for as long for a caller that has left. So they are
// kept, and are reset as soon as the endpoint answers on a newer connection.
type lingeringConns struct {
	mutex sync.Mutex
	conns map[halfCloser]lingeringConn
}

type lingeringConn struct {
	target netip.AddrPort
	since  time.Time
}

// add ends this instance's direction of a connection and keeps it, unless that serves nothing; it
// returns false then.
func (lingering *lingeringConns) add(conn net.Conn, target netip.AddrPort, now time.Time) bool {
	half, ok := conn.(halfCloser)
	if !ok || !half.HasArrived() || tcpinfo.HasPeerClosed(half) {
		return false
	}
	lingering.mutex.Lock()
	defer lingering.mutex.Unlock()
	if len(lingering.conns) >= maxLingering || half.CloseWrite() != nil {
		return false
	}
	if lingering.conns == nil {
		lingering.conns = map[halfCloser]lingeringConn{}
	}
	lingering.conns[half] = lingeringConn{target: target, since: now}
	// Whoever reads the connection would wait for the endpoint.
	_ = half.SetReadDeadline(now)
	return true
}

// recordAnswer resets the connections to an endpoint that has answered on one that was opened later.
func (lingering *lingeringConns) recordAnswer(target netip.AddrPort, openedAt time.Time) {
	lingering.mutex.Lock()
	defer lingering.mutex.Unlock()
	for conn, kept := range lingering.conns {
		if kept.target == target && openedAt.After(kept.since) {
			delete(lingering.conns, conn)
			_ = conn.Reset()
			telemetry.CountEndToldAfterCut()
		}
	}
}

// expire closes the connections whose end has arrived, or that were kept for lingerTime.
func (lingering *lingeringConns) expire(now time.Time) {
	lingering.mutex.Lock()
	defer lingering.mutex.Unlock()
	for conn, kept := range lingering.conns {
		if !tcpinfo.AwaitsEnd(conn) || now.Sub(kept.since) >= lingerTime {
			delete(lingering.conns, conn)
			_ = conn.Close()
		}
	}
}
