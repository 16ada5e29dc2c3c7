package decide

import (
	"sync/atomic"
	"time"
)

const (
	// affinitySlots is the size of the table of prefixes: 1.5 MB an instance.
	affinitySlots = 1 << 16
	// affinityFade is the time over which a remembered prefix loses its worth.
	// Engines evict without telling us in time, and a wrong guess sends work to
	// a busier endpoint for nothing.
	affinityFade = 45 * time.Second
)

// affinity remembers which endpoint got a prefix last. It is a guess at what
// the engines' prefix caches hold, taken from our own placements: cache events
// are late and have gaps. A wrong entry costs speed and nothing else, so the
// slots are plain atomics, and a collision overwrites.
type affinity struct {
	slots [affinitySlots]struct {
		hash  atomic.Uint64
		state atomic.Pointer[state]
		at    atomic.Int64
	}
}

// find returns the member that holds the longest known prefix of the work, and
// how many tokens of it to count as cached.
func (affinity *affinity) find(at int64, work *Work) (*member, int64) {
	for i := len(work.Prefixes) - 1; i >= 0; i-- {
		hash := work.Prefixes[i]
		slot := &affinity.slots[hash%affinitySlots]
		if slot.hash.Load() != hash {
			continue
		}
		age := time.Duration(at - slot.at.Load())
		worth := 1 - age.Seconds()/affinityFade.Seconds()
		if worth <= 0 {
			continue
		}
		state := slot.state.Load()
		if state == nil {
			continue
		}
		member := state.current.Load()
		if member == nil {
			continue
		}
		length := min(PrefixBlock<<i, work.Prompt)
		return member, int64(float64(length) * worth)
	}
	return nil, 0
}

// note remembers that the endpoint gets the work's prefixes.
func (affinity *affinity) note(at int64, work *Work, state *state) {
	for _, hash := range work.Prefixes {
		slot := &affinity.slots[hash%affinitySlots]
		slot.hash.Store(hash)
		slot.state.Store(state)
		slot.at.Store(at)
	}
}
