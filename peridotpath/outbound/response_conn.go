package outbound

import (
	"net"
	"sync"
	"sync/atomic"
)

// responseConn is a connection of a transport, which observes the heads of its responses and reads those that
// come before a write fails.
type responseConn struct {
	net.Conn

	// head observes the response that is awaited.
	head atomic.Pointer[responseHead]
	// ended is closed once nothing more is read.
	ended   chan struct{}
	endOnce sync.Once
}

func newResponseConn(conn net.Conn) *responseConn {
	observed := &responseConn{Conn: conn, ended: make(chan struct{})}
	observed.awaitResponse()
	return observed
}

// awaitResponse begins a response with the next byte that arrives, and returns what observes its head.
func (conn *responseConn) awaitResponse() *responseHead {
	head := &responseHead{}
	conn.head.Store(head)
	return head
}

// Read reads from the connection. It fails within a head that takes too much memory.
func (conn *responseConn) Read(data []byte) (int, error) {
	if err := conn.head.Load().checkMemory(); err != nil {
		conn.endReads()
		return 0, err
	}
	count, err := conn.Conn.Read(data)
	// A request may have got the connection meanwhile.
	conn.head.Load().observe(data[:count])
	if err != nil {
		conn.endReads()
	}
	return count, err
}

// Write writes to the connection. Where it fails, it returns once all that has arrived was read: the transport
// ends a request at once whose write has failed, and a server may have refused it before.
func (conn *responseConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	if err != nil {
		<-conn.ended
	}
	return count, err
}

// Close closes the connection.
func (conn *responseConn) Close() error {
	conn.endReads()
	return conn.Conn.Close()
}

func (conn *responseConn) endReads() { conn.endOnce.Do(func() { close(conn.ended) }) }
