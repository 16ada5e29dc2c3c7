package dispatch

import (
	"context"
	"sync"
	"time"

	"peridotpath.example/peridotpath/decide"
)

// await turns a decision that says Wait into one that places or refuses.
func (dispatcher *Dispatcher) await(ctx context.Context, work *decide.Work, ask func() decide.Decision) decide.Decision {
	granted := dispatcher.waiters.add(work)
	decision := ask()
	if decision.Verdict != decide.Wait {
		dispatcher.waiters.remove(work)
		return decision
	}
	select {
	case decision = <-granted:
		return decision
	case <-ctx.Done():
	}
	dispatcher.Scheduler.Cancel(time.Now(), work)
	if !dispatcher.waiters.remove(work) {
		// The decision came at the same moment; it is in the channel.
		decision = <-granted
		if decision.Verdict == decide.Place {
			dispatcher.done(work, decide.Abandoned, 0)
		}
	}
	return decide.Decision{Work: work, Verdict: decide.Refuse, Result: ended(ctx, work, true)}
}

// waiters holds the queued requests that wait for a decision.
type waiters struct {
	mu   sync.Mutex
	byID map[*decide.Work]chan decide.Decision
}

func (waiters *waiters) add(work *decide.Work) <-chan decide.Decision {
	granted := make(chan decide.Decision, 1)
	waiters.mu.Lock()
	defer waiters.mu.Unlock()
	if waiters.byID == nil {
		waiters.byID = map[*decide.Work]chan decide.Decision{}
	}
	waiters.byID[work] = granted
	return granted
}

// remove reports whether the work was still waiting.
func (waiters *waiters) remove(work *decide.Work) bool {
	waiters.mu.Lock()
	defer waiters.mu.Unlock()
	_, waiting := waiters.byID[work]
	delete(waiters.byID, work)
	return waiting
}

// deliver hands the decision to its waiter and reports whether there was one.
func (waiters *waiters) deliver(decision decide.Decision) bool {
	waiters.mu.Lock()
	defer waiters.mu.Unlock()
	granted, waiting := waiters.byID[decision.Work]
	if waiting {
		delete(waiters.byID, decision.Work)
		granted <- decision
	}
	return waiting
}
