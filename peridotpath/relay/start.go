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

// awaitStart holds a request of an instance that is about to know its routing.
//
// The load that this is made for is the second after a loss of all instances: every
// caller whose request was cut comes back at once, and mostly once only. Refused since
// the routing was still being read, most of them were never served, though it was there
// half a second later.
func (relay *Relay) awaitStart(ctx context.Context, request *Request) {
	if relay.Started == nil {
		return
	}
	select {
	case <-relay.Started:
		return
	default:
	}
	hold := startHold
	if request.Patience > 0 {
		hold = min(hold, time.Duration(startShare*float64(request.Patience)))
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-relay.Started:
	case <-timer.C:
	case <-ctx.Done():
	}
}
