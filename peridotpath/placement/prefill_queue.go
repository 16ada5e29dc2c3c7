package placement

import (
	"time"

	"peridotpath.example/peridotpath"
)

type (
	// QueuedPromptNumber identifies a queued prompt within its instance.
	QueuedPromptNumber uint64

	// QueuedPrompt is a long prompt in the prefill queue. The instances exchange their
	// queued prompts and dispatch them one after another in a common order.
	QueuedPrompt struct {
		Number QueuedPromptNumber
		// Due is the sort key of the queue: the arrival time plus a part of the
		// prefill time.
		Due time.Time
		// PrefillTime is the prefill time of the prompt on a single engine.
		PrefillTime time.Duration
		// Target is when the first event has to be there to meet the TTFT target; zero where
		// unknown.
		Target time.Time
		// Customer is whose prompt it is; zero where unknown.
		Customer CustomerHash
		// OverShare is set when the customer uses more than its fair share of engine time. The
		// prompt then yields to those of other customers.
		OverShare bool
		// Booked is set when the prompt was refused before and returned at the booked time. It
		// then goes before newcomers.
		Booked bool
		// MissesTarget is set when the prompt can no longer meet its latency target. It
		// then yields to prompts that can.
		MissesTarget bool
		// Blocked is set when the prompt waits for a resource that other prompts do not
		// need. Other prompts are then dispatched before it, which avoids head-of-line
		// blocking.
		Blocked bool
	}
)

// dueDelayShare is the share of a prompt's prefill time that is added to its due
// time. Dispatching short prompts first maximises the number that meet their target
// in a burst; the share bounds the delay of long prompts, so that they do not starve.
const dueDelayShare = 0.3

// NewQueuedPrompt returns the queue entry of a request.
func NewQueuedPrompt(arrived time.Time, prefill time.Duration) QueuedPrompt {
	return QueuedPrompt{Due: arrived.Add(time.Duration(dueDelayShare * float64(prefill))), PrefillTime: prefill}
}

// Favour removes the delay that the prefill time adds to the due time, and puts the prompt
// before those that arrived up to lead earlier. It addresses size classes that are served less
// often than the others, which the delay would keep behind them.
func (prompt *QueuedPrompt) Favour(arrived time.Time, lead time.Duration) {
	prompt.Due = arrived.Add(-lead)
}

// Join adds a prompt to the queue and returns its number.
func (tracker *LoadTracker) Join(prompt QueuedPrompt) QueuedPromptNumber {
	tracker.mutex.Lock()
	if tracker.queued == nil {
		tracker.queued = map[QueuedPromptNumber]*QueuedPrompt{}
	}
	tracker.lastQueued++
	prompt.Number = tracker.lastQueued
	tracker.queued[prompt.Number] = &prompt
	tracker.mutex.Unlock()
	tracker.notifyChanged()
	return prompt.Number
}

// Dequeue removes a prompt from the queue.
func (tracker *LoadTracker) Dequeue(number QueuedPromptNumber) {
	tracker.mutex.Lock()
	delete(tracker.queued, number)
	tracker.mutex.Unlock()
	tracker.notifyChanged()
}

// UpdateQueued updates whether a queued prompt misses its target or is blocked.
func (tracker *LoadTracker) UpdateQueued(number QueuedPromptNumber, missesTarget, blocked bool) {
	tracker.mutex.Lock()
	prompt := tracker.queued[number]
	changed := prompt != nil && (prompt.MissesTarget != missesTarget || prompt.Blocked != blocked)
	if changed {
		prompt.MissesTarget, prompt.Blocked = missesTarget, blocked
	}
	tracker.mutex.Unlock()
	if changed {
		tracker.notifyChanged()
	}
}

// UpdateShare makes a queued prompt due by the given time, if it is not due earlier, and updates
// whether its customer is above its share. It reports whether the prompt now yields and did not
// before.
func (tracker *LoadTracker) UpdateShare(number QueuedPromptNumber, overShare bool, due time.Time) (yields bool) {
	tracker.mutex.Lock()
	prompt := tracker.queued[number]
	// Admission may have made the prompt due earlier.
	changed := prompt != nil && (prompt.OverShare != overShare || due.Before(prompt.Due))
	if changed {
		yields = overShare && !prompt.OverShare
		prompt.OverShare = overShare
		if due.Before(prompt.Due) {
			prompt.Due = due
		}
	}
	tracker.mutex.Unlock()
	if changed {
		tracker.notifyChanged()
	}
	return yields
}

// LocalQueued returns this instance's queued prompts.
func (tracker *LoadTracker) LocalQueued() []QueuedPrompt {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	prompts := make([]QueuedPrompt, 0, len(tracker.queued))
	for _, prompt := range tracker.queued {
		prompts = append(prompts, *prompt)
	}
	return prompts
}

// QueuedAhead returns how many unblocked prompts of all instances precede one of this
// instance's in the queue, and their total prefill time on a single engine.
func (tracker *LoadTracker) QueuedAhead(number QueuedPromptNumber, instance peridotpath.InstanceID, now time.Time) (count int, prefill time.Duration) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	prompt := tracker.queued[number]
	if prompt == nil {
		return 0, 0
	}
	countIf := func(other *QueuedPrompt, precedes bool) {
		if precedes && !other.Blocked {
			count++
			prefill += other.PrefillTime
		}
	}
	for _, other := range tracker.queued {
		countIf(other, other.Number != number && other.precedes(prompt, other.Number < number))
	}
	for id, peer := range tracker.unexpiredPeers(now) {
		for i := range peer.queued {
			countIf(&peer.queued[i], peer.queued[i].precedes(prompt, id < instance))
		}
	}
	return count, prefill
}

// precedes reports whether prompt is dispatched before other; it returns tieBreak where
// their order is equal.
func (prompt *QueuedPrompt) precedes(other *QueuedPrompt, tieBreak bool) bool {
	if prompt.MissesTarget != other.MissesTarget {
		return other.MissesTarget
	}
	if prompt.Booked != other.Booked {
		return prompt.Booked
	}
	if prompt.OverShare != other.OverShare {
		return other.OverShare
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
