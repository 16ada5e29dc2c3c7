package retrybudget

import (
	"context"
	"time"

	"peridotpath.example/peridotpath"
)

// MaxWait is the longest time that a request waits for a grant: about three needs and their
// answers, and less than a caller notices in a resumed stream.
const MaxWait = 150 * time.Millisecond

// AwaitRetry takes one retry from the service's budget. If none is left, it waits for a grant of
// another instance, for at most the limit and MaxWait. It does not wait where no need is
// announced within this time, since nobody has answered the last ones.
func (budget *Budget) AwaitRetry(ctx context.Context, service peridotpath.Service, limit time.Duration) bool {
	if budget.TakeRetry(service, time.Now()) {
		return true
	}
	limit = min(limit, MaxWait)
	if budget.Facts == nil || limit <= 0 || !budget.beginWait(service, limit, time.Now()) {
		return false
	}
	defer budget.endWait(service)
	end := time.Now().Add(limit)
	for {
		granted := budget.grantSignal(service)
		if budget.takeAgain(service, time.Now()) {
			return true
		}
		next := budget.announceDueNeed(service, time.Now())
		if !awaitSignal(ctx, granted, min(next, time.Until(end))) {
			return false
		}
		if !time.Now().Before(end) {
			return budget.takeAgain(service, time.Now())
		}
	}
}

// awaitSignal waits for a signal or the timeout, and returns false if ctx ends first.
func awaitSignal(ctx context.Context, signal <-chan struct{}, timeout time.Duration) bool {
	if timeout <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-signal:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// beginWait counts a request that waits for a grant. It returns false if the next need is
// announced too late for it.
func (budget *Budget) beginWait(service peridotpath.Service, limit time.Duration, now time.Time) bool {
	instances := budget.fleetSize(now)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	borrowing := &budget.historyOf(hashOf(service)).borrowing
	if borrowing.waiting == 0 {
		borrowing.waitingSince = now
	}
	if instances <= 1 || borrowing.timeUntilNeed(instances, now) >= limit {
		return false
	}
	if borrowing.waiting == 0 {
		borrowing.granted = make(chan struct{})
	}
	borrowing.waiting++
	return true
}

func (budget *Budget) endWait(service peridotpath.Service) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	borrowing := &budget.historyOf(hashOf(service)).borrowing
	borrowing.waiting--
	if borrowing.waiting == 0 {
		borrowing.granted = nil
	}
}

// grantSignal returns a channel that is closed when the next grant arrives.
func (budget *Budget) grantSignal(service peridotpath.Service) <-chan struct{} {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.historyOf(hashOf(service)).borrowing.granted
}

// takeAgain takes a retry for a request that has asked for one before.
func (budget *Budget) takeAgain(service peridotpath.Service, now time.Time) bool {
	instances := budget.fleetSize(now)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.take(budget.historyOf(hashOf(service)), service, instances, now)
}
