package caller_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
)

// A caller sends its whole body before it reads the answer, which is a refusal without the body
// having been read. If the connection is closed while the caller sends, it fails to send and may
// never see the refusal.
func TestRefusalReachesCallerThatSendsFirst(t *testing.T) {
	const bodyBytes, pause = 7 << 20, 700 * time.Millisecond
	is := is.New(t)
	// Without a configuration every request is refused as not ready.
	server := &caller.Server{Log: zerolog.Nop(), ActiveConfig: func() *peridotpath.Config { return nil }}
	front := httptest.NewServer(server.NotFoundHandler())
	defer front.Close()
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", bodyBytes)
	is.NoErr(err)
	_, err = conn.Write(make([]byte, bodyBytes/2))
	is.NoErr(err)
	time.Sleep(pause)
	_, err = conn.Write(make([]byte, bodyBytes/2))
	is.NoErr(err) // the connection was closed while the caller sent its body
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
}

// A caller declares a body on a path that takes none, and sends none. Its answer, and a planned
// stop, would wait for the body without bound.
func TestAnswerDoesNotWaitForUnusedBody(t *testing.T) {
	config := &peridotpath.Config{Customers: []peridotpath.Customer{{ID: "desk", KeySHA256: peridotpath.HashKey(apiKey)}}}
	config.Defaults()
	config.Index()
	server := &caller.Server{
		Log: zerolog.Nop(), ActiveConfig: func() *peridotpath.Config { return config },
		BodyReader: caller.NewBodyReader(1<<20, 4<<20, 100*time.Millisecond),
	}
	front := httptest.NewServer(routesHandler(t, server))
	defer front.Close()
	for path, status := range map[string]int{
		"/health/live": http.StatusOK, "/health/ready": http.StatusOK, "/v1/models": http.StatusBadRequest,
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", front.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 10\r\n\r\n", path, apiKey)
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			response.Body.Close()
			is.Equal(response.StatusCode, status)
		})
	}
}

// A refused caller still sends its body, which is dropped. It must not take the place of another
// request: callers without a key could keep all others out.
func TestRefusedCallerHoldsNoPlace(t *testing.T) {
	is := is.New(t)
	config := &peridotpath.Config{Customers: []peridotpath.Customer{{ID: "desk", KeySHA256: peridotpath.HashKey(apiKey)}}}
	config.Defaults()
	config.Index()
	server := &caller.Server{
		Log: zerolog.Nop(), ActiveConfig: func() *peridotpath.Config { return config }, MaxActiveRequests: 1,
		BodyReader: caller.NewBodyReader(1<<20, 4<<20, 100*time.Millisecond),
	}
	front := httptest.NewServer(routesHandler(t, server))
	defer front.Close()
	stalled, err := net.Dial("tcp", front.Listener.Addr().String())
	is.NoErr(err)
	defer stalled.Close()
	_ = stalled.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = fmt.Fprint(stalled, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusUnauthorized)
	time.Sleep(20 * time.Millisecond)
	request, err := http.NewRequest(http.MethodGet, front.URL+"/v1/models", http.NoBody)
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err = http.DefaultTransport.RoundTrip(request)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK)
}
