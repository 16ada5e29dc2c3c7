package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

// checks holds what endpoints and callers have seen, and finds promises broken.
type checks struct {
	mutex sync.Mutex
	runs  map[peridotpath.RequestID][]run
	// revoked is when a key was taken away, holder whose a key is.
	revoked map[peridotpath.APIKey]time.Time
	leaving map[peridotpath.EndpointID]time.Time
	// stirred is when the store or the network was last disturbed.
	stirred time.Time
	asked   map[peridotpath.RequestID]question
	// ended is when endpoints ended under a fatal body, late how often it ran though
	// all had to know.
	ended    map[string][]time.Time
	late     map[string]int
	limits   map[peridotpath.EndpointID]*limited
	broken   []string
	requests int
	served   int
}

type run struct {
	standin.Execution
	Endpoint peridotpath.EndpointID
}

// question is a request as its caller sent it.
type question struct {
	standin.Request
	Customer peridotpath.CustomerID
	Instance *instance
	Sent     time.Time
}

func newChecks() *checks {
	return &checks{
		runs: map[peridotpath.RequestID][]run{}, revoked: map[peridotpath.APIKey]time.Time{},
		ended: map[string][]time.Time{}, late: map[string]int{}, limits: map[peridotpath.EndpointID]*limited{}, leaving: map[peridotpath.EndpointID]time.Time{}, asked: map[peridotpath.RequestID]question{},
	}
}

// breaks notes a broken promise.
func (checks *checks) breaks(format string, args ...any) {
	checks.broken = append(checks.broken, fmt.Sprintf(format, args...))
}

// stir notes a disturbance of the store or the network.
func (checks *checks) stir() {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	checks.stirred = time.Now()
}

const (
	// contact is how long after a disturbance bounds in time hold again.
	contact = 3 * time.Second
	// slack is for the clocks of a busy machine.
	slack = 300 * time.Millisecond
)

// began is called by an endpoint as it begins to work.
func (checks *checks) began(endpoint peridotpath.EndpointID, seen standin.Execution) {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	checks.runs[seen.RequestID] = append(checks.runs[seen.RequestID], run{seen, endpoint})
	asked, known := checks.asked[seen.RequestID]
	if !known {
		checks.breaks("%s runs %s, which nobody sent", endpoint, seen.RequestID)
		return
	}
	if seen.Body != asked.Body || seen.Customer != asked.Customer {
		checks.breaks("%s runs %s as %q of %q, sent as %q of %q", endpoint, seen.RequestID, seen.Body, seen.Customer, asked.Body, asked.Customer)
	}
	if revoked, ok := checks.revoked[asked.Key]; ok && asked.Sent.After(revoked.Add(standin.MaxRevocationDelay+slack)) {
		checks.breaks("%s runs %s, sent %v after its key was taken away", endpoint, seen.RequestID, asked.Sent.Sub(revoked))
	}
	if left, ok := checks.leaving[endpoint]; ok && asked.Sent.After(left.Add(standin.MaxPropagationDelay+slack)) &&
		time.Since(checks.stirred) > contact && left.After(checks.stirred.Add(contact)) {
		checks.breaks("%s runs %s, sent %v after it began to leave", endpoint, seen.RequestID, asked.Sent.Sub(left))
	}
	if fatal(seen.Body) {
		checks.fatalRun(asked, seen)
	}
	if asked.Route == standin.RouteNonIdempotent && len(checks.runs[seen.RequestID]) > 1 {
		checks.breaks("%s runs %d times", seen.RequestID, len(checks.runs[seen.RequestID]))
	}
}

// answered is called with what a caller got; reply is nil for no answer at all.
func (checks *checks) answered(id peridotpath.RequestID, reply *standin.Reply) {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	asked := checks.asked[id]
	// One whose key was taken away is refused, as it should be, and so is one that ends
	// endpoints.
	_, revoked := checks.revoked[asked.Key]
	revoked = revoked || fatal(asked.Body)
	if !revoked {
		checks.requests++
	}
	if reply == nil {
		return
	}
	if reply.NotRun() {
		if asked.Route == standin.RouteNonIdempotent && len(checks.runs[id]) > 0 {
			checks.breaks("%s was told %d and ran", id, reply.Status)
		}
		if reply.RetryAfterSeconds <= 0 {
			checks.breaks("%s was told %d and not when to come back", id, reply.Status)
		}
	}
	if reply.Status != 200 {
		return
	}
	if !reply.IsSigned {
		checks.breaks("%s got a success without a signature", id)
	}
	if asked.Route == standin.RouteStream {
		checks.stream(id, reply)
	} else if reply.IsComplete && reply.Body != "answer to "+asked.Body {
		checks.breaks("%s got %q", id, reply.Body)
	}
	if reply.IsComplete && !revoked {
		checks.served++
	}
}

// stream checks that no event is missing or comes twice, and that only whole
// streams end as such.
func (checks *checks) stream(id peridotpath.RequestID, reply *standin.Reply) {
	for i, event := range reply.EventIDs {
		if event != i+1 {
			checks.breaks("%s got events %v", id, reply.EventIDs)
			return
		}
	}
	if reply.IsComplete && len(reply.EventIDs) != standin.StreamEvents {
		checks.breaks("%s got %d events and an end", id, len(reply.EventIDs))
	}
}

// ask notes a request before it is sent.
func (checks *checks) ask(question question) {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	checks.asked[question.ID] = question
}

// report returns what was broken, and the counts.
func (checks *checks) report() (broken []string, requests, served int) {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	return slices.Clone(checks.broken), checks.requests, checks.served
}
