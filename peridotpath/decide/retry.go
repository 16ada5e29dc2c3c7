package decide

import (
	"time"

	"peridotpath.example/peridotpath"
)

// judge takes the outcome of an attempt, as the endpoint is to answer for it,
// into the endpoint's health.
func (scheduler *Scheduler) judge(at int64, service peridotpath.Service, placed *placement, outcome Outcome) {
	health := &placed.member.health
	if placed.probe {
		health.probing.Store(false)
	}
	switch outcome {
	case Finished:
		health.succeeded()
		return
	case Abandoned, Unsent:
		return
	case Rejected, Unreached, Failed:
	}
	if !health.failed() {
		return
	}
	if health.out() || scheduler.mayEject(service) {
		health.eject(at)
	}
}

const (
	// hungFactor times the predicted time without a first token counts as a
	// failure. Slow endpoints and full ones are a few times late; ten times is
	// what an endpoint shows that takes connections and does nothing.
	hungFactor = 10
	// hungLeast keeps out callers that left early, whatever was predicted.
	hungLeast = 5 * time.Second
)

// hung reports an attempt that was given up on without a first token long after
// one was due. An endpoint that hangs refuses nothing and fails nothing: it
// would keep its place, and each of its callers would wait out a whole deadline.
func hung(at int64, placed *placement) bool {
	took := time.Duration(at - placed.at)
	predicted := max(time.Duration(placed.predicted), leastPredicted)
	return !placed.started && took >= max(hungFactor*predicted, hungLeast)
}

// mayEject reports whether one more endpoint of the service may be taken out.
func (scheduler *Scheduler) mayEject(service peridotpath.Service) bool {
	group := (*scheduler.groups.Load())[service]
	if group == nil {
		return false
	}
	pools := group.pools.Load()
	return float64(pools.ejected()+1) <= maxEjected*float64(len(pools.all))
}

// Retry decides whether work whose attempt ended is placed again, waits, or is
// refused with last, the result of the attempt. Only work that certainly did
// not run, or that may run twice, is tried again, and only within the budgets
// of its customer and of the endpoint that failed it: in a partial outage
// everything fails at once, and retries without a bound would double the load
// of the endpoints that are left.
func (scheduler *Scheduler) Retry(now time.Time, work *Work, last *peridotpath.Result) Decision {
	at := now.UnixNano()
	if !scheduler.mayRetry(at, work) {
		return Decision{Work: work, Verdict: Refuse, Result: last}
	}
	group := (*scheduler.groups.Load())[work.Profile.Service]
	work.customer.active.Add(1)
	decision := scheduler.placeOrQueue(at, group, work)
	if decision.Verdict == Refuse {
		work.customer.retries.refund()
	}
	return decision
}

func (scheduler *Scheduler) mayRetry(at int64, work *Work) bool {
	switch {
	case work.customer == nil || work.Attempts >= work.Profile.MaxAttempts:
		return false
	case work.outcome == Finished || work.outcome == Abandoned || work.outcome == Unsent:
		return false
	case work.outcome == Failed && !work.Profile.Idempotent:
		return false
	case work.outcome == Rejected && scheduler.tooLarge(work):
		return false
	case at >= work.Deadline.UnixNano():
		return false
	case !scheduler.on(MechanismRetryBudget):
		return true
	}
	return scheduler.spendRetry(work)
}

// tooLarge reports work that an engine probably refused for its size; the
// others would say the same.
func (scheduler *Scheduler) tooLarge(work *Work) bool {
	group := (*scheduler.groups.Load())[work.Profile.Service]
	return group != nil && work.memoryNeed() > group.largest.Load() && group.largest.Load() > 0
}

// spendRetry takes a retry from both budgets or from neither.
func (scheduler *Scheduler) spendRetry(work *Work) bool {
	failed := (*scheduler.members.Load())[work.avoid[len(work.avoid)-1]]
	if failed != nil && !failed.retries.spend() {
		return false
	}
	if !work.customer.retries.spend() {
		if failed != nil {
			failed.retries.refund()
		}
		return false
	}
	return true
}
