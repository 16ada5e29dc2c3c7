package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/reservation"
)

// Work is what the planner needs to know of a request.
type Work struct {
	// PromptTokens is the length of the prompt.
	PromptTokens peridotpath.Tokens
	// AnswerTokens is the expected length of the answer.
	AnswerTokens peridotpath.Tokens
	// TTFTTarget is the target for the time to first token, from the request's arrival.
	TTFTTarget time.Duration
	// ITLTarget is the target for the inter-token latency; zero for none.
	ITLTarget time.Duration
	// Waited is the time since the request's arrival.
	Waited time.Duration
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// ClientTimeout is the time until the client times out if no event arrives; zero
	// where that is not known.
	ClientTimeout time.Duration
	// UntilExit is the time until this process writes no more answers; zero while it does not exit.
	UntilExit time.Duration
	// MaxPrefillDelay, when set, limits the plan to engines that can start their prefill
	// within this time.
	MaxPrefillDelay time.Duration
	// DataCentre is the data centre of this instance.
	DataCentre peridotpath.DataCentre
	// FewestHelpers asks for the plan with the fewest helpers that meets the TTFT target. It is
	// set once the request was refused because of a helper.
	FewestHelpers bool
}

// maxHold is the time from arrival, in targets, after which a prompt that nothing could be sent for is
// refused. No request is held for over twice its target in vain; the rest is for a poll.
const maxHold = 1.75

// UntilHoldLimit returns the time for which a prompt may still be held without being sent; zero or
// less once it has been held for so long.
func (work *Work) UntilHoldLimit() time.Duration {
	return time.Duration(maxHold*float64(work.TTFTTarget)) - work.Waited
}

// EndsAfterExit reports whether an answer that takes a time until it is whole ends after this process
// has exited.
func (work *Work) EndsAfterExit(untilWhole time.Duration) bool {
	return work.UntilExit > 0 && untilWhole > work.UntilExit
}

// FirstEventTimeout is the time until the client disconnects if the answer has not begun.
func (work *Work) FirstEventTimeout() time.Duration {
	if work.ClientTimeout > 0 {
		return min(work.TimeLeft, work.ClientTimeout)
	}
	return work.TimeLeft
}

// Candidate is an endpoint that may run a request.
type Candidate struct {
	Endpoint *peridotpath.Endpoint
	Key      peridotpath.EndpointKey
	// IsEjected is set while the endpoint is ejected. An ejected endpoint is used only
	// when no other can be.
	IsEjected bool
}

// Plan is the placement of a request.
type Plan struct {
	// Primary is the primary: it prefills the first part of the prompt and decodes
	// the answer.
	Primary *peridotpath.Endpoint
	// Helpers prefill the other parts.
	Helpers []*peridotpath.Endpoint
	// HelperReservations is the KV cache to reserve at helpers, in their order, where the
	// primary cannot hold it all; empty otherwise.
	HelperReservations []reservation.MemoryRequest
	// PrimaryKV is the KV cache that the primary holds.
	PrimaryKV peridotpath.Tokens
	// PrefillTime is the prefill time of each part.
	PrefillTime time.Duration
	// TimeToFirstEvent is the time from dispatch to the first event.
	TimeToFirstEvent time.Duration
	// PrefillDelay is the time until the last of the engines starts its prefill.
	PrefillDelay time.Duration
	// InterferenceCost is the value that other requests are expected to lose.
	InterferenceCost float64
	// Cost is the value that the request and others are expected to lose.
	Cost float64
}

// InFlight returns the in-flight request that results from the plan.
func (plan *Plan) InFlight(work Work, now time.Time) InFlight {
	parts := make([]PrefillPart, 0, 1+len(plan.Helpers))
	parts = append(parts, PrefillPart{Endpoint: plan.Primary.Key(), PrefillTime: plan.PrefillTime, ReservedKV: plan.PrimaryKV})
	for i, helper := range plan.Helpers {
		part := PrefillPart{Endpoint: helper.Key(), PrefillTime: plan.PrefillTime}
		if i < len(plan.HelperReservations) {
			part.ReservedKV = plan.HelperReservations[i].Tokens
		}
		parts = append(parts, part)
	}
	return InFlight{Parts: parts, PromptTokens: work.PromptTokens, ITLTarget: work.ITLTarget, SentAt: now}
}

const (
	// maxHelpers bounds the helpers that prefill parts of one prompt.
	maxHelpers = 16
	// maxPrimaries bounds the engines that are tried as the primary of a split prompt,
	// in order of cost. For each one, a plan is computed per number of helpers, and a
	// queued prompt is planned a hundred times a second.
	maxPrimaries = 16
	// ejectedPenaltySeconds ranks ejected engines behind all others.
	ejectedPenaltySeconds = 60
	// minSplitPrefill is the prefill time from which a prompt is split. Shorter prefill
	// fits between two events of the requests that decode on the same engine.
	minSplitPrefill = 100 * time.Millisecond
	// minDecodeShare is the share of the estimated decode time that must remain before
	// the deadline. The estimate uses the answer length that the client expects, which
	// is right in the median but often twice the actual length.
	minDecodeShare = 0.5
)

// engine is a candidate with its load.
type engine struct {
	Candidate
	load *Load
	// slots is the engine's maximum batch size.
	slots int
	// iteration is the duration of an iteration without prefill.
	iteration time.Duration
	// prefillDelay is the time until the engine can start a new prefill.
	prefillDelay time.Duration
	// rank is the engine's position in an order common to all instances, jitter a
	// random position for this plan only. Both are from 0 to 1.
	rank, jitter float64
	// confidence is how far the load can be relied on, observedShare the part of the observation
	// time since the start of this instance; both are from 0 to 1.
	confidence, observedShare float64
	// prefillCost is the sort key of engines for a part of the prompt.
	prefillCost float64
}

// extraPrefill is the additional time that a prefill takes because the engine is slow.
func (engine *engine) extraPrefill(prefill time.Duration) time.Duration {
	return time.Duration((engine.load.ReportedSlowdown - 1) * float64(prefill))
}

// PlanPrompt chooses the engines for a prompt. It minimises the value that the prompt
// and the requests already on the engines are expected to lose by missed latency
// targets. It returns false where no engine can run the prompt before the client
// disconnects.
//
// It is designed for short and long prompts that arrive together. A long prompt that one
// engine prefills delays all other requests on that engine for seconds, their first events
// and later ones. If its prefill is split across the engines with few decoding requests, it
// takes a fraction of a second, and short prompts use the other engines.
func PlanPrompt(model Model, work Work, candidates []Candidate, snapshot LoadSnapshot) (Plan, bool) {
	engines := newEngines(model, candidates, snapshot)
	prefill := model.PrefillTime(work.PromptTokens)
	engines = startingWithin(engines, work.MaxPrefillDelay)
	byPrefillCost := sortByPrefillCost(engines, prefill)
	fleet := fleetState{shortValuePerSecond: snapshot.shortValuePerSecond, engines: byPrefillCost}
	best, found := Plan{}, false
	split := noneFits(model, work, engines)
	tried := 0
	for _, primary := range sortByPrimaryCost(work, prefill, byPrefillCost) {
		if !split && !fits(model, work, primary) {
			continue
		}
		if tried++; prefill >= minSplitPrefill && tried > maxPrimaries {
			break
		}
		plan := bestPlan(model, work, prefill, primary, fleet)
		plan.PrimaryKV = work.PromptTokens + work.AnswerTokens
		if split && !plan.splitKV(model, work, primary, byPrefillCost) {
			continue
		}
		decode := model.DecodeTime(work.AnswerTokens, max(primary.iteration, model.IterationTime(1, work.PromptTokens)))
		if !isFeasible(plan, work, decode) || work.EndsAfterExit(plan.TimeToFirstEvent+decode) {
			continue
		}
		if !found || plan.Cost < best.Cost {
			best, found = plan, true
		}
	}
	return best, found
}

// isFeasible reports whether the plan's answer begins before the client times out and
// can end before the deadline. A prompt that already misses its target costs little more
// when it is later still. Without the first check all such prompts go to the few engines
// where they interfere with no other request, and most of their clients time out.
func isFeasible(plan Plan, work Work, decode time.Duration) bool {
	if work.ClientTimeout > 0 && plan.TimeToFirstEvent > work.ClientTimeout {
		return false
	}
	return plan.TimeToFirstEvent+time.Duration(minDecodeShare*float64(decode)) <= work.TimeLeft
}

// sortByPrefillCost returns the engines in ascending order of the cost to prefill a third
// of the prompt: the delay until it starts and the extra time on a slow engine, in seconds,
// plus the value that other requests lose by this prefill. Ejected engines come last.
func sortByPrefillCost(engines []engine, prefill time.Duration) []*engine {
	sorted := make([]*engine, len(engines))
	for i := range engines {
		engine := &engines[i]
		engine.prefillCost = engine.prefillDelay.Seconds() + engine.extraPrefill(prefill/3).Seconds() + interferenceCost(engine, prefill/3) + helperOvertakingCost(engine, prefill/3)
		if engine.IsEjected {
			engine.prefillCost += ejectedPenaltySeconds
		}
		sorted[i] = engine
	}
	slices.SortStableFunc(sorted, func(a, b *engine) int { return cmp.Compare(a.prefillCost, b.prefillCost) })
	return sorted
}

// sortByPrimaryCost returns the engines in ascending order of their cost as the primary.
func sortByPrimaryCost(work Work, prefill time.Duration, engines []*engine) []*engine {
	value := PromptValue(work.PromptTokens)
	costs := make(map[*engine]float64, len(engines))
	for _, engine := range engines {
		ttft := work.Waited + engine.prefillDelay + prefill/3 + engine.extraPrefill(prefill/3)
		costs[engine] = interferenceCost(engine, prefill/3) + value*(ttftCost(ttft, work.TTFTTarget)+itlRiskCost(work, engine)+engineCost(work, engine))
	}
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b *engine) int { return cmp.Compare(costs[a], costs[b]) })
	return sorted
}

func noneFits(model Model, work Work, engines []engine) bool {
	for i := range engines {
		if fits(model, work, &engines[i]) {
			return false
		}
	}
	return true
}

func newEngines(model Model, candidates []Candidate, snapshot LoadSnapshot) []engine {
	engines := make([]engine, 0, len(candidates))
	confidence := snapshot.confidence()
	for _, candidate := range candidates {
		load := snapshot.At(candidate.Key)
		iteration := load.slowed(model.IterationTime(load.Decoding, load.Context))
		prefillDelay := time.Duration(float64(load.PrefillBacklog)*load.PrefillSlowdown) + iteration/2
		engines = append(engines, engine{
			Candidate: candidate, load: load, slots: model.Rates.BatchSize, iteration: iteration, prefillDelay: prefillDelay,
			jitter: rand.Float64(), confidence: confidence, observedShare: snapshot.observedShare,
		})
	}
	slices.SortFunc(engines, func(a, b engine) int { return cmp.Compare(a.Key, b.Key) })
	for i := range engines {
		engines[i].rank = float64(i) / float64(len(engines))
	}
	return engines
}

// fleetState is the state of a service's engines for which a plan is made.
type fleetState struct {
	// shortValuePerSecond is the value of the short prompts that arrive in a second.
	shortValuePerSecond float64
	// engines are all engines, in ascending order of prefillCost.
	engines []*engine
}

// bestPlan returns the plan with the lowest cost for the given primary, among those with 0
// to maxHelpers helpers; or the one with the fewest helpers that meets the target, where the
// request asks for it.
//
// The latter matters when several engines have just gone and are not known to have: an engine
// refuses a prompt if any of its helpers is gone, and a prompt may be sent twice only. Spread over
// a third of the engines, it is refused twice.
func bestPlan(model Model, work Work, prefill time.Duration, primary *engine, fleet fleetState) Plan {
	best := newPlan(model, work, prefill, primary, nil)
	if prefill < minSplitPrefill {
		return best
	}
	remaining := fleet.headroom()
	remaining.exclude(primary)
	best.addCrowdingCost(fleet.shortValuePerSecond, remaining)
	if work.FewestHelpers && best.surelyMeetsTarget(work) {
		return best
	}
	helpers := make([]*engine, 0, maxHelpers)
	for _, engine := range fleet.engines {
		if engine == primary || engine.IsEjected {
			continue
		}
		if len(helpers) == maxHelpers {
			break
		}
		helpers = append(helpers, engine)
		remaining.exclude(engine)
		plan := newPlan(model, work, prefill, primary, helpers)
		if plan.addCrowdingCost(fleet.shortValuePerSecond, remaining); plan.Cost < best.Cost {
			best = plan
		}
		if work.FewestHelpers && plan.surelyMeetsTarget(work) {
			return plan
		}
	}
	return best
}

// surelyMeetsTarget reports whether the plan meets the TTFT target with room for errors of the
// prediction.
func (plan *Plan) surelyMeetsTarget(work Work) bool {
	return work.Waited+plan.TimeToFirstEvent <= time.Duration(surelyMetShare*float64(work.TTFTTarget))
}

// newPlan returns the plan that splits the prefill evenly across the primary and helpers.
func newPlan(model Model, work Work, prefill time.Duration, primary *engine, helpers []*engine) Plan {
	part := prefill / time.Duration(1+len(helpers))
	prefillDelay, slowdown := primary.prefillDelay, primary.load.PrefillSlowdown
	interference := interferenceCost(primary, part)
	for _, helper := range helpers {
		prefillDelay = max(prefillDelay, helper.prefillDelay)
		slowdown = max(slowdown, helper.load.PrefillSlowdown)
		interference += interferenceCost(helper, part) + helperOvertakingCost(helper, part)
	}
	partPrefill := time.Duration(float64(part) * slowdown)
	if primary.load.Decoding > 0 {
		// Each step that prefills a chunk also decodes.
		steps := math.Ceil(float64(work.PromptTokens) / float64(1+len(helpers)) / float64(model.Rates.Chunk))
		partPrefill += time.Duration(steps * float64(primary.iteration) / float64(model.Rates.StepsPerIteration))
	}
	firstEvent := prefillDelay + partPrefill + primary.load.slowed(model.IterationTime(primary.load.Decoding+1, primary.load.Context+work.PromptTokens))
	firstEvent += primary.slotWait(model, work)
	plan := Plan{Primary: primary.Endpoint, PrefillTime: partPrefill, TimeToFirstEvent: firstEvent, PrefillDelay: prefillDelay, InterferenceCost: interference}
	value := PromptValue(work.PromptTokens)
	plan.Cost = interference + value*(ttftCost(work.Waited+firstEvent, work.TTFTTarget)+itlRiskCost(work, primary))
	plan.Cost += engineCost(work, primary) * value
	for _, helper := range helpers {
		plan.Helpers = append(plan.Helpers, helper.Endpoint)
	}
	return plan
}

// TimeToFreeSlot returns the time until the first of the endpoints has finished its prefill
// backlog and has a free slot. A retry before that time would be rejected again.
func TimeToFreeSlot(model Model, work Work, candidates []Candidate, snapshot LoadSnapshot) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	for _, engine := range newEngines(model, candidates, snapshot) {
		soonest = min(soonest, engine.load.PrefillBacklog+engine.slotWait(model, work))
	}
	if soonest == math.MaxInt64 {
		return 0
	}
	return soonest
}
