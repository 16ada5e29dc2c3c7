package placement

// queueFactor bounds what may be sent to a plain endpoint at a time, in slots.
// Beyond it a request would wait for more than one other to end, and the
// endpoint turns requests away when its short queue is full.
const queueFactor = 3

// PlanPlain chooses the endpoint of a plain service with the fewest requests
// for its slots. It returns false where all have as much as they can take.
func PlanPlain(work Work, candidates []Candidate, view View) (Plan, bool) {
	best, found := Plan{}, false
	for i := range candidates {
		candidate := &candidates[i]
		load := view.At(candidate.Key)
		slots := max(candidate.Endpoint.Slots, 1)
		if load.Taken() >= queueFactor*slots {
			continue
		}
		loss := float64(load.Taken()) / float64(slots)
		if candidate.Suspect {
			loss += suspectLoss
		}
		if candidate.Endpoint.DataCentre != work.DataCentre {
			loss += farLoss
		}
		if !found || loss < best.Loss {
			best, found = Plan{Writer: candidate.Endpoint, Loss: loss}, true
		}
	}
	return best, found
}
