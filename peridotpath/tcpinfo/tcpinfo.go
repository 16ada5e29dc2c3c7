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

// HasPeerClosed reports whether the other side has closed or reset a connection, also where bytes
// that it sent before are unread. It returns false where the kernel does not tell.
func HasPeerClosed(conn syscall.Conn) bool {
	hasClosed := false
	control(conn, func(socket int) {
		info, err := unix.GetsockoptTCPInfo(socket, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		switch info.State {
		case unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT:
			hasClosed = true
		}
	})
	return hasClosed
}

// control calls use with the connection's socket, unless this side has closed it.
func control(conn syscall.Conn, use func(socket int)) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(socket uintptr) { use(int(socket)) })
}
