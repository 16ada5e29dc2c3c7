// Package linktest cuts TCP connections in tests as a lost link does: the kernel drops what arrives
// and acknowledges nothing, so that the sender keeps its bytes and sends them again. A process that
// merely stops reading shows neither, since its kernel acknowledges all the same.
package linktest

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// dropAll is a socket filter that accepts no byte of any packet.
var dropAll = []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}

// Cut makes the kernel drop all that arrives on the connection. Both ends are cut by a call for each.
func Cut(conn net.Conn) error {
	return control(conn, func(socket int) error { return attach(socket, dropAll) })
}

// Heal ends a cut.
func Heal(conn net.Conn) error {
	return control(conn, func(socket int) error {
		return unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
}

const (
	// sourceOffset is the offset of the source address of an IPv4 packet, as socket filters see it.
	networkHeader uint32 = 0xFFF00000
	sourceOffset         = networkHeader + 12
	// acceptAll is the number of bytes that a filter keeps of a packet that it accepts.
	acceptAll uint32 = 0xFFFFFFFF
)

// CutSources makes the kernel drop all that arrives at a listener from IPv4 addresses, so that new
// connections from there hang; none ends that. Connections that the listener accepts inherit it
// until Cut or Heal is called for them.
func CutSources(listener net.Listener, sources ...netip.Addr) error {
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: sourceOffset}}
	for i, source := range sources {
		address := source.As4()
		filter = append(filter, unix.SockFilter{
			Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: uint8(len(sources) - i), K: binary.BigEndian.Uint32(address[:]),
		})
	}
	filter = append(filter, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll}, dropAll[0])
	return control(listener, func(socket int) error { return attach(socket, filter) })
}

func attach(socket int, filter []unix.SockFilter) error {
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return unix.SetsockoptSockFprog(socket, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
}

func control(socket any, use func(socket int) error) error {
	tcp, ok := socket.(syscall.Conn)
	if !ok {
		return fmt.Errorf("linktest: expected a connection with a socket, got %T", socket)
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
