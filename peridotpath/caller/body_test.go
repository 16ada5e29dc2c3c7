package caller_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
)

// pipeListener is a listener whose connections are pipes, for use under synctest.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (pipeListener *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-pipeListener.connections:
		return connection, nil
	case <-pipeListener.closed:
		return nil, net.ErrClosed
	}
}

func (pipeListener *pipeListener) Close() error { close(pipeListener.closed); return nil }

func (pipeListener *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A caller declares a long body and sends one byte every nine seconds, just within
// ReadTimeout. Without a minimum rate its memory stays reserved without limit, and
// about sixteen such callers cause all other prompts to be refused.
func TestSlowSenderIsRefused(t *testing.T) {
	tests := []struct {
		name        string
		piece       int
		interval    time.Duration
		code        peridotpath.Code
		maxDuration time.Duration
	}{
		{"a byte at a time", 1, 9 * time.Second, peridotpath.CodeBodyIncomplete, 11 * time.Second},
		{"nothing at all", 0, 9 * time.Second, peridotpath.CodeBodyIncomplete, 11 * time.Second},
		{"slow but steady", 100 << 10, 5 * time.Second, 0, time.Minute},
	}
	const length = 1 << 20
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bodyReader := caller.NewBodyReader(2<<20, 3<<20, 10*time.Second)
				results := make(chan *peridotpath.Result, 1)
				listener := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
				server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					_, release, result := bodyReader.Read(writer, request, time.Time{})
					if release != nil {
						release()
					}
					results <- result
				})}
				served := make(chan error, 1)
				go func() { served <- server.Serve(listener) }()
				client, serverEnd := net.Pipe()
				listener.connections <- serverEnd
				var senders sync.WaitGroup
				senders.Go(func() { _, _ = bufio.NewReader(client).ReadString(0) })
				startedAt := time.Now()
				senders.Go(func() { sendSlowly(client, length, test.piece, test.interval) })
				result := <-results
				is.True(time.Since(startedAt) <= test.maxDuration) // memory was held too long
				have := peridotpath.CodeOK
				if result != nil {
					have = result.Code
				}
				is.Equal(have, test.code)
				client.Close()
				server.Close()
				is.Equal(<-served, http.ErrServerClosed)
				senders.Wait()
			})
		})
	}
}

// sendSlowly sends a request of the given length in pieces until the server closes the
// connection.
func sendSlowly(connection net.Conn, length, piece int, interval time.Duration) {
	fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length)
	for sent := 0; sent < length; sent += piece {
		if _, err := connection.Write(make([]byte, min(piece, length-sent))); err != nil {
			return
		}
		time.Sleep(interval)
	}
}
