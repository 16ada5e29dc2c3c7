package outbound_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/outbound"
)

// respond starts a server that sends the same bytes to each request and closes the connection. It
// returns the server's address.
func respond(t *testing.T, response string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, response)
			}
			conn.Close()
		}
	}()
	return listener.Addr().String()
}

// net/http takes any three digits for a status. A status line with a wrong byte is then relayed as an
// answer, or decides about a write or an order as if the server had said so.
func TestResponsesWithoutFinalStatusAreNone(t *testing.T) {
	const rest = " X\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		response string
		isOne    bool
	}{
		{"HTTP/1.1 000" + rest, false},
		{"HTTP/1.1 001" + rest, false},
		{"HTTP/1.1 099" + rest, false},
		{"HTTP/1.1 +50" + rest, false},
		{"HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: y\r\n\r\n", false},
		{"HTTP/1.1 600" + rest, false},
		{"HTTP/1.1 999" + rest, false},
		{"HTTP/5.1 200" + rest, false},
		{"HTTP/0.1 200" + rest, false},
		{"HTTP/1.1 204 X\r\nContent-Length: 3\r\n\r\nabc", false},
		{"HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false},
		{"HTTP/1.1 200" + rest, true},
		{"HTTP/1.0 200" + rest, true},
		{"HTTP/1.1 204 X\r\n\r\n", true},
		{"HTTP/1.1 204" + rest, true},
		{"HTTP/1.1 304 X\r\nContent-Length: 3\r\n\r\n", true},
		{"HTTP/1.1 599" + rest, true},
		{"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200" + rest, true},
		{"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000" + rest, false},
	}
	for _, test := range tests {
		t.Run(test.response, func(t *testing.T) {
			is := is.New(t)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+respond(t, test.response), nil)
			is.NoErr(err)
			request.Close = true
			response, err := outbound.Do(request)
			if err == nil {
				response.Body.Close()
			}
			is.Equal(err == nil, test.isOne)
			is.Equal(outbound.ErrNoResponse.Has(err), !test.isOne) // the server may have run the request
		})
	}
}
