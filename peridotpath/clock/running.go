package clock

import (
	"context"
	"time"
)

const (
	// runningStep is the interval at which a process notices that it runs.
	runningStep = 20 * time.Millisecond
	// maxRunningStep is how much of an interval counts at most: the rest of a longer one is time
	// in which the process was not scheduled.
	maxRunningStep = 2 * runningStep
)

// WithRunningTimeout returns a context that ends when the process has run for the timeout.
//
// It is for verdicts about others: while a process gets no processor time, is suspended or
// frozen, the clock goes on, and the answers that it has not read wait in its sockets. With an
// ordinary timeout it takes its own standstill for their silence. After a standstill there are
// several steps left, in which it reads them.
func WithRunningTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		ticker := time.NewTicker(runningStep)
		defer ticker.Stop()
		ran, last := time.Duration(0), time.Now()
		for ran < timeout {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			now := time.Now()
			ran += countedStep(now.Sub(last))
			last = now
		}
		cancel(context.DeadlineExceeded)
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// countedStep returns how much of the time between two steps the process ran.
func countedStep(elapsed time.Duration) time.Duration { return min(elapsed, maxRunningStep) }
