package placement

import (
	"time"

	"peridotpath.example/peridotpath"
)

type (
	// WaitNumber identifies a queued prompt within its instance.
	WaitNumber uint64

	// Wait is a long prompt in the prefill queue. The instances exchange their
	// queued prompts and dispatch them one after another in a common order.
	Wait struct {
		Number WaitNumber
		// Due is the sort key of the queue: the arrival time plus a part of the
		// prefill time.
		Due time.Time
		// Reading is the prefill time of the prompt on a single engine.
		Reading time.Duration
		// Late is set when the prompt can no longer meet its latency target. It
		// then yields to prompts that can.
		Late bool
		// Blocked is set when the prompt waits for a resource that others do not
		// need. It is then skipped, which avoids head-of-line blocking.
		Blocked bool
	}
)

// dueDelayShare is the share of a prompt's prefill time that is added to its due
// time. Dispatching short prompts first maximises the number that meet their target
// in a burst; the share bounds the delay of long prompts, so that they do not starve.
const dueDelayShare = 0.3

// NewWait returns the queue entry of a request.
func NewWait(arrived time.Time, prefill time.Duration) Wait {
	return Wait{Due: arrived.Add(time.Duration(dueDelayShare * float64(prefill))), Reading: prefill}
}

// Join adds a prompt to the queue and returns its number.
func (tracker *Book) Join(prompt Wait) WaitNumber {
	tracker.mutex.Lock()
	if tracker.queued == nil {
		tracker.queued = map[WaitNumber]*Wait{}
	}
	tracker.lastQueued++
	prompt.Number = tracker.lastQueued
	tracker.queued[prompt.Number] = &prompt
	tracker.mutex.Unlock()
	tracker.notifyChanged()
	return prompt.Number
}

// Leave removes a prompt from the queue.
func (tracker *Book) Leave(number WaitNumber) {
	tracker.mutex.Lock()
	delete(tracker.queued, number)
	tracker.mutex.Unlock()
	tracker.notifyChanged()
}

// Mark updates whether a queued prompt misses its target or is blocked.
func (tracker *Book) Mark(number WaitNumber, late, blocked bool) {
	tracker.mutex.Lock()
	prompt := tracker.queued[number]
	changed := prompt != nil && (prompt.Late != late || prompt.Blocked != blocked)
	if changed {
		prompt.Late, prompt.Blocked = late, blocked
	}
	tracker.mutex.Unlock()
	if changed {
		tracker.notifyChanged()
	}
}

// OwnWaits returns this instance's queued prompts.
func (tracker *Book) OwnWaits() []Wait {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	prompts := make([]Wait, 0, len(tracker.queued))
	for _, prompt := range tracker.queued {
		prompts = append(prompts, *prompt)
	}
	return prompts
}

// Ahead returns how many unblocked prompts of all instances precede one of this
// instance's in the queue, and their prefill time on a single engine.
func (tracker *Book) Ahead(number WaitNumber, instance peridotpath.InstanceID, now time.Time) (count int, prefill time.Duration) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	own := tracker.queued[number]
	if own == nil {
		return 0, 0
	}
	countIf := func(other *Wait, precedes bool) {
		if precedes && !other.Blocked {
			count++
			prefill += other.Reading
		}
	}
	for _, other := range tracker.queued {
		countIf(other, other.Number != number && other.precedes(own, other.Number < number))
	}
	for id, peer := range tracker.unexpiredPeers(now) {
		for i := range peer.queued {
			countIf(&peer.queued[i], peer.queued[i].precedes(own, id < instance))
		}
	}
	return count, prefill
}

// precedes reports whether prompt is dispatched before other; tieBreak decides between equals.
func (prompt *Wait) precedes(other *Wait, tieBreak bool) bool {
	if prompt.Late != other.Late {
		return other.Late
	}
	// Times received from peers include the network delay, so differences within
	// dueTolerance count as equal.
	if gap := prompt.Due.Sub(other.Due); gap < -dueTolerance || gap > dueTolerance {
		return gap < 0
	}
	return tieBreak
}

// dueTolerance is the difference of two due times that network delay can cause.
const dueTolerance = 3 * time.Millisecond
