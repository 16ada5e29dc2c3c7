package placement

import (
	"slices"
	"time"
)

// leastSlotWait is how long a request waits at least where all slots are taken, for
// each that waits before it: some answers are longer than their callers thought.
const leastSlotWait = 100 * time.Millisecond

// slotWait is how long a request waits at the engine until one of those that take its
// slots has ended, if their answers are about as long as its own.
//
// The load that this is made for is the return of all callers at once, when those that
// take the slots have all just begun: none of them ends for as long as an answer takes.
// Reckoned as if one ended every moment, several times as many were sent as there are
// slots, and their callers left before their answers had begun.
func (option *option) slotWait(model Model, work Work) time.Duration {
	over := option.load.Taken() + 1 - option.slots
	if over <= 0 || option.slots <= 0 {
		// A service that does not say how many its engines run at once has no such wait.
		return 0
	}
	stay := model.WriteTime(work.Answer, max(option.pass, model.Pass(1, work.Prompt)))
	least := time.Duration(over) * leastSlotWait
	generation, place := (over-1)/option.slots, (over-1)%option.slots
	wait := option.load.untilEnd(place, stay) + time.Duration(generation)*stay
	return max(least, wait)
}

// untilEnd is the time until as many of those at the engine have ended and one more,
// if each of them stays that long once it writes.
func (load *Load) untilEnd(before int, stay time.Duration) time.Duration {
	if before >= len(load.ages) {
		return load.Backlog + stay
	}
	ages := slices.Sorted(slices.Values(load.ages))
	return max(stay-ages[len(ages)-1-before], 0)
}
