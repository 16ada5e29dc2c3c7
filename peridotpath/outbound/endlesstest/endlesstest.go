// Package endlesstest has a server in trouble for tests: it answers every request with a body without an end.
package endlesstest

import (
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
)

// Server answers requests with a success whose body ends only with its connection, or after MaxBytes.
type Server struct {
	Address netip.AddrPort

	written atomic.Int64
}

const (
	// MaxBytes is what the server sends at most in one answer, so that a test ends.
	MaxBytes = 512 << 20
	// KernelBytes is what the kernels of both sides hold of a connection that nobody reads.
	KernelBytes = 16 << 20
)

// Start starts a server. If compressed, it sends zeros that are compressed by gzip.
func Start(t *testing.T, compressed bool) *Server {
	t.Helper()
	server := &Server{}
	listener := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/protobuf")
		out, piece := io.Writer(writer), strings.Repeat("\x0a", 64<<10)
		if compressed {
			writer.Header().Set("Content-Encoding", "gzip")
			zipped := gzip.NewWriter(writer)
			defer zipped.Close()
			out = zipped
		}
		for total := 0; total < MaxBytes; total += len(piece) {
			if _, err := io.WriteString(out, piece); err != nil {
				return
			}
			server.written.Add(int64(len(piece)))
		}
	}))
	t.Cleanup(listener.Close)
	server.Address = netip.MustParseAddrPort(listener.Listener.Addr().String())
	return server
}

// Written returns the number of bytes that were sent, before they were compressed.
func (server *Server) Written() int64 { return server.written.Load() }
