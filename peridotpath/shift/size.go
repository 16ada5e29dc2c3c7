package shift

import (
	"cmp"
	"math"
	"slices"

	"peridotpath.example/peridotpath"
)

const (
	// targetUtilisation is the utilisation that the number of groups is sized for:
	// prompts of a million tokens arrive in bursts, and one that arrives while
	// the group is busy queues for minutes.
	targetUtilisation = 0.5
	// groupMemoryMargin is the ratio of a group's memory to that of the longest prompt,
	// as a margin for prompt lengths that are underestimated.
	groupMemoryMargin = 1.05
	// minServingShare is the share of a service's engines, at least one, that are
	// never in a group. Without it short prompts have no engine while the members
	// of a group drain.
	minServingShare = 0.25
)

// desiredGroupCount returns the number of groups for the demand. The number never
// falls while there is demand, and drops to zero after the idle timeout without demand: with
// this hysteresis, demand near a boundary does not form and dissolve groups in turn.
func (planner *planner) desiredGroupCount() int {
	existing := len(planner.groups())
	if planner.demand.IdleTime >= planner.limits.GroupIdleTimeout {
		return 0
	}
	size := planner.groupSize()
	groupRate := targetUtilisation * float64(size) * float64(planner.referenceEngine().PrefillPerS)
	if planner.demand.TokensPerSecond <= 0 || groupRate <= 0 {
		return existing
	}
	count := int(math.Ceil(planner.demand.TokensPerSecond / groupRate))
	return max(existing, allotGroups(count, size, planner.demand.Sites)[planner.demand.DataCentre])
}

// allotGroups assigns groups to data centres, each to the one with the most engines
// not yet allotted. The result depends only on the membership list, so the plans of all
// data centres agree without communication. minServingShare applies to all data centres
// of the region together, since they are a millisecond apart.
func allotGroups(total, size int, sites []Site) map[peridotpath.DataCentre]int {
	allotted := map[peridotpath.DataCentre]int{}
	if size < 2 {
		return allotted
	}
	remaining := slices.Clone(sites)
	engineCount := 0
	for _, site := range remaining {
		engineCount += site.Engines
	}
	serving := max(int(math.Ceil(minServingShare*float64(engineCount))), 1)
	for range min(total, (engineCount-serving)/size) {
		slices.SortFunc(remaining, func(a, b Site) int {
			return cmp.Or(cmp.Compare(b.Engines, a.Engines), cmp.Compare(a.DataCentre, b.DataCentre))
		})
		if remaining[0].Engines < size {
			break
		}
		remaining[0].Engines -= size
		allotted[remaining[0].DataCentre]++
	}
	return allotted
}

// referenceEngine returns a live engine whose memory and prefill rate are used for all: the
// engines of a service are alike.
func (planner *planner) referenceEngine() Engine {
	for _, id := range planner.ids {
		if planner.engines[id].Alive && planner.engines[id].KVTokens > 0 {
			return *planner.engines[id]
		}
	}
	return Engine{}
}

// groupSize returns how many engines together hold the longest prompt.
func (planner *planner) groupSize() int {
	memory := planner.referenceEngine().KVTokens
	if memory <= 0 {
		return 0
	}
	return int(math.Ceil(groupMemoryMargin * float64(planner.demand.MaxPromptTokens) / float64(memory)))
}
