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

// OfferedPercents are the loads that are measured, in percent of capacity.
var OfferedPercents = []int{60, 80, 95, 130}

// Comparison is what is to be measured.
type Comparison struct {
	Loads    []Load
	Offered  []int
	Policies []Policy
	Seed     uint64
	// Parallel is how many runs go at a time. It changes no figure.
	Parallel int
}

// Run measures every policy under every load, in that order. All policies
// meet the same arrivals.
func (comparison *Comparison) Run(ctx context.Context) ([]Figures, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(comparison.Parallel, 1))
	all := make([]Figures, len(comparison.Loads)*len(comparison.Offered)*len(comparison.Policies))
	index := 0
	for l := range comparison.Loads {
		for _, offered := range comparison.Offered {
			for _, policy := range comparison.Policies {
				into := &all[index]
				index++
				group.Go(func() error {
					if ctx.Err() == nil {
						*into = measure(&comparison.Loads[l], offered, policy, comparison.Seed)
					}
					return ctx.Err()
				})
			}
		}
	}
	err := group.Wait()
	return all, err
}

// measure runs the policy with everybody, and again without the long prompts
// or without the flooder to see what they cost the others.
func measure(load *Load, offered int, policy Policy, seed uint64) Figures {
	arrivals := load.arrivals(float64(offered)/100, seed)
	whole := run(load, policy, arrivals, seed)
	whole.capacity = load.capacity(seed)
	figures := whole.figures(offered)
	short := func(*arrival) bool { return true }
	if load.Shares[peridotpath.Short] > 0 {
		alone := run(load, policy, without(arrivals, func(arrival *arrival) bool {
			return arrival.class == peridotpath.Long
		}), seed)
		figures.ShortSlowdown = ratio(whole.shortP99(short), alone.shortP99(short))
	}
	if load.Flooder > 0 {
		others := func(arrival *arrival) bool { return arrival.customer != 0 }
		alone := run(load, policy, without(arrivals, func(arrival *arrival) bool {
			return arrival.customer == 0
		}), seed)
		figures.OthersServed = whole.served(others)
		figures.Unfair = ratio(whole.shortP99(others), alone.shortP99(others))
	}
	return figures
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func without(arrivals []arrival, drop func(*arrival) bool) []arrival {
	var kept []arrival
	for i := range arrivals {
		if !drop(&arrivals[i]) {
			kept = append(kept, arrivals[i])
		}
	}
	return kept
}

// Comparisons returns the whole report: all policies under all loads; then the
// mixed load with each mechanism left out in turn; then mechanisms that are
// made for a fault, each left out under that fault.
func Comparisons() []Comparison {
	policies := append(Baselines(), Peridotpath("peridotpath", 0))
	all := []Comparison{
		{Loads: Loads(), Offered: OfferedPercents, Policies: policies},
		{Loads: Loads()[:1], Offered: OfferedPercents, Policies: Ablations()},
	}
	for _, load := range Loads() {
		if against := faultMechanisms[load.Name]; len(against) > 0 {
			all = append(all, Comparison{Loads: []Load{load}, Offered: OfferedPercents, Policies: against})
		}
	}
	return all
}

// faultMechanisms are the mechanisms to leave out under the loads that they are
// made for.
var faultMechanisms = map[string][]Policy{
	"skewed":        {leftOut("fair_queue"), leftOut("demotion")},
	"late_reports":  {leftOut("sent")},
	"slow_endpoint": {leftOut("slowness")},
	"fail_fast":     {leftOut("ejection"), leftOut("retry_budget"), leftOut("ejection", "retry_budget")},
	"burst":         {leftOut("promise"), leftOut("prediction")},
	"saturation":    {leftOut("promise"), leftOut("ageing"), leftOut("subset")},
}

// leftOut is peridotpath without the named mechanisms.
func leftOut(names ...string) Policy {
	var without decide.Mechanism
	for _, name := range names {
		without |= decide.Mechanisms()[name]
	}
	return Peridotpath("peridotpath_without_"+strings.Join(names, "_and_"), without)
}

// Ablations returns peridotpath without each mechanism in turn.
func Ablations() []Policy {
	var policies []Policy
	mechanisms := decide.Mechanisms()
	for _, name := range slices.Sorted(maps.Keys(mechanisms)) {
		policies = append(policies, leftOut(name))
	}
	return policies
}
