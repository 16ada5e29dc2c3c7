package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath/tcpinfo"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// bufferBytes is the size of the buffer of each direction.
	bufferBytes = 16 << 10
	// writeTimeout bounds a write to a client: one that lost its power reads nothing, and closes
	// nothing.
	writeTimeout = time.Minute
	// clientCheckInterval is how often a tunnel whose endpoint reads nothing asks whether its client is
	// still there.
	clientCheckInterval = 100 * time.Millisecond
	// BytesPerTunnel bounds the memory that a tunnel takes: two buffers of its own, those of
	// net/http and the stacks of its goroutines.
	BytesPerTunnel = 64 << 10
)

var (
	errClientGone    = Error.New("client has closed its connection")
	errEndpointWrite = errs.Class("tunnel: write to the endpoint")
)

// Server carries connections for other instances. Set the exported fields before use.
type Server struct {
	// IsEndpoint reports whether an endpoint is known at the address. Connections to other
	// addresses are not carried.
	IsEndpoint func(address netip.AddrPort) bool
	// CanCarry reports whether this instance reaches the endpoints itself.
	CanCarry func() bool
	// Dial connects to an endpoint over this instance's own link.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// MaxTunnels bounds the tunnels that are open at once.
	MaxTunnels int
	Log        zerolog.Logger

	mutex  sync.Mutex
	open   int
	closed bool
	// ended is closed when the server is closed and the last tunnel has ended.
	ended chan struct{}
}

// HasRoom reports whether the server takes another tunnel.
func (server *Server) HasRoom() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return !server.closed && server.open < server.MaxTunnels
}

// ServeHTTP serves a request to open a tunnel, and returns when the tunnel has ended.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	address, err := netip.ParseAddrPort(request.Header.Get(headerAddress))
	switch {
	case err != nil || !server.IsEndpoint(address):
		server.reject(writer, address, resultUnknown)
		return
	case !server.CanCarry() || !server.begin():
		server.reject(writer, address, resultDeclined)
		return
	}
	defer server.end()
	endpoint, err := server.Dial(request.Context(), address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		server.reject(writer, address, resultRefused)
		return
	case err != nil:
		server.reject(writer, address, resultUnreachable)
		return
	}
	defer endpoint.Close()
	client, reader, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		server.Log.Error().Err(err).Msg("tunnel_not_opened")
		server.reject(writer, address, resultDeclined)
		return
	}
	defer client.Close()
	telemetry.CountTunnel(string(resultOpened))
	carry(client, reader.Reader, endpoint)
}

// reject answers a request for a tunnel that is not opened.
func (server *Server) reject(writer http.ResponseWriter, address netip.AddrPort, result result) {
	telemetry.CountTunnel(string(result))
	server.Log.Debug().Stringer("address", address).Str("result", string(result)).Msg("tunnel_rejected")
	writer.Header().Set(headerResult, string(result))
	writer.WriteHeader(http.StatusBadGateway)
}

// begin counts a tunnel and reports whether there is room for it.
func (server *Server) begin() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closed || server.open >= server.MaxTunnels {
		return false
	}
	server.open++
	telemetry.AddOpenTunnels(1)
	return true
}

func (server *Server) end() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.open--
	telemetry.AddOpenTunnels(-1)
	if server.closed && server.open == 0 {
		close(server.ended)
	}
}

// Close takes no more tunnels and waits until those that are open have ended, or until ctx ends.
// Their requests belong to callers of other instances, which cannot move them.
func (server *Server) Close(ctx context.Context) error {
	server.mutex.Lock()
	if !server.closed {
		server.closed, server.ended = true, make(chan struct{})
		if server.open == 0 {
			close(server.ended)
		}
	}
	ended := server.ended
	server.mutex.Unlock()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// carry answers the client that the tunnel is open and copies bytes until one side has ended.
func carry(client net.Conn, fromClient *bufio.Reader, endpoint net.Conn) {
	opening := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n" + headerResult + ": " + string(resultOpened) + "\r\n\r\n"
	_ = client.SetDeadline(time.Time{})
	if _, err := io.WriteString(client, opening); err != nil {
		return
	}
	toEndpoint := make(chan struct{})
	go func() {
		defer close(toEndpoint)
		// The client ends its side only when it gives the request up, which the endpoint must see. An endpoint
		// that reads no more may have answered.
		if err := copyToEndpoint(endpoint, client, fromClient); !errEndpointWrite.Has(err) {
			endpoint.Close()
		}
	}()
	if err := copyToClient(client, endpoint); err != nil {
		breakOff(client)
	}
	client.Close()
	<-toEndpoint
}

// copyToEndpoint copies what the client sends until it ends its side, also where the endpoint reads
// nothing: what it has not received by then is not sent any more. It returns an error of class errEndpointWrite
// if the endpoint's connection broke.
func copyToEndpoint(endpoint, client net.Conn, fromClient io.Reader) error {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := fromClient.Read(buffer)
		if count > 0 {
			if err := writeWhileThere(endpoint, client, buffer[:count]); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
}

// writeWhileThere writes to the endpoint until the client has closed its connection.
func writeWhileThere(endpoint, client net.Conn, data []byte) error {
	socket, hasSocket := client.(syscall.Conn)
	for len(data) > 0 {
		_ = endpoint.SetWriteDeadline(time.Now().Add(clientCheckInterval))
		count, err := endpoint.Write(data)
		data = data[count:]
		switch {
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return errEndpointWrite.Wrap(err)
		case err != nil && hasSocket && tcpinfo.HasPeerClosed(socket):
			return errClientGone
		}
	}
	return nil
}

// copyToClient copies what the endpoint sends in chunks, and marks its end. It returns an error if
// the endpoint's connection broke.
func copyToClient(client, endpoint net.Conn) error {
	// A chunk leaves in one write, with its length before it.
	out := bufio.NewWriterSize(client, bufferBytes)
	chunks, buffer := httputil.NewChunkedWriter(out), make([]byte, bufferBytes)
	for {
		count, err := endpoint.Read(buffer)
		if count > 0 {
			_ = client.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := chunks.Write(buffer[:count]); err != nil {
				return err
			}
			if err := out.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return errors.Join(chunks.Close(), out.Flush())
		}
		if err != nil {
			return err
		}
	}
}

// breakOff makes the end of the client's connection a reset.
func breakOff(client net.Conn) {
	if socket, ok := client.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
}
