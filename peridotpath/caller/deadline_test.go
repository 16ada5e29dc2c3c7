package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/faults"
)

// responseMargin is how long after its deadline a request's answer may arrive.
const responseMargin = time.Second

// A dependency of a request hangs: the engine or the service, before its headers or
// in the middle of an answer, or the platform that records the claim. Each caller
// must get a result by its deadline: a code, or an aborted connection if an opaque
// answer has begun. Without a bound the request would wait forever and hold memory.
func TestHangingDependencyEndsByDeadline(t *testing.T) {
	const completionPath, claimsPath = engine.PathCompletions, "/services/acknowledge/claims"
	streamed, whole := completionBody("leaf 12", 400, true), completionBody("leaf 12", 400, false)
	keyed := map[string]string{caller.HeaderIdempotencyKey: "k1"}
	hang := func(stack *testStack) {
		stack.engine.Faults.Set(faults.Fault{Kind: faults.Hang})
		stack.service.Faults.Set(faults.Fault{Kind: faults.Hang})
	}
	// midway sends part of an answer and then hangs.
	midway := func(stack *testStack) {
		handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set("X-Stream-Id", "s1")
			_, _ = io.WriteString(writer, "id: 0\ndata: {\"choices\":[{\"text\":\"half\"}]}\n\n")
			<-request.Context().Done()
			panic(http.ErrAbortHandler) // a clean return would end the answer
		})
		stack.network.Serve(engineAddress, handler)
		stack.network.Serve(serviceAddress, handler)
	}
	// headersOnly sends the head of an answer and then hangs.
	headersOnly := func(stack *testStack) {
		stack.network.Serve(serviceAddress, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			_ = http.NewResponseController(writer).Flush()
			<-request.Context().Done()
			panic(http.ErrAbortHandler)
		}))
	}
	platform := func(stack *testStack) {
		stack.platform.Fault = func(ctx context.Context, _, _ string, _ bool) error {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	tests := []struct {
		name   string
		hangs  func(*testStack)
		path   string
		body   string
		header map[string]string
		code   string
		broken bool
		limit  time.Duration
	}{
		{"engine before headers, streamed", hang, completionPath, streamed, nil, "4001", false, lineDeadline},
		{"engine before headers, whole", hang, completionPath, whole, nil, "4001", false, lineDeadline},
		{"engine midway, streamed", midway, completionPath, streamed, nil, "4001", false, lineDeadline},
		{"engine midway, whole", midway, completionPath, whole, nil, "4001", false, lineDeadline},
		{"the caller's own deadline", hang, completionPath, completionBody("leaf 12", 40, true), map[string]string{caller.HeaderDeadlineMS: "9000"}, "4001", false, 9 * time.Second},
		{"service before headers", hang, claimsPath, "{}", nil, "4002", false, acknowledgeDeadline},
		{"service before headers, with a key", hang, claimsPath, "{}", keyed, "4002", false, acknowledgeDeadline},
		{"service after its headers", headersOnly, claimsPath, "{}", nil, "4002", false, acknowledgeDeadline},
		{"service midway", midway, claimsPath, "{}", nil, "", true, acknowledgeDeadline},
		{"platform at the claim", platform, claimsPath, "{}", keyed, "5001", false, acknowledgeDeadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stack := newTestStack()
				defer stack.stop(t)
				stack.startPair(t)
				test.hangs(stack)
				startedAt := time.Now()
				answer := stack.requestAll(t.Context(), t, "http://"+firstAddress+test.path, apiKey, test.body, test.header)
				is.True(time.Since(startedAt) <= test.limit+10*time.Millisecond) // the result came too late
				is.Equal(failureCode(answer.text), test.code)
				is.Equal(answer.broken, test.broken)
			})
		})
	}
}

// The engine hangs when a stream is resumed. The result must come by the deadline
// of the original request; the resumption does not start a new one.
func TestHangingResumeEndsByOriginalDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stack := newTestStack()
		defer stack.stop(t)
		stack.startPair(t)
		startedAt := time.Now()
		body := completionBody("leaf 12", 400, true)
		response := stack.sendCompletion(t.Context(), t, firstAddress, apiKey, body, nil)
		partial := readStream(response.Body, 3)
		response.Body.Close()
		stack.network.Serve(engineAddress, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			<-request.Context().Done()
		}))
		time.Sleep(5 * time.Second)
		answer := stack.requestAll(t.Context(), t, "http://"+secondAddress+engine.PathCompletions, apiKey, body, map[string]string{caller.HeaderLastEventID: partial.cursors[2]})
		is.True(failureCode(answer.text) != "")                       // a coded failure
		is.True(time.Since(startedAt) <= lineDeadline+responseMargin) // the result came too late
	})
}

// pipeServer serves a handler over unbuffered pipes: a caller that does not read blocks
// the server's writes at once, like full socket buffers.
type pipeServer struct {
	server   *http.Server
	listener *pipeListener
	served   chan error
}

func newPipeServer(handler http.Handler) *pipeServer {
	front := &pipeServer{
		server:   &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, ErrorLog: nil},
		listener: &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})},
		served:   make(chan error, 1),
	}
	go func() { front.served <- front.server.Serve(front.listener) }()
	return front
}

// dial returns the client's end of a new connection.
func (pipeServer *pipeServer) dial() net.Conn {
	client, serverEnd := net.Pipe()
	pipeServer.listener.connections <- serverEnd
	return client
}

func (pipeServer *pipeServer) close() error {
	pipeServer.server.Close()
	return <-pipeServer.served
}

// writeRequest writes a request's headers and the given part of its body.
func writeRequest(connection net.Conn, path, key string, length int, body string) {
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, key, length, body)
}

// A caller sends a request and stops reading, like a laptop that is closed: the
// connection stays open, the buffers fill and no error occurs. Without a write
// deadline the engine's stream, the service's connection and a planned stop would
// wait without limit.
func TestWriteDeadlineForStalledReader(t *testing.T) {
	tests := []struct {
		name, path, body string
		limit            time.Duration
	}{
		{"stream", engine.PathCompletions, completionBody("leaf 12", 400, true), lineDeadline},
		{"whole answer", engine.PathCompletions, completionBody("leaf 12", 400, false), lineDeadline},
		{"plain service", "/services/acknowledge/claims", "{}", acknowledgeDeadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stack := newTestStack()
				defer stack.stop(t)
				// More than net/http buffers.
				stack.network.Serve(serviceAddress, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
					_, _ = writer.Write(make([]byte, 1<<20))
				}))
				server, handler := stack.instance(t, "i1")
				front := newPipeServer(handler)
				defer func() { is.Equal(front.close(), http.ErrServerClosed) }()
				client := front.dial()
				defer client.Close()
				writeRequest(client, test.path, apiKey, len(test.body), test.body)
				time.Sleep(test.limit + 2*responseMargin)
				synctest.Wait()
				is.Equal(server.ActiveRequests(), int64(0)) // the request is still being served
				time.Sleep(12 * time.Second)                // the resume window
				load := stack.engine.Load()
				is.Equal(load.Running+load.Waiting, 0)       // the engine holds memory for an abandoned request
				is.NoErr(front.server.Shutdown(t.Context())) // a planned stop completes
			})
		})
	}
}

// A refused caller, for example one with an expired key, sends its prompt slowly or
// not at all. net/http reads the rest of a body before it sends an answer: the
// refusal and a planned stop would be delayed until the body ends.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	tests := []struct {
		name, path, key string
		status          int
	}{
		{"unknown key", engine.PathCompletions, "expired", http.StatusUnauthorized},
		{"unknown profile", "/services/none/claims", apiKey, http.StatusNotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stack := newTestStack()
				defer stack.stop(t)
				_, handler := stack.instance(t, "i1")
				front := newPipeServer(handler)
				defer func() { is.Equal(front.close(), http.ErrServerClosed) }()
				client := front.dial()
				defer client.Close()
				startedAt := time.Now()
				writeRequest(client, test.path, test.key, 1000, "half")
				time.AfterFunc(time.Minute, func() { client.Close() })
				response, err := http.ReadResponse(bufio.NewReader(client), nil)
				is.NoErr(err) // no answer within a minute
				defer response.Body.Close()
				is.Equal(response.StatusCode, test.status)
				is.Equal(time.Since(startedAt), time.Duration(0)) // the refusal was delayed
				time.Sleep(2 * responseMargin)
				is.NoErr(front.server.Shutdown(t.Context()))
				is.True(time.Since(startedAt) <= 10*time.Second) // a planned stop waited for the body
			})
		})
	}
}

// A body arrives slowly, but above the minimum rate, and the request's deadline
// passes meanwhile. Without a deadline on the body the caller would wait minutes for
// an answer that can only be a refusal.
func TestSlowBodyEndsByDeadline(t *testing.T) {
	tests := []struct {
		name, path, header string
		limit              time.Duration
	}{
		{"plain service", "/services/acknowledge/claims", "", acknowledgeDeadline},
		{"prompt with a deadline of the caller's", engine.PathCompletions, "4000", 4 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stack := newTestStack()
				defer stack.stop(t)
				_, handler := stack.instance(t, "i1")
				front := newPipeServer(handler)
				defer func() { is.Equal(front.close(), http.ErrServerClosed) }()
				client := front.dial()
				defer client.Close()
				startedAt := time.Now()
				const length = 4 << 20
				if test.header != "" {
					test.header = "\r\n" + caller.HeaderDeadlineMS + ": " + test.header
				}
				writeRequest(client, test.path, apiKey+test.header, length, "")
				sent := make(chan struct{})
				go func() {
					defer close(sent)
					piece := []byte(strings.Repeat(" ", 32<<10))
					for range length / len(piece) {
						if _, err := client.Write(piece); err != nil {
							return
						}
						time.Sleep(time.Second)
					}
				}()
				response, err := http.ReadResponse(bufio.NewReader(client), nil)
				is.NoErr(err)
				text, _ := io.ReadAll(response.Body)
				response.Body.Close()
				is.True(time.Since(startedAt) <= test.limit+responseMargin) // the result came too late
				is.Equal(failureCode(string(text)), "1003")
				client.Close()
				<-sent
				time.Sleep(responseMargin) // net/http delays the close of a connection
			})
		})
	}
}

// A client reuses its connection. A stopping instance still serves the current
// request and closes idle connections shortly after: a next request that is already
// in transit would be lost, with an unknown outcome. The answer itself must close
// the connection.
func TestStoppingInstanceClosesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stack := newTestStack()
		defer stack.stop(t)
		server, handler := stack.instance(t, "i1")
		front := newPipeServer(handler)
		defer func() { is.Equal(front.close(), http.ErrServerClosed) }()
		for _, stopping := range []bool{false, true} {
			if stopping {
				server.BeginStop()
			}
			client := front.dial()
			writeRequest(client, "/services/acknowledge/claims", apiKey, 2, "{}")
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			response.Body.Close()
			is.Equal(response.StatusCode, http.StatusOK) // a stopping instance still serves
			is.Equal(response.Close, stopping)
			client.Close()
		}
		time.Sleep(responseMargin)
	})
}

// The platform hangs right after a claim was written. The service answers within a
// second; the caller must get that answer, or the service's failure, at once, and
// not only after the ledger's attempt to record the outcome has timed out.
func TestAnswerDoesNotWaitForClaimRecord(t *testing.T) {
	tests := []struct {
		name   string
		fault  faults.Kind
		status int
	}{
		{"answered", "", http.StatusOK},
		{"may have run", faults.CloseUnanswered, http.StatusFailedDependency},
		{"not run", faults.Refuse, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stack := newTestStack()
				defer stack.stop(t)
				stack.service.CallDuration = time.Second
				if test.fault != "" {
					stack.service.Faults.Set(faults.Fault{Kind: test.fault})
				}
				_, handler := stack.instance(t, "i1")
				synctest.Wait()
				var claimed atomic.Bool
				stack.platform.Fault = func(ctx context.Context, call, _ string, applied bool) error {
					if claimed.Load() {
						<-ctx.Done()
						return ctx.Err()
					}
					claimed.Store(call == "swap" && applied)
					return nil
				}
				front := newPipeServer(handler)
				defer func() { is.Equal(front.close(), http.ErrServerClosed) }()
				client := front.dial()
				defer client.Close()
				startedAt := time.Now()
				writeRequest(client, "/services/acknowledge/claims", apiKey+"\r\nIdempotency-Key: k1", 2, "{}")
				response, err := http.ReadResponse(bufio.NewReader(client), nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				response.Body.Close()
				is.True(claimed.Load())
				is.Equal(response.StatusCode, test.status)
				is.True(time.Since(startedAt) <= 1100*time.Millisecond) // the answer was delayed
			})
		})
	}
}
