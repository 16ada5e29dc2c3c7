package placement

import (
	"cmp"
	"slices"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/reservation"
)

const (
	// maxKVHelpers bounds the helpers that hold a part of a prompt's KV cache: the
	// failure of any one of them fails the prompt.
	maxKVHelpers = 6
	// maxKVShare is the share of an engine's KV cache that may be allocated. Answers
	// longer than predicted would use up the rest and cause whole requests to be
	// evicted.
	maxKVShare = 0.97
)

// fits reports whether the engine has KV cache for the whole request.
func fits(model Model, work Work, primary *engine) bool {
	return work.PromptTokens+work.AnswerTokens <= freeKV(model, primary)
}

// freeKV is the unallocated KV cache of an engine.
func freeKV(model Model, at *engine) peridotpath.Tokens {
	return peridotpath.Tokens(maxKVShare*float64(model.Rates.KVTokens)) - at.load.ReservedKV
}

// splitKV divides the KV cache of a prompt that fits on no engine into equal parts, on the
// primary and the fewest helpers that have room for them. It returns false where the
// primary and the helpers have too little free KV cache.
func (plan *Plan) splitKV(model Model, work Work, primary *engine, engines []*engine) bool {
	total := work.PromptTokens + work.AnswerTokens
	var helpers []*engine
	for _, engine := range engines {
		if slices.Contains(plan.Helpers, engine.Endpoint) {
			helpers = append(helpers, engine)
		}
	}
	slices.SortStableFunc(helpers, func(a, b *engine) int { return cmp.Compare(freeKV(model, b), freeKV(model, a)) })
	for count := 1; count <= min(len(helpers), maxKVHelpers); count++ {
		part := total/peridotpath.Tokens(1+count) + 1
		if freeKV(model, primary) >= part && freeKV(model, helpers[count-1]) >= part {
			plan.setKVHelpers(helpers, count, part)
			return true
		}
	}
	return false
}

// setKVHelpers makes the first count helpers hold a part of the KV cache each.
func (plan *Plan) setKVHelpers(helpers []*engine, count int, part peridotpath.Tokens) {
	plan.Helpers = plan.Helpers[:0]
	plan.HelperReservations = nil
	for i, helper := range helpers {
		plan.Helpers = append(plan.Helpers, helper.Endpoint)
		if i < count {
			plan.HelperReservations = append(plan.HelperReservations, reservation.MemoryRequest{Endpoint: helper.Endpoint, Tokens: part})
		}
	}
	plan.PrimaryKV = part
}
