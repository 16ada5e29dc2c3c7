package inbound

import (
	"net"
	"net/http"
	"sync"
)

// answering holds the connections on which a request has been read and its answer is not written
// to the end. Handlers return before that: net/http writes the last bytes of an answer after them.
type answering struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// track is the ConnState hook of a server.
func (answering *answering) track(conn net.Conn, state http.ConnState) {
	answering.mu.Lock()
	defer answering.mu.Unlock()
	if state != http.StateActive {
		delete(answering.conns, conn)
		return
	}
	if answering.conns == nil {
		answering.conns = map[net.Conn]struct{}{}
	}
	answering.conns[conn] = struct{}{}
}

func (answering *answering) count() int {
	answering.mu.Lock()
	defer answering.mu.Unlock()
	return len(answering.conns)
}
