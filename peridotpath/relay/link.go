package relay

import (
	"errors"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/failover"
)

var errLinkStalled = errors.New("this instance's links to the endpoints carry nothing")

// watchLink suspects the contender when the own links carry nothing any more. It returns a function
// that ends the watch.
//
// An attempt that stays on such a link holds a place at its endpoint, as far as all instances
// know. With a few dozen of them, endpoints that are idle look full, and the requests of
// every instance are refused. An attempt that still reserves memory over such a link would wait
// for the timeout of that call; it is ended here, since the goroutine of the exchange waits for it.
func (race *race) watchLink(contender *contender) (stop func()) {
	notifyStalled := race.exchange.relay.NotifyStalled
	if notifyStalled == nil {
		return func() {}
	}
	loads, inFlight := race.exchange.relay.LoadTracker, contender.inFlight
	return notifyStalled(func() {
		if _, isCarried := contender.link.Peer(); isCarried {
			return
		}
		loads.RemoveInFlight(inFlight)
		contender.unloaded.Store(true)
		if (failover.Attempt{Doubt: failover.DoubtLinkLost, WasSent: contender.sent.Load()}).MustEnd() {
			contender.cancel(errLinkStalled)
			return
		}
		race.reportSuspicion(contender, failover.DoubtLinkLost, errLinkStalled)
	})
}

// reportSuspicion reports a doubt from another goroutine. It does not block.
func (race *race) reportSuspicion(contender *contender, doubt failover.Doubt, err error) {
	select {
	case race.doubts <- suspicion{contender, doubt, err}:
	default:
	}
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
