package relay

import (
	"errors"
	"time"

	"peridotpath.example/peridotpath/failover"
	"peridotpath.example/peridotpath/liveness"
)

// doubtOf returns the doubt for which this instance ended an attempt with the error.
func doubtOf(err error) failover.Doubt {
	switch {
	case errors.Is(err, errStalled):
		return failover.DoubtOverdue
	case errors.Is(err, liveness.ErrUnresponsive):
		return failover.DoubtUnresponsive
	case errors.Is(err, errLinkStalled):
		return failover.DoubtLinkLost
	}
	return failover.DoubtNone
}

// silentFor returns the time since the attempt was sent or its last event arrived.
func (exchange *exchange) silentFor(now time.Time) time.Duration {
	if exchange.lastEventAt.After(exchange.sentAt) {
		return now.Sub(exchange.lastEventAt)
	}
	return now.Sub(exchange.sentAt)
}
