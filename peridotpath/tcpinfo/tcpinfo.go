// Package tcpinfo asks the kernel for the state of TCP connections.
package tcpinfo

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes that were written to a connection and that the other
// side has not acknowledged. It returns false where the kernel does not tell.
func Unacknowledged(conn syscall.Conn) (bytes int, isKnown bool) {
	control(conn, func(socket int) {
		queued, err := unix.IoctlGetInt(socket, unix.SIOCOUTQ)
		bytes, isKnown = queued, err == nil
	})
	return bytes, isKnown
}

// HasUnread reports whether bytes have arrived on a connection that this side has not read. It
// returns false where the kernel does not tell.
func HasUnread(conn syscall.Conn) bool {
	hasUnread := false
	control(conn, func(socket int) {
		unread, err := unix.IoctlGetInt(socket, unix.SIOCINQ)
		hasUnread = err == nil && unread > 0
	})
	return hasUnread
}

// HasPeerClosed reports whether the other side has closed or reset a connection, also where bytes
// that it sent before are unread. It returns false where the kernel does not tell.
func HasPeerClosed(conn syscall.Conn) bool {
	state, isKnown := stateOf(conn)
	if !isKnown {
		return false
	}
	switch state {
	case unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT:
		return true
	}
	return false
}

// IsClosed reports whether a connection is over in both directions: it was reset or timed out, or both
// sides have ended it. It returns false where the kernel does not tell.
func IsClosed(conn syscall.Conn) bool {
	state, isKnown := stateOf(conn)
	return isKnown && state == unix.BPF_TCP_CLOSE
}

// AwaitsEnd reports whether the end of this side of a connection was sent and is not acknowledged.
func AwaitsEnd(conn syscall.Conn) bool {
	state, isKnown := stateOf(conn)
	return isKnown && state == unix.BPF_TCP_FIN_WAIT1
}

// stateOf returns the state of a connection; false where the kernel does not tell.
func stateOf(conn syscall.Conn) (state uint8, isKnown bool) {
	control(conn, func(socket int) {
		info, err := unix.GetsockoptTCPInfo(socket, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			state, isKnown = info.State, true
		}
	})
	return state, isKnown
}

// control calls use with the connection's socket, unless this side has closed it.
func control(conn syscall.Conn, use func(socket int)) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(socket uintptr) { use(int(socket)) })
}
