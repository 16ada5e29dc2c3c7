// Package rawtest has servers for tests that send bytes which no HTTP library sends.
package rawtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
)

// Serve starts a server that reads the head of one request on each connection and calls handle, which
// may read the body. The connection is closed when handle returns.
func Serve(t testing.TB, handle func(conn net.Conn, request *http.Request)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ServeOn(t, listener, handle)
}

// ServeOn is Serve on a listener of the test.
func ServeOn(t testing.TB, listener net.Listener, handle func(conn net.Conn, request *http.Request)) netip.AddrPort {
	t.Helper()
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(conn, handle)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func serveConn(conn net.Conn, handle func(conn net.Conn, request *http.Request)) {
	defer conn.Close()
	if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		handle(conn, request)
	}
}

// Respond starts a server that reads each request whole, sends the same bytes and closes the connection.
func Respond(t testing.TB, response string) netip.AddrPort {
	t.Helper()
	return Serve(t, func(conn net.Conn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, response)
	})
}
