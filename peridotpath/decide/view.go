package decide

import (
	"cmp"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
)

// EndpointState is what the Scheduler knows of an endpoint, for operators.
type EndpointState struct {
	Endpoint peridotpath.Endpoint
	// Load is the newest report; its AsOf is zero when there is none.
	Load peridotpath.Load
	// Ejected says that the endpoint gets no work for now because it failed.
	Ejected bool
}

// Endpoints returns what is known of each endpoint, by id.
func (scheduler *Scheduler) Endpoints(now time.Time) []EndpointState {
	scheduler.once.Do(scheduler.start)
	at := now.UnixNano()
	var states []EndpointState
	for _, member := range *scheduler.members.Load() {
		state := EndpointState{Endpoint: member.Endpoint, Ejected: member.health.ejectedUntil.Load() > at}
		if load := member.load.Load(); load != nil {
			state.Load = load.Load
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b EndpointState) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return states
}

// Waiting returns how many requests wait for a place.
func (scheduler *Scheduler) Waiting() int { return int(scheduler.waiting.Load()) }

// Explanation says what would become of work now, and why.
type Explanation struct {
	Verdict Verdict
	// Endpoint is set for Place: the best of all. A decision compares a sample.
	Endpoint peridotpath.EndpointID
	// Result is set for Refuse.
	Result *peridotpath.Result
	// Candidates are all endpoints of the service, best first.
	Candidates []Candidate
}

// Candidate is one endpoint that was looked at.
type Candidate struct {
	Endpoint   peridotpath.EndpointID
	FirstToken time.Duration
	// Excluded says why it cannot be taken; empty when it can.
	Excluded string
}

// String returns the verdict as operators see it.
func (verdict Verdict) String() string {
	return [...]string{Place: "place", Wait: "wait", Refuse: "refuse"}[verdict]
}

var obstacleNames = map[obstacle]string{
	obstacleSmall: "too little memory in all", obstacleOut: "ejected", obstacleFull: "no memory free now",
	obstacleBusy: "enough work ahead", obstacleLate: "would finish after the deadline",
}

// Explain returns what would become of the work now. It changes nothing.
func (scheduler *Scheduler) Explain(now time.Time, work *Work) Explanation {
	scheduler.once.Do(scheduler.start)
	at := now.UnixNano()
	work.customer = &customer{id: work.Customer.ID}
	work.placement = placement{band: bandOf(work.Class, false)}
	group := (*scheduler.groups.Load())[work.Profile.Service]
	if group == nil {
		return Explanation{Verdict: Refuse, Result: &peridotpath.Result{Code: peridotpath.CodeNoEndpoint, RetryAfter: ejectFor}}
	}
	if group.oversize(work) {
		return Explanation{Verdict: Refuse, Result: &peridotpath.Result{Code: peridotpath.CodeNoMemory, RetryAfter: groupRetry}}
	}
	var explanation Explanation
	var obstacles obstacle
	for _, member := range group.pool(work.Class) {
		var best candidate
		var met obstacle
		scheduler.consider(at, work, member, 0, &best, &met)
		obstacles |= met
		explanation.Candidates = append(explanation.Candidates, Candidate{
			Endpoint: member.ID, FirstToken: time.Duration(best.ttft * float64(time.Second)), Excluded: obstacleNames[met],
		})
	}
	slices.SortStableFunc(explanation.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Excluded, b.Excluded), cmp.Compare(a.FirstToken, b.FirstToken))
	})
	switch {
	case len(explanation.Candidates) > 0 && explanation.Candidates[0].Excluded == "":
		explanation.Verdict, explanation.Endpoint = Place, explanation.Candidates[0].Endpoint
	case obstacles&(obstacleBusy|obstacleFull|obstacleOut) != 0:
		explanation.Verdict = Wait
	default:
		explanation.Verdict = Refuse
		explanation.Result = &peridotpath.Result{Code: peridotpath.CodeCannotFinish, RetryAfter: ejectFor}
	}
	return explanation
}
