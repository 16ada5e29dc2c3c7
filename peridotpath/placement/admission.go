package placement

import "time"

// QueueOutlook is what is predicted for a long prompt that waits in the prefill queue.
//
// It is designed for bursts of long prompts beyond what the engines prefill. A prompt that is known
// to be hopeless is refused at once, so that its caller returns when there is capacity, and is not
// held for seconds in vain.
type QueueOutlook struct {
	Work Work
	// UntilPrefilled is the time until the prompts ahead and this one have been prefilled.
	UntilPrefilled time.Duration
	// Decode is the time from the first event to the last one.
	Decode time.Duration
	// IsBooked is set where the request was refused before and returned at the booked time.
	IsBooked bool
	// IsResumed is set where the client has received a part of the answer.
	IsResumed bool
}

// MissesTarget reports whether the prompt yields to those that can be on time. A stream that has
// begun does not: its client waits for the next event, not for the first.
func (outlook *QueueOutlook) MissesTarget() bool {
	return !outlook.IsResumed && outlook.Work.Waited+outlook.UntilPrefilled > outlook.Work.TTFTTarget
}

// maxLateQueueShare is the share of the time from arrival to deadline after which a prompt that
// misses its target is refused: its caller then has time for a retry.
const maxLateQueueShare = 0.4

// QueueVerdict is whether a queued prompt may go on waiting.
type QueueVerdict uint8

// The verdicts.
const (
	// QueueWait: the prompt waits.
	QueueWait QueueVerdict = iota
	// QueueHopeless: the client gives up before the first event.
	QueueHopeless
	// QueueExit: the answer would end after this process has exited.
	QueueExit
	// QueueTimeout: the prompt is late, and the rest of its time is for a retry.
	QueueTimeout
)

// Decide returns whether the prompt may go on waiting. A booked return is not refused a second time
// for being late.
func (outlook *QueueOutlook) Decide() QueueVerdict {
	work := &outlook.Work
	switch {
	case outlook.UntilPrefilled > work.FirstEventTimeout():
		return QueueHopeless
	case work.EndsAfterExit(outlook.UntilPrefilled + outlook.Decode):
		return QueueExit
	case outlook.IsBooked, !outlook.MissesTarget():
		return QueueWait
	case work.Waited > time.Duration(maxLateQueueShare*float64(work.Waited+work.TimeLeft)):
		return QueueTimeout
	}
	return QueueWait
}

// UntilRoom returns the time after which a refused request may return.
func (outlook *QueueOutlook) UntilRoom() time.Duration {
	if timeout := outlook.Work.FirstEventTimeout(); outlook.UntilPrefilled > timeout {
		return outlook.UntilPrefilled - timeout
	}
	return outlook.UntilPrefilled
}

// PrefillCapacity returns how much prefill a service's engines bear, in engine seconds a second, by
// what was seen while prompts waited.
func (tracker *LoadTracker) PrefillCapacity(engines int, now time.Time) float64 {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.capacity.observe(tracker.hasWaiting(now), now)
	tracker.lastCapacity = tracker.capacity.estimate(engines)
	return tracker.lastCapacity
}

// LastPrefillCapacity returns the capacity that was last used for a decision; zero before the first
// one.
func (tracker *LoadTracker) LastPrefillCapacity() float64 {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.lastCapacity
}

// minWait is how long a prompt is queued at least where engines are busy: a shorter time passes
// while instances hear of it.
const minWait = 150 * time.Millisecond

// isWaiting reports whether the prompt waits for engines that are busy.
func (prompt *QueuedPrompt) isWaiting(now time.Time) bool {
	arrived := prompt.Due.Add(-time.Duration(dueDelayShare * float64(prompt.PrefillTime)))
	return !prompt.Blocked && now.Sub(arrived) > minWait
}

// hasWaiting reports whether a prompt of any instance waits for engines that are busy.
func (tracker *LoadTracker) hasWaiting(now time.Time) bool {
	for _, prompt := range tracker.queued {
		if prompt.isWaiting(now) {
			return true
		}
	}
	for _, peer := range tracker.peers {
		for i := range peer.queued {
			if peer.queued[i].isWaiting(now) {
				return true
			}
		}
	}
	return false
}

// prefillWork returns the prefill time of all parts of a long prompt; zero for a short one.
func (request *InFlight) prefillWork() time.Duration {
	total := time.Duration(0)
	for _, part := range request.Parts {
		total += part.PrefillTime
	}
	if total < minSplitPrefill {
		return 0
	}
	return total
}

// observePeerPrefill adds what is new in a peer's report to the estimate of the capacity. Previous is
// nil for a peer that was not heard from; only what it dispatched recently is new then.
func (tracker *LoadTracker) observePeerPrefill(previous *peerLoad, report *PeerReport, now time.Time) {
	tracker.capacity.observe(tracker.hasWaiting(now), now)
	for i := range report.InFlight {
		request := &report.InFlight[i]
		isNew := now.Sub(request.SentAt) < maxCapacityGap
		if previous != nil {
			isNew = request.Number > previous.lastNumber
		}
		if isNew {
			tracker.capacity.addDispatched(request.prefillWork())
		}
	}
}
