package placement

// maxLoadFactor bounds the concurrent requests of a plain endpoint, in multiples of its
// slots. Above it a request would wait for more than one other to end, and the endpoint
// rejects requests when its short queue is full.
const maxLoadFactor = 3

// PlanPlain chooses the endpoint of a plain service with the fewest requests per slot
// (weighted least-request). It returns false where all are at their limit, and where this process
// exits before an answer is due: how long a call takes is not known, but for the target of its route.
func PlanPlain(work Work, candidates []Candidate, snapshot LoadSnapshot) (Plan, bool) {
	best, found := Plan{}, false
	if work.EndsAfterExit(work.TTFTTarget) {
		return best, false
	}
	for i := range candidates {
		candidate := &candidates[i]
		load := snapshot.At(candidate.Key)
		slots := max(candidate.Endpoint.Slots, 1)
		if load.RequestCount() >= maxLoadFactor*slots {
			continue
		}
		cost := float64(load.RequestCount()) / float64(slots)
		if candidate.IsEjected {
			cost += ejectedCost
		}
		if candidate.Endpoint.DataCentre != work.DataCentre {
			cost += remoteCost
		}
		if !found || cost < best.Cost {
			best, found = Plan{Primary: candidate.Endpoint, Cost: cost}, true
		}
	}
	return best, found
}
