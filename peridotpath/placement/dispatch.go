package placement

import (
	"cmp"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
)

// startingWithin returns the engines that can start a prefill within the delay; all of them
// where it is zero.
func startingWithin(engines []engine, delay time.Duration) []engine {
	if delay <= 0 {
		return engines
	}
	return slices.DeleteFunc(engines, func(engine engine) bool { return engine.prefillDelay > delay })
}

// PrefillsAhead returns the prefill times, on a single engine, of the unblocked prompts of all
// instances that precede one of this instance's in the queue, in the order of their dispatch.
func (tracker *LoadTracker) PrefillsAhead(number QueuedPromptNumber, instance peridotpath.InstanceID, now time.Time) []time.Duration {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	prompt := tracker.queued[number]
	if prompt == nil {
		return nil
	}
	var ahead []*QueuedPrompt
	for _, other := range tracker.queued {
		if other.Number != number && !other.Blocked && other.precedes(prompt, other.Number < number) {
			ahead = append(ahead, other)
		}
	}
	for id, peer := range tracker.unexpiredPeers(now) {
		for i := range peer.queued {
			if other := &peer.queued[i]; !other.Blocked && other.precedes(prompt, id < instance) {
				ahead = append(ahead, other)
			}
		}
	}
	slices.SortFunc(ahead, func(a, b *QueuedPrompt) int {
		if a.MissesTarget != b.MissesTarget {
			if b.MissesTarget {
				return -1
			}
			return 1
		}
		return a.Due.Compare(b.Due)
	})
	prefills := make([]time.Duration, len(ahead))
	for i, other := range ahead {
		prefills[i] = other.PrefillTime
	}
	return prefills
}

const (
	// dispatchLag is the lag of reports that one dispatch at a time can bear.
	dispatchLag = 50 * time.Millisecond
	// singleDispatchTime is how long after its start an instance plans one prompt at a time. All
	// instances may have restarted, and the reported load does not yet hold what peers placed in
	// the same moment: side by side, long prompts then took the engines of the short ones.
	singleDispatchTime = 2 * settleTime
)

// PromptsSideBySide returns how many prompts at the head of the queue may be planned at the
// same time: as many as the engines can prefill at once, each split as widely as possible, and
// at least one. Where reports are older, prompts that still seem to be ahead have been
// dispatched already, and more are planned.
func (tracker *LoadTracker) PromptsSideBySide(engines int, now time.Time) int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.startKnown && now.Sub(tracker.startedAt) < singleDispatchTime {
		return 1
	}
	return max(engines/(1+maxHelpers), 1) * (1 + int(tracker.reportLag/dispatchLag))
}

// AssumePlaced adds the load of prompts that are expected to be placed before the next plan,
// given their prefill times on a single engine in the order of their dispatch. Each is split
// over the engines without decoding requests that are free first.
func (snapshot *LoadSnapshot) AssumePlaced(candidates []Candidate, prefills []time.Duration) {
	type target struct {
		key     peridotpath.EndpointKey
		backlog time.Duration
	}
	var idle []target
	for _, candidate := range candidates {
		if load := snapshot.At(candidate.Key); !candidate.IsEjected && load.Decoding == 0 {
			idle = append(idle, target{candidate.Key, load.PrefillBacklog})
		}
	}
	for _, prefill := range prefills {
		slices.SortFunc(idle, func(a, b target) int {
			return cmp.Or(cmp.Compare(a.backlog, b.backlog), cmp.Compare(a.key, b.key))
		})
		width := min(1+maxHelpers, len(idle))
		for i := range width {
			idle[i].backlog += prefill / time.Duration(width)
			snapshot.load(idle[i].key).PrefillBacklog = idle[i].backlog
		}
	}
}

// QueuedPrefill returns the prefill time, on one engine, of the prompts that wait at all
// instances.
func (snapshot LoadSnapshot) QueuedPrefill() time.Duration { return snapshot.queuedPrefill }

// queuedPrefill is the prefill time of the prompts that wait at all instances. The caller
// holds the lock.
func (tracker *LoadTracker) queuedPrefill(now time.Time) time.Duration {
	total := time.Duration(0)
	for _, prompt := range tracker.queued {
		total += prompt.PrefillTime
	}
	for _, peer := range tracker.unexpiredPeers(now) {
		for i := range peer.queued {
			total += peer.queued[i].PrefillTime
		}
	}
	return total
}
