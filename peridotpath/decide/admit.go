package decide

import (
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// serviceTimeMargin is the safety factor on the predicted time of prefill and
	// decoding.
	serviceTimeMargin = 1.3
	// longestWaitMargin is the factor on the longest wait of queued work. The
	// product is the lower bound of the wait predicted for new work: while the
	// head of the queue cannot be placed (head-of-line blocking), its wait
	// predicts that of new work better than the drain rate does.
	longestWaitMargin = 3
	// assumedDrainShare is the drain rate that is assumed of a queue, as a share of
	// this Instance's equal part of the endpoints' prefill rate. The assumed drain
	// rate is the lower bound of the measured one until the queue has been
	// non-empty for drainWindow.
	assumedDrainShare = 0.7
	// minDrainShare is the lower bound of the measured drain rate after drainWindow,
	// as a share of the assumed drain rate.
	minDrainShare = 0.1
	// concurrencyRetryDelay is the retry delay for a customer above its
	// concurrency limit.
	concurrencyRetryDelay = 2 * time.Second
)

// queueWaitMargin is the safety factor on the predicted wait in a queue.
// Instances do not see one another's queues, so the wait is often longer than
// predicted, and a request that expires in the queue costs its caller more than
// a refusal. Few long prompts are queued at a time, mostly at one instance,
// which then drains faster than its equal part of the fleet; their factor is
// lower.
var queueWaitMargin = [classCount]float64{
	peridotpath.Short:  1.8,
	peridotpath.Medium: 1.8,
	peridotpath.Long:   1.2,
}

func refuse(work *Work, code peridotpath.Code, retryAfter time.Duration) Decision {
	return Decision{Work: work, Verdict: Refuse, Result: &peridotpath.Result{Code: code, RetryAfter: retryAfter}}
}

// checkLimits checks the customer's concurrency and rate limits. It runs before
// any other decision, so that refusing a flood costs two atomic operations per
// request.
func (scheduler *Scheduler) checkLimits(at int64, work *Work) *peridotpath.Result {
	instances := scheduler.instanceCount.Load()
	if !work.customer.takeConcurrency(work.Customer.MaxConcurrent, instances) {
		retryAfter := addJitter(concurrencyRetryDelay, scheduler.random.Float64())
		return &peridotpath.Result{Code: peridotpath.CodeTooManyRequests, RetryAfter: retryAfter}
	}
	if wait := scheduler.takeRate(at, work, instances); wait > 0 {
		work.customer.activeCount.Add(-1)
		retryAfter := addJitter(wait, scheduler.random.Float64())
		return &peridotpath.Result{Code: peridotpath.CodeRateLimited, RetryAfter: retryAfter}
	}
	return nil
}

// takeRate takes one request out of the customer's rate limit, or returns the
// delay after which to retry.
func (scheduler *Scheduler) takeRate(at int64, work *Work, instances int32) time.Duration {
	if scheduler.Allow == nil {
		return work.customer.takeRate(at, work.Customer.MaxRequestsPerS, instances)
	}
	ok, wait := scheduler.Allow(time.Unix(0, at), work.Customer, work.PromptTokens+work.MaxOutputTokens)
	if ok {
		return 0
	}
	return max(wait, time.Millisecond)
}

// enqueueOrRefuse queues work that could not be placed, or refuses it at once
// if it is predicted to time out (load shedding). An unbounded queue delays
// every request past its deadline under overload; an early refusal costs some
// callers a retry.
func (scheduler *Scheduler) enqueueOrRefuse(at int64, group *group, work *Work, reasons obstacle) Decision {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	if code := scheduler.unplaceableCode(group, reasons); code != peridotpath.CodeOK {
		return scheduler.refuseQueued(at, group, work, code)
	}
	queue := &group.queues[work.queueClass()]
	queue.class = work.queueClass()
	queue.fifo = !scheduler.isEnabled(MechanismFairQueue)
	if queue.count >= work.Profile.MaxQueued {
		return scheduler.refuseQueued(at, group, work, peridotpath.CodeQueueFull)
	}
	if code := scheduler.predictedMissCode(at, group, work); code != peridotpath.CodeOK {
		return scheduler.refuseQueued(at, group, work, code)
	}
	work.queuedAt = at
	queue.push(work)
	group.queuedCount[work.queueClass()].Add(1)
	if group.backlogSince[work.queueClass()] == 0 {
		group.backlogSince[work.queueClass()] = at
	}
	scheduler.totalQueued.Add(1)
	if scheduler.nextDispatch == 0 {
		scheduler.nextDispatch = at + int64(placementRetryInterval)
	}
	return Decision{Work: work, Verdict: Wait}
}

// unplaceableCode returns the refusal code for work that no amount of waiting
// makes placeable, CodeOK otherwise.
func (scheduler *Scheduler) unplaceableCode(group *group, reasons obstacle) peridotpath.Code {
	switch {
	case len(group.pools.Load().all) == 0:
		return peridotpath.CodeNoEndpoint
	case reasons&(obstacleBacklog|obstacleNoFreeKV) != 0:
		return peridotpath.CodeOK
	case reasons&obstacleBackoff != 0:
		return peridotpath.CodeUnavailable
	case reasons&obstacleDeadline != 0:
		return peridotpath.CodeCannotFinish
	case reasons&obstacleEjected != 0:
		return peridotpath.CodeNoEndpoint
	default:
		return peridotpath.CodeNoMemory
	}
}

// predictedMissCode returns the refusal code for work that is predicted to exceed
// its queue timeout or its deadline, CodeOK otherwise.
func (scheduler *Scheduler) predictedMissCode(at int64, group *group, work *Work) peridotpath.Code {
	if !scheduler.isEnabled(MechanismPrediction) {
		return peridotpath.CodeOK
	}
	queue := &group.queues[work.queueClass()]
	drain := scheduler.drainRate(at, group, work.queueClass())
	tokensAhead, ownTokens := queue.tokensAhead(work.customer)
	wait := max(seconds(queueWaitMargin[work.queueClass()]*float64(tokensAhead)/drain), longestWaitMargin*queue.longestWait(at, work.customer))
	missesDeadline := wait+scheduler.predictServiceTime(group, work) > time.Duration(work.Deadline.UnixNano()-at)
	if !missesDeadline && wait <= work.Profile.MaxQueueMS.Duration() {
		return peridotpath.CodeOK
	}
	if ownTokens > 0 && ownTokens > tokensAhead/2 && len(queue.ring) > 1 {
		return peridotpath.CodeCustomerOverload
	}
	return peridotpath.CodeCannotFinish
}

// predictServiceTime predicts the time from placement to the end of the answer.
func (scheduler *Scheduler) predictServiceTime(group *group, work *Work) time.Duration {
	pool := group.poolFor(work.Class)
	var decodeRate float64
	for _, member := range pool {
		decodeRate += member.decodeRate()
	}
	meanPrefillRate := totalPrefillRate(pool) / float64(len(pool))
	decodeRate /= float64(len(pool))
	return seconds(serviceTimeMargin * (float64(work.PromptTokens)/meanPrefillRate + float64(work.MaxOutputTokens)/decodeRate))
}

// drainRate is the rate in tokens per second at which this Instance's queue of
// the class drains. Once the queue has been non-empty for a whole drainWindow, it
// is the measured rate. A queue that formed more recently has drained little and
// would appear slow, so its drain rate is at least assumedDrainShare of the
// Instance's part of the prefill rate.
func (scheduler *Scheduler) drainRate(at int64, group *group, class peridotpath.LengthClass) float64 {
	assumedRate := assumedDrainShare * totalPrefillRate(group.poolFor(class)) / float64(scheduler.instanceCount.Load())
	measuredRate := group.drained[class].perSecond(at)
	nonEmptySince := group.backlogSince[class]
	if nonEmptySince != 0 && at-nonEmptySince >= int64(drainWindow[class]) {
		return max(measuredRate, minDrainShare*assumedRate, 1)
	}
	return max(measuredRate, assumedRate, 1)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// refuseQueued refuses work with the delay after which the queue is predicted to
// have room for it, and decrements the customer's active requests. Scheduler.mu
// is held.
func (scheduler *Scheduler) refuseQueued(at int64, group *group, work *Work, code peridotpath.Code) Decision {
	work.customer.activeCount.Add(-1)
	switch code {
	case peridotpath.CodeNoMemory:
		return refuse(work, code, 0)
	case peridotpath.CodeUnavailable:
		return refuse(work, code, group.earliestBackoffEnd(at))
	}
	chance := scheduler.random.Float64()
	if !scheduler.isEnabled(MechanismRetrySchedule) {
		return refuse(work, code, minRetryDelay)
	}
	class := work.queueClass()
	drain := scheduler.drainRate(at, group, class)
	wait := seconds(float64(group.queues[class].tokens) / drain)
	return refuse(work, code, group.retrySchedules[class].reserve(at, wait, work.cost(), drain, chance))
}

// countDequeued updates the queue counters for removed work. Scheduler.mu is
// held.
func (scheduler *Scheduler) countDequeued(group *group, work *Work) {
	work.queuedAt = 0
	if group.queuedCount[work.queueClass()].Add(-1) == 0 {
		group.backlogSince[work.queueClass()] = 0
	}
	scheduler.totalQueued.Add(-1)
}

// refuseExpired refuses queued work that has reached its profile's queue
// timeout or its deadline, so that the caller can still fall back to another
// service.
func (scheduler *Scheduler) refuseExpired(at int64, group *group) []Decision {
	var decisions []Decision
	for class := range classCount {
		expired := group.queues[class].removeExpired(func(work *Work) bool {
			return at-work.queuedAt > int64(work.Profile.MaxQueueMS.Duration()) || at >= work.Deadline.UnixNano()
		})
		for _, work := range expired {
			scheduler.countDequeued(group, work)
			decisions = append(decisions, scheduler.refuseQueued(at, group, work, peridotpath.CodeQueueTimeout))
		}
	}
	return decisions
}
