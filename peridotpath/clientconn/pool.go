package clientconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/tcpinfo"
	"peridotpath.example/peridotpath/telemetry"
)

// endLogLinesPerSecond bounds the log lines about connections that a pool ends.
const endLogLinesPerSecond = 1

// Pool holds the connections of one port. Set the exported fields before Listen.
type Pool struct {
	// Port names the port in metrics and logs.
	Port   string
	Limits Limits
	// HeadLimits returns the limits of the next head.
	HeadLimits func() HeadLimits
	Log        zerolog.Logger

	mutex   sync.Mutex
	ledger  ledger
	sampler telemetry.LogSampler
}

// Listen listens on the address; the pool bounds the connections of the listener.
func (pool *Pool) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: pool.setReceiveBuffer}
	inner, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool.ledger.limits = pool.Limits
	pool.ledger.hasUnread = func(member *member) bool { return tcpinfo.HasUnread(member.conn) }
	pool.sampler.PerSecond = endLogLinesPerSecond
	telemetry.SetConnectionGauges(pool.Port, &telemetry.ConnectionGauges{
		Open:       func() float64 { return float64(pool.OpenCount()) },
		HeadMemory: func() float64 { return float64(pool.headMemory()) },
	})
	return &listener{Listener: inner, pool: pool}, nil
}

// setReceiveBuffer sets the receive buffer of a listening socket, which its connections inherit: one
// that is set later does not take back the window that a client has been told. A kernel that refuses
// keeps its own size, with which the port still serves.
func (pool *Pool) setReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	return socket.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, int(pool.Limits.ReceiveBuffer))
	})
}

// OpenCount returns the number of open connections.
func (pool *Pool) OpenCount() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.ledger.count
}

// headMemory returns the memory that is kept for heads.
func (pool *Pool) headMemory() peridotpath.Bytes {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.ledger.memory
}

// ConnState is the hook of http.Server that tells when a connection has no request any more.
func (pool *Pool) ConnState(conn net.Conn, state http.ConnState) {
	client, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		client.awaitHead()
	case http.StateHijacked:
		client.handOver()
	}
}

// listener admits connections to a pool.
type listener struct {
	net.Listener
	pool *Pool
}

// Accept returns the next connection that is admitted.
func (listener *listener) Accept() (net.Conn, error) {
	for {
		inner, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := listener.pool.admit(inner); conn != nil {
			return conn, nil
		}
	}
}

// admit returns the connection if the pool takes it; it ends another one where that makes room. If
// the pool does not take it, its client is told that no request has run.
func (pool *Pool) admit(inner net.Conn) *Conn {
	conn := &Conn{Conn: inner, pool: pool, bodyLeft: bodyUnknown}
	conn.member.conn = conn
	pool.mutex.Lock()
	victims, admitted := pool.ledger.add(&conn.member)
	pool.mutex.Unlock()
	for _, victim := range victims {
		pool.end(victim)
	}
	if !admitted {
		pool.recordEnd(telemetry.ConnectionRefused)
		_ = inner.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		_, _ = inner.Write(unavailableAnswer)
		inner.Close()
		return nil
	}
	conn.startWaiting()
	return conn
}

// end ends the connection of a member that was chosen for it.
func (pool *Pool) end(victim victim) {
	switch victim.was {
	case phaseWaiting:
		pool.recordEnd(telemetry.ConnectionEndedIdle)
		_ = victim.conn.end()
	case phaseHead:
		pool.recordEnd(telemetry.ConnectionEndedInHead)
		victim.conn.write(unavailableAnswer)
		_ = victim.conn.end()
	default:
		pool.recordEnd(telemetry.ConnectionEndedInBody)
		victim.conn.abortBody()
	}
}

// receive records what has arrived of a head; net/http may hold more of it if hasReadAhead is set. It
// reports false if the connection must end.
func (pool *Pool) receive(conn *Conn, bytes, lines int, hasReadAhead, isWhole bool) bool {
	memory := HeadMemory(bytes, lines)
	if hasReadAhead {
		memory += readAheadMemory
	}
	pool.mutex.Lock()
	isListed := conn.member.isListed()
	victims, admitted := pool.ledger.receive(&conn.member, memory, isWhole)
	pool.mutex.Unlock()
	for _, victim := range victims {
		pool.end(victim)
	}
	if isListed && !admitted {
		pool.recordEnd(telemetry.ConnectionNoHeadMemory)
	}
	return admitted
}

// wait records that a connection carries no request.
func (pool *Pool) wait(conn *Conn) { pool.release(conn, phaseWaiting) }

// handOver records that a connection carries another protocol.
func (pool *Pool) handOver(conn *Conn) { pool.release(conn, phaseServing) }

// release moves a connection to a phase and gives back the memory of its head.
func (pool *Pool) release(conn *Conn, to phase) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if conn.member.isListed() {
		pool.ledger.setMemory(&conn.member, 0)
		pool.ledger.move(&conn.member, to)
	}
}

// received records that a request has been received to its end.
func (pool *Pool) received(conn *Conn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if conn.member.phase == phaseBody {
		pool.ledger.move(&conn.member, phaseServing)
	}
}

// closed records that net/http has closed a connection: nothing of it is left.
func (pool *Pool) closed(conn *Conn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.ledger.close(&conn.member)
}

// recordEnd counts the end of a connection, and logs the ends of a second in one line.
func (pool *Pool) recordEnd(reason telemetry.ConnectionEnd) {
	telemetry.CountConnectionEnd(pool.Port, reason)
	leftOut, allowed := pool.sampler.Take(time.Now())
	if !allowed {
		return
	}
	event := pool.Log.Info().Str("port", pool.Port).Stringer("reason", reason).Int("open", pool.OpenCount())
	telemetry.AddLeftOut(event, leftOut).Msg("connection_ended")
}
