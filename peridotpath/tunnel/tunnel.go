// Package tunnel carries connections to endpoints through another instance. A client opens a
// connection to the instance and names the endpoint's address; the instance connects to it and
// then copies the bytes of both directions as they arrive.
//
// It matters when an instance is cut off from endpoints that its peers reach. The request's own
// instance goes on deciding everything: its budgets, limits, reservations and retries are the same
// over a tunnel as over a connection of its own. An instance carries connections only to endpoints
// that it knows itself, over its own link, so that there is never a second hop.
//
// The bytes to the client are sent in chunks with an end mark. Without the mark, the death of the
// carrying instance would look like the end of the endpoint's connection, and an answer that
// ends with its connection would look complete.
package tunnel

import (
	"github.com/zeebo/errs"
)

var (
	// Error is the class of the errors of a tunnel that says nothing about the endpoint: the peer
	// does not answer, or does not carry it.
	Error = errs.Class("tunnel")
	// ErrUnreachable means that the peer could not connect to the endpoint.
	ErrUnreachable = errs.Class("tunnel: peer does not reach the endpoint")
)

// Path is the path of the request that opens a tunnel.
const Path = "/peridotpath.tunnel/open"

const (
	headerAddress = "Peridotpath-Tunnel-Address"
	headerResult  = "Peridotpath-Tunnel-Result"
	protocol      = "peridotpath-tunnel"
)

// result is what came of a request to open a tunnel.
type result string

const (
	resultOpened result = "opened"
	// resultRefused: nobody listens at the endpoint's address.
	resultRefused result = "refused"
	// resultUnreachable: the endpoint does not answer.
	resultUnreachable result = "unreachable"
	// resultUnknown: the address is that of no endpoint that the peer knows.
	resultUnknown result = "unknown"
	// resultDeclined: the peer is cut off itself, is stopping or carries too many.
	resultDeclined result = "declined"
)
