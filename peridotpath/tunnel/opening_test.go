package tunnel_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/tunnel"
)

// startPeer starts a peer that reads the head of a request for a tunnel and then calls answer.
func startPeer(t *testing.T, answer func(conn net.Conn)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			answer(conn)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

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
			peer := startPeer(t, func(conn net.Conn) {
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
