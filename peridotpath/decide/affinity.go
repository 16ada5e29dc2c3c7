package decide

import (
	"sync/atomic"
	"time"
)

const (
	// affinitySlots is the size of the prefix table: 1.5 MB per instance.
	affinitySlots = 1 << 16
	// affinityDecayTime is the time over which a recorded prefix loses its
	// weight. Engines report evictions late, and a stale entry sends work to a
	// busier endpoint without benefit.
	affinityDecayTime = 45 * time.Second
)

// affinity maps a prefix to the endpoint that received it last. It estimates the
// contents of the engines' prefix caches from this Instance's own placements,
// since cache events arrive late and have gaps. A wrong entry only costs latency,
// so the slots are plain atomics and a collision overwrites.
type affinity struct {
	slots [affinitySlots]struct {
		hash  atomic.Uint64
		state atomic.Pointer[state]
		at    atomic.Int64
	}
}

// findMember returns the member that received the longest recorded prefix of
// the work, and how many tokens of the prefix to count as cached.
func (affinity *affinity) findMember(at int64, work *Work) (*member, int64) {
	for i := len(work.Prefixes) - 1; i >= 0; i-- {
		hash := work.Prefixes[i]
		slot := &affinity.slots[hash%affinitySlots]
		if slot.hash.Load() != hash {
			continue
		}
		age := time.Duration(at - slot.at.Load())
		weight := 1 - age.Seconds()/affinityDecayTime.Seconds()
		if weight <= 0 {
			continue
		}
		state := slot.state.Load()
		if state == nil {
			continue
		}
		member := state.liveMember.Load()
		if member == nil {
			continue
		}
		length := min(PrefixBlock<<i, work.PromptTokens)
		return member, int64(float64(length) * weight)
	}
	return nil, 0
}

// record records that the endpoint receives the work's prefixes.
func (affinity *affinity) record(at int64, work *Work, state *state) {
	for _, hash := range work.Prefixes {
		slot := &affinity.slots[hash%affinitySlots]
		slot.hash.Store(hash)
		slot.state.Store(state)
		slot.at.Store(at)
	}
}
