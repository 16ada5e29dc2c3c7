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

// margin is what an answer may take beyond the request's time.
const margin = time.Second

// Something that a request needs hangs: the engine or the service before its
// headers or in the middle of an answer, the platform that records the claim,
// the engine that a stream is resumed at. Each caller must be told by its
// deadline, with a code or, where the answer is opaque and begun, by a broken
// connection; without a bound it waits for ever and holds its memory.
func TestWhateverHangsEndsByItsDeadline(t *testing.T) {
	const line, claims = engine.PathCompletions, "/services/acknowledge/claims"
	streamed, whole := lineBody("leaf 12", 400, true), lineBody("leaf 12", 400, false)
	keyed := map[string]string{caller.HeaderIdempotencyKey: "k1"}
	hang := func(stack *stack) {
		stack.engine.Faults.Set(faults.Fault{Kind: faults.Hang})
		stack.service.Faults.Set(faults.Fault{Kind: faults.Hang})
	}
	// midway sends part of an answer and hangs.
	midway := func(stack *stack) {
		handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set("X-Stream-Id", "s1")
			_, _ = io.WriteString(writer, "id: 0\ndata: {\"choices\":[{\"text\":\"half\"}]}\n\n")
			<-request.Context().Done()
			panic(http.ErrAbortHandler) // not the end of an answer
		})
		stack.network.Serve(stackEngine, handler)
		stack.network.Serve(stackService, handler)
	}
	platform := func(stack *stack) {
		stack.platform.Fault = func(ctx context.Context, _, _ string, _ bool) error {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	tests := []struct {
		name   string
		hangs  func(*stack)
		path   string
		body   string
		header map[string]string
		code   string
		broken bool
		limit  time.Duration
	}{
		{"engine before headers, streamed", hang, line, streamed, nil, "4001", false, lineTime},
		{"engine before headers, whole", hang, line, whole, nil, "4001", false, lineTime},
		{"engine midway, streamed", midway, line, streamed, nil, "4001", false, lineTime},
		{"engine midway, whole", midway, line, whole, nil, "4001", false, lineTime},
		{"the caller's own deadline", hang, line, lineBody("leaf 12", 40, true), map[string]string{caller.HeaderDeadlineMS: "9000"}, "4001", false, 9 * time.Second},
		{"service before headers", hang, claims, "{}", nil, "4002", false, acknowledgeTime},
		{"service before headers, with a key", hang, claims, "{}", keyed, "4002", false, acknowledgeTime},
		{"service midway", midway, claims, "{}", nil, "", true, acknowledgeTime},
		{"platform at the claim", platform, claims, "{}", keyed, "5001", false, acknowledgeTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stack := newStack()
				defer stack.close(t)
				stack.pair(t)
				test.hangs(stack)
				began := time.Now()
				answer := stack.readAll(t.Context(), t, "http://"+here+test.path, apiKey, test.body, test.header)
				is.True(time.Since(began) <= test.limit+10*time.Millisecond) // the caller was told late
				is.Equal(codeOf(answer.text), test.code)
				is.Equal(answer.broken, test.broken)
			})
		})
	}
}

// The engine hangs when the stream is resumed: the volunteer who came back is
// told by the first request's deadline, not by one that begins anew.
func TestResumeThatHangsEndsByItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stack := newStack()
		defer stack.close(t)
		stack.pair(t)
		began := time.Now()
		body := lineBody("leaf 12", 400, true)
		response := stack.ask(t.Context(), t, here, apiKey, body, nil)
		begun := readStream(response.Body, 3)
		response.Body.Close()
		stack.network.Serve(stackEngine, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			<-request.Context().Done()
		}))
		time.Sleep(5 * time.Second)
		answer := stack.readAll(t.Context(), t, "http://"+there+engine.PathCompletions, apiKey, body, map[string]string{caller.HeaderLastEventID: begun.cursors[2]})
		is.True(codeOf(answer.text) != "")            // a coded failure
		is.True(time.Since(began) <= lineTime+margin) // the caller was told late
	})
}

// front serves a handler over pipes: a caller that does not read blocks the
// server at once, as full socket buffers do.
type front struct {
	server   *http.Server
	listener *pipes
	served   chan error
}

func newFront(handler http.Handler) *front {
	front := &front{
		server:   &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, ErrorLog: nil},
		listener: &pipes{incoming: make(chan net.Conn), closed: make(chan struct{})},
		served:   make(chan error, 1),
	}
	go func() { front.served <- front.server.Serve(front.listener) }()
	return front
}

// dial returns a caller's end of a new connection.
func (front *front) dial() net.Conn {
	client, other := net.Pipe()
	front.listener.incoming <- other
	return client
}

func (front *front) close() error {
	front.server.Close()
	return <-front.served
}

// post writes a request's head and what there is of its body.
func post(connection net.Conn, path, key string, length int, body string) {
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, key, length, body)
}

// A caller sends a request and stops reading, as a laptop that is closed does:
// its connection stays, its buffers fill, no error comes. The engine's stream
// and the service's connection were held for as long as the caller liked, and a
// planned stop waited for it without end.
func TestCallerWhoStopsReadingIsLetGoOf(t *testing.T) {
	tests := []struct {
		name, path, body string
		limit            time.Duration
	}{
		{"stream", engine.PathCompletions, lineBody("leaf 12", 400, true), lineTime},
		{"whole answer", engine.PathCompletions, lineBody("leaf 12", 400, false), lineTime},
		{"plain service", "/services/acknowledge/claims", "{}", acknowledgeTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stack := newStack()
				defer stack.close(t)
				// More than net/http holds back.
				stack.network.Serve(stackService, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
					_, _ = writer.Write(make([]byte, 1<<20))
				}))
				server, handler := stack.instance(t, "i1")
				front := newFront(handler)
				defer func() { is.Equal(front.close(), http.ErrServerClosed) }()
				client := front.dial()
				defer client.Close()
				post(client, test.path, apiKey, len(test.body), test.body)
				time.Sleep(test.limit + 2*margin)
				synctest.Wait()
				is.Equal(server.Active(), int64(0)) // still being served
				time.Sleep(12 * time.Second)        // the resume window
				load := stack.engine.Load()
				is.Equal(load.Running+load.Waiting, 0)       // the engine holds memory for nobody
				is.NoErr(front.server.Shutdown(t.Context())) // a planned stop ends
			})
		})
	}
}

// A caller's key has expired, and it sends its prompt slowly or not at all.
// net/http reads the rest of a body before it sends an answer: the refusal was
// held back for as long as the body took, and a planned stop with it.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
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
				stack := newStack()
				defer stack.close(t)
				_, handler := stack.instance(t, "i1")
				front := newFront(handler)
				defer func() { is.Equal(front.close(), http.ErrServerClosed) }()
				client := front.dial()
				defer client.Close()
				began := time.Now()
				post(client, test.path, test.key, 1000, "half")
				time.AfterFunc(time.Minute, func() { client.Close() })
				response, err := http.ReadResponse(bufio.NewReader(client), nil)
				is.NoErr(err) // no answer within a minute
				defer response.Body.Close()
				is.Equal(response.StatusCode, test.status)
				is.Equal(time.Since(began), time.Duration(0)) // held back
				time.Sleep(2 * margin)
				is.NoErr(front.server.Shutdown(t.Context()))
				is.True(time.Since(began) <= 10*time.Second) // a planned stop waited for the body
			})
		})
	}
}

// An acknowledgement's body drips in, fast enough for the rule on slow senders.
// Its time runs out meanwhile; its caller waited on, for minutes, for an answer
// that could only be a refusal.
func TestSlowBodyEndsByTheDeadline(t *testing.T) {
	tests := []struct {
		name, path, header string
		limit              time.Duration
	}{
		{"plain service", "/services/acknowledge/claims", "", acknowledgeTime},
		{"prompt with a deadline of the caller's", engine.PathCompletions, "4000", 4 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stack := newStack()
				defer stack.close(t)
				_, handler := stack.instance(t, "i1")
				front := newFront(handler)
				defer func() { is.Equal(front.close(), http.ErrServerClosed) }()
				client := front.dial()
				defer client.Close()
				began := time.Now()
				const length = 4 << 20
				if test.header != "" {
					test.header = "\r\n" + caller.HeaderDeadlineMS + ": " + test.header
				}
				post(client, test.path, apiKey+test.header, length, "")
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
				is.True(time.Since(began) <= test.limit+margin) // the caller was told late
				is.Equal(codeOf(string(text)), "1003")
				client.Close()
				<-sent
				time.Sleep(margin) // net/http closes a connection slowly
			})
		})
	}
}

// A desk keeps its connection for the next call. The instance is told to stop,
// still serves the call at hand and closes idle connections a moment later: the
// next acknowledgement, on its way by then, was lost and its outcome unknown.
// The answer itself must say that the connection ends.
func TestStoppingInstanceLetsGoOfConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stack := newStack()
		defer stack.close(t)
		server, handler := stack.instance(t, "i1")
		front := newFront(handler)
		defer func() { is.Equal(front.close(), http.ErrServerClosed) }()
		for _, stopping := range []bool{false, true} {
			if stopping {
				server.Stop()
			}
			client := front.dial()
			post(client, "/services/acknowledge/claims", apiKey, 2, "{}")
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			response.Body.Close()
			is.Equal(response.StatusCode, http.StatusOK) // served all the same
			is.Equal(response.Close, stopping)
			client.Close()
		}
		time.Sleep(margin)
	})
}

// The platform hangs right after a claim was written. The service acknowledges
// within a second; the clerk must have the answer then, and one whose service
// failed the failure, not when the ledger has given up on recording its end.
func TestAnswerDoesNotWaitForItsRecord(t *testing.T) {
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
				stack := newStack()
				defer stack.close(t)
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
				front := newFront(handler)
				defer func() { is.Equal(front.close(), http.ErrServerClosed) }()
				client := front.dial()
				defer client.Close()
				began := time.Now()
				post(client, "/services/acknowledge/claims", apiKey+"\r\nIdempotency-Key: k1", 2, "{}")
				response, err := http.ReadResponse(bufio.NewReader(client), nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				response.Body.Close()
				is.True(claimed.Load())
				is.Equal(response.StatusCode, test.status)
				is.True(time.Since(began) <= 1100*time.Millisecond) // the answer was held back
			})
		})
	}
}
