package decide

import (
	"cmp"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
)

// EndpointState is the Scheduler's view of an endpoint, for operators.
type EndpointState struct {
	Endpoint peridotpath.Endpoint
	// Load is the newest report. AsOf is zero if there is none.
	Load peridotpath.Load
	// Ejected is set while the endpoint receives no work because of failures.
	Ejected bool
}

// Endpoints returns the state of each endpoint, sorted by ID.
func (scheduler *Scheduler) Endpoints(now time.Time) []EndpointState {
	scheduler.once.Do(scheduler.initialise)
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

// QueuedCount returns the number of queued requests.
func (scheduler *Scheduler) QueuedCount() int { return int(scheduler.totalQueued.Load()) }

// Explanation is the decision that work would get now, with its reasons.
type Explanation struct {
	Verdict Verdict
	// Endpoint is set for Place. It is the best of all Candidates, whereas Submit
	// compares a sample of them.
	Endpoint peridotpath.EndpointID
	// Result is set for Refuse.
	Result *peridotpath.Result
	// Candidates are the endpoints on which work of the class may be placed, best
	// first.
	Candidates []Candidate
}

// Candidate is one endpoint that was considered.
type Candidate struct {
	Endpoint      peridotpath.EndpointID
	PredictedTTFT time.Duration
	// ExclusionReason is the reason why the endpoint cannot take the work; empty if
	// it can.
	ExclusionReason string
}

// String returns the name of the verdict that operators see.
func (verdict Verdict) String() string {
	return [...]string{Place: "place", Wait: "wait", Refuse: "refuse"}[verdict]
}

var obstacleNames = map[obstacle]string{
	obstacleTooSmall: "too little memory in all", obstacleEjected: "ejected", obstacleNoFreeKV: "no memory free now",
	obstacleBackoff: "wants no work now", obstacleBacklog: "enough work ahead", obstacleDeadline: "would finish after the deadline",
}

// Explain returns the decision that the work would get now, without side effects
// on the Scheduler.
func (scheduler *Scheduler) Explain(now time.Time, work *Work) Explanation {
	scheduler.once.Do(scheduler.initialise)
	at := now.UnixNano()
	work.customer = &customer{id: work.Customer.ID}
	work.placement = placement{band: bandOf(work.Class, false)}
	group := (*scheduler.groups.Load())[work.Profile.Service]
	if group == nil {
		return Explanation{Verdict: Refuse, Result: &peridotpath.Result{Code: peridotpath.CodeNoEndpoint, RetryAfter: minEjection}}
	}
	if group.isOversize(work) {
		return Explanation{Verdict: Refuse, Result: &peridotpath.Result{Code: peridotpath.CodeNoMemory, RetryAfter: pooledMemoryRetryDelay}}
	}
	var explanation Explanation
	var obstacles obstacle
	for _, member := range group.poolFor(work.Class) {
		var best candidate
		var reasons obstacle
		scheduler.consider(at, work, member, 0, &best, &reasons)
		obstacles |= reasons
		explanation.Candidates = append(explanation.Candidates, Candidate{
			Endpoint: member.ID, PredictedTTFT: time.Duration(best.ttft * float64(time.Second)), ExclusionReason: obstacleNames[reasons],
		})
	}
	slices.SortStableFunc(explanation.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.ExclusionReason, b.ExclusionReason), cmp.Compare(a.PredictedTTFT, b.PredictedTTFT))
	})
	switch {
	case len(explanation.Candidates) > 0 && explanation.Candidates[0].ExclusionReason == "":
		explanation.Verdict, explanation.Endpoint = Place, explanation.Candidates[0].Endpoint
	case obstacles&(obstacleBacklog|obstacleNoFreeKV|obstacleEjected) != 0:
		explanation.Verdict = Wait
	default:
		explanation.Verdict = Refuse
		explanation.Result = &peridotpath.Result{Code: peridotpath.CodeCannotFinish, RetryAfter: minEjection}
	}
	return explanation
}
