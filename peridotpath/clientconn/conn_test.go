package clientconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// bound is a server whose connections a pool bounds, and what its handler received.
type bound struct {
	pool    *Pool
	address string

	mutex    sync.Mutex
	received []string
}

// startBound starts a server that answers each request with its body.
func startBound(t testing.TB, limits Limits, head HeadLimits) *bound {
	t.Helper()
	head.Defaults()
	limits.Defaults()
	bound := &bound{pool: &Pool{Port: "test", Limits: limits, HeadLimits: func() HeadLimits { return head }, Log: zerolog.Nop()}}
	inner, err := bound.pool.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bound.address = inner.Addr().String()
	server := &http.Server{Handler: Handle(http.HandlerFunc(bound.serve)), ConnState: bound.pool.ConnState, ConnContext: WithConn, MaxHeaderBytes: 64 << 20}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(inner) }()
	t.Cleanup(func() {
		server.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return bound
}

func (bound *bound) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusRequestTimeout)
		return
	}
	bound.mutex.Lock()
	bound.received = append(bound.received, fmt.Sprintf("%s %s %d %s", request.Method, request.URL.Path, len(request.Header), body))
	bound.mutex.Unlock()
	if request.URL.Path == "/slow" {
		select {
		case <-request.Context().Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
	_, _ = writer.Write(body)
}

func (bound *bound) dial(t testing.TB) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", bound.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// held returns what the pool holds now.
func (bound *bound) held() (connections int, memory int64) {
	bound.pool.mutex.Lock()
	defer bound.pool.mutex.Unlock()
	return bound.pool.ledger.count, int64(bound.pool.ledger.memory)
}

func (bound *bound) eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	connections, memory := bound.held()
	t.Fatalf("want %s, got %d connections and %d bytes", what, connections, memory)
}

// statuses reads answers until the connection ends.
func statuses(conn net.Conn, count int) []int {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	var all []int
	for reader := bufio.NewReader(conn); len(all) < count; {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return all
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		all = append(all, response.StatusCode)
	}
	return all
}

var roomy = Limits{Connections: 100, HeadMemory: 16 << 20, ReceiveBuffer: 32 << 10}

const plainRequest = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"

// Requests of all forms, one behind the other and in pieces of any size, must reach the handler as
// without a pool, and what was kept for them must be given back.
func TestRequestsPassUnchanged(t *testing.T) {
	post := "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
	chunked := "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	trailers := "POST /d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nT: x\r\n\r\n"
	large := "POST /e HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("x", 20000)
	lookalike := "POST /f HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n"
	expect := "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
	endsLikeChunks := "GET /g HTTP/1.1\r\nHost: a\r\nX: 0\r\n\r\n"
	tests := map[string][]string{
		"plain":                      {plainRequest, plainRequest, plainRequest},
		"bodies":                     {post, large, post, plainRequest},
		"chunks":                     {chunked, chunked, plainRequest, chunked, post},
		"trailers":                   {trailers, plainRequest, trailers, post, large, plainRequest},
		"chunks that look like ends": {lookalike, plainRequest, lookalike, post},
		"head that ends like chunks": {chunked, endsLikeChunks, endsLikeChunks, post, plainRequest},
		"behind a slow answer":       {expect, post, expect, plainRequest},
		"line breaks between":        {post + "\r\n", "\r\n\n" + plainRequest, post + "\r\n", post},
	}
	for name, requests := range tests {
		text := strings.Join(requests, "")
		for _, size := range []int{1, 7, 100, 5000, len(text)} {
			t.Run(fmt.Sprintf("%s/%d", name, size), func(t *testing.T) {
				is := is.New(t)
				bound := startBound(t, roomy, HeadLimits{})
				conn := bound.dial(t)
				go func() {
					for rest := text; rest != ""; {
						length := min(size, len(rest))
						if _, err := io.WriteString(conn, rest[:length]); err != nil {
							return
						}
						rest = rest[length:]
					}
				}()
				want := make([]int, len(requests))
				for i := range want {
					want[i] = http.StatusOK
				}
				is.Equal(statuses(conn, len(requests)), want)
				conn.Close()
				bound.eventually(t, "nothing held", func() bool {
					connections, memory := bound.held()
					return connections == 0 && memory == 0
				})
			})
		}
	}
}

// A client that is within its limits must find its connection open after a pause, and one that is not
// must not hold it for ever.
func TestTimesOfHeads(t *testing.T) {
	limits := HeadLimits{Timeout: 300 * time.Millisecond, IdleTimeout: 1500 * time.Millisecond}
	tests := []struct {
		name     string
		pieces   []string
		pause    time.Duration
		expected int
	}{
		{"pause within the limit", []string{plainRequest, plainRequest}, 900 * time.Millisecond, 2},
		{"pause over the limit", []string{plainRequest, plainRequest}, 1900 * time.Millisecond, 1},
		{"head within the limit", []string{"GET / HTTP/1.1\r\n", "Host: a\r\n\r\n"}, 100 * time.Millisecond, 1},
		{"head over the limit", []string{"GET / HTTP/1.1\r\n", "Host: a\r\n\r\n"}, 900 * time.Millisecond, 0},
		{"body is not a head", []string{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n", "x", "x"}, 500 * time.Millisecond, 1},
		{"line breaks that come for ever", []string{"\r\n", "\r\n", "\r\n", plainRequest}, 700 * time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn := startBound(t, roomy, limits).dial(t)
			go func() {
				for i, piece := range test.pieces {
					if i > 0 {
						time.Sleep(test.pause)
					}
					_, _ = io.WriteString(conn, piece)
				}
			}()
			is.Equal(len(statuses(conn, len(test.pieces))), test.expected)
		})
	}
}

// A head over the limit is refused as such, which clients do not try again; one for which there is no
// room as not run, which they do.
func TestRefusalsOfHeads(t *testing.T) {
	is := is.New(t)
	bound := startBound(t, roomy, HeadLimits{MaxBytes: 4096})
	conn := bound.dial(t)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 100_000))
	is.NoErr(err)
	is.Equal(statuses(conn, 1), []int{http.StatusRequestHeaderFieldsTooLarge})

	small := startBound(t, Limits{Connections: 10, HeadMemory: HeadMemory(2000, 20)}, HeadLimits{})
	serving := small.dial(t)
	_, err = io.WriteString(serving, "GET /slow HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 1500)+"\r\n\r\n")
	is.NoErr(err)
	small.eventually(t, "a request that is served", func() bool {
		small.mutex.Lock()
		defer small.mutex.Unlock()
		return len(small.received) == 1
	})
	refused := small.dial(t)
	_, err = io.WriteString(refused, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 50)+"\r\n")
	is.NoErr(err)
	is.Equal(statuses(refused, 1), []int{http.StatusServiceUnavailable})
	is.Equal(statuses(serving, 1), []int{http.StatusOK})
}

// Heads that are held back fill the memory and the connections: the next ordinary request is served,
// and the head that has been arriving for longest is refused as not run.
func TestOrdinaryRequestBesideHeldHeads(t *testing.T) {
	is := is.New(t)
	bound := startBound(t, Limits{Connections: 8, HeadMemory: 40 * memoryPerHeadLine}, HeadLimits{})
	var holders []net.Conn
	for range 12 {
		holder := bound.dial(t)
		_, err := io.WriteString(holder, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\n", 10))
		is.NoErr(err)
		holders = append(holders, holder)
		time.Sleep(5 * time.Millisecond)
	}
	ordinary := bound.dial(t)
	_, err := io.WriteString(ordinary, plainRequest)
	is.NoErr(err)
	is.Equal(statuses(ordinary, 1), []int{http.StatusOK})
	is.Equal(statuses(holders[0], 1), []int{http.StatusServiceUnavailable})
	connections, memory := bound.held()
	is.True(connections <= 8)
	is.True(memory <= 40*memoryPerHeadLine)
	ordinary.Close()
	for _, holder := range holders {
		holder.Close()
	}
	bound.eventually(t, "nothing held", func() bool {
		connections, memory := bound.held()
		return connections == 0 && memory == 0
	})
}

// All connections carry bodies that arrive slowly: one of them is ended as not run for the next
// caller, and a request that was received whole goes on.
func TestOrdinaryRequestBesideSlowBodies(t *testing.T) {
	is := is.New(t)
	bound := startBound(t, Limits{Connections: 4, HeadMemory: 1 << 20}, HeadLimits{})
	serving := bound.dial(t)
	_, err := io.WriteString(serving, "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
	is.NoErr(err)
	inPhase := func(phase phase) int {
		bound.pool.mutex.Lock()
		defer bound.pool.mutex.Unlock()
		return bound.pool.ledger.queues[phase].Len()
	}
	bound.eventually(t, "a request that is served", func() bool { return inPhase(phaseServing) == 1 })
	var slow []net.Conn
	for i := range 3 {
		framing := "Content-Length: 2\r\n\r\nx"
		if i == 0 {
			framing = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"
		}
		conn := bound.dial(t)
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\n"+framing)
		is.NoErr(err)
		slow = append(slow, conn)
		bound.eventually(t, "a body that arrives", func() bool { return inPhase(phaseBody) == i+1 })
	}
	ordinary := bound.dial(t)
	_, err = io.WriteString(ordinary, plainRequest)
	is.NoErr(err)
	is.Equal(statuses(ordinary, 1), []int{http.StatusOK})
	is.Equal(statuses(slow[0], 1), []int{http.StatusRequestTimeout})
	is.Equal(statuses(serving, 1), []int{http.StatusOK})
	_, err = io.WriteString(slow[2], "x")
	is.NoErr(err)
	is.Equal(statuses(slow[2], 1), []int{http.StatusOK})
}

// A connection that is handed over to another protocol must read without the limits of heads.
func TestHandedOverConnection(t *testing.T) {
	is := is.New(t)
	pool := &Pool{Port: "test", Limits: roomy, HeadLimits: func() HeadLimits {
		return HeadLimits{MaxBytes: 1000, Timeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
	}}
	inner, err := pool.Listen(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	got := make(chan string, 1)
	server := &http.Server{ConnState: pool.ConnState, ConnContext: WithConn, Handler: Handle(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		conn, reader, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		text, _ := io.ReadAll(reader)
		got <- string(text)
	}))}
	go func() { _ = server.Serve(inner) }()
	defer server.Close()
	conn, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, plainRequest)
	is.NoErr(err)
	time.Sleep(150 * time.Millisecond)
	text := strings.Repeat("other protocol\r\n\r\n", 500)
	_, err = io.WriteString(conn, text)
	is.NoErr(err)
	conn.Close()
	is.Equal(<-got, text)
}

// FuzzConnection sends any bytes, in two pieces, to a server with a pool and to one without: requests
// reach the handler alike, but for line breaks before a request, and nothing is held afterwards.
func FuzzConnection(f *testing.F) {
	for _, text := range []string{
		plainRequest, plainRequest + plainRequest, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: u\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\nHost: a\n\n", "GET / HTTP/1.1\r\nHost: a\r\nA:\r\n b\r\n\r\n", "GET / HTTP/1.1\r\n\r\r\n\r\n", "\x00\n\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"GET / HTTP/1.0\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxx" + plainRequest, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nxx",
	} {
		f.Add([]byte(text), uint16(len(text)/2))
	}
	bounded := startBound(f, roomy, HeadLimits{MaxBytes: 1 << 20})
	plain := startBound(f, roomy, HeadLimits{})
	server := &http.Server{Handler: http.HandlerFunc(plain.serve), MaxHeaderBytes: 64 << 20}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	plain.address = inner.Addr().String()
	go func() { _ = server.Serve(inner) }()
	f.Cleanup(func() { server.Close() })
	f.Fuzz(func(t *testing.T, text []byte, at uint16) {
		if bytes.Contains(text, []byte("/slow")) || len(text) > 8192 {
			t.Skip("too slow for a fuzz test")
		}
		split := min(int(at), len(text))
		got, want := exchange(t, bounded, text[:split], text[split:]), exchange(t, plain, text[:split], text[split:])
		hasLineBreaks := bytes.HasPrefix(text, []byte("\r")) || bytes.HasPrefix(text, []byte("\n")) || strings.Contains(strings.ReplaceAll(string(text), "\r", "\n"), "\n\n\n")
		if got != want && !hasLineBreaks {
			t.Errorf("%s: want %s, got %s", strconv.Quote(string(text)), want, got)
		}
		bounded.eventually(t, "nothing held", func() bool {
			connections, memory := bounded.held()
			return connections == 0 && memory == 0
		})
	})
}

// exchange sends two pieces, ends its side and returns what the handler received.
func exchange(t *testing.T, bound *bound, first, second []byte) string {
	t.Helper()
	conn, err := net.Dial("tcp", bound.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = conn.Write(first)
	_, _ = conn.Write(second)
	_ = conn.(*net.TCPConn).CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.Copy(io.Discard, conn)
	bound.mutex.Lock()
	defer bound.mutex.Unlock()
	received := strings.Join(bound.received, "\n")
	bound.received = nil
	return received
}

// BenchmarkRequests compares requests on a kept connection with and without a pool.
func BenchmarkRequests(b *testing.B) {
	for _, isBounded := range []bool{false, true} {
		b.Run(fmt.Sprintf("bounded=%v", isBounded), func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			var handler http.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
			server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
			if isBounded {
				pool := &Pool{Port: "bench", Limits: roomy, HeadLimits: func() (limits HeadLimits) { limits.Defaults(); return limits }}
				server = &http.Server{Handler: Handle(handler), ConnState: pool.ConnState, ConnContext: WithConn}
				inner.Close()
				if inner, err = pool.Listen(b.Context(), "127.0.0.1:0"); err != nil {
					b.Fatal(err)
				}
			}
			go func() { _ = server.Serve(inner) }()
			defer server.Close()
			client := &http.Client{Transport: &http.Transport{}}
			request, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+inner.Addr().String()+"/", nil)
			for i := range 10 {
				request.Header.Set("X-Header-"+strconv.Itoa(i), "some ordinary value")
			}
			b.ReportAllocs()
			for b.Loop() {
				response, err := client.Do(request)
				if err != nil {
					b.Fatal(err)
				}
				response.Body.Close()
			}
		})
	}
}

// A client sends requests without end behind one that is served: what nobody reads stays in its
// connection's receive buffer, which the kernel would let grow to megabytes.
func TestUnreadBytesAreBounded(t *testing.T) {
	is := is.New(t)
	bound := startBound(t, roomy, HeadLimits{})
	conn := bound.dial(t)
	_, err := io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).SetWriteBuffer(4 << 10))
	_ = conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	sent, err := conn.Write(make([]byte, 4<<20))
	is.True(err != nil)
	is.True(sent < 8*int(roomy.ReceiveBuffer))
}
