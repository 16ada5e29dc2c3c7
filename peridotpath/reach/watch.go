package reach

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// silentAfter is the time after a request was written from which an endpoint that has not
// answered is taken as a sign that the link may be cut, if no other endpoint has answered either.
const silentAfter = 300 * time.Millisecond

// watchedConn is a direct connection to an endpoint, which reports whether the endpoint answers.
type watchedConn struct {
	net.Conn
	dialer   *Dialer
	target   netip.AddrPort
	openedAt time.Time

	mutex sync.Mutex
	// silence runs from the first write to the first answer.
	silence  *time.Timer
	answered bool
	closed   bool
}

// Write writes to the connection.
func (conn *watchedConn) Write(data []byte) (int, error) {
	conn.awaitAnswer()
	return conn.Conn.Write(data)
}

// Read reads from the connection.
func (conn *watchedConn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	switch {
	case count > 0:
		conn.recordAnswer()
	case err != nil && !conn.hasEnded():
		conn.dialer.suspect(conn.target, conn.openedAt)
	}
	return count, err
}

// Close closes the connection.
func (conn *watchedConn) Close() error {
	conn.mutex.Lock()
	conn.closed = true
	conn.stopSilence()
	conn.mutex.Unlock()
	return conn.Conn.Close()
}

// awaitAnswer starts the time in which the endpoint is expected to answer.
func (conn *watchedConn) awaitAnswer() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.silence == nil && !conn.answered && !conn.closed {
		conn.silence = time.AfterFunc(silentAfter, func() { conn.dialer.suspect(conn.target, conn.openedAt) })
	}
}

func (conn *watchedConn) recordAnswer() {
	conn.mutex.Lock()
	isFirst := !conn.answered
	conn.answered = true
	conn.stopSilence()
	conn.mutex.Unlock()
	if isFirst {
		conn.dialer.Tracker.RecordAnswer(conn.target, conn.openedAt, time.Now())
	}
}

// hasEnded reports whether the end of the connection says nothing about the link: the endpoint
// has answered, or this instance has closed it.
func (conn *watchedConn) hasEnded() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.answered || conn.closed
}

// stopSilence stops the timer. The caller holds the mutex.
func (conn *watchedConn) stopSilence() {
	if conn.silence != nil {
		conn.silence.Stop()
	}
}
