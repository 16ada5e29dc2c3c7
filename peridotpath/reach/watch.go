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
	// writtenAt is when the request was written that has no answer yet; zero if there is none.
	writtenAt time.Time
	// activeAt is when something was last written or received.
	activeAt time.Time
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
		conn.dialer.Tracker.RecordReceived(time.Now())
		conn.recordAnswer()
	case err != nil:
		conn.recordBreak()
	}
	return count, err
}

// Close closes the connection.
func (conn *watchedConn) Close() error {
	conn.mutex.Lock()
	isFirst, now := !conn.closed, time.Now()
	isSilent := !conn.activeAt.IsZero() && now.Sub(conn.activeAt) >= silentAfter
	conn.closed = true
	conn.stopAwaiting()
	conn.mutex.Unlock()
	if isFirst && isSilent && conn.dialer.lingering.add(conn.Conn, conn.target, now) {
		return nil
	}
	return conn.Conn.Close()
}

// awaitAnswer begins the time in which the endpoint is expected to answer.
func (conn *watchedConn) awaitAnswer() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	writtenAt := time.Now()
	conn.activeAt = writtenAt
	if conn.closed || !conn.writtenAt.IsZero() {
		return
	}
	conn.writtenAt = writtenAt
	conn.silence = time.AfterFunc(silentAfter, func() { conn.dialer.suspectSilence(conn.target, writtenAt) })
}

// recordAnswer ends the time in which the endpoint is expected to answer.
func (conn *watchedConn) recordAnswer() {
	conn.mutex.Lock()
	writtenAt, isFirst := conn.writtenAt, !conn.answered
	conn.answered, conn.activeAt = true, time.Now()
	conn.stopAwaiting()
	conn.mutex.Unlock()
	if !writtenAt.IsZero() {
		conn.dialer.Tracker.RecordAnswer(writtenAt)
	}
	if isFirst {
		conn.dialer.Tracker.RecordFirstAnswer(conn.target, conn.openedAt, time.Now())
		conn.dialer.lingering.recordAnswer(conn.target, conn.openedAt)
	}
}

// recordBreak reports a connection that broke before the endpoint has answered.
func (conn *watchedConn) recordBreak() {
	conn.mutex.Lock()
	writtenAt, isOwn, answered := conn.writtenAt, conn.closed, conn.answered
	conn.stopAwaiting()
	conn.mutex.Unlock()
	if writtenAt.IsZero() || isOwn {
		return
	}
	if !answered {
		conn.dialer.Tracker.HoldForPeers(conn.target, time.Now())
	}
	conn.dialer.suspectSilence(conn.target, writtenAt)
}

// stopAwaiting forgets the request that has no answer yet. The caller holds the mutex.
func (conn *watchedConn) stopAwaiting() {
	conn.writtenAt = time.Time{}
	if conn.silence != nil {
		conn.silence.Stop()
	}
}
