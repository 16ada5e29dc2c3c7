package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/dispatch"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/service"
)

type (
	promptRun func(ctx context.Context, request *dispatch.Request, sink *dispatch.Sink) *peridotpath.Result
	plainRun  func(ctx context.Context, writer http.ResponseWriter) *peridotpath.Result
)

// startServer starts a server whose requests run by the given functions.
func startServer(t *testing.T, prompt promptRun, plain plainRun) *httptest.Server {
	t.Helper()
	stack := newTestStack()
	defer stack.stop(t)
	server := &caller.Server{
		Log: zerolog.Nop(), ActiveConfig: func() *peridotpath.Config { return stack.config }, Do: prompt,
		DoPlain: func(ctx context.Context, _ *decide.Work, _ *service.Request, _ func() error, writer http.ResponseWriter) *peridotpath.Result {
			return plain(ctx, writer)
		},
		LargestEngineKV: func(peridotpath.Service) peridotpath.Tokens { return 400_000 },
		BodyReader:      caller.NewBodyReader(1<<20, 4<<20, time.Second),
	}
	front := httptest.NewServer(routesHandler(t, server))
	t.Cleanup(front.Close)
	return front
}

// ask sends a request and returns the status, zero without an answer, the failure's code and
// whether the answer broke off.
func ask(t *testing.T, url, body string) (status int, code string, broken bool) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, "", true
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, failureCode(string(text)), err != nil
}

// Every return between accepting and answering a request: one that was read whole ends with an
// answer, a failure, or a connection that is aborted in the middle of an opaque answer. A handler
// that returns without a word gives its caller an empty success, and one that panics a closed
// connection.
func TestEveryRequestIsEnded(t *testing.T) {
	begin := func(sink *dispatch.Sink) {
		sink.BeginAnswer(nil, "engine-1", "")
		_ = sink.WriteEvent(0, []byte(`{"choices":[{"text":"half"}]}`))
	}
	for name, test := range map[string]struct {
		run    promptRun
		status int
		code   string
	}{
		"nothing": {func(context.Context, *dispatch.Request, *dispatch.Sink) *peridotpath.Result { return nil }, 500, "5004"},
		"panic":   {func(context.Context, *dispatch.Request, *dispatch.Sink) *peridotpath.Result { panic("fault") }, 500, "5004"},
		"panic in a stream": {func(_ context.Context, _ *dispatch.Request, sink *dispatch.Sink) *peridotpath.Result {
			begin(sink)
			panic("fault")
		}, 200, "5004"},
		"caller taken for gone": {func(context.Context, *dispatch.Request, *dispatch.Sink) *peridotpath.Result {
			return &peridotpath.Result{Code: peridotpath.CodeCallerGone}
		}, 499, "4004"},
		"stream of a caller taken for gone": {func(_ context.Context, _ *dispatch.Request, sink *dispatch.Sink) *peridotpath.Result {
			begin(sink)
			return &peridotpath.Result{Code: peridotpath.CodeCallerGone}
		}, 200, "4004"},
		"answered": {func(_ context.Context, _ *dispatch.Request, sink *dispatch.Sink) *peridotpath.Result {
			sink.BeginAnswer(nil, "engine-1", "")
			_ = sink.WriteWhole([]byte("{}"))
			return nil
		}, 200, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			front := startServer(t, test.run, nil)
			status, code, broken := ask(t, front.URL+engine.PathCompletions, completionBody("leaf 12", 10, true))
			is.Equal(status, test.status)
			is.Equal(code, test.code)
			is.True(!broken)
		})
	}
	for name, test := range map[string]struct {
		run    plainRun
		status int
		code   string
		broken bool
	}{
		"plain, panic": {func(context.Context, http.ResponseWriter) *peridotpath.Result { panic("fault") }, 500, "5004", false},
		"plain, panic in the answer": {func(_ context.Context, writer http.ResponseWriter) *peridotpath.Result {
			writer.WriteHeader(http.StatusOK)
			panic("fault")
		}, 0, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			front := startServer(t, nil, test.run)
			status, code, broken := ask(t, front.URL+caller.ServicePrefix+"acknowledge/claims", "{}")
			is.Equal(status, test.status)
			is.Equal(code, test.code)
			is.Equal(broken, test.broken)
		})
	}
}

// A caller closes its sending side after the request and reads on. It is taken for gone, and must
// not get an empty success, which no client can tell from an answer.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	is := is.New(t)
	front := startServer(t, func(ctx context.Context, _ *dispatch.Request, _ *dispatch.Sink) *peridotpath.Result {
		<-ctx.Done()
		return &peridotpath.Result{Code: peridotpath.CodeCallerGone}
	}, nil)
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	body := completionBody("leaf 12", 10, false)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", engine.PathCompletions, apiKey, len(body), body)
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, 499)
}

// The handler of a request with an idempotency key panics. A repetition must learn that the
// request may have run, at once; it would wait until its deadline for a request that has ended.
func TestKeyOfRequestThatPanicked(t *testing.T) {
	for name, test := range map[string]struct {
		sent         bool
		first, again string
	}{
		"before it was sent": {false, "5004", ""}, "after it was sent": {true, "5004", "4002"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stack := newTestStack()
				defer stack.stop(t)
				server, handler := stack.instance(t, "i1")
				stack.network.Serve(firstAddress, handler)
				synctest.Wait()
				run := server.DoPlain
				server.DoPlain = func(_ context.Context, _ *decide.Work, _ *service.Request, maySend func() error, _ http.ResponseWriter) *peridotpath.Result {
					if test.sent {
						is.NoErr(maySend())
					}
					panic("fault")
				}
				url, key := "http://"+firstAddress+caller.ServicePrefix+"acknowledge/claims", map[string]string{caller.HeaderIdempotencyKey: "k1"}
				is.Equal(failureCode(stack.requestAll(t.Context(), t, url, apiKey, "{}", key).text), test.first)
				server.DoPlain = run
				time.Sleep(time.Second)
				startedAt := time.Now()
				is.Equal(failureCode(stack.requestAll(t.Context(), t, url, apiKey, "{}", key).text), test.again)
				is.True(time.Since(startedAt) < time.Second)
			})
		})
	}
}
