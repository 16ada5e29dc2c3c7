package fairness

import (
	"cmp"
	"math"
	"slices"
	"time"

	"peridotpath.example/peridotpath/placement"
)

// Demand is the demand of one customer for a capacity.
type Demand struct {
	Customer placement.CustomerHash
	// Weight is the customer's weight; more than zero.
	Weight float64
	// Amount is the engine time used and waited for.
	Amount time.Duration
}

// MaxMin returns the weighted max-min shares of a capacity: each customer gets its demand if
// that is at most its weighted part of what the others leave, and all others get equal parts by
// weight. It addresses customers with very different demands, where equal parts would leave
// capacity unused.
func MaxMin(capacity time.Duration, demands []Demand) map[placement.CustomerHash]time.Duration {
	ascending := slices.Clone(demands)
	slices.SortFunc(ascending, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(float64(a.Amount)/a.Weight, float64(b.Amount)/b.Weight), cmp.Compare(a.Customer, b.Customer))
	})
	weight := 0.0
	for _, demand := range ascending {
		weight += demand.Weight
	}
	remaining := float64(max(capacity, 0))
	shares := make(map[placement.CustomerHash]time.Duration, len(demands))
	for _, demand := range ascending {
		share := min(float64(demand.Amount), remaining*demand.Weight/weight)
		shares[demand.Customer] = time.Duration(share)
		remaining -= share
		weight -= demand.Weight
	}
	return shares
}

// maxRankDistance bounds the ranks that count for a weight, so that the most urgent customer
// weighs at most sixteen times as much as the least urgent one.
const maxRankDistance = 2

// RankWeight returns the weight of a priority rank, where 0 is the most urgent one, relative to
// the usual rank of the routing: each rank halves it.
func RankWeight(rank, usual int) float64 {
	distance := min(max(rank-usual, -maxRankDistance), maxRankDistance)
	return math.Exp2(float64(-distance))
}
