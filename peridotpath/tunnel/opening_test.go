package tunnel_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/outbound/rawtest"
	"peridotpath.example/peridotpath/tunnel"
)

// A wrong byte in a peer's answer opens a tunnel that the peer has not opened, or says that the endpoint is
// gone: requests are lost in it, or a sound endpoint is ejected.
func TestMalformedAnswerOpensNoTunnel(t *testing.T) {
	const opened, refused = "Peridotpath-Tunnel-Result: opened\r\n", "Peridotpath-Tunnel-Result: refused\r\n"
	for name, head := range map[string]string{
		"opened beside a blank in a name":  "HTTP/1.1 101 X\r\nUpg rade: x\r\n" + opened,
		"opened with another status":       "HTTP/1.1 502 X\r\nContent-Length: 0\r\n" + opened,
		"opened with no status":            "HTTP/1.1 000 X\r\n" + opened,
		"refused beside a blank in a name": "HTTP/1.1 502 X\r\nContent-Length : 0\r\n" + refused,
		"refused with another status":      "HTTP/1.1 101 X\r\n" + refused,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peer := rawtest.Serve(t, func(conn net.Conn, _ *http.Request) {
				_, _ = io.WriteString(conn, head+"\r\n")
				_, _ = io.Copy(io.Discard, conn)
			})
			client := &tunnel.Client{Dial: outbound.DialDirect}
			_, err := client.Open(t.Context(), peer, netip.MustParseAddrPort("127.0.0.1:9"))
			is.True(tunnel.Error.Has(err)) // it says nothing about the endpoint
			is.True(!errors.Is(err, syscall.ECONNREFUSED))
		})
	}
}

// A peer in trouble sends a head without an end: what arrives until the timeout is kept in memory.
func TestHeadOfPeerIsBounded(t *testing.T) {
	// kernelBytes is what the kernels of both sides hold of a connection.
	const kernelBytes = 16 << 20
	for name, piece := range map[string]string{"one line": "x", "lines": "X-Fill: y\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := make(chan int, 1)
			peer := rawtest.Serve(t, func(conn net.Conn, _ *http.Request) {
				total, text := 0, strings.Repeat(piece, 4<<10)
				_, err := io.WriteString(conn, "HTTP/1.1 101 X\r\nPeridotpath-Tunnel-Result: opened\r\nX-Fill: ")
				for err == nil && total < 1<<30 {
					var count int
					count, err = io.WriteString(conn, text)
					total += count
				}
				sent <- total
			})
			client := &tunnel.Client{Dial: outbound.DialDirect}
			startedAt := time.Now()
			_, err := client.Open(t.Context(), peer, netip.MustParseAddrPort("127.0.0.1:9"))
			is.True(tunnel.Error.Has(err))
			total := <-sent
			t.Logf("%d bytes were sent in %v", total, time.Since(startedAt))
			is.True(total <= kernelBytes)
		})
	}
}

// A peer stops anywhere within its answer to a request for a tunnel. Taken for an answer, requests are lost in a tunnel
// that is none, or a sound endpoint is ejected.
func TestAnswerOfPeerThatStopsOpensNoTunnel(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 101 X\r\nPeridotpath-Tunnel-Result: opened\r\n\r\n",
		"HTTP/1.1 502 X\r\nPeridotpath-Tunnel-Result: refused\r\nContent-Length: 0\r\n\r\n",
	} {
		is := is.New(t)
		for length := range len(answer) {
			peer := rawtest.Serve(t, func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, answer[:length]) })
			client := &tunnel.Client{Dial: outbound.DialDirect}
			_, err := client.Open(t.Context(), peer, netip.MustParseAddrPort("127.0.0.1:9"))
			is.True(tunnel.Error.Has(err)) // it says nothing about the endpoint
			is.True(!errors.Is(err, syscall.ECONNREFUSED))
		}
	}
}
