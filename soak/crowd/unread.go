package crowd

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
)

const (
	// connectingState is the state of a socket whose connection is not open yet. The kernel lists it without a
	// lock, now and then with a queue of up to 2 GB: it sets the number of the next byte that arrives before that
	// of the next byte that is read.
	connectingState = "02"
	// listenState is the state of a listening socket, whose queue counts connections.
	listenState = "0A"
	// unacceptedInode is that of a connection which nobody has accepted.
	unacceptedInode = "0"
)

// UnreadBytes returns the bytes that have arrived on the open connections of the process and that it has not
// read. The platform counts them as its memory.
func (instance *Instance) UnreadBytes() int64 {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	return unreadBytes(string(table), instance.Callers.Addr())
}

// unreadBytes returns the bytes that have arrived on the open connections of an IPv4 address and that were not
// read, by the kernel's table of sockets.
func unreadBytes(table string, address netip.Addr) int64 {
	// Addresses are in the byte order of the machine, which is little-endian on all that are supported.
	ip := address.As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	total := int64(0)
	for line := range strings.Lines(table) {
		fields := strings.Fields(line)
		if len(fields) < 10 || !strings.HasPrefix(fields[1], local) {
			continue
		}
		state, inode := fields[3], fields[9]
		if state == listenState || state == connectingState || inode == unacceptedInode {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(unread, 16, 64)
		total += bytes
	}
	return total
}
