package shift

import (
	"cmp"
	"math"
	"slices"

	"peridotpath.example/peridotpath"
)

const (
	// groupLoad is the load that the number of groups is sized for: prompts of
	// a million tokens come in bunches, and one that finds the group busy waits
	// for minutes.
	groupLoad = 0.5
	// poolSlack is how much more memory a group has than its longest prompt
	// needs, for lengths estimated too low.
	poolSlack = 1.05
	// leastServing is the share of a service's engines that always serve by
	// themselves, one at least. Short work would otherwise find no engine while
	// a group drains its members.
	leastServing = 0.25
)

// wantedGroups sizes the groups for the demand. A group goes only after Hold
// without any demand, so demand near a boundary moves nothing to and fro: the
// number that exists is kept while it is not too small.
func (plan *plan) wantedGroups() int {
	existing := len(plan.groups())
	if plan.need.Idle >= plan.limits.Hold {
		return 0
	}
	size := plan.groupSize()
	rate := groupLoad * float64(size) * float64(plan.typical().PrefillPerS)
	if plan.need.PerS <= 0 || rate <= 0 {
		return existing
	}
	total := int(math.Ceil(plan.need.PerS / rate))
	return max(existing, allot(total, size, plan.need.Sites)[plan.need.Here])
}

// allot spreads groups over the data centres, each to the one with the most
// engines left. Every data centre's plan computes the same from the membership
// list, so they need no word from one another. The engines that must go on
// serving by themselves are counted over all data centres of the region: they
// are a millisecond apart.
func allot(total, size int, sites []Site) map[peridotpath.DataCentre]int {
	allotted := map[peridotpath.DataCentre]int{}
	if size < 2 {
		return allotted
	}
	left := slices.Clone(sites)
	all := 0
	for _, site := range left {
		all += site.Engines
	}
	keep := max(int(math.Ceil(leastServing*float64(all))), 1)
	for range min(total, (all-keep)/size) {
		slices.SortFunc(left, func(a, b Site) int {
			return cmp.Or(cmp.Compare(b.Engines, a.Engines), cmp.Compare(a.DataCentre, b.DataCentre))
		})
		if left[0].Engines < size {
			break
		}
		left[0].Engines -= size
		allotted[left[0].DataCentre]++
	}
	return allotted
}

// typical returns an engine that stands for all: those of a service are alike.
func (plan *plan) typical() Engine {
	for _, id := range plan.order {
		if plan.engines[id].Alive && plan.engines[id].KVTokens > 0 {
			return *plan.engines[id]
		}
	}
	return Engine{}
}

// groupSize is how many engines hold the longest prompt together.
func (plan *plan) groupSize() int {
	memory := plan.typical().KVTokens
	if memory <= 0 {
		return 0
	}
	return int(math.Ceil(poolSlack * float64(plan.need.Longest) / float64(memory)))
}
