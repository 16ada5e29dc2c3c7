package relay

import (
	"errors"
	"time"
)

// doubt is why this instance does not expect an answer to an attempt any more.
type doubt int

const (
	doubtNone doubt = iota
	// doubtOverdue: the next event is overdue.
	doubtOverdue
	// doubtUnresponsive: the endpoint does not answer liveness probes.
	doubtUnresponsive
	// doubtLinkLost: this instance's own links carry nothing.
	doubtLinkLost
)

var doubtNames = [...]string{"", "overdue", "unresponsive", "link_lost"}

func (doubt doubt) String() string { return doubtNames[doubt] }

// doubtOf returns the doubt for which this instance ended an attempt with the error.
func doubtOf(err error) doubt {
	switch {
	case errors.Is(err, errStalled):
		return doubtOverdue
	case errors.Is(err, errUnresponsive):
		return doubtUnresponsive
	case errors.Is(err, errLinkStalled):
		return doubtLinkLost
	}
	return doubtNone
}

// silentFor returns the time since the attempt was sent or its last event arrived.
func (exchange *exchange) silentFor(now time.Time) time.Duration {
	if exchange.lastEventAt.After(exchange.sentAt) {
		return now.Sub(exchange.lastEventAt)
	}
	return now.Sub(exchange.sentAt)
}
