package bench

import (
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
)

// baseline places every request at once by a simple rule. It retries as often
// as the profile allows, on another endpoint.
type baseline struct {
	endpoints []peridotpath.Endpoint
	running   map[peridotpath.EndpointID]int
	failed    map[*decide.Work][]peridotpath.EndpointID
	priority  bool
	turn      int
	// pick returns the index of an endpoint, or -1; usable says which may be taken.
	pick func(work *decide.Work, usable func(int) bool) int
}

func makeBaseline() *baseline {
	return &baseline{
		running: map[peridotpath.EndpointID]int{},
		failed:  map[*decide.Work][]peridotpath.EndpointID{},
	}
}

func (baseline *baseline) submit(_ time.Time, work *decide.Work) decide.Decision {
	usable := func(index int) bool {
		return !slices.Contains(baseline.failed[work], baseline.endpoints[index].ID)
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
	baseline.running[endpoint.ID]++
	work.Attempts++
	work.Endpoint = endpoint.ID
	decision := decide.Decision{Work: work, Verdict: decide.Place, Endpoint: endpoint}
	if baseline.priority {
		decision.Priority = 2 * work.Profile.Priority
	}
	return decision
}

func (baseline *baseline) done(_ time.Time, work *decide.Work, outcome decide.Outcome, _ peridotpath.Tokens) {
	baseline.running[work.Endpoint]--
	delete(baseline.failed, work)
	if outcome != decide.Finished && outcome != decide.Abandoned {
		baseline.failed[work] = append(baseline.failed[work], work.Endpoint)
	}
}

func (baseline *baseline) retry(now time.Time, work *decide.Work, last *peridotpath.Result) decide.Decision {
	if work.Attempts >= work.Profile.MaxAttempts {
		return decide.Decision{Work: work, Verdict: decide.Refuse, Result: last}
	}
	return baseline.submit(now, work)
}

// decider wraps the baseline; it queues nothing and reads no reports.
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

// roundRobin takes the endpoints in turn.
func roundRobin(_ Deployment, _ uint64) func(int) *decider {
	return func(instance int) *decider {
		baseline := makeBaseline()
		baseline.turn = instance
		baseline.pick = func(_ *decide.Work, usable func(int) bool) int {
			for range baseline.endpoints {
				baseline.turn = (baseline.turn + 1) % len(baseline.endpoints)
				if usable(baseline.turn) {
					return baseline.turn
				}
			}
			return -1
		}
		return baseline.decider()
	}
}

// leastInFlight takes the endpoint with the fewest of the Instance's own
// requests; ties go round.
func leastInFlight(priority bool) func(Deployment, uint64) func(int) *decider {
	return func(_ Deployment, _ uint64) func(int) *decider {
		return func(instance int) *decider {
			baseline := makeBaseline()
			baseline.priority = priority
			baseline.turn = instance
			baseline.pick = func(_ *decide.Work, usable func(int) bool) int {
				return baseline.least(0, len(baseline.endpoints), usable)
			}
			return baseline.decider()
		}
	}
}

// least returns the endpoint from low up to high with the fewest running.
func (baseline *baseline) least(low, high int, usable func(int) bool) int {
	best := -1
	baseline.turn++
	for i := range high - low {
		index := low + (baseline.turn+i)%(high-low)
		if !usable(index) {
			continue
		}
		if best < 0 || baseline.running[baseline.endpoints[index].ID] < baseline.running[baseline.endpoints[best].ID] {
			best = index
		}
	}
	return best
}

// splitLong is the part of a split fleet that is set aside for long prompts:
// their part of the mixed load's work.
const splitLong = 0.3

// splitFleets keeps long prompts on endpoints of their own.
func splitFleets(deployment Deployment, _ uint64) func(int) *decider {
	return func(instance int) *decider {
		baseline := makeBaseline()
		baseline.turn = instance
		baseline.pick = func(work *decide.Work, usable func(int) bool) int {
			long := max(int(float64(len(baseline.endpoints))*splitLong+0.5), 1)
			if work.Class >= peridotpath.Long {
				return baseline.least(0, long, usable)
			}
			return baseline.least(min(long, len(baseline.endpoints)-1), len(baseline.endpoints), usable)
		}
		return baseline.decider()
	}
}

// fifoSlots is how many requests one endpoint gets at a time from the FIFO.
const fifoSlots = 16

// fifo is one queue for the whole fleet. The instances share it without any
// delay, which is better than real ones could.
type fifo struct {
	waiting  []*decide.Work
	baseline *baseline
}

// oneFIFO serves strictly in order of arrival.
func oneFIFO(_ Deployment, _ uint64) func(int) *decider {
	shared := &fifo{baseline: makeBaseline()}
	shared.baseline.pick = func(_ *decide.Work, usable func(int) bool) int {
		return shared.baseline.least(0, len(shared.baseline.endpoints), func(index int) bool {
			return usable(index) && shared.baseline.running[shared.baseline.endpoints[index].ID] < fifoSlots
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

func (fifo *fifo) advance(now time.Time) []decide.Decision {
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
