package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

// Answer writes what an endpoint in trouble sends after it has read a request, until the connection ends.
type Answer func(conn net.Conn, request *http.Request)

// signedHead returns the beginning of a head that is the endpoint's own to the request.
func signedHead(request *http.Request) string {
	return "HTTP/1.1 200 OK\r\nX-Peridotpath-Attempt-Id: " + request.Header.Get("X-Peridotpath-Attempt-Id") + "\r\nX-Peridotpath-Replica-Signature: faulty\r\n"
}

// Endless sends a head's beginning, with fields, then begin, and then piece again and again, with a pause
// before each.
func Endless(fields, begin, piece string, pause time.Duration) Answer {
	return func(conn net.Conn, request *http.Request) {
		_, err := io.WriteString(conn, signedHead(request)+fields+begin)
		for err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(conn, piece)
		}
	}
}

// AddFaulty registers endpoints of a service that answer all requests, calls for their load and health too,
// in the same way. remove takes their entries away; they go on answering until the instance is closed.
func (instance *Instance) AddFaulty(count int, service peridotpath.Service, answer Answer) (remove func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	var renewing sync.WaitGroup
	var keys []string
	for number := range count {
		address, err := instance.serveRaw(answer)
		if err != nil {
			cancel()
			return nil, err
		}
		endpoint := &standin.Endpoint{ID: peridotpath.EndpointID(fmt.Sprintf("faulty-%s-%d", service, number)), Service: service, Slots: 16}
		born := time.Now()
		key, _ := endpoint.Entry(address, born, false)
		keys = append(keys, key)
		renewing.Go(func() {
			for ctx.Err() == nil {
				instance.store.Put(endpoint.Entry(address, born, false))
				sleep(ctx, renewInterval)
			}
		})
	}
	return func() {
		cancel()
		renewing.Wait()
		for _, key := range keys {
			instance.store.Remove(key)
		}
	}, nil
}

// serveRaw starts a server of plain TCP that reads the head and the body of a request, and then answers.
func (instance *Instance) serveRaw(answer Answer) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	instance.listeners = append(instance.listeners, listener)
	instance.background.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				answer(conn, request)
			}()
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// Callers sends requests of a route, one behind the other on each connection, and reads their answers.
type Callers struct {
	Instance *Instance
	Route    peridotpath.RouteName
	Clients  int

	// answered counts the answers, served the successes that ended as such.
	answered, served, wrong atomic.Int64
}

// Run sends requests until ctx ends.
func (callers *Callers) Run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers.Clients}, Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	var running sync.WaitGroup
	for number := range callers.Clients {
		running.Go(func() {
			for count := 0; ctx.Err() == nil; count++ {
				id := peridotpath.RequestID(fmt.Sprintf("faulty-%d-%d", number, count))
				callers.send(ctx, client, id)
				sleep(ctx, returnDelay)
			}
		})
	}
	running.Wait()
}

func (callers *Callers) send(ctx context.Context, client *http.Client, id peridotpath.RequestID) {
	request := standin.Request{ID: id, Route: callers.Route, Key: "desk-1", Body: string(id), ClientTimeout: requestTimeout}
	if callers.Route == standin.RouteStream {
		request.PromptTokens = 200
	}
	reply, err := standin.Send(ctx, client, callers.Instance.Callers, request)
	if err != nil {
		return
	}
	callers.answered.Add(1)
	if reply.Status != http.StatusOK || !reply.IsComplete {
		return
	}
	callers.served.Add(1)
	if reply.Endpoint == "faulty" || !reply.IsSigned {
		callers.wrong.Add(1)
	}
}

// chunkOf returns a chunk that repeats a text to about size bytes.
func chunkOf(text string, size int) string {
	data := strings.Repeat(text, max(1, size/len(text)))
	return fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
}
