// Package disconnect tells whether the caller of a request has left, by asking the kernel about the
// caller's own connection.
//
// It serves instances that are short of processor time or that have just started into a wave of
// requests. net/http notices that a caller has left in a goroutine of its own, which runs late
// there, and not at all for a caller that has sent a part of its next request. What was queued
// for such callers would still be sent, in the seconds in which endpoints have least room.
package disconnect

import (
	"context"
	"errors"
	"net"
	"syscall"

	"peridotpath.example/peridotpath/tcpinfo"
	"peridotpath.example/peridotpath/telemetry"
)

// ErrLeft is the cause with which the context of a request ends when its caller is found to have left.
var ErrLeft = errors.New("caller has left")

type (
	connKey  struct{}
	watchKey struct{}
)

// watch is a request whose caller may leave.
type watch struct {
	conn   syscall.Conn
	cancel context.CancelCauseFunc
}

// WithConn returns a context for the requests of a connection. It is a ConnContext of http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if socket, ok := conn.(syscall.Conn); ok {
		return context.WithValue(ctx, connKey{}, socket)
	}
	return ctx
}

// Watch returns the context of one request on the connection that WithConn has put into ctx. Stop
// releases it when the request has ended.
func Watch(ctx context.Context) (_ context.Context, stop func()) {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	return context.WithValue(ctx, watchKey{}, &watch{conn: conn, cancel: cancel}), func() { cancel(context.Canceled) }
}

// Detach returns a context for work that goes on when the caller has left.
func Detach(ctx context.Context) context.Context {
	return context.WithValue(context.WithoutCancel(ctx), watchKey{}, (*watch)(nil))
}

// Check returns ErrLeft if the caller for whom ctx works has left, and then ends the context that
// Watch returned.
func Check(ctx context.Context) error {
	watch, ok := ctx.Value(watchKey{}).(*watch)
	if !ok || watch == nil || !tcpinfo.HasPeerClosed(watch.conn) {
		return nil
	}
	telemetry.CountCallerFoundGone()
	watch.cancel(ErrLeft)
	return ErrLeft
}
