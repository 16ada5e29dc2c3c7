package relay

import (
	"context"
	"time"
)

const (
	// startHold bounds the hold of a request by an instance that has just started, and
	// startShare is the part of its time that it may be held: there must be enough left
	// to serve it, or to come back.
	startHold  = 1500 * time.Millisecond
	startShare = 0.4
)

// awaitRouting holds a request of an instance that is about to know its routing.
//
// The load that this is made for is the second after a loss of all instances: every
// caller whose request was cut comes back at once, and mostly once only. Refused since
// the routing was still being read, most of them were never served, though it was there
// half a second later.
func (relay *Relay) awaitRouting(ctx context.Context, request *Request) {
	hold(ctx, relay.Routed, startLimit(request))
}

// awaitEndpoints holds a request whose route is known at an instance that is about to know
// its endpoints, for no longer than the answer's aim.
//
// The load that this is made for is the start of an instance that hears its peers and not
// the store: it has their routing at once, and no endpoints. Short requests stood for a
// second and were refused, late for their callers to go elsewhere.
func (exchange *exchange) awaitEndpoints(ctx context.Context) {
	limit := startLimit(exchange.request)
	if aim := exchange.route.TTFTTarget; aim > 0 {
		limit = min(limit, aim)
	}
	hold(ctx, exchange.relay.Started, limit-time.Since(exchange.request.Arrived))
}

// startLimit is how long a request may be held by a start.
func startLimit(request *Request) time.Duration {
	if request.Patience > 0 {
		return min(startHold, time.Duration(startShare*float64(request.Patience)))
	}
	return startHold
}

// hold waits until what is awaited has come, for the span at most. Nothing is awaited of
// a nil channel.
func hold(ctx context.Context, awaited <-chan struct{}, span time.Duration) {
	if awaited == nil || span <= 0 {
		return
	}
	select {
	case <-awaited:
		return
	default:
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-awaited:
	case <-timer.C:
	case <-ctx.Done():
	}
}
