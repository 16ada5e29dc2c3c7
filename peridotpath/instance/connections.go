package instance

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clientconn"
)

const (
	// fileDescriptors are those of all descriptors that are kept for files.
	fileDescriptors = 200
	// callerSocketShare is the share of the sockets for callers. As many are left for the connections
	// to endpoints, of which each caller's request may need one.
	callerSocketShare = 3.0 / 8
	// peerSocketShare is the share for peers. Half of it may be tunnels, each of which needs another
	// socket for its endpoint.
	peerSocketShare = 1.0 / 8
	// probeSocketShare is the share for the readiness checks, and that for metrics.
	probeSocketShare = 1.0 / 64

	// connectionMemoryShare is the share of the memory that callers' connections may take.
	connectionMemoryShare = 0.15
	// bytesPerConnection is the memory of an open connection: the stack of its goroutine and the
	// buffers of net/http.
	bytesPerConnection = 20 << 10
	// receiveMemoryShare is the share of the memory that bytes of callers which nobody has read may
	// take in the kernel, and otherReceiveMemoryShare those at each other port.
	receiveMemoryShare      = 0.15
	otherReceiveMemoryShare = 0.02
	// minReceiveBuffer and maxReceiveBuffer bound the receive buffer of one connection.
	minReceiveBuffer = 16 << 10
	maxReceiveBuffer = 256 << 10
	// headMemoryShare is the share of the memory that the heads of callers' requests may take, and
	// otherHeadMemoryShare those at each other port.
	headMemoryShare      = 0.1
	otherHeadMemoryShare = 0.02

	// otherMaxHeadBytes bounds a head at the ports that are not callers': probes have 200 bytes, and
	// calls of peers less than two thousand.
	otherMaxHeadBytes = 8 << 10
	// headRoomShare is how far, as a share, the limit on received bytes is above that on parsed
	// headers, which counts neither the method nor the host, and refuses with a result code.
	headRoomShare = 0.25
	minHeadRoom   = 1 << 10
)

// connectionLimits are the limits of the connections at each port of an instance.
type connectionLimits struct {
	callers, readiness, peers, metrics clientconn.Limits
	// tunnels bounds the connections that are carried for peers.
	tunnels int
}

// newConnectionLimits divides the memory and the descriptors of a process among its ports.
func newConnectionLimits(memory peridotpath.Bytes, descriptors int) connectionLimits {
	sockets := float64(descriptors - fileDescriptors)
	byMemory := int(connectionMemoryShare * float64(memory) / bytesPerConnection)
	port := func(connections int, headShare, receiveShare float64) clientconn.Limits {
		receiveBuffer := peridotpath.Bytes(receiveShare * float64(memory) / float64(connections))
		return clientconn.Limits{
			Connections: connections, HeadMemory: peridotpath.Bytes(headShare * float64(memory)),
			ReceiveBuffer: min(max(receiveBuffer, minReceiveBuffer), maxReceiveBuffer),
		}
	}
	other := func(socketShare float64) clientconn.Limits {
		return port(int(socketShare*sockets), otherHeadMemoryShare, otherReceiveMemoryShare)
	}
	limits := connectionLimits{
		callers:   port(min(int(callerSocketShare*sockets), byMemory), headMemoryShare, receiveMemoryShare),
		readiness: other(probeSocketShare), peers: other(peerSocketShare), metrics: other(probeSocketShare),
	}
	limits.tunnels = limits.peers.Connections / 2
	return limits
}

// callerHeadLimits returns the limits of a caller's next head by the operators' newest routing.
func (instance *Instance) callerHeadLimits() clientconn.HeadLimits {
	var limits clientconn.HeadLimits
	table := instance.routing.Current()
	if table == nil {
		return limits
	}
	if maxHeader := table.Routing.MaxHeader; maxHeader > 0 {
		limits.MaxBytes = maxHeader + max(minHeadRoom, peridotpath.Bytes(headRoomShare*float64(maxHeader)))
	}
	limits.Timeout, limits.IdleTimeout = table.Routing.HeaderTimeout, table.Routing.IdleTimeout
	return limits
}

// otherHeadLimits returns the limits of a head at the ports that are not callers'.
func otherHeadLimits() clientconn.HeadLimits {
	return clientconn.HeadLimits{MaxBytes: otherMaxHeadBytes, Timeout: otherHeadTimeout}
}

// otherHeadTimeout bounds the time of a head at the ports that are not callers'.
const otherHeadTimeout = 10 * time.Second
