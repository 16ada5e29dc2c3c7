package outbound

import (
	"context"
	"net"

	"peridotpath.example/peridotpath/disconnect"
)

// requestConn is a connection that serves one request only. It sends nothing once the caller of
// that request has left: a dial may take longer than callers wait.
type requestConn struct {
	net.Conn

	ctx context.Context //nolint:containedctx // the context of the one request
}

// dialForRequest opens a connection for the request with the context.
func dialForRequest(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &requestConn{Conn: conn, ctx: ctx}, nil
}

// Write writes to the connection.
func (conn *requestConn) Write(data []byte) (int, error) {
	if err := disconnect.Check(conn.ctx); err != nil {
		return 0, err
	}
	return conn.Conn.Write(data)
}
