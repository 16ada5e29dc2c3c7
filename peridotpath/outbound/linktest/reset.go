package linktest

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// smallBuffer is the receive buffer of ListenSmall, in bytes: a long upload soon waits.
	smallBuffer = 8 << 10
	// BodyBytes is the size of an upload that waits in a write to a listener of ListenSmall: the
	// kernel holds less on both sides.
	BodyBytes = 16 << 20
	// maxOrderWait bounds the wait of one side of a connection for the other, for tests that fail.
	maxOrderWait = 5 * time.Second
	// closeTime is longer than a caller takes to close a connection whose write has failed.
	closeTime = 50 * time.Millisecond
)

// ListenSmall listens on a loopback port. The connections that it accepts hold little that is not read.
func ListenSmall(ctx context.Context) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(socket uintptr) {
			setErr = unix.SetsockoptInt(int(socket), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer)
		})
		if err != nil {
			return err
		}
		return setErr
	}}
	return config.Listen(ctx, "tcp", "127.0.0.1:0")
}

// Reset ends a connection with a reset.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// AnswerThenReset writes an answer, waits until an upload that is not read has filled the kernel's
// buffers, and resets the connection.
func AnswerThenReset(conn net.Conn, answer string) {
	_, _ = io.WriteString(conn, answer)
	time.Sleep(100 * time.Millisecond)
	Reset(conn)
}

// writeFirstConn lets a write learn of a reset before a read does.
type writeFirstConn struct {
	net.Conn

	// unread is the number of bytes that are read before a read waits for the write to fail.
	unread int
	// readDelay is the time from then to the read.
	readDelay         time.Duration
	failed, ended     chan struct{}
	failOnce, endOnce sync.Once
}

// WriteFirst returns the connection with a fixed order for its end: once count bytes were read, a
// read waits until a write has failed, and that write returns when the read has.
func WriteFirst(conn net.Conn, count int) net.Conn {
	return &writeFirstConn{Conn: conn, unread: count, failed: make(chan struct{}), ended: make(chan struct{})}
}

// FailFirst returns the connection with a fixed order for its end: nothing is read until a write has failed, and
// its caller has had the time to close the connection.
func FailFirst(conn net.Conn) net.Conn {
	ordered := &writeFirstConn{Conn: conn, readDelay: closeTime, failed: make(chan struct{}), ended: make(chan struct{})}
	ordered.endRead()
	return ordered
}

func (conn *writeFirstConn) endRead() { conn.endOnce.Do(func() { close(conn.ended) }) }

// Read reads from the connection.
func (conn *writeFirstConn) Read(data []byte) (int, error) {
	if conn.unread <= 0 {
		await(conn.failed)
		time.Sleep(conn.readDelay)
	}
	count, err := conn.Conn.Read(data)
	conn.unread -= count
	if err != nil {
		conn.endRead()
	}
	return count, err
}

// Write writes to the connection.
func (conn *writeFirstConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		conn.failOnce.Do(func() { close(conn.failed) })
		await(conn.ended)
	}
	return count, err
}

func await(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(maxOrderWait):
	}
}
