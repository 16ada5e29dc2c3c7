package inbound

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedListener accepts connections whose writes block until release is closed, like those of a
// caller behind a slow link whose buffers are full.
type blockedListener struct {
	net.Listener
	release <-chan struct{}
}

func (listener *blockedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	return &blockedConn{conn, listener.release}, err
}

type blockedConn struct {
	net.Conn
	release <-chan struct{}
}

func (conn *blockedConn) Write(data []byte) (int, error) {
	<-conn.release
	return conn.Conn.Write(data)
}

// The handler of a request has returned, and the end of its answer is not written yet. A stop that
// counts handlers only would end the process, and the caller would get a closed connection.
func TestAnsweringUntilAnswerIsWritten(t *testing.T) {
	is := is.New(t)
	var answering answering
	release, returned := make(chan struct{}), make(chan struct{}, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(writer, "done")
		returned <- struct{}{}
	}))
	server.Listener = &blockedListener{server.Listener, release}
	server.Config.ConnState = answering.track
	server.Start()
	defer server.Close()
	client, served := server.Client(), make(chan string, 1)
	go func() {
		response, err := client.Get(server.URL)
		if err != nil {
			served <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		served <- string(body)
	}()
	<-returned
	time.Sleep(20 * time.Millisecond) // the server writes what the handler left
	is.Equal(answering.count(), 1)
	close(release)
	is.Equal(<-served, "done")
	for end := time.Now().Add(5 * time.Second); answering.count() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(answering.count(), 0) // the connection is kept, without a request
}
