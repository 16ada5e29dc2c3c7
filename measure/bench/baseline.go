package bench

import (
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
)

// baseline places every request immediately by a simple rule, and retries on another
// endpoint as often as the profile allows.
type baseline struct {
	endpoints       []peridotpath.Endpoint
	runningCounts   map[peridotpath.EndpointID]int
	failedEndpoints map[*decide.Work][]peridotpath.EndpointID
	sendsPriority   bool
	rotation        int
	// pick returns the index of an endpoint for which usable is true, or -1.
	pick func(work *decide.Work, usable func(int) bool) int
}

func newBaseline() *baseline {
	return &baseline{
		runningCounts:   map[peridotpath.EndpointID]int{},
		failedEndpoints: map[*decide.Work][]peridotpath.EndpointID{},
	}
}

func (baseline *baseline) submit(_ time.Time, work *decide.Work) decide.Decision {
	usable := func(index int) bool {
		return !slices.Contains(baseline.failedEndpoints[work], baseline.endpoints[index].ID)
	}
	index := -1
	if len(baseline.endpoints) > 0 {
		index = baseline.pick(work, usable)
	}
	if index < 0 {
		result := &peridotpath.Result{Code: peridotpath.CodeNoEndpoint, RetryAfter: time.Second}
		return decide.Decision{Work: work, Verdict: decide.Refuse, Result: result}
	}
	return baseline.place(work, baseline.endpoints[index])
}

func (baseline *baseline) place(work *decide.Work, endpoint peridotpath.Endpoint) decide.Decision {
	baseline.runningCounts[endpoint.ID]++
	work.Attempts++
	work.Endpoint = endpoint.ID
	decision := decide.Decision{Work: work, Verdict: decide.Place, Endpoint: endpoint}
	if baseline.sendsPriority {
		decision.Priority = 2 * work.Profile.Priority
	}
	return decision
}

func (baseline *baseline) done(_ time.Time, work *decide.Work, outcome decide.Outcome, _ peridotpath.Tokens) {
	baseline.runningCounts[work.Endpoint]--
	delete(baseline.failedEndpoints, work)
	if outcome != decide.Finished && outcome != decide.Abandoned {
		baseline.failedEndpoints[work] = append(baseline.failedEndpoints[work], work.Endpoint)
	}
}

func (baseline *baseline) retry(now time.Time, work *decide.Work, last *peridotpath.Result) decide.Decision {
	if work.Attempts >= work.Profile.MaxAttempts {
		return decide.Decision{Work: work, Verdict: decide.Refuse, Result: last}
	}
	return baseline.submit(now, work)
}

// decider returns the baseline as a decider that has no queue and ignores load reports.
func (baseline *baseline) decider() *decider {
	return &decider{
		setEndpoints: func(_ time.Time, endpoints []peridotpath.Endpoint) { baseline.endpoints = endpoints },
		report:       func(time.Time, peridotpath.EndpointID, peridotpath.Load) {},
		submit:       baseline.submit,
		advance:      func(time.Time) []decide.Decision { return nil },
		next:         func() time.Time { return time.Time{} },
		cancel:       func(time.Time, *decide.Work) {},
		firstToken:   func(time.Time, *decide.Work) {},
		done:         baseline.done,
		retry:        baseline.retry,
	}
}

// roundRobin picks the endpoints in turn.
func roundRobin(_ Deployment, _ uint64) func(int) *decider {
	return func(instance int) *decider {
		baseline := newBaseline()
		baseline.rotation = instance
		baseline.pick = func(_ *decide.Work, usable func(int) bool) int {
			for range baseline.endpoints {
				baseline.rotation = (baseline.rotation + 1) % len(baseline.endpoints)
				if usable(baseline.rotation) {
					return baseline.rotation
				}
			}
			return -1
		}
		return baseline.decider()
	}
}

// leastInFlight picks the endpoint with the fewest in-flight requests of the same
// Instance, and rotates among ties.
func leastInFlight(priority bool) func(Deployment, uint64) func(int) *decider {
	return func(_ Deployment, _ uint64) func(int) *decider {
		return func(instance int) *decider {
			baseline := newBaseline()
			baseline.sendsPriority = priority
			baseline.rotation = instance
			baseline.pick = func(_ *decide.Work, usable func(int) bool) int {
				return baseline.leastLoaded(0, len(baseline.endpoints), usable)
			}
			return baseline.decider()
		}
	}
}

// leastLoaded returns the index in [low, high) of the usable endpoint with the fewest
// running requests, or -1.
func (baseline *baseline) leastLoaded(low, high int, usable func(int) bool) int {
	best := -1
	baseline.rotation++
	for i := range high - low {
		index := low + (baseline.rotation+i)%(high-low)
		if !usable(index) {
			continue
		}
		if best < 0 || baseline.runningCounts[baseline.endpoints[index].ID] < baseline.runningCounts[baseline.endpoints[best].ID] {
			best = index
		}
	}
	return best
}

// longPromptShare is the share of a split fleet that is reserved for long prompts. It is
// their share of the work of the mixed load.
const longPromptShare = 0.3

// splitFleets reserves some endpoints for long prompts.
func splitFleets(deployment Deployment, _ uint64) func(int) *decider {
	return func(instance int) *decider {
		baseline := newBaseline()
		baseline.rotation = instance
		baseline.pick = func(work *decide.Work, usable func(int) bool) int {
			long := max(int(float64(len(baseline.endpoints))*longPromptShare+0.5), 1)
			if work.Class >= peridotpath.Long {
				return baseline.leastLoaded(0, long, usable)
			}
			return baseline.leastLoaded(min(long, len(baseline.endpoints)-1), len(baseline.endpoints), usable)
		}
		return baseline.decider()
	}
}

// maxFIFORunning bounds the running requests of an endpoint that the FIFO feeds.
const maxFIFORunning = 16

// sharedFIFO is one queue for the whole fleet. The instances share it without delay,
// which real instances cannot.
type sharedFIFO struct {
	waiting  []*decide.Work
	baseline *baseline
}

// oneFIFO dispatches requests strictly in order of arrival.
func oneFIFO(_ Deployment, _ uint64) func(int) *decider {
	shared := &sharedFIFO{baseline: newBaseline()}
	shared.baseline.pick = func(_ *decide.Work, usable func(int) bool) int {
		return shared.baseline.leastLoaded(0, len(shared.baseline.endpoints), func(index int) bool {
			return usable(index) && shared.baseline.runningCounts[shared.baseline.endpoints[index].ID] < maxFIFORunning
		})
	}
	return func(int) *decider {
		decider := shared.baseline.decider()
		submit := func(_ time.Time, work *decide.Work) decide.Decision {
			shared.waiting = append(shared.waiting, work)
			return decide.Decision{Work: work, Verdict: decide.Wait}
		}
		decider.submit = submit
		decider.advance = shared.advance
		decider.retry = func(now time.Time, work *decide.Work, last *peridotpath.Result) decide.Decision {
			if work.Attempts >= work.Profile.MaxAttempts {
				return decide.Decision{Work: work, Verdict: decide.Refuse, Result: last}
			}
			return submit(now, work)
		}
		decider.cancel = func(_ time.Time, work *decide.Work) {
			if index := slices.Index(shared.waiting, work); index >= 0 {
				shared.waiting = slices.Delete(shared.waiting, index, index+1)
			}
		}
		return decider
	}
}

func (fifo *sharedFIFO) advance(now time.Time) []decide.Decision {
	var decisions []decide.Decision
	for len(fifo.waiting) > 0 {
		decision := fifo.baseline.submit(now, fifo.waiting[0])
		if decision.Verdict != decide.Place {
			return decisions
		}
		fifo.waiting = fifo.waiting[1:]
		decisions = append(decisions, decision)
	}
	return decisions
}
