package disconnect_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/disconnect"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (caller, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if caller, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		caller.Close()
		server.Close()
	})
	return caller, server
}

// A caller has left and no goroutine has noticed it yet: what is sent for it runs for nobody.
func TestCheckFindsCallersThatHaveLeft(t *testing.T) {
	tests := []struct {
		name  string
		leave func(caller net.Conn)
		left  bool
	}{
		{"waits", func(net.Conn) {}, false},
		{"has sent a part of its next request", func(caller net.Conn) { _, _ = io.WriteString(caller, "GET /") }, false},
		{"closes", func(caller net.Conn) { caller.Close() }, true},
		{"closes behind a part of its next request", func(caller net.Conn) {
			_, _ = io.WriteString(caller, "GET /")
			caller.Close()
		}, true},
		{"resets", func(caller net.Conn) {
			_ = caller.(*net.TCPConn).SetLinger(0)
			caller.Close()
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			caller, server := connect(t)
			ctx, stop := disconnect.Watch(disconnect.WithConn(t.Context(), server))
			defer stop()
			attempt, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			detached := disconnect.Detach(attempt)
			is.NoErr(disconnect.Check(attempt))
			test.leave(caller)
			time.Sleep(20 * time.Millisecond)
			is.NoErr(disconnect.Check(detached))
			is.Equal(errors.Is(disconnect.Check(attempt), disconnect.ErrLeft), test.left)
			is.Equal(attempt.Err() != nil, test.left)
			is.Equal(errors.Is(context.Cause(attempt), disconnect.ErrLeft), test.left)
			is.NoErr(detached.Err())
		})
	}
}

// A request without a connection of its own, as in a replay, is nobody's to leave.
func TestCheckWithoutConnection(t *testing.T) {
	is := is.New(t)
	ctx, stop := disconnect.Watch(t.Context())
	defer stop()
	is.NoErr(disconnect.Check(ctx))
}
