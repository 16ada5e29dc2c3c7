package placement

import (
	"slices"
	"time"
)

// minSlotWait is the lower bound of the wait for a slot, per request in excess of the
// engine's slots: some answers are longer than predicted.
const minSlotWait = 100 * time.Millisecond

// slotWait predicts how long a request waits at the engine for a slot. It assumes that
// the answers in progress have the same length as the request's own.
//
// It matters when all clients reconnect at once. All slots are then taken by requests
// that have just started, and none ends for a whole decode time. Under the prediction that
// slots free up continuously, several times as many requests are sent as there are slots,
// and their clients disconnect before the first event.
func (engine *engine) slotWait(model Model, work Work) time.Duration {
	excess := engine.load.RequestCount() + 1 - engine.slots
	if excess <= 0 || engine.slots <= 0 {
		// No wait is predicted for a service that does not publish its batch size.
		return 0
	}
	decode := model.DecodeTime(work.AnswerTokens, max(engine.iteration, model.IterationTime(1, work.PromptTokens)))
	lowerBound := time.Duration(excess) * minSlotWait
	batches, position := (excess-1)/engine.slots, (excess-1)%engine.slots
	wait := engine.load.timeUntilSlotFree(position, decode) + time.Duration(batches)*decode
	return max(lowerBound, wait)
}

// timeUntilSlotFree returns the time until position+1 of the engine's requests have ended,
// if each has the given decode time. Where fewer requests are decoding, the time includes
// the prefill backlog.
func (load *Load) timeUntilSlotFree(position int, decode time.Duration) time.Duration {
	if position >= len(load.decodingAges) {
		return load.PrefillBacklog + decode
	}
	ages := slices.Sorted(slices.Values(load.decodingAges))
	return max(decode-ages[len(ages)-1-position], 0)
}
