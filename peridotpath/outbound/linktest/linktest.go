// Package linktest cuts TCP connections in tests as a lost link does: the kernel drops what arrives
// and acknowledges nothing, so that the sender keeps its bytes and sends them again. A process that
// merely stops reading shows neither, since its kernel acknowledges all the same.
package linktest

import (
	"fmt"
	"net"
	"syscall"
)

// dropAll is a socket filter that accepts no byte of any packet.
var dropAll = []syscall.SockFilter{{Code: syscall.BPF_RET | syscall.BPF_K, K: 0}}

// Cut makes the kernel drop all that arrives on the connection. Both ends are cut by a call for each.
func Cut(conn net.Conn) error {
	return control(conn, func(socket int) error { return syscall.AttachLsf(socket, dropAll) })
}

// Heal ends a cut.
func Heal(conn net.Conn) error {
	return control(conn, syscall.DetachLsf)
}

func control(conn net.Conn, use func(socket int) error) error {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return fmt.Errorf("linktest: expected a connection with a socket, got %T", conn)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var useErr error
	if err := raw.Control(func(socket uintptr) { useErr = use(int(socket)) }); err != nil {
		return err
	}
	return useErr
}
