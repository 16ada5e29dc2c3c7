// Package shutdown tells the parts of an instance until when it can still answer requests once it was
// told to stop. Requests take their context from it, so that nothing waits beyond that time, and
// decisions ask it, so that a request which can't be answered in time is refused at once.
package shutdown

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrStopping is the cause with which the contexts of requests end when the process is about to exit.
var ErrStopping = errors.New("the instance is being stopped")

// RetryAfter is the retry delay of a request that is refused because the instance stops. It is short:
// the load balancer sends a new connection to another instance.
const RetryAfter = 50 * time.Millisecond

// Notice announces the exit of the process. The zero value announces none; it is ready for use. A nil
// Notice never announces any.
type Notice struct {
	mutex sync.Mutex
	// answerBy is until when answers are written; zero while no exit is announced.
	answerBy time.Time
	// over ends at answerBy. It is created when it is first asked for.
	over    context.Context //nolint:containedctx // it is what the contexts of requests end with
	endOver context.CancelCauseFunc
}

// Begin announces that answers are written until a time. Further calls change nothing.
func (notice *Notice) Begin(answerBy time.Time) {
	notice.mutex.Lock()
	defer notice.mutex.Unlock()
	if !notice.answerBy.IsZero() {
		return
	}
	notice.init()
	notice.answerBy = answerBy
	end := notice.endOver
	time.AfterFunc(time.Until(answerBy), func() { end(ErrStopping) })
}

// init creates the context that ends with the notice. The caller holds the mutex.
func (notice *Notice) init() {
	if notice.over == nil {
		notice.over, notice.endOver = context.WithCancelCause(context.Background())
	}
}

// AnswerBy returns until when answers are written; false while no exit is announced.
func (notice *Notice) AnswerBy() (time.Time, bool) {
	if notice == nil {
		return time.Time{}, false
	}
	notice.mutex.Lock()
	defer notice.mutex.Unlock()
	return notice.answerBy, !notice.answerBy.IsZero()
}

// TimeLeft returns the time until answers are no longer written, at least 1 ns; zero while no exit is
// announced.
func (notice *Notice) TimeLeft(now time.Time) time.Duration {
	answerBy, isAnnounced := notice.AnswerBy()
	if !isAnnounced {
		return 0
	}
	return max(answerBy.Sub(now), 1)
}

// IsOver reports whether no more answers are written.
func (notice *Notice) IsOver() bool {
	answerBy, isAnnounced := notice.AnswerBy()
	return isAnnounced && !time.Now().Before(answerBy)
}

// AfterFunc calls f on a goroutine of its own when no more answers are written. Stop takes that back.
func (notice *Notice) AfterFunc(f func()) (stop func() bool) {
	if notice == nil {
		return func() bool { return true }
	}
	notice.mutex.Lock()
	notice.init()
	over := notice.over
	notice.mutex.Unlock()
	return context.AfterFunc(over, f)
}

// WithContext returns a context that also ends, with the cause ErrStopping, when no more answers are
// written. The caller releases it.
func (notice *Notice) WithContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := notice.AfterFunc(func() { cancel(ErrStopping) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// HasEnded reports whether a context has ended because the process is about to exit.
func HasEnded(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }
