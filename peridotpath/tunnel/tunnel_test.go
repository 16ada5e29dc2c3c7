package tunnel_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/outbound/linktest"
	"peridotpath.example/peridotpath/outbound/rawtest"
	"peridotpath.example/peridotpath/tcpinfo"
	"peridotpath.example/peridotpath/tunnel"
)

// patience bounds what must happen at once in these tests.
const patience = 5 * time.Second

// carrying is a server that carries connections to one endpoint.
type carrying struct {
	server   *tunnel.Server
	peer     netip.AddrPort
	endpoint net.Listener
	// conns are the connections at the peer.
	conns chan net.Conn
}

func startCarrying(t *testing.T, change func(*tunnel.Server)) *carrying {
	t.Helper()
	endpoint, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { endpoint.Close() })
	carrying := &carrying{endpoint: endpoint, conns: make(chan net.Conn, 16)}
	carrying.server = &tunnel.Server{
		IsEndpoint: func(address netip.AddrPort) bool { return address == carrying.address() },
		CanCarry:   func() bool { return true },
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return outbound.DialDirect(ctx, "tcp", address.String())
		},
		MaxTunnels: 4, Log: zerolog.Nop(),
	}
	if change != nil {
		change(carrying.server)
	}
	peer := httptest.NewUnstartedServer(carrying.server)
	peer.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateNew {
			carrying.conns <- conn
		}
	}
	peer.Start()
	t.Cleanup(peer.Close)
	carrying.peer = netip.MustParseAddrPort(peer.Listener.Addr().String())
	return carrying
}

func (carrying *carrying) address() netip.AddrPort {
	return netip.MustParseAddrPort(carrying.endpoint.Addr().String())
}

func (carrying *carrying) open(ctx context.Context) (net.Conn, error) {
	client := &tunnel.Client{Dial: outbound.DialDirect}
	return client.Open(ctx, carrying.peer, carrying.address())
}

// connect opens a tunnel and returns both of its ends.
func (carrying *carrying) connect(t *testing.T) (client, endpoint net.Conn) {
	t.Helper()
	client, err := carrying.open(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	endpoint, err = carrying.endpoint.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { endpoint.Close() })
	for _, conn := range []net.Conn{client, endpoint} {
		_ = conn.SetDeadline(time.Now().Add(patience))
	}
	return client, endpoint
}

func readText(t *testing.T, from net.Conn, length int) string {
	t.Helper()
	text := make([]byte, length)
	if _, err := io.ReadFull(from, text); err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// An endpoint stops anywhere within its answer, on a connection that a peer carries: what came is taken for a whole
// answer.
func TestAnswerThatStopsWithinTunnelIsNone(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	for name, end := range map[string]func(conn net.Conn){"closed": func(net.Conn) {}, "reset": linktest.Reset} {
		t.Run(name, func(t *testing.T) {
			for length := range len(answer) {
				if body, err := getThroughTunnel(t, answer[:length], end); err == nil {
					t.Errorf("%q is a whole answer after %q, expected an error", body, answer[:length])
				}
			}
		})
	}
	body, err := getThroughTunnel(t, answer, func(net.Conn) {})
	is := is.New(t)
	is.NoErr(err)
	is.Equal(body, "done")
}

// getThroughTunnel sends a request through a tunnel to an endpoint that sends the bytes and ends the
// connection. It returns the body of the answer.
func getThroughTunnel(t *testing.T, bytes string, end func(conn net.Conn)) (body string, err error) {
	t.Helper()
	carrying := startCarrying(t, nil)
	rawtest.ServeOn(t, carrying.endpoint, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, bytes)
		end(conn)
	})
	ctx := outbound.WithDial(t.Context(), func(ctx context.Context, _, _ string) (net.Conn, error) { return carrying.open(ctx) })
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+carrying.address().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Close = true
	response, err := outbound.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// A tunnel that collects bytes delays the events of a stream.
func TestTunnelPassesEachWriteOnAtOnce(t *testing.T) {
	is := is.New(t)
	client, endpoint := startCarrying(t, nil).connect(t)
	for _, text := range []string{"first", "second"} {
		_, err := io.WriteString(client, "to "+text)
		is.NoErr(err)
		is.Equal(readText(t, endpoint, len(text)+3), "to "+text)
		_, err = io.WriteString(endpoint, text)
		is.NoErr(err)
		is.Equal(readText(t, client, len(text)), text)
	}
	endpoint.Close()
	_, err := client.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// An answer without a length ends with its connection. One that was cut by the end of the peer, or
// by a reset of the endpoint, must not look complete.
func TestBrokenTunnelDoesNotLookLikeTheEnd(t *testing.T) {
	tests := map[string]func(carrying *carrying, endpoint net.Conn){
		"peer ends": func(carrying *carrying, _ net.Conn) { (<-carrying.conns).Close() },
		"endpoint resets": func(_ *carrying, endpoint net.Conn) {
			_ = endpoint.(*net.TCPConn).SetLinger(0)
			endpoint.Close()
		},
	}
	for name, breakOff := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			carrying := startCarrying(t, nil)
			client, endpoint := carrying.connect(t)
			_, err := io.WriteString(endpoint, "part")
			is.NoErr(err)
			is.Equal(readText(t, client, 4), "part")
			breakOff(carrying, endpoint)
			_, err = client.Read(make([]byte, 1))
			is.True(err != nil)
			is.True(!errors.Is(err, io.EOF))
		})
	}
}

// uploadThroughTunnel returns the client's end of a tunnel in which a long upload waits, and the end of an
// endpoint that reads nothing.
func uploadThroughTunnel(t *testing.T, wrap func(net.Conn) net.Conn) (client, endpoint net.Conn) {
	t.Helper()
	listener, err := linktest.ListenSmall(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	carrying := startCarrying(t, func(server *tunnel.Server) {
		dial := server.Dial
		server.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			conn, err := dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return wrap(conn), nil
		}
	})
	carrying.endpoint.Close()
	carrying.endpoint = listener
	client, endpoint = carrying.connect(t)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = client.Write(make([]byte, linktest.BodyBytes))
	}()
	t.Cleanup(func() {
		client.Close()
		<-written
	})
	return client, endpoint
}

// An endpoint resets its connection while a peer writes an upload to it, and the peer marks the part
// that it has read of an answer as whole.
func TestResetOfUploadThroughTunnelIsNotTheEnd(t *testing.T) {
	is := is.New(t)
	client, endpoint := uploadThroughTunnel(t, func(conn net.Conn) net.Conn { return linktest.WriteFirst(conn, len("part")) })
	linktest.AnswerThenReset(endpoint, "part")
	text, err := io.ReadAll(client)
	is.Equal(string(text), "part")
	is.True(err != nil)
}

// An endpoint refuses a long upload and closes without reading the rest: the peer's write fails before the answer
// is read, and the answer is lost.
func TestAnswerBeforeFailedWritePassesTunnel(t *testing.T) {
	is := is.New(t)
	client, endpoint := uploadThroughTunnel(t, linktest.FailFirst)
	linktest.AnswerThenReset(endpoint, "refused")
	is.Equal(readText(t, client, len("refused")), "refused")
	_, err := client.Read(make([]byte, 1))
	is.True(err != nil && !errors.Is(err, io.EOF)) // where it ends is not known
}

// A request that its caller has given up goes on at the endpoint.
func TestEndOfClientReachesEndpoint(t *testing.T) {
	is := is.New(t)
	client, endpoint := startCarrying(t, nil).connect(t)
	client.Close()
	_, err := endpoint.Read(make([]byte, 1))
	is.True(err != nil)
	var timeout net.Error
	is.True(!errors.As(err, &timeout) || !timeout.Timeout())
}

// A request that its caller has given up waits at the peer for an endpoint that reads nothing: it is
// delivered, and run for nobody, once the endpoint reads on.
func TestEndOfClientReachesEndpointThatReadsNothing(t *testing.T) {
	is := is.New(t)
	client, endpoint := startCarrying(t, nil).connect(t)
	request := make([]byte, 64<<20)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = client.Write(request)
	}()
	time.Sleep(100 * time.Millisecond)
	client.Close()
	<-written
	time.Sleep(500 * time.Millisecond)
	is.True(tcpinfo.HasPeerClosed(endpoint.(syscall.Conn))) // before the endpoint reads on
	received, err := io.ReadAll(endpoint)
	is.True(err != nil) // a reset
	is.True(len(received) < len(request)/2)
}

// A caller of the instance that is cut off is told that an endpoint is gone though only the peer
// could not help, or waits for a peer that will not.
func TestTunnelIsNotOpened(t *testing.T) {
	var gone atomic.Bool
	tests := []struct {
		name   string
		change func(*tunnel.Server)
		// ofEndpoint reports whether the error is about the endpoint, isRefused whether nobody
		// listens there.
		ofEndpoint, isRefused bool
	}{
		{"unknown address", func(server *tunnel.Server) { server.IsEndpoint = func(netip.AddrPort) bool { return false } }, false, false},
		{"peer is cut off", func(server *tunnel.Server) { server.CanCarry = func() bool { return false } }, false, false},
		{"peer has no room", func(server *tunnel.Server) { server.MaxTunnels = 0 }, false, false},
		{"peer stops", func(server *tunnel.Server) { _ = server.Close(t.Context()) }, false, false},
		{"endpoint refuses", func(server *tunnel.Server) {
			server.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
		}, true, true},
		{"endpoint does not answer", func(server *tunnel.Server) {
			server.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, context.DeadlineExceeded }
		}, true, false},
		{"peer does not answer", func(server *tunnel.Server) {
			server.Dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
				gone.Store(true)
				<-ctx.Done()
				return nil, ctx.Err()
			}
		}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			startedAt := time.Now()
			conn, err := startCarrying(t, test.change).open(t.Context())
			is.True(conn == nil)
			is.True(err != nil)
			is.Equal(tunnel.ErrUnreachable.Has(err), test.ofEndpoint)
			is.Equal(errors.Is(err, syscall.ECONNREFUSED), test.isRefused)
			is.True(time.Since(startedAt) < patience)
		})
	}
	is.New(t).True(gone.Load())
}

// A planned stop of the peer cuts the requests that it carries.
func TestCloseWaitsForTunnels(t *testing.T) {
	is := is.New(t)
	carrying := startCarrying(t, nil)
	client, endpoint := carrying.connect(t)
	closed := make(chan error, 1)
	go func() { closed <- carrying.server.Close(t.Context()) }()
	select {
	case err := <-closed:
		t.Fatalf("closed while a tunnel is open: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	_, err := io.WriteString(endpoint, "rest")
	is.NoErr(err)
	is.Equal(readText(t, client, 4), "rest")
	_, err = carrying.open(t.Context())
	is.True(tunnel.Error.Has(err))
	endpoint.Close()
	is.NoErr(<-closed)
}
