package placement

import "time"

const (
	// maxShortPromptDelay is the prefill delay up to which an engine can meet the TTFT
	// target of a short prompt: half of the usual target.
	maxShortPromptDelay = 150 * time.Millisecond
	// shortDecodeTime is the approximate decode time of a short answer.
	shortDecodeTime = 1700 * time.Millisecond
)

// headroom is the capacity for short prompts on engines that prefill no long one.
type headroom struct {
	freeSlots, decoding int
}

// headroom returns the sum over all engines.
func (fleet *fleetState) headroom() headroom {
	var total headroom
	for _, engine := range fleet.engines {
		total.freeSlots += engine.shortPromptSlots()
		total.decoding += engine.load.Decoding
	}
	return total
}

// exclude subtracts an engine.
func (headroom *headroom) exclude(engine *engine) {
	headroom.freeSlots -= engine.shortPromptSlots()
	headroom.decoding -= engine.load.Decoding
}

// shortPromptSlots is the number of short prompts that the engine can accept now. It is
// zero while the prefill delay is too long for these prompts to meet their target.
func (engine *engine) shortPromptSlots() int {
	if engine.prefillDelay > maxShortPromptDelay {
		return 0
	}
	return max(engine.slots-engine.load.RequestCount(), 0)
}

// addCrowdingCost adds the value that short prompts lose which arrive before the plan's
// first event and find no slot on the remaining engines.
//
// It matters after all instances have restarted, when no request is decoding and all
// clients reconnect. A long prompt then interferes with no request. Without this cost
// it is split across all engines and delays the short prompts that arrive next, although
// half as many engines are enough to meet its target.
//
// A slot counts as the value 1, that of a short prompt of the usual length.
func (plan *Plan) addCrowdingCost(shortValuePerSecond float64, remaining headroom) {
	duration := plan.TimeToFirstEvent.Seconds()
	slots := float64(remaining.freeSlots) + float64(remaining.decoding)*duration/shortDecodeTime.Seconds()
	cost := MissedTargetCost * max(0, shortValuePerSecond*duration-slots)
	plan.InterferenceCost += cost
	plan.Cost += cost
}
