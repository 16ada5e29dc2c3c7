package bench

import (
	"context"
	"maps"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
)

// OfferedPercents are the offered loads of a comparison, in percent of capacity.
var OfferedPercents = []int{60, 80, 95, 130}

// Comparison is a set of runs: each policy under each load and offered load.
type Comparison struct {
	Loads           []Load
	OfferedPercents []int
	Policies        []Policy
	Seed            uint64
	// ConcurrentRuns is the number of concurrent runs. It does not affect the figures.
	ConcurrentRuns int
}

// Run measures every policy under every load, in that order, with the same arrivals for
// all policies.
func (comparison *Comparison) Run(ctx context.Context) ([]Figures, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(comparison.ConcurrentRuns, 1))
	all := make([]Figures, len(comparison.Loads)*len(comparison.OfferedPercents)*len(comparison.Policies))
	index := 0
	for l := range comparison.Loads {
		for _, offered := range comparison.OfferedPercents {
			for _, policy := range comparison.Policies {
				result := &all[index]
				index++
				group.Go(func() error {
					if ctx.Err() == nil {
						*result = measure(&comparison.Loads[l], offered, policy, comparison.Seed)
					}
					return ctx.Err()
				})
			}
		}
	}
	err := group.Wait()
	return all, err
}

// measure runs the policy with all arrivals, and again without the long prompts and without
// the heavy customer, to measure their interference with the others.
func measure(load *Load, offered int, policy Policy, seed uint64) Figures {
	arrivals := load.arrivals(float64(offered)/100, seed)
	all := run(load, policy, arrivals, seed)
	all.engineCapacity = load.engineCapacity(seed)
	figures := all.figures(offered)
	everyone := func(*arrival) bool { return true }
	if load.LengthShares[peridotpath.Short] > 0 {
		alone := run(load, policy, excludeArrivals(arrivals, func(arrival *arrival) bool {
			return arrival.class == peridotpath.Long
		}), seed)
		figures.ShortSlowdown = ratio(all.shortP99(everyone), alone.shortP99(everyone))
	}
	if load.HeavyCustomerShare > 0 {
		others := func(arrival *arrival) bool { return arrival.customer != 0 }
		alone := run(load, policy, excludeArrivals(arrivals, func(arrival *arrival) bool {
			return arrival.customer == 0
		}), seed)
		figures.OthersServedShare = all.servedShare(others)
		figures.Unfairness = ratio(all.shortP99(others), alone.shortP99(others))
	}
	return figures
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func excludeArrivals(arrivals []arrival, drop func(*arrival) bool) []arrival {
	var kept []arrival
	for i := range arrivals {
		if !drop(&arrivals[i]) {
			kept = append(kept, arrivals[i])
		}
	}
	return kept
}

// Comparisons returns the full report: all policies under all loads, the mixed load with
// each mechanism disabled in turn, and each load in faultMechanisms with the mechanisms that
// handle the load disabled.
func Comparisons() []Comparison {
	policies := append(Baselines(), NewPeridotpath("peridotpath", 0))
	all := []Comparison{
		{Loads: Loads(), OfferedPercents: OfferedPercents, Policies: policies},
		{Loads: Loads()[:1], OfferedPercents: OfferedPercents, Policies: Ablations()},
	}
	for _, load := range Loads() {
		if policies := faultMechanisms[load.Name]; len(policies) > 0 {
			all = append(all, Comparison{Loads: []Load{load}, OfferedPercents: OfferedPercents, Policies: policies})
		}
	}
	return all
}

// faultMechanisms holds, by the name of a load, the policies that lack one or more of the
// mechanisms that handle the load.
var faultMechanisms = map[string][]Policy{
	"skewed":        {withoutMechanisms("fair_queue"), withoutMechanisms("demotion")},
	"late_reports":  {withoutMechanisms("sent")},
	"slow_endpoint": {withoutMechanisms("slowness")},
	"fail_fast":     {withoutMechanisms("ejection"), withoutMechanisms("retry_budget"), withoutMechanisms("ejection", "retry_budget")},
	"burst":         {withoutMechanisms("promise"), withoutMechanisms("prediction")},
	"saturation":    {withoutMechanisms("promise"), withoutMechanisms("ageing"), withoutMechanisms("subset")},
}

// withoutMechanisms returns peridotpath without the named mechanisms.
func withoutMechanisms(names ...string) Policy {
	var without decide.Mechanism
	for _, name := range names {
		without |= decide.Mechanisms()[name]
	}
	return NewPeridotpath("peridotpath_without_"+strings.Join(names, "_and_"), without)
}

// Ablations returns, for each mechanism, the policy of peridotpath without that mechanism.
func Ablations() []Policy {
	var policies []Policy
	mechanisms := decide.Mechanisms()
	for _, name := range slices.Sorted(maps.Keys(mechanisms)) {
		policies = append(policies, withoutMechanisms(name))
	}
	return policies
}
