package decide

import (
	"time"

	"peridotpath.example/peridotpath"
)

// recordOutcome updates the endpoint's health from the outcome of an attempt,
// and ejects the endpoint after repeated failures.
func (scheduler *Scheduler) recordOutcome(at int64, service peridotpath.Service, placed *placement, outcome Outcome) {
	health := &placed.member.health
	if placed.isProbe {
		health.isProbing.Store(false)
	}
	switch outcome {
	case Finished:
		health.recordSuccess()
		return
	case Abandoned, NeverSent, CutOff:
		return
	case Rejected, NotConnected, Failed:
	}
	if !health.recordFailure() {
		return
	}
	if health.isEjected() || scheduler.canEject(service) {
		health.eject(at)
	}
}

const (
	// hungFactor is the multiple of the predicted time to first token after
	// which an attempt without a first token counts as a failure. Slow or full
	// endpoints exceed the prediction a few times over; an endpoint that
	// accepts connections and then hangs exceeds it tenfold.
	hungFactor = 10
	// minHungTime is the minimum time without a first token that counts as a
	// failure, so that attempts whose callers disconnect early do not count.
	minHungTime = 5 * time.Second
)

// isHung reports whether an attempt has had no first token long after its
// predicted time. A hanging endpoint returns no errors, so it would never be
// ejected and each of its callers would wait until the deadline.
func isHung(at int64, placed *placement) bool {
	elapsed := time.Duration(at - placed.placedAt)
	predicted := max(time.Duration(placed.predictedTTFT), minPredictedTTFT)
	return !placed.hasFirstToken && elapsed >= max(hungFactor*predicted, minHungTime)
}

// canEject reports whether one more endpoint of the service may be ejected.
func (scheduler *Scheduler) canEject(service peridotpath.Service) bool {
	group := (*scheduler.groups.Load())[service]
	if group == nil {
		return false
	}
	pools := group.pools.Load()
	return float64(pools.ejectedCount()+1) <= maxEjectedShare*float64(len(pools.all))
}

// Retry places or queues work whose attempt ended, or refuses it with last, the
// result of that attempt. Only work that certainly did not run, or that is
// idempotent, is retried, and only within the retry budgets of its customer and
// of the endpoint on which it failed: in a partial outage many requests fail at
// once, and unlimited retries would double the load of the remaining endpoints.
func (scheduler *Scheduler) Retry(now time.Time, work *Work, last *peridotpath.Result) Decision {
	at := now.UnixNano()
	if !scheduler.canRetry(at, work) {
		return Decision{Work: work, Verdict: Refuse, Result: last}
	}
	group := (*scheduler.groups.Load())[work.Profile.Service]
	work.customer.activeCount.Add(1)
	decision := scheduler.placeOrQueue(at, group, work)
	if decision.Verdict == Refuse {
		work.customer.retryBudget.returnRetry()
	}
	return decision
}

func (scheduler *Scheduler) canRetry(at int64, work *Work) bool {
	switch {
	case work.customer == nil || work.Attempts >= work.Profile.MaxAttempts:
		return false
	case work.outcome == Finished || work.outcome == Abandoned || work.outcome == NeverSent:
		return false
	case work.outcome == Failed && !work.Profile.Idempotent:
		return false
	case work.outcome == Rejected && scheduler.exceedsLargestEngine(work):
		return false
	case at >= work.Deadline.UnixNano():
		return false
	case !scheduler.isEnabled(MechanismRetryBudget):
		return true
	}
	return scheduler.takeRetry(work)
}

// exceedsLargestEngine reports whether an engine probably rejected the work for
// its size, as every other engine would.
func (scheduler *Scheduler) exceedsLargestEngine(work *Work) bool {
	group := (*scheduler.groups.Load())[work.Profile.Service]
	return group != nil && work.requiredKV() > group.largestKV.Load() && group.largestKV.Load() > 0
}

// takeRetry takes a retry from the budgets of both the customer and the failed
// endpoint, or from neither.
func (scheduler *Scheduler) takeRetry(work *Work) bool {
	failed := (*scheduler.members.Load())[work.failedEndpoints[len(work.failedEndpoints)-1]]
	if failed != nil && !failed.retryBudget.takeRetry() {
		return false
	}
	if !work.customer.retryBudget.takeRetry() {
		if failed != nil {
			failed.retryBudget.returnRetry()
		}
		return false
	}
	return true
}
