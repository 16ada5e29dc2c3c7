package outbound_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/disconnect"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/outbound/linktest"
)

// resendTime is longer than the kernel waits before it sends again what was lost in a short cut.
const resendTime = 1500 * time.Millisecond

// pair is a connection of outbound and its other end.
type pair struct{ client, server net.Conn }

func connect(t *testing.T) pair {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return connectTo(t, listener)
}

// connectTo returns the first connection to the listener, which it closes.
func connectTo(t *testing.T, listener net.Listener) pair {
	t.Helper()
	defer listener.Close()
	client, err := outbound.DialDirect(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return pair{client, server}
}

func (pair pair) cut(t *testing.T) {
	t.Helper()
	if err := errors.Join(linktest.Cut(pair.client), linktest.Cut(pair.server)); err != nil {
		t.Fatal(err)
	}
}

// heal ends the cut of the server's end; that of the client may be closed.
func (pair pair) heal(t *testing.T) {
	t.Helper()
	if err := linktest.Heal(pair.server); err != nil {
		t.Fatal(err)
	}
}

// received returns what the server's end receives within resendTime, and how that ends.
func (pair pair) received() ([]byte, error) {
	_ = pair.server.SetReadDeadline(time.Now().Add(resendTime))
	return io.ReadAll(pair.server)
}

// A request is given up while its link is cut: the kernel delivers it when the link is back, and the
// endpoint works for a caller that has left long before.
func TestRequestGivenUpOverCutLinkNeverArrives(t *testing.T) {
	is := is.New(t)
	var pair pair
	dial := func(context.Context, string, string) (net.Conn, error) {
		pair = connect(t)
		pair.cut(t)
		return pair.client, nil
	}
	ctx, giveUp := context.WithTimeout(outbound.WithDial(t.Context(), dial), 50*time.Millisecond)
	defer giveUp()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1:1/run", bytes.NewReader([]byte("prompt")))
	is.NoErr(err)
	request.Close = true
	response, err := outbound.Do(request)
	if err == nil {
		response.Body.Close()
	}
	is.True(outbound.ErrNoResponse.Has(err))
	time.Sleep(50 * time.Millisecond)
	pair.heal(t)
	received, _ := pair.received()
	is.Equal(string(received), "")
}

// An endpoint that has the whole request never learns that it was given up, since a reset is sent once
// and was lost in the cut.
func TestEndOfArrivedRequestIsToldAfterCut(t *testing.T) {
	is := is.New(t)
	pair := connect(t)
	_, err := io.WriteString(pair.client, "request")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	pair.cut(t)
	is.NoErr(pair.client.Close())
	time.Sleep(50 * time.Millisecond)
	pair.heal(t)
	received, err := pair.received()
	is.NoErr(err) // the end of the connection
	is.Equal(string(received), "request")
}

// The end of a connection is sent while its link is cut, and the connection is closed before that has
// arrived: the end counts as a byte that was not acknowledged, and must not be dropped.
func TestEndThatWasSentInCutIsNotDropped(t *testing.T) {
	is := is.New(t)
	pair := connect(t)
	_, err := io.WriteString(pair.client, "request")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	pair.cut(t)
	is.NoErr(pair.client.(interface{ CloseWrite() error }).CloseWrite())
	time.Sleep(20 * time.Millisecond)
	is.NoErr(pair.client.Close())
	pair.heal(t)
	received, err := pair.received()
	is.NoErr(err) // the end of the connection
	is.Equal(string(received), "request")
}

// An endpoint that reads slowly gets the rest of a request that was given up, and runs it.
func TestRestOfRequestGivenUpIsDropped(t *testing.T) {
	is := is.New(t)
	pair := connect(t)
	request := make([]byte, 32<<20)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = pair.client.Write(request)
	}()
	time.Sleep(50 * time.Millisecond)
	is.NoErr(pair.client.Close())
	<-written
	received, err := pair.received()
	is.True(err != nil) // a reset
	is.True(len(received) < len(request))
}

// A whole answer ends its connection in the ordinary way, also where the endpoint has read
// a part of the request only.
func TestAnsweredConnectionIsNotReset(t *testing.T) {
	is := is.New(t)
	pair := connect(t)
	_, err := io.WriteString(pair.client, "request")
	is.NoErr(err)
	_, err = io.WriteString(pair.server, "answer")
	is.NoErr(err)
	_, err = io.ReadFull(pair.client, make([]byte, 6))
	is.NoErr(err)
	is.NoErr(pair.client.Close())
	received, err := pair.received()
	is.NoErr(err)
	is.Equal(string(received), "request")
}

// A caller leaves while its request waits for a connection, or before: the endpoint would work for
// nobody. The caller has sent a part of its next request, so that net/http does not notice.
func TestNothingIsSentForCallerThatHasLeft(t *testing.T) {
	for _, test := range []struct {
		name            string
		leaveWhileDials bool
	}{{"before", false}, {"while a connection is opened", true}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			caller, endpoint := connect(t), connect(t)
			leave := func() {
				_, _ = io.WriteString(caller.client, "GET /")
				caller.client.Close()
				time.Sleep(20 * time.Millisecond)
			}
			dialled := false
			dial := func(context.Context, string, string) (net.Conn, error) {
				dialled = true
				leave()
				return endpoint.client, nil
			}
			waiting, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			ctx, stop := disconnect.Watch(disconnect.WithConn(waiting, caller.server))
			defer stop()
			if !test.leaveWhileDials {
				leave()
			}
			request, err := http.NewRequestWithContext(outbound.WithDial(ctx, dial), http.MethodPost, "http://127.0.0.1:1/run", bytes.NewReader([]byte("prompt")))
			is.NoErr(err)
			request.Close = true
			response, err := outbound.Do(request)
			if err == nil {
				response.Body.Close()
			}
			is.True(err != nil)
			is.Equal(dialled, test.leaveWhileDials)
			is.Equal(errors.Is(context.Cause(ctx), disconnect.ErrLeft), true)
			endpoint.client.Close()
			received, _ := endpoint.received()
			is.Equal(string(received), "")
		})
	}
}
