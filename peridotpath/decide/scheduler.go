package decide

import (
	"sync"
	"time"

	"peridotpath.example/peridotpath"
)

// Scheduler decides for one Instance. Its methods may be called from any
// goroutine.
type Scheduler struct {
	mu        sync.Mutex
	endpoints []peridotpath.Endpoint
	running   map[peridotpath.EndpointID]int
}

// SetEndpoints replaces what is known of the fleet.
func (scheduler *Scheduler) SetEndpoints(_ time.Time, endpoints []peridotpath.Endpoint) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	scheduler.endpoints = endpoints
	if scheduler.running == nil {
		scheduler.running = map[peridotpath.EndpointID]int{}
	}
}

// Report takes in an endpoint's report about itself.
func (scheduler *Scheduler) Report(_ time.Time, _ peridotpath.EndpointID, _ peridotpath.Load) {}

// Submit decides about new work.
func (scheduler *Scheduler) Submit(_ time.Time, work *Work) Decision {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	var best *peridotpath.Endpoint
	for i := range scheduler.endpoints {
		endpoint := &scheduler.endpoints[i]
		if endpoint.Service != work.Profile.Service || endpoint.State != peridotpath.StateLive || work.avoids(endpoint.ID) {
			continue
		}
		if best == nil || scheduler.running[endpoint.ID] < scheduler.running[best.ID] {
			best = endpoint
		}
	}
	if best == nil {
		result := &peridotpath.Result{Code: peridotpath.CodeNoEndpoint, RetryAfter: time.Second}
		return Decision{Work: work, Verdict: Refuse, Result: result}
	}
	scheduler.running[best.ID]++
	work.Attempts++
	work.Endpoint = best.ID
	return Decision{Work: work, Verdict: Place, Endpoint: *best}
}

func (work *Work) avoids(id peridotpath.EndpointID) bool {
	for _, avoided := range work.avoid {
		if avoided == id {
			return true
		}
	}
	return false
}

// Advance decides about waiting work. Call it after every event and at Next.
func (scheduler *Scheduler) Advance(_ time.Time) []Decision { return nil }

// Next returns when Advance is due if nothing happens before; zero for never.
func (scheduler *Scheduler) Next() time.Time { return time.Time{} }

// Cancel takes waiting work out of the queue: its caller left.
func (scheduler *Scheduler) Cancel(_ time.Time, _ *Work) {}

// FirstToken notes that placed work has begun to answer.
func (scheduler *Scheduler) FirstToken(_ time.Time, _ *Work) {}

// Done ends the current placement. It must be called exactly once for each
// Place verdict. tokens is how many answer tokens were produced.
func (scheduler *Scheduler) Done(_ time.Time, work *Work, outcome Outcome, _ peridotpath.Tokens) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	scheduler.running[work.Endpoint]--
	if outcome != Finished {
		work.avoid = append(work.avoid, work.Endpoint)
	}
	work.Endpoint = ""
}

// Retry decides whether work whose attempt ended is placed again, waits, or is
// refused with last, the result of the attempt.
func (scheduler *Scheduler) Retry(now time.Time, work *Work, last *peridotpath.Result) Decision {
	if work.Attempts >= work.Profile.MaxAttempts {
		return Decision{Work: work, Verdict: Refuse, Result: last}
	}
	return scheduler.Submit(now, work)
}
