package placement

import (
	"cmp"
	"slices"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/reservation"
)

const (
	// maxHolders bounds the helpers that hold a part of a prompt's memory: every
	// one of them can fail, and with it the prompt.
	maxHolders = 6
	// memoryTolerance is how much of an engine's memory may be promised. Answers
	// longer than predicted would take the rest and push out whole requests.
	memoryTolerance = 0.97
)

// fits reports whether the engine has memory for the whole request.
func fits(model Model, work Work, writer *option) bool {
	return work.Prompt+work.Answer <= free(model, writer)
}

// free is the memory of an engine that is promised to nobody.
func free(model Model, at *option) peridotpath.Tokens {
	return peridotpath.Tokens(memoryTolerance*float64(model.Rates.KVTokens)) - at.load.Memory
}

// share spreads the memory of a prompt that no engine can hold: in even parts
// over the writer and as few helpers as have room. It reports whether they have.
func (plan *Plan) share(model Model, work Work, writer *option, readers []*option) bool {
	need := work.Prompt + work.Answer
	var holders []*option
	for _, reader := range readers {
		if slices.Contains(plan.Helpers, reader.Endpoint) {
			holders = append(holders, reader)
		}
	}
	slices.SortStableFunc(holders, func(a, b *option) int { return cmp.Compare(free(model, b), free(model, a)) })
	for count := 1; count <= min(len(holders), maxHolders); count++ {
		part := need/peridotpath.Tokens(1+count) + 1
		if free(model, writer) >= part && free(model, holders[count-1]) >= part {
			plan.hold(holders, count, part)
			return true
		}
	}
	return false
}

// hold notes which helpers hold a part of the memory; these go first.
func (plan *Plan) hold(holders []*option, count int, part peridotpath.Tokens) {
	plan.Helpers = plan.Helpers[:0]
	plan.Reserve = nil
	for i, holder := range holders {
		plan.Helpers = append(plan.Helpers, holder.Endpoint)
		if i < count {
			plan.Reserve = append(plan.Reserve, reservation.Need{Endpoint: holder.Endpoint, Tokens: part})
		}
	}
	plan.Memory = part
}
