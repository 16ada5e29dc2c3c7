package shortqueue

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/placement"
)

// Plan is the plan of a short prompt with what the decision needs.
type Plan struct {
	placement.Plan
	// Outlook is what the engines offer to the prompt.
	Outlook placement.SlotOutlook
	// HasSlot is set where the primary has a free slot, IsOwnSlot where an own request has released
	// it.
	HasSlot, IsOwnSlot bool
}

// planAmong plans the prompt on the candidates. It returns false where none has a free slot.
func (plan *Plan) planAmong(model placement.Model, work placement.Work, candidates []placement.Candidate, snapshot placement.LoadSnapshot) bool {
	if len(candidates) == 0 {
		return false
	}
	found := false
	plan.Plan, found = placement.PlanPrompt(model, work, candidates, snapshot)
	plan.HasSlot = found && snapshot.HasFreeSlot(model, plan.Primary.Key())
	return plan.HasSlot
}

// Plan plans a short prompt while slots are scarce: on an engine where an own request has
// released a slot, or else at a free slot chosen at random, or else on the best of all engines.
func (queue *Queue) Plan(name peridotpath.Service, model placement.Model, work placement.Work, candidates []placement.Candidate, snapshot placement.LoadSnapshot, now time.Time) Plan {
	queue.scarceAt.Store(now.UnixNano())
	plan := Plan{Outlook: placement.NewSlotOutlook(model, work, candidates, snapshot)}
	if !plan.Outlook.MaySplit {
		own := queue.releasedCandidates(name, candidates, plan.Outlook.NewsAge, now)
		if plan.planAmong(model, work, own, snapshot) && work.Waited+plan.TimeToFirstEvent <= work.TTFTTarget {
			plan.IsOwnSlot = true
			return plan
		}
		if plan.planAmong(model, work, plan.Outlook.Pick, snapshot) {
			return plan
		}
	}
	if plan.planAmong(model, work, candidates, snapshot) && plan.Outlook.MaySplit {
		plan.Outlook.TimeToFirstEvent = min(plan.Outlook.TimeToFirstEvent, plan.TimeToFirstEvent)
	}
	return plan
}
