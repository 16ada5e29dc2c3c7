package relay

import (
	"context"
	"errors"
	"time"

	"peridotpath.example/peridotpath"
)

var errLinkStalled = errors.New("this instance's links to the endpoints carry nothing")

// watchLink ends what the attempt waits for when the own links carry nothing any more. It returns
// a function that ends the watch.
//
// An attempt that stays on such a link holds a place at its endpoint, as far as all instances
// know. With a few dozen of them, endpoints that are idle look full, and the requests of
// every instance are refused. An attempt that still reserves memory over such a link would wait
// for the timeout of that call, and is made again at once.
func (exchange *exchange) watchLink(cancel context.CancelCauseFunc) (stop func()) {
	notifyStalled := exchange.relay.NotifyStalled
	if notifyStalled == nil {
		return func() {}
	}
	link, inFlight, loads := exchange.link, exchange.inFlight, exchange.relay.LoadTracker
	isRepeatable := exchange.canRepeat()
	return notifyStalled(func() {
		if _, isCarried := link.Peer(); isCarried {
			return
		}
		loads.RemoveInFlight(inFlight)
		switch {
		case !exchange.sent.Load():
			cancel(errLinkStalled)
		case isRepeatable && (exchange.route.Streaming || !exchange.answered.Load()):
			cancel(errLinkStalled)
		}
	})
}

// canRepeat reports whether the attempt may be cancelled and made again elsewhere. A request that
// must not be repeated is never cancelled, since its answer may still arrive.
func (exchange *exchange) canRepeat() bool {
	return exchange.route.Repeatable() && exchange.sentCount+1 < exchange.route.MaxAttempts
}

// ejectFailed ejects an endpoint after a failure, unless this instance was cut off from all
// endpoints. The ejection would be told to the peers, which reach the endpoint.
func (exchange *exchange) ejectFailed(key peridotpath.EndpointKey, now time.Time) {
	if exchange.carrier() == "" && exchange.relay.isCutOff() {
		return
	}
	exchange.relay.LoadTracker.EjectFailed(key, now)
}

// carrier returns the peer that carried the attempt; empty if it used this instance's own link.
func (exchange *exchange) carrier() string {
	if exchange.link == nil {
		return ""
	}
	if peer, isCarried := exchange.link.Peer(); isCarried {
		return peer.String()
	}
	return ""
}
