package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

// checker records the requests that endpoints ran and the replies that callers got,
// and finds violations of the guarantees.
type checker struct {
	mutex sync.Mutex
	runs  map[peridotpath.RequestID][]endpointRun
	// revokedAt is when a key was revoked.
	revokedAt map[peridotpath.APIKey]time.Time
	// leavingSince is when the store acknowledged that an endpoint leaves.
	leavingSince map[peridotpath.EndpointID]time.Time
	// disturbedAt is when a fault last began or ended.
	disturbedAt  time.Time
	sentRequests map[peridotpath.RequestID]sentRequest
	// crashes holds the times at which a body crashed endpoints, and quarantinedRuns
	// how often a body ran after every instance had to quarantine it.
	crashes         map[string][]time.Time
	quarantinedRuns map[string]int
	limits          map[peridotpath.EndpointID]*limitedEndpoint
	// toldLeaving is when an instance first passed on an answer of an endpoint that says that
	// it leaves, and backoffs are the backoffs that endpoints asked of instances.
	toldLeaving map[sender]time.Time
	backoffs    map[sender]*askedBackoff
	// saysLeaving holds the endpoints that say now that they leave.
	saysLeaving map[peridotpath.EndpointID]bool
	// drainedSince is when the store acknowledged the drain of a data centre; zero for none.
	drainedSince map[peridotpath.DataCentre]time.Time
	cold         map[peridotpath.EndpointID]*coldEndpoint
	// retries holds what each service received of requests and their retries.
	retries map[peridotpath.Service]*retryWindow
	// arrivals are the endpoints that received a request, aborted holds the requests whose
	// stream an endpoint broke off, and shortTimeouts are the spans in which routes have short
	// timeouts.
	arrivals      map[peridotpath.RequestID][]requestArrival
	aborted       map[peridotpath.RequestID]bool
	shortTimeouts []span
	// leftAt is when the client of a request left before its answer was whole.
	leftAt     map[peridotpath.RequestID]time.Time
	store      *standin.Store
	violations []string
	requests   int
	served     int
}

type endpointRun struct {
	standin.Execution
	Endpoint peridotpath.EndpointID
}

// sentRequest is a request as its client sent it.
type sentRequest struct {
	standin.Request
	Customer peridotpath.CustomerID
	Instance *instance
	SentAt   time.Time
}

func newChecker(store *standin.Store) *checker {
	return &checker{
		retries: map[peridotpath.Service]*retryWindow{}, arrivals: map[peridotpath.RequestID][]requestArrival{}, aborted: map[peridotpath.RequestID]bool{},
		leftAt: map[peridotpath.RequestID]time.Time{},
		store:  store, drainedSince: map[peridotpath.DataCentre]time.Time{}, cold: map[peridotpath.EndpointID]*coldEndpoint{},
		runs: map[peridotpath.RequestID][]endpointRun{}, revokedAt: map[peridotpath.APIKey]time.Time{},
		crashes: map[string][]time.Time{}, quarantinedRuns: map[string]int{}, limits: map[peridotpath.EndpointID]*limitedEndpoint{},
		toldLeaving: map[sender]time.Time{}, backoffs: map[sender]*askedBackoff{}, saysLeaving: map[peridotpath.EndpointID]bool{}, leavingSince: map[peridotpath.EndpointID]time.Time{}, sentRequests: map[peridotpath.RequestID]sentRequest{},
	}
}

// addViolation records a broken guarantee. The caller holds the mutex.
func (checker *checker) addViolation(format string, args ...any) {
	checker.violations = append(checker.violations, fmt.Sprintf(format, args...))
}

// recordDisturbance records the beginning or the end of a fault.
func (checker *checker) recordDisturbance() {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.disturbedAt = time.Now()
}

const (
	// settleTime is the time after a disturbance from which latency bounds hold again.
	settleTime = 3 * time.Second
	// schedulingSlack allows for scheduling delays on a busy machine.
	schedulingSlack = 300 * time.Millisecond
)

// recordRun checks a request that an endpoint begins to run.
func (checker *checker) recordRun(endpoint peridotpath.EndpointID, execution standin.Execution) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.runs[execution.RequestID] = append(checker.runs[execution.RequestID], endpointRun{execution, endpoint})
	sent, wasSent := checker.sentRequests[execution.RequestID]
	if !wasSent {
		checker.addViolation("%s runs %s, which nobody sent", endpoint, execution.RequestID)
		return
	}
	if execution.Body != sent.Body || execution.Customer != sent.Customer {
		checker.addViolation("%s runs %s as %q of %q, sent as %q of %q", endpoint, execution.RequestID, execution.Body, execution.Customer, sent.Body, sent.Customer)
	}
	if revokedAt, ok := checker.revokedAt[sent.Key]; ok && sent.SentAt.After(revokedAt.Add(standin.MaxRevocationDelay+schedulingSlack)) {
		checker.addViolation("%s runs %s, sent %v after its key was taken away", endpoint, execution.RequestID, sent.SentAt.Sub(revokedAt))
	}
	if leavingSince, ok := checker.leavingSince[endpoint]; ok && sent.SentAt.After(leavingSince.Add(standin.MaxPropagationDelay+schedulingSlack)) &&
		time.Since(checker.disturbedAt) > settleTime && leavingSince.After(checker.disturbedAt.Add(settleTime)) {
		checker.addViolation("%s runs %s, sent %v after it began to leave", endpoint, execution.RequestID, sent.SentAt.Sub(leavingSince))
	}
	if isFatal(execution.Body) {
		checker.recordCrash(sent, execution)
	}
	if sent.Route == standin.RouteNonIdempotent && len(checker.runs[execution.RequestID]) > 1 {
		checker.addViolation("%s runs %d times", execution.RequestID, len(checker.runs[execution.RequestID]))
	}
}

// recordArrival checks a request that reaches an endpoint and its helpers, executed or not.
func (checker *checker) recordArrival(endpoint *endpoint, arrival standin.Arrival, helpers []*endpoint) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	sent, now := checker.sentRequests[arrival.RequestID], time.Now()
	if sent.Instance == nil {
		return
	}
	checker.checkArrivalAfterLeaving(endpoint, &sent, now)
	checker.recordLimitedArrival(endpoint.ID, &sent, now)
	checker.arrivals[sent.ID] = append(checker.arrivals[sent.ID], requestArrival{endpoint, now})
	checker.recordRetry(endpoint.Service, &sent, now)
	checker.recordArrivalDespiteAnnouncement(endpoint, &sent, now)
	checker.recordArrivalWhileDrained(endpoint, &sent)
	checker.recordColdArrival(endpoint, &sent, now)
	for _, helper := range helpers {
		checker.recordArrivalWhileDrained(helper, &sent)
		checker.recordArrivalDespiteAnnouncement(helper, &sent, now)
		checker.arrivals[sent.ID] = append(checker.arrivals[sent.ID], requestArrival{helper, now})
	}
}

// recordReply checks the reply to a request; reply is nil if there was none.
func (checker *checker) recordReply(id peridotpath.RequestID, reply *standin.Reply) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	sent := checker.sentRequests[id]
	// Requests with a revoked key or a fatal body are refused by design.
	_, refusalExpected := checker.revokedAt[sent.Key]
	refusalExpected = refusalExpected || isFatal(sent.Body)
	if !refusalExpected {
		checker.requests++
	}
	if reply == nil {
		return
	}
	checker.recordAnnouncement(&sent, reply)
	if reply.NotRun() {
		if sent.Route == standin.RouteNonIdempotent && len(checker.runs[id]) > 0 {
			checker.addViolation("%s was told %d and ran", id, reply.Status)
		}
		if reply.RetryAfterSeconds <= 0 {
			checker.addViolation("%s was told %d and not when to come back", id, reply.Status)
		}
	}
	if reply.Status != 200 {
		return
	}
	if !reply.IsSigned {
		checker.addViolation("%s got a success without a signature", id)
	}
	if sent.Route == standin.RouteStream {
		checker.checkStream(id, reply)
	} else if reply.IsComplete && reply.Body != "answer to "+sent.Body {
		checker.addViolation("%s got %q", id, reply.Body)
	}
	if reply.IsComplete && !refusalExpected {
		checker.served++
	}
}

// checkStream checks that no event is missing or duplicated, and that a stream with an
// end mark is complete.
func (checker *checker) checkStream(id peridotpath.RequestID, reply *standin.Reply) {
	for i, event := range reply.EventIDs {
		if event != i+1 {
			checker.addViolation("%s got events %v", id, reply.EventIDs)
			return
		}
	}
	if reply.IsComplete && len(reply.EventIDs) != standin.StreamEvents {
		checker.addViolation("%s got %d events and an end", id, len(reply.EventIDs))
	}
}

// recordSent records a request before it is sent.
func (checker *checker) recordSent(sent sentRequest) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.sentRequests[sent.ID] = sent
}

// summary returns the violations and the counts of requests.
func (checker *checker) summary() (violations []string, requests, served int) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	return slices.Clone(checker.violations), checker.requests, checker.served
}
