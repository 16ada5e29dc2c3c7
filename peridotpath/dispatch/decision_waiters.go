package dispatch

import (
	"context"
	"sync"
	"time"

	"peridotpath.example/peridotpath/decide"
)

// awaitDecision submits the work and, if the work is queued, waits until it is placed or
// refused, or ctx ends.
func (dispatcher *Dispatcher) awaitDecision(ctx context.Context, work *decide.Work, submit func() decide.Decision) decide.Decision {
	decided := dispatcher.pendingDecisions.add(work)
	decision := submit()
	if decision.Verdict != decide.Wait {
		dispatcher.pendingDecisions.remove(work)
		return decision
	}
	select {
	case decision = <-decided:
		return decision
	case <-ctx.Done():
	}
	dispatcher.Scheduler.Cancel(time.Now(), work)
	if !dispatcher.pendingDecisions.remove(work) {
		// The decision was delivered concurrently and is in the channel.
		decision = <-decided
		if decision.Verdict == decide.Place {
			dispatcher.finishPlacement(work, decide.Abandoned, 0)
		}
	}
	return decide.Decision{Work: work, Verdict: decide.Refuse, Result: contextEndedResult(ctx, work, true)}
}

// decisionWaiters has a channel for each request whose decision is pending.
type decisionWaiters struct {
	mu        sync.Mutex
	decisions map[*decide.Work]chan decide.Decision
}

func (decisionWaiters *decisionWaiters) add(work *decide.Work) <-chan decide.Decision {
	decided := make(chan decide.Decision, 1)
	decisionWaiters.mu.Lock()
	defer decisionWaiters.mu.Unlock()
	if decisionWaiters.decisions == nil {
		decisionWaiters.decisions = map[*decide.Work]chan decide.Decision{}
	}
	decisionWaiters.decisions[work] = decided
	return decided
}

// remove removes the work and reports whether its decision was still pending.
func (decisionWaiters *decisionWaiters) remove(work *decide.Work) bool {
	decisionWaiters.mu.Lock()
	defer decisionWaiters.mu.Unlock()
	_, found := decisionWaiters.decisions[work]
	delete(decisionWaiters.decisions, work)
	return found
}

// deliver sends the decision to its waiter and reports whether there was one.
func (decisionWaiters *decisionWaiters) deliver(decision decide.Decision) bool {
	decisionWaiters.mu.Lock()
	defer decisionWaiters.mu.Unlock()
	decided, found := decisionWaiters.decisions[decision.Work]
	if found {
		delete(decisionWaiters.decisions, decision.Work)
		decided <- decision
	}
	return found
}
