package outbound_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/outbound/linktest"
)

// connectSmall returns a connection whose other end holds little that it has not read.
func connectSmall(t *testing.T) pair {
	t.Helper()
	listener, err := linktest.ListenSmall(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return connectTo(t, listener)
}

// upload writes more than the other end takes and returns a channel that reports the end of the write.
func (pair pair) upload() <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := pair.client.Write(make([]byte, linktest.BodyBytes))
		ended <- err
	}()
	return ended
}

// A write has received the error of a reset, and the read that follows gets the end: a part of an
// answer without a length looks complete.
func TestEndAfterReportedResetIsAnError(t *testing.T) {
	is := is.New(t)
	pair := connectSmall(t)
	written := pair.upload()
	linktest.AnswerThenReset(pair.server, "part")
	is.True(<-written != nil)
	text, err := io.ReadAll(pair.client)
	is.Equal(string(text), "part")
	is.True(err != nil)
	count, err := pair.client.Read(make([]byte, 1))
	is.Equal(count, 0)
	is.True(err != nil && err != io.EOF) //nolint:errorlint // readers compare with io.EOF itself
}

// A reset reaches a write and a read that both wait, and the write has not returned when the read does.
func TestEndBesideWriteThatIsResetIsAnError(t *testing.T) {
	for range 30 {
		is := is.New(t)
		pair := connectSmall(t)
		written := pair.upload()
		go func() {
			_, _ = io.WriteString(pair.server, "part")
			time.Sleep(10 * time.Millisecond)
			linktest.Reset(pair.server)
		}()
		text, err := io.ReadAll(pair.client)
		is.Equal(string(text), "part")
		is.True(err != nil)
		is.True(<-written != nil)
	}
}

// A server that answers early ends its side and then resets the rest of the upload: its answer is whole.
func TestEndBeforeResetIsTheEnd(t *testing.T) {
	is := is.New(t)
	pair := connectSmall(t)
	written := pair.upload()
	_, err := io.WriteString(pair.server, "whole")
	is.NoErr(err)
	is.NoErr(pair.server.(*net.TCPConn).CloseWrite())
	time.Sleep(20 * time.Millisecond)
	linktest.Reset(pair.server)
	is.True(<-written != nil)
	text, err := io.ReadAll(pair.client)
	is.NoErr(err)
	is.Equal(string(text), "whole")
}

// postLong sends a long upload over connections of the dial.
func postLong(ctx context.Context, t *testing.T, address string, dial outbound.Dial) (body string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(outbound.WithDial(ctx, dial), http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, linktest.BodyBytes)))
	if err != nil {
		t.Fatal(err)
	}
	request.Close = true
	response, err := outbound.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// serveOnce accepts one connection, reads the head of its request and calls serve.
func serveOnce(t *testing.T, serve func(conn net.Conn)) (address string) {
	t.Helper()
	listener, err := linktest.ListenSmall(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			serve(conn)
		}
	}()
	return listener.Addr().String()
}

// An answer without a length is reset while the upload is being written, and its part is read as whole.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n\r\npart"
	is := is.New(t)
	address := serveOnce(t, func(conn net.Conn) { linktest.AnswerThenReset(conn, answer) })
	_, err := postLong(t.Context(), t, address, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := outbound.DialDirect(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return linktest.WriteFirst(conn, len(answer)), nil
	})
	is.True(err != nil)
}

// A server refuses a long upload with a length, or with the end of its side, before it has read it.
func TestEarlyAnswerOfSoundServerArrives(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 413 Too Large\r\nContent-Length: 7\r\n\r\nrefused",
		"HTTP/1.1 413 Too Large\r\nConnection: close\r\n\r\nrefused",
	} {
		t.Run(answer, func(t *testing.T) {
			is := is.New(t)
			address := serveOnce(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, answer)
				_ = conn.(*net.TCPConn).CloseWrite()
				time.Sleep(100 * time.Millisecond)
				conn.Close()
			})
			body, err := postLong(t.Context(), t, address, outbound.DialDirect)
			is.NoErr(err)
			is.Equal(body, "refused")
		})
	}
}

// A server refuses a long upload and closes without reading the rest, which its kernel makes a reset: the write
// fails before the answer is read, and the request ends without it.
func TestAnswerBeforeFailedWriteArrives(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 413 Too Large\r\nContent-Length: 7\r\n\r\nrefused",
		"HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nrefused\r\n0\r\n\r\n",
	} {
		t.Run(answer, func(t *testing.T) {
			is := is.New(t)
			address := serveOnce(t, func(conn net.Conn) { linktest.AnswerThenReset(conn, answer) })
			body, err := postLong(t.Context(), t, address, func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := outbound.DialDirect(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return linktest.FailFirst(conn), nil
			})
			is.NoErr(err)
			is.Equal(body, "refused")
		})
	}
}

// A write has failed and waits for the answer of a server that sends none: the request must end with its context.
func TestFailedWriteEndsWithItsRequest(t *testing.T) {
	is := is.New(t)
	address := serveOnce(t, linktest.Reset)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	begun := time.Now()
	_, err := postLong(ctx, t, address, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := outbound.DialDirect(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return silentConn{Conn: conn, closed: make(chan struct{})}, nil
	})
	is.True(outbound.ErrNoResponse.Has(err))
	is.True(time.Since(begun) < 5*time.Second)
}

// silentConn is a connection whose reads wait until it is closed.
type silentConn struct {
	net.Conn
	closed chan struct{}
}

func (conn silentConn) Read([]byte) (int, error) {
	<-conn.closed
	return 0, net.ErrClosed
}

func (conn silentConn) Close() error {
	close(conn.closed)
	return conn.Conn.Close()
}
