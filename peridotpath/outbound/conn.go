package outbound

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"peridotpath.example/peridotpath/tcpinfo"
	"peridotpath.example/peridotpath/telemetry"
)

// conn is a TCP connection that this instance has opened. When it is closed before an answer, what
// the other side has not received is dropped with it: the kernel would go on sending it over a
// link that is cut, and the other side would begin a request seconds after it was given up.
type conn struct {
	net.Conn

	tcp *net.TCPConn
	// written counts the bytes that were written, those of a call that has not returned included.
	written atomic.Int64
	// isAnswered reports that something was received since the last write.
	isAnswered atomic.Bool
	// isEnded reports that this side has ended, so that nothing is left to decide.
	isEnded atomic.Bool
	// writing is held by a write until its error is recorded.
	writing sync.Mutex
	// failure is the error with which the kernel has ended the connection, if a call has received it.
	failure atomic.Pointer[error]
}

// newConn returns a conn, or a connection that is not TCP unchanged.
func newConn(opened net.Conn) net.Conn {
	tcp, ok := opened.(*net.TCPConn)
	if !ok {
		return opened
	}
	return &conn{Conn: opened, tcp: tcp}
}

// SyscallConn gives access to the connection's socket.
func (conn *conn) SyscallConn() (syscall.RawConn, error) { return conn.tcp.SyscallConn() }

// Read reads from the connection. It returns io.EOF only if the other side has ended the connection.
func (conn *conn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	if count > 0 {
		conn.isAnswered.Store(true)
	}
	if errors.Is(err, io.EOF) {
		return count, conn.endOfRead()
	}
	conn.recordFailure(err)
	return count, err
}

// endOfRead returns the error of a read that got the end: the kernel reports a reset once, and once a
// write has received it, a read gets the end. The write may not have returned yet.
func (conn *conn) endOfRead() error {
	if tcpinfo.IsClosed(conn.tcp) {
		// The write that has received the error waits for nothing else.
		conn.writing.Lock()
		defer conn.writing.Unlock()
	}
	if failure := conn.failure.Load(); failure != nil {
		return *failure
	}
	return io.EOF
}

// Write writes to the connection.
func (conn *conn) Write(data []byte) (int, error) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	conn.isAnswered.Store(false)
	conn.written.Add(int64(len(data)))
	count, err := conn.Conn.Write(data)
	conn.written.Add(int64(count - len(data)))
	conn.recordFailure(err)
	return count, err
}

// recordFailure keeps the error of a call if the connection broke with it.
func (conn *conn) recordFailure(err error) {
	if isBreak(err) {
		conn.failure.CompareAndSwap(nil, &err)
	}
}

// isBreak reports whether an error is the kernel's report that a connection broke, with what the other
// side has sent perhaps lost. EPIPE is none: the other side had ended the connection before it
// broke, or the break was reported before.
func isBreak(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}

// Close closes the connection.
func (conn *conn) Close() error {
	if !conn.isEnded.Swap(true) && conn.written.Load() > 0 && !conn.isAnswered.Load() {
		arrival := conn.arrival()
		telemetry.CountConnectionGivenUp(arrival.String())
		if arrival.mustDropRest() {
			_ = conn.tcp.SetLinger(0)
		}
	}
	return conn.Conn.Close()
}

// CloseWrite ends this side of the connection. Close then leaves it to the kernel to send this end
// until it arrives.
func (conn *conn) CloseWrite() error {
	conn.isEnded.Store(true)
	return conn.tcp.CloseWrite()
}

// HasArrived reports whether the other side has all that was written, as far as the kernel tells.
func (conn *conn) HasArrived() bool { return conn.arrival() == arrivedAll }

// Reset closes the connection at once, so that the other side learns of it with a single packet.
func (conn *conn) Reset() error {
	conn.isEnded.Store(true)
	_ = conn.tcp.SetLinger(0)
	return conn.Conn.Close()
}

// arrival returns how much of what was written has arrived.
func (conn *conn) arrival() arrival {
	left, isKnown := tcpinfo.Unacknowledged(conn.tcp)
	return arrivalOf(conn.written.Load(), int64(left), isKnown)
}

// arrival is how much of what was written to a connection the other side has, as far as its kernel
// has acknowledged it.
type arrival int

const (
	arrivedUnknown arrival = iota
	arrivedNone
	arrivedPart
	arrivedAll
)

var arrivalNames = [...]string{"unknown", "none", "part", "all"}

// String returns the name of the arrival in metrics.
func (arrival arrival) String() string { return arrivalNames[arrival] }

// arrivalOf returns the arrival of written bytes, some of which are not acknowledged.
func arrivalOf(written, unacknowledged int64, isKnown bool) arrival {
	switch {
	case !isKnown:
		return arrivedUnknown
	case unacknowledged == 0:
		return arrivedAll
	case unacknowledged >= written:
		return arrivedNone
	}
	return arrivedPart
}

// mustDropRest reports whether the connection is reset, which drops what has not arrived. A reset is
// sent once and may be lost: where all has arrived, the end of the connection is sent again until
// it arrives, too, and ends what the other side has begun.
func (arrival arrival) mustDropRest() bool { return arrival == arrivedNone || arrival == arrivedPart }
