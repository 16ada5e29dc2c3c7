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

// pipes is a listener whose connections are pipes, for use under synctest.
type pipes struct {
	incoming chan net.Conn
	closed   chan struct{}
}

func (pipes *pipes) Accept() (net.Conn, error) {
	select {
	case connection := <-pipes.incoming:
		return connection, nil
	case <-pipes.closed:
		return nil, net.ErrClosed
	}
}

func (pipes *pipes) Close() error { close(pipes.closed); return nil }

func (pipes *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// A caller announces a long body and sends one byte every nine seconds, just
// within the time that is allowed between two pieces. Its memory was held for as
// long as it liked; some sixteen such callers have every other prompt refused.
func TestSlowSenderIsCutOff(t *testing.T) {
	tests := []struct {
		name  string
		piece int
		every time.Duration
		code  peridotpath.Code
		most  time.Duration
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
				bodies := caller.NewBodies(2<<20, 3<<20, 10*time.Second)
				results := make(chan *peridotpath.Result, 1)
				listener := &pipes{incoming: make(chan net.Conn), closed: make(chan struct{})}
				server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					_, free, result := bodies.Read(writer, request, time.Time{})
					if free != nil {
						free()
					}
					results <- result
				})}
				served := make(chan error, 1)
				go func() { served <- server.Serve(listener) }()
				client, other := net.Pipe()
				listener.incoming <- other
				var senders sync.WaitGroup
				senders.Go(func() { _, _ = bufio.NewReader(client).ReadString(0) })
				began := time.Now()
				senders.Go(func() { drip(client, length, test.piece, test.every) })
				result := <-results
				is.True(time.Since(began) <= test.most) // memory was held too long
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

// drip sends a request of the given length piece by piece until it is cut off.
func drip(connection net.Conn, length, piece int, every time.Duration) {
	fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length)
	for sent := 0; sent < length; sent += piece {
		if _, err := connection.Write(make([]byte, min(piece, length-sent))); err != nil {
			return
		}
		time.Sleep(every)
	}
}
