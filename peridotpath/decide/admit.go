package decide

import (
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// serviceMargin stretches the predicted time of prefill and answer.
	serviceMargin = 1.3
	// headMargin times the wait of the work that has waited longest is the least
	// that new work is taken to wait: a head that finds no place says more than
	// any rate about what comes after it.
	headMargin = 3
	// drainGuess is the part of the endpoints' prefill rate that is taken to
	// drain a queue until one has been watched for drainSpan.
	drainGuess = 0.7
	// drainLeast is the part of that below which no measurement is believed.
	drainLeast = 0.1
	// concurrencyRetry is when a customer over its concurrency may come back.
	concurrencyRetry = 2 * time.Second
)

// waitMargin stretches the predicted wait in a queue. Instances do not see one
// another's queues, so the wait is often longer than predicted, and an admitted
// request that dies in a queue is worse than a refused one. Few long prompts
// wait at a time, mostly at one instance, which then gets more than its part.
var waitMargin = [classes]float64{
	peridotpath.Short:  1.8,
	peridotpath.Medium: 1.8,
	peridotpath.Long:   1.2,
}

func refuse(work *Work, code peridotpath.Code, after time.Duration) Decision {
	return Decision{Work: work, Verdict: Refuse, Result: &peridotpath.Result{Code: code, RetryAfter: after}}
}

// admit holds the work against its customer's limits. They bound what one
// customer can cost before anything else is decided, so that a flood is
// refused for the price of two atomic operations.
func (scheduler *Scheduler) admit(at int64, work *Work) *peridotpath.Result {
	instances := scheduler.instances.Load()
	if !work.customer.takeActive(work.Customer.MaxConcurrent, instances) {
		after := spread(concurrencyRetry, scheduler.random.Float64())
		return &peridotpath.Result{Code: peridotpath.CodeTooManyRequests, RetryAfter: after}
	}
	if wait := scheduler.takeRate(at, work, instances); wait > 0 {
		work.customer.active.Add(-1)
		after := spread(wait, scheduler.random.Float64())
		return &peridotpath.Result{Code: peridotpath.CodeRateLimited, RetryAfter: after}
	}
	return nil
}

// takeRate takes the work out of its customer's rate, or returns the wait.
func (scheduler *Scheduler) takeRate(at int64, work *Work, instances int32) time.Duration {
	if scheduler.Allow == nil {
		return work.customer.takeRate(at, work.Customer.MaxRequestsPerS, instances)
	}
	ok, wait := scheduler.Allow(time.Unix(0, at), work.Customer, work.Prompt+work.Output)
	if ok {
		return 0
	}
	return max(wait, time.Millisecond)
}

// enqueue queues work that found no place, or refuses it at once if it is
// predicted to wait in vain. A queue that takes everything turns overload into
// a late failure for all; a refusal turns it into a retry for a few.
func (scheduler *Scheduler) enqueue(at int64, group *group, work *Work, met obstacle) Decision {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	if code := scheduler.hopeless(group, met); code != peridotpath.CodeOK {
		return scheduler.refuseQueued(at, group, work, code)
	}
	queue := &group.queues[work.slot()]
	queue.class = work.slot()
	queue.fifo = !scheduler.on(MechanismFairQueue)
	if queue.count >= work.Profile.MaxQueued {
		return scheduler.refuseQueued(at, group, work, peridotpath.CodeQueueFull)
	}
	if code := scheduler.tooLate(at, group, work); code != peridotpath.CodeOK {
		return scheduler.refuseQueued(at, group, work, code)
	}
	work.queuedAt = at
	queue.push(work)
	group.queued[work.slot()].Add(1)
	if group.backlogged[work.slot()] == 0 {
		group.backlogged[work.slot()] = at
	}
	scheduler.waiting.Add(1)
	if scheduler.next == 0 {
		scheduler.next = at + int64(retryPlacing)
	}
	return Decision{Work: work, Verdict: Wait}
}

// hopeless returns the code for work that waiting cannot help.
func (scheduler *Scheduler) hopeless(group *group, met obstacle) peridotpath.Code {
	switch {
	case len(group.pools.Load().all) == 0:
		return peridotpath.CodeNoEndpoint
	case met&(obstacleBusy|obstacleFull) != 0:
		return peridotpath.CodeOK
	case met&obstacleLate != 0:
		return peridotpath.CodeCannotFinish
	case met&obstacleOut != 0:
		return peridotpath.CodeNoEndpoint
	default:
		return peridotpath.CodeNoMemory
	}
}

// tooLate returns the code for work whose predicted wait or finish is beyond
// its time, CodeOK if it is not.
func (scheduler *Scheduler) tooLate(at int64, group *group, work *Work) peridotpath.Code {
	if !scheduler.on(MechanismPrediction) {
		return peridotpath.CodeOK
	}
	queue := &group.queues[work.slot()]
	drain := scheduler.drain(at, group, work.slot())
	ahead, own := queue.ahead(work.customer)
	wait := max(seconds(waitMargin[work.slot()]*float64(ahead)/drain), headMargin*queue.oldest(at, work.customer))
	late := wait+scheduler.service(group, work) > time.Duration(work.Deadline.UnixNano()-at)
	if !late && wait <= work.Profile.MaxQueueMS.Duration() {
		return peridotpath.CodeOK
	}
	if own > 0 && own > ahead/2 && len(queue.ring) > 1 {
		return peridotpath.CodeCustomerOverload
	}
	return peridotpath.CodeCannotFinish
}

// service predicts the time from placement to the answer's end.
func (scheduler *Scheduler) service(group *group, work *Work) time.Duration {
	pool := group.pool(work.Class)
	var decode float64
	for _, member := range pool {
		decode += member.decodeRate()
	}
	mean := capacity(pool) / float64(len(pool))
	decode /= float64(len(pool))
	return seconds(serviceMargin * (float64(work.Prompt)/mean + float64(work.Output)/decode))
}

// drain is the rate in tokens per second at which this Instance's queue of the
// class empties: as measured while something has waited for a whole drainSpan.
// A queue that has only begun has drained little and would be taken for a slow
// one, so it counts with a part of what the endpoints claim.
func (scheduler *Scheduler) drain(at int64, group *group, class peridotpath.LengthClass) float64 {
	share := drainGuess * capacity(group.pool(class)) / float64(scheduler.instances.Load())
	measured := group.drained[class].perSecond(at)
	since := group.backlogged[class]
	if since != 0 && at-since >= int64(drainSpan[class]) {
		return max(measured, drainLeast*share, 1)
	}
	return max(measured, share, 1)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// refuseQueued refuses work, with the time at which the drain will have room
// for it, and takes it out of its customer's count. Scheduler.mu is held.
func (scheduler *Scheduler) refuseQueued(at int64, group *group, work *Work, code peridotpath.Code) Decision {
	work.customer.active.Add(-1)
	if code == peridotpath.CodeNoMemory {
		return refuse(work, code, 0)
	}
	chance := scheduler.random.Float64()
	if !scheduler.on(MechanismPromise) {
		return refuse(work, code, returnLeast)
	}
	class := work.slot()
	drain := scheduler.drain(at, group, class)
	wait := seconds(float64(group.queues[class].tokens) / drain)
	return refuse(work, code, group.returns[class].book(at, wait, work.cost(), drain, chance))
}

// unqueued counts work out of its queue. Scheduler.mu is held.
func (scheduler *Scheduler) unqueued(group *group, work *Work) {
	work.queuedAt = 0
	if group.queued[work.slot()].Add(-1) == 0 {
		group.backlogged[work.slot()] = 0
	}
	scheduler.waiting.Add(-1)
}

// expire refuses the work that has waited as long as its profile allows, or
// too long to finish. It gets its answer now, while its caller can still turn
// elsewhere.
func (scheduler *Scheduler) expire(at int64, group *group) []Decision {
	var decisions []Decision
	for class := range classes {
		expired := group.queues[class].expired(func(work *Work) bool {
			return at-work.queuedAt > int64(work.Profile.MaxQueueMS.Duration()) || at >= work.Deadline.UnixNano()
		})
		for _, work := range expired {
			scheduler.unqueued(group, work)
			decisions = append(decisions, scheduler.refuseQueued(at, group, work, peridotpath.CodeQueueTimeout))
		}
	}
	return decisions
}
