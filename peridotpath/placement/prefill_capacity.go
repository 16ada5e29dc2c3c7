package placement

import (
	"math"
	"time"
)

const (
	// defaultCapacityShare is the share of the engines' time that long prompts can use where
	// nothing was observed: some engines decode other requests, and parts of a split prefill do
	// not end at the same time. defaultCapacityWeight is how much observed time it counts as.
	defaultCapacityShare  = 0.6
	defaultCapacityWeight = time.Second
	// minCapacityShare and maxCapacityShare bound the capacity as a share of the engines.
	minCapacityShare, maxCapacityShare = 0.3, 0.95
	// capacityTimeConstant is the time constant of the decay of observations.
	capacityTimeConstant = 4 * time.Second
	// maxCapacityGap is the longest time between two observations that counts: the state between
	// those further apart is unknown.
	maxCapacityGap = 300 * time.Millisecond
)

// prefillCapacity estimates the prefill rate of the engines from the work that all instances
// dispatch while prompts wait.
type prefillCapacity struct {
	observedAt time.Time
	isWaiting  bool
	// waitingTime is the time during which prompts waited, dispatched the work that was
	// dispatched in it, both with exponential decay.
	waitingTime, dispatched float64
}

// observe records whether prompts wait.
func (capacity *prefillCapacity) observe(isWaiting bool, now time.Time) {
	elapsed := now.Sub(capacity.observedAt)
	if elapsed < 0 {
		return
	}
	decay := math.Exp(-elapsed.Seconds() / capacityTimeConstant.Seconds())
	if capacity.observedAt.IsZero() {
		decay = 0
	}
	capacity.waitingTime *= decay
	capacity.dispatched *= decay
	if capacity.isWaiting && isWaiting && elapsed <= maxCapacityGap {
		capacity.waitingTime += elapsed.Seconds()
	}
	capacity.observedAt, capacity.isWaiting = now, isWaiting
}

// addDispatched records work in engine time that was dispatched.
func (capacity *prefillCapacity) addDispatched(work time.Duration) {
	if capacity.isWaiting {
		capacity.dispatched += work.Seconds()
	}
}

// estimate returns the capacity of a number of engines in engine seconds a second.
func (capacity *prefillCapacity) estimate(engines int) float64 {
	weight := defaultCapacityWeight.Seconds()
	usual := defaultCapacityShare * float64(engines)
	rate := (capacity.dispatched + weight*usual) / (capacity.waitingTime + weight)
	return min(max(rate, minCapacityShare*float64(engines)), maxCapacityShare*float64(engines))
}
