// Package clientconn bounds what the connections of a port's clients cost the process: descriptors,
// the memory of request heads, and the time that a head or a pause may take.
//
// It matters for clients that keep to no limit. net/http bounds one head in bytes, but parses it into
// a map while it arrives, which takes many times its length, and it bounds neither all heads
// together nor the number of connections. A connection that must end is chosen so that ordinary
// callers are served: one without a request first, then the head that has been arriving for longest.
// Nothing waits for room: a connection is admitted, or it ends at once.
package clientconn

import (
	"time"

	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
)

// Error is the class of this package's errors.
var Error = errs.Class("clientconn")

// Limits bound what all connections of a port cost together.
type Limits struct {
	// Connections bounds the open connections.
	Connections int
	// HeadMemory bounds the memory of the heads of all requests that arrive or are served.
	HeadMemory peridotpath.Bytes
	// ReceiveBuffer is the buffer of each connection for bytes that nobody has read. They are memory
	// of the process that the kernel holds, and a client may fill it behind a request that is served.
	// The rate of an upload is at most this in each round trip.
	ReceiveBuffer peridotpath.Bytes
}

const (
	defaultConnections   = 1000
	defaultHeadMemory    = 16 << 20
	defaultReceiveBuffer = 32 << 10

	minConnections = 4
	maxConnections = 1_000_000
	minHeadMemory  = 256 << 10
	maxHeadMemory  = 1 << 40

	minReceiveBuffer = 4 << 10
	maxReceiveBuffer = 16 << 20
)

// Defaults fills fields that are zero.
func (limits *Limits) Defaults() {
	peridotpath.SetDefault(&limits.Connections, defaultConnections)
	peridotpath.SetDefault(&limits.HeadMemory, defaultHeadMemory)
	peridotpath.SetDefault(&limits.ReceiveBuffer, defaultReceiveBuffer)
}

// Validate returns the faults of all fields.
func (limits *Limits) Validate() peridotpath.Faults {
	var faults peridotpath.Faults
	faults.Range("connections", int64(limits.Connections), minConnections, maxConnections)
	faults.Range("head_memory_bytes", int64(limits.HeadMemory), minHeadMemory, maxHeadMemory)
	faults.Range("receive_buffer_bytes", int64(limits.ReceiveBuffer), minReceiveBuffer, maxReceiveBuffer)
	return faults
}

// HeadLimits bound one head and the pause before it.
type HeadLimits struct {
	// MaxBytes bounds a head as it is received, its separators included. A handler that applies a
	// limit of its own to parsed headers needs some room above that.
	MaxBytes peridotpath.Bytes
	// Timeout bounds the time from the first byte of a head to its end.
	Timeout time.Duration
	// IdleTimeout bounds the time in which a connection carries no request.
	IdleTimeout time.Duration
}

// The limits of a head where nothing else is set.
const (
	defaultMaxBytes    = 64 << 10
	defaultTimeout     = 10 * time.Second
	defaultIdleTimeout = 2 * time.Minute
)

// Defaults fills fields that are zero.
func (limits *HeadLimits) Defaults() {
	peridotpath.SetDefault(&limits.MaxBytes, defaultMaxBytes)
	peridotpath.SetDefault(&limits.Timeout, defaultTimeout)
	peridotpath.SetDefault(&limits.IdleTimeout, defaultIdleTimeout)
}

// The memory that a parsed head takes, measured with the shortest lines that differ: the map of
// net/http and its copy for the endpoint, with the garbage of their growth.
const (
	memoryPerHeadByte = 2
	memoryPerHeadLine = 300
)

// HeadMemory returns what a head of so many bytes and lines takes at most once it is parsed.
func HeadMemory(bytes, lines int) peridotpath.Bytes {
	return peridotpath.Bytes(bytes*memoryPerHeadByte + lines*memoryPerHeadLine)
}

const (
	// readAheadBytes is the size of net/http's buffer, which may hold the start of a head behind a
	// body of chunks.
	readAheadBytes = 4 << 10
	// minLineBytes is the length of the shortest header line.
	minLineBytes = 3
	// readAheadMemory is what such a start takes at most.
	readAheadMemory = readAheadBytes*memoryPerHeadByte + readAheadBytes/minLineBytes*memoryPerHeadLine
)
