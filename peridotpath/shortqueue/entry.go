package shortqueue

import (
	"context"
	"time"

	"peridotpath.example/peridotpath/placement"
)

const (
	// pollInterval is the interval at which the first waiting short prompt is planned, and
	// idleInterval that at which the others check whether they are late.
	pollInterval = 10 * time.Millisecond
	idleInterval = 40 * time.Millisecond
	// delayPerRank is how much later a short prompt is due for each rank of lower priority:
	// three ranks outweigh a usual TTFT target.
	delayPerRank = 100 * time.Millisecond
)

// Entry is one waiting prompt. Only the goroutine of its request uses its methods and the fields
// that WaitingShort does not hold.
type Entry struct {
	placement.WaitingShort
	// JoinedAt is when the prompt began to wait.
	JoinedAt time.Time
	// Outlook is that of the last plan.
	Outlook placement.SlotOutlook

	// wake receives when the prompt has become the first one or a slot was released.
	wake chan struct{}
	// nextDraw is when the prompt may draw for free slots again.
	nextDraw time.Time
}

// NewEntry returns the entry of a prompt that begins to wait at now. It is due at the last moment to
// send it, and later by its rank; rank 0 is the most urgent.
func NewEntry(lastMoment time.Time, rank int, now time.Time) *Entry {
	due := lastMoment.Add(time.Duration(rank) * delayPerRank)
	return &Entry{WaitingShort: placement.WaitingShort{Due: due}, JoinedAt: now, wake: make(chan struct{}, 1)}
}

// MayDraw reports whether the prompt may draw for the slots that it knows to be free.
func (entry *Entry) MayDraw(now time.Time) bool { return !now.Before(entry.nextDraw) }

// RecordDraw records that the prompt drew and lost, given the time until peers know of a request. It
// may draw again after that time.
func (entry *Entry) RecordDraw(newsAge time.Duration, now time.Time) {
	entry.nextDraw = now.Add(max(newsAge, pollInterval))
}

// Sleep waits until the prompt is woken, its poll interval has passed or it has been held for as
// long as it may be: with a target of 60 ms, idleInterval is longer than the margin after that. It
// returns false when the context ends.
func (entry *Entry) Sleep(ctx context.Context, isFirst bool, untilHoldLimit time.Duration) bool {
	interval := idleInterval
	if isFirst {
		interval = pollInterval
	}
	timer := time.NewTimer(min(interval, untilHoldLimit))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-entry.wake:
	case <-timer.C:
	}
	return ctx.Err() == nil
}
