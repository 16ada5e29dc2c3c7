package outbound_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/outbound"
)

// serveInTurn starts a server that keeps its connection and sends the responses in turn, in pieces of a number
// of bytes. It returns its URL.
func serveInTurn(t *testing.T, pieceBytes int, responses ...string) (url string) {
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
		requests := bufio.NewReader(conn)
		for _, response := range responses {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			for len(response) > 0 {
				count, err := io.WriteString(conn, response[:min(pieceBytes, len(response))])
				if err != nil {
					return
				}
				response = response[count:]
			}
		}
	}()
	return "http://" + listener.Addr().String()
}

// get sends a request on a connection that is kept, and returns the body of the response.
func get(t *testing.T, url string) (body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := outbound.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// The version of a later response on a kept connection, or of one that arrives byte by byte, is spoiled: its
// chunks' sizes are read as its body, like those of a first response that arrives at once.
func TestChunksOfOldVersionAreNoResponse(t *testing.T) {
	const (
		sound   = "HTTP/1.1 200 OK\r\nContent-Length: 41\r\n\r\nHTTP/1.0 200\r\nTransfer-Encoding: chunked\n"
		chunked = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
		spoiled = "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
	)
	for _, pieceBytes := range []int{1, 7, len(spoiled)} {
		is := is.New(t)
		url := serveInTurn(t, pieceBytes, sound, chunked, spoiled)
		body, err := get(t, url)
		is.NoErr(err)
		is.Equal(len(body), 41)
		body, err = get(t, url)
		is.NoErr(err)
		is.Equal(body, "done")
		_, err = get(t, url)
		is.True(outbound.ErrNoResponse.Has(err))
	}
}

// A server in trouble sends a head of short lines: net/http bounds its length, and its parsed lines take
// a hundred times as much. A head that is whole is refused as well: its answer would hold the memory.
func TestHeadsOfManyLinesAreNoResponse(t *testing.T) {
	const status, end = "HTTP/1.1 200 OK\r\n", "Content-Length: 4\r\n\r\ndone"
	const hint = "HTTP/1.1 103 X\r\nLink: x\r\n\r\n"
	lines := func(count int) string {
		var text strings.Builder
		for number := range count {
			fmt.Fprintf(&text, "X%x:\r\n", number)
		}
		return text.String()
	}
	for _, test := range []struct {
		name, response string
		isOne          bool
	}{
		{"few lines", status + lines(100) + end, true},
		{"long lines", status + strings.Repeat("X-Long: "+strings.Repeat("x", 1000)+"\r\n", 40) + end, true},
		{"many lines", status + lines(1000) + end, false},
		{"many lines in one piece", status + lines(440) + end, false},
		{"few informational responses", strings.Repeat(hint, 10) + status + end, true},
		{"many informational responses", strings.Repeat(hint, 500) + status + end, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := get(t, serveInTurn(t, len(test.response), test.response))
			is.Equal(err == nil, test.isOne)
			is.Equal(outbound.ErrNoResponse.Has(err), !test.isOne)
		})
	}
}
