package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

const (
	// endSlack is how long before its time is up an instance may end a request.
	endSlack = 100 * time.Millisecond
	// lateEndSlack is how long after its time is up a request must have an end, and
	// shortTimeoutSlack the same after a short timeout, so that one that ends later cannot be
	// excused by it.
	lateEndSlack      = 1500 * time.Millisecond
	shortTimeoutSlack = 600 * time.Millisecond
	// killSlack is how long a process that is killed may take to end. A request can still be
	// written to a kept connection of it.
	killSlack = schedulingSlack
	// crossingSlack is how long after it was written a request may meet the close of its connection
	// that crosses it: the users' loss_slack_ms.
	crossingSlack = 200 * time.Millisecond
)

// requestArrival is the receipt of a request by an endpoint, or by a helper of it.
type requestArrival struct {
	endpoint *endpoint
	at       time.Time
}

// ending is how a request ended, as seen on its client's connection.
type ending struct {
	sentRequest
	// reply is nil if no response headers were received.
	reply *standin.Reply
	// err is the reason for which reply is nil.
	err error
	// clientErr is the reason for which the client left; nil if it did not.
	clientErr error
	// wroteAt is when the whole request was written; zero if it was not.
	wroteAt, endedAt time.Time
}

// exchange sends a request of a customer to an instance and checks how it ended. It returns nil if
// there was no response.
func (fleet *fleet) exchange(ctx context.Context, client *http.Client, instance *instance, customer peridotpath.CustomerID, request standin.Request) *standin.Reply {
	sent := sentRequest{Request: request, Customer: customer, Instance: instance, SentAt: time.Now()}
	fleet.checker.recordSent(sent)
	var mutex sync.Mutex
	ending := ending{sentRequest: sent}
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		mutex.Lock()
		defer mutex.Unlock()
		if info.Err == nil {
			ending.wroteAt = time.Now()
		}
	}}
	reply, err := standin.Send(httptrace.WithClientTrace(ctx, trace), client, instance.IngressAddress, request)
	mutex.Lock()
	defer mutex.Unlock()
	ending.endedAt, ending.clientErr, ending.err = time.Now(), ctx.Err(), err
	if err == nil {
		ending.reply = reply
	}
	if ending.clientErr != nil {
		fleet.checker.recordLeft(request.ID, ending.endedAt)
	}
	fleet.checkEnding(ending)
	return ending.reply
}

// checkEnding checks that a request that was sent whole ends with a whole answer or a refusal, and
// neither with a closed connection, a broken stream nor, while its endpoints go on, a 502 or 504
// before its time is up. The silence of an endpoint is no reason to end a request sooner.
func (fleet *fleet) checkEnding(ending ending) {
	fault := ending.fault()
	instance := ending.Instance
	if fault == "" || instance.wasKilledBetween(ending.SentAt.Add(-killSlack), ending.endedAt) || instance.wasPausedBetween(ending.SentAt, ending.endedAt) {
		return
	}
	fleet.checker.mutex.Lock()
	defer fleet.checker.mutex.Unlock()
	if fleet.isExcused(ending) {
		return
	}
	fleet.checker.addViolation("%s, sent whole to %s on route %s, %s after %v of %v, though %s ran, its client waited and no endpoint of it broke off; it reached%s%s",
		ending.ID, ending.Instance.ID, ending.Route, fault, ending.took().Round(time.Millisecond), ending.ClientTimeout, ending.Instance.ID, fleet.checker.describeArrivals(ending), fleet.checker.describeShortTimeouts(ending))
}

func (ending *ending) took() time.Duration { return ending.endedAt.Sub(ending.SentAt) }

// fault describes what is wrong with the end of a request, before its circumstances are weighed;
// empty if nothing is.
func (ending *ending) fault() string {
	switch {
	case errors.Is(ending.clientErr, context.DeadlineExceeded) && ending.took() > ending.ClientTimeout+lateEndSlack:
		return "has no end"
	case ending.clientErr != nil || ending.wroteAt.IsZero():
		return ""
	case ending.reply == nil:
		return fmt.Sprintf("got a closed connection without an answer (%v)", ending.err)
	case !ending.reply.IsComplete:
		return fmt.Sprintf("got a broken answer of status %d with %d events", ending.reply.Status, len(ending.reply.EventIDs))
	case ending.reply.Status == http.StatusBadGateway || ending.reply.Status == http.StatusGatewayTimeout:
		return fmt.Sprintf("got status %d", ending.reply.Status)
	}
	return ""
}

// isExcused reports whether an instance could not end a request otherwise. The caller holds the
// checker's mutex.
func (fleet *fleet) isExcused(ending ending) bool {
	checker := fleet.checker
	if ending.reply == nil {
		// A request can still be written to a connection while an instance that stops closes it
		// unread, and its client may send it again. One that waited there was read.
		return len(checker.arrivals[ending.ID]) == 0 && ending.clientErr == nil && ending.Instance.closedCallersAt(ending.endedAt) &&
			ending.endedAt.Sub(ending.wroteAt) <= crossingSlack
	}
	if checker.aborted[ending.ID] || ending.took() >= ending.ClientTimeout-endSlack || checker.hadShortTimeout(ending) {
		return true
	}
	hasBroken := func(arrival requestArrival) bool {
		return arrival.endpoint.proxy.wasResetBetween(netip.Addr{}, arrival.at, ending.endedAt)
	}
	if slices.ContainsFunc(checker.arrivals[ending.ID], hasBroken) {
		return true
	}
	// An attempt whose connection ends before the endpoint reads the request may have run.
	return ending.reply.IsComplete && slices.ContainsFunc(fleet.endpoints, func(endpoint *endpoint) bool {
		return endpoint.proxy.wasResetBetween(ending.Instance.IngressAddress.Addr(), ending.SentAt, ending.endedAt)
	})
}

// hadShortTimeout reports whether a request ended when a short timeout was up that its route may
// have had. The caller holds the mutex.
func (checker *checker) hadShortTimeout(ending ending) bool {
	if ending.took() < standin.ShortTimeout-endSlack || ending.took() > standin.ShortTimeout+shortTimeoutSlack {
		return false
	}
	return slices.ContainsFunc(checker.shortTimeouts, func(short span) bool {
		if !short.until.IsZero() {
			short.until = short.until.Add(standin.MaxPropagationDelay)
		}
		return short.overlaps(ending.SentAt, ending.SentAt)
	})
}

// describeArrivals names the endpoints that a request reached. The caller holds the mutex.
func (checker *checker) describeArrivals(ending ending) string {
	text := ""
	for _, arrival := range checker.arrivals[ending.ID] {
		text += fmt.Sprintf(" %s (after %v)", arrival.endpoint.ID, arrival.at.Sub(ending.SentAt).Round(time.Millisecond))
	}
	if text == "" {
		return " none"
	}
	return text
}

// describeShortTimeouts names the spans of short timeouts that began before a request ended and were
// in force at most MaxPropagationDelay and shortTimeoutSlack before it was sent. The caller holds the
// mutex.
func (checker *checker) describeShortTimeouts(ending ending) string {
	text := ""
	for _, short := range checker.shortTimeouts {
		if !short.overlaps(ending.SentAt.Add(-standin.MaxPropagationDelay-shortTimeoutSlack), ending.endedAt) {
			continue
		}
		until := "now"
		if !short.until.IsZero() {
			until = short.until.Sub(ending.SentAt).Round(time.Millisecond).String()
		}
		text += fmt.Sprintf("; timeouts of %v from %v to %v after it was sent", standin.ShortTimeout, short.from.Sub(ending.SentAt).Round(time.Millisecond), until)
	}
	return text
}

// recordAbort records that an endpoint broke off the stream of a request.
func (checker *checker) recordAbort(id peridotpath.RequestID) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.aborted[id] = true
}

// recordRoutingChanges records which changes are made to the routing from now on.
func (checker *checker) recordRoutingChanges(changes []standin.RoutingChange) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	now := time.Now()
	if last := len(checker.shortTimeouts) - 1; last >= 0 && checker.shortTimeouts[last].until.IsZero() {
		checker.shortTimeouts[last].until = now
	}
	if slices.ContainsFunc(changes, func(change standin.RoutingChange) bool { return change.ShortensTimeouts }) {
		checker.shortTimeouts = append(checker.shortTimeouts, span{from: now})
	}
}
