package relay

import (
	"context"
	"time"
)

const (
	// maxStartHold bounds how long a starting instance holds a request, and maxStartHoldShare
	// the share of the caller's timeout for it: the rest is for the answer or a retry.
	maxStartHold      = 1500 * time.Millisecond
	maxStartHoldShare = 0.4
)

// awaitRouting holds a request while a starting instance loads its routing.
//
// It matters in the second after an outage of all instances: every caller whose request was
// cut retries at once, and most callers retry only once. A refusal at that moment loses
// most of these requests, though the routing is loaded half a second later.
func (relay *Relay) awaitRouting(ctx context.Context, request *Request) {
	awaitClosed(ctx, relay.RoutingReady, startHoldLimit(request))
}

// awaitEndpoints holds a request while a starting instance loads its endpoints, for at
// most the route's TTFT target.
//
// It matters for an instance that starts while it reaches its peers but not the store:
// it receives the routing from its peers at once, but no endpoints. Without the bound,
// short requests are held for a second and then refused, too late for a retry at another
// instance.
func (exchange *exchange) awaitEndpoints(ctx context.Context) {
	limit := startHoldLimit(exchange.request)
	if target := exchange.route.TTFTTarget; target > 0 {
		limit = min(limit, target)
	}
	awaitClosed(ctx, exchange.relay.StartDone, limit-time.Since(exchange.request.ArrivedAt))
}

// startHoldLimit returns how long a starting instance may hold the request.
func startHoldLimit(request *Request) time.Duration {
	if request.Timeout > 0 {
		return min(maxStartHold, time.Duration(maxStartHoldShare*float64(request.Timeout)))
	}
	return maxStartHold
}

// awaitClosed waits until the channel is closed, for at most the timeout. It returns at
// once for a nil channel.
func awaitClosed(ctx context.Context, ready <-chan struct{}, timeout time.Duration) {
	if ready == nil || timeout <= 0 {
		return
	}
	select {
	case <-ready:
		return
	default:
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}
