package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"syscall"
	"time"

	"peridotpath.example/peridotpath/outbound"
)

const (
	// openTimeout bounds opening a tunnel. A peer limits its own connection to the endpoint to less.
	openTimeout = 600 * time.Millisecond
	// maxHeadBytes bounds the head of a peer's answer.
	maxHeadBytes = 16 << 10
)

// Client opens tunnels.
type Client struct {
	// Dial opens a connection to a peer.
	Dial outbound.Dial
}

// Open opens a connection to an endpoint through the peer. Its error is of class ErrUnreachable
// if the peer could not connect, and then wraps ECONNREFUSED if nobody listens there.
func (client *Client) Open(ctx context.Context, peer, address netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := client.Dial(ctx, "tcp", peer.String())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// Closing the connection ends the exchange when ctx ends.
	stopClosing := context.AfterFunc(ctx, func() { conn.Close() })
	reader, err := requestTunnel(conn, peer, address)
	if !stopClosing() && err == nil {
		err = Error.Wrap(ctx.Err())
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &clientConn{Conn: conn, chunks: httputil.NewChunkedReader(reader)}, nil
}

// requestTunnel asks the peer for a tunnel and returns the reader of what follows its answer.
func requestTunnel(conn net.Conn, peer, address netip.AddrPort) (*bufio.Reader, error) {
	request := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: Path}, Host: peer.String(), ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {protocol}, headerAddress: {address.String()}},
	}
	if err := request.Write(conn); err != nil {
		return nil, Error.Wrap(err)
	}
	limited := &io.LimitedReader{R: conn, N: maxHeadBytes}
	reader := bufio.NewReader(limited)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer response.Body.Close()
	if err := checkOpened(response, peer, address); err != nil {
		return nil, err
	}
	limited.N = math.MaxInt64
	return reader, nil
}

// checkOpened returns an error unless the peer's answer is that the tunnel is open.
func checkOpened(response *http.Response, peer, address netip.AddrPort) error {
	if err := outbound.CheckNames(response.Header); err != nil {
		return Error.Wrap(err)
	}
	status, result := response.StatusCode, result(response.Header.Get(headerResult))
	switch {
	case status == http.StatusSwitchingProtocols && result == resultOpened:
		return nil
	case status == http.StatusBadGateway && result == resultRefused:
		return ErrUnreachable.Wrap(syscall.ECONNREFUSED)
	case status == http.StatusBadGateway && result == resultUnreachable:
		return ErrUnreachable.New("%s from %s", address, peer)
	}
	return Error.New("%s declined %s: status %d, result %q", peer, address, status, result)
}

// clientConn is the client's end of a tunnel.
type clientConn struct {
	net.Conn
	chunks io.Reader
}

// Read reads the endpoint's bytes. It returns io.EOF only if the endpoint has ended its
// connection, and io.ErrUnexpectedEOF if the tunnel broke.
func (conn *clientConn) Read(data []byte) (int, error) {
	count, err := conn.chunks.Read(data)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		err = Error.Wrap(err)
	}
	return count, err
}
