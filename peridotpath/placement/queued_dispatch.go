package placement

import "time"

const (
	// DispatchLead is how long before the engines are free the next prompt is dispatched,
	// so that the engines are not idle while the prompt is sent to them.
	DispatchLead = 120 * time.Millisecond
	// The interference cost that a prompt may impose on others is bounded by a share of
	// its own value. The share is initialCostShare on arrival and grows by
	// costShareGrowth until the TTFT target: shortly before the prompt loses most of its
	// value, a cost to others of nearly that value is acceptable. After the target most
	// of the value is lost, and the share is lateCostShare.
	initialCostShare, costShareGrowth, lateCostShare = 0.1, 0.8, 0.2
	// settledPrefillFactor is how much longer than planned a prefill may take once the requests
	// of all callers that returned at the same time have been placed.
	settledPrefillFactor = 2
	// soonerCostTolerance is how much more of the prompt's value a plan on the engines that are
	// free now may cost than the best one. It covers later answers that still meet their target.
	// At 0.1, prompts are split over too few engines and more of the largest ones are late.
	soonerCostTolerance = 0.03
)

// PlanDispatch plans a queued prompt. Those ahead of it in the queue count as placed in the
// snapshot. While other prompts wait, it prefers engines that are free now: the best plan often
// waits for one busy engine among sixteen helpers and leaves the others idle.
func PlanDispatch(model Model, work Work, candidates []Candidate, snapshot LoadSnapshot) (Plan, bool) {
	plan, found := PlanPrompt(model, work, candidates, snapshot)
	if !found || plan.PrefillDelay <= DispatchLead || snapshot.QueuedPrefill() <= model.PrefillTime(work.PromptTokens) {
		return plan, found
	}
	work.MaxPrefillDelay = DispatchLead
	sooner, foundSooner := PlanPrompt(model, work, candidates, snapshot)
	tolerance := soonerCostTolerance * PromptValue(work.PromptTokens)
	if foundSooner && sooner.InterferenceCost <= plan.InterferenceCost && sooner.Cost <= plan.Cost+tolerance {
		return sooner, true
	}
	return plan, true
}

// IsWorthDispatching reports whether to dispatch by this plan instead of waiting for a
// cheaper one, beside the given number of prompts ahead.
func IsWorthDispatching(plan Plan, work Work, ahead int) bool {
	if plan.PrefillDelay > DispatchLead {
		return false
	}
	allowed := lateCostShare
	if timeToFirstEvent := work.Waited + plan.TimeToFirstEvent; timeToFirstEvent <= work.TTFTTarget {
		elapsedShare := float64(timeToFirstEvent) / float64(work.TTFTTarget)
		allowed = initialCostShare + costShareGrowth*elapsedShare*elapsedShare
	}
	if ahead > 0 {
		// The prompts ahead may take other engines than assumed, so that two prompts
		// each impose their cost on the same requests.
		allowed = min(allowed, initialCostShare)
	}
	return plan.InterferenceCost <= allowed*PromptValue(work.PromptTokens)
}

// CanAwaitReports reports whether a prompt waits until the load of peers is known, since it meets
// its target all the same.
//
// It matters when all instances have restarted and their callers return at once: no instance knows
// the others' requests, and long prompts that are split over all engines at that moment delay every
// short one by the time of their prefill.
func CanAwaitReports(plan Plan, work Work, wait time.Duration) bool {
	return wait > 0 && work.Waited+wait+settledPrefillFactor*plan.TimeToFirstEvent <= work.TTFTTarget
}
