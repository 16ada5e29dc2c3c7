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
	// maxFarewells bounds the connections whose end is awaited, and farewellTime how long.
	maxFarewells = 256
	farewellTime = 30 * time.Second
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

// farewells are connections that were closed while their link may carry nothing, and whose endpoints
// have not noticed it. The kernel sends the end of a connection again at intervals that double: after
// a cut of twelve seconds an endpoint may work on for as long for a caller that has left. So they are
// kept, and are reset as soon as the endpoint answers on a newer connection.
type farewells struct {
	mutex sync.Mutex
	conns map[halfCloser]farewell
}

type farewell struct {
	target netip.AddrPort
	since  time.Time
}

// add ends this instance's direction of a connection and keeps it, unless that serves nothing; it
// returns false then.
func (farewells *farewells) add(conn net.Conn, target netip.AddrPort, now time.Time) bool {
	half, ok := conn.(halfCloser)
	if !ok || !half.HasArrived() || tcpinfo.HasPeerClosed(half) {
		return false
	}
	farewells.mutex.Lock()
	defer farewells.mutex.Unlock()
	if len(farewells.conns) >= maxFarewells || half.CloseWrite() != nil {
		return false
	}
	if farewells.conns == nil {
		farewells.conns = map[halfCloser]farewell{}
	}
	farewells.conns[half] = farewell{target: target, since: now}
	return true
}

// recordAnswer resets the connections to an endpoint that has answered on one that was opened later.
func (farewells *farewells) recordAnswer(target netip.AddrPort, openedAt time.Time) {
	farewells.mutex.Lock()
	defer farewells.mutex.Unlock()
	for conn, farewell := range farewells.conns {
		if farewell.target == target && openedAt.After(farewell.since) {
			delete(farewells.conns, conn)
			_ = conn.Reset()
			telemetry.CountEndToldAfterCut()
		}
	}
}

// expire closes the connections whose end has arrived, or that were kept for farewellTime.
func (farewells *farewells) expire(now time.Time) {
	farewells.mutex.Lock()
	defer farewells.mutex.Unlock()
	for conn, farewell := range farewells.conns {
		if !tcpinfo.AwaitsEnd(conn) || now.Sub(farewell.since) >= farewellTime {
			delete(farewells.conns, conn)
			_ = conn.Close()
		}
	}
}
