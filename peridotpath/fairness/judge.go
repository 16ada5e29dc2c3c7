package fairness

import (
	"math"
	"time"

	"peridotpath.example/peridotpath/placement"
)

const (
	// shareMargin is the part of its share by which a customer may exceed it. It covers the error
	// of estimated engine times.
	shareMargin = 0.05
	// excusedUse is the ratio of use to share, relative to the customer with the highest ratio,
	// up to which a customer does not yield although it asks for more than its share: among
	// several floods, the one that has had most of its share yields.
	excusedUse = 0.8
)

// Usage is what Judge needs to know of a customer.
type Usage struct {
	placement.CustomerUsage
	// Weight is the customer's weight; more than zero.
	Weight float64
	// Tolerance is the engine time above the share that is no flood.
	Tolerance time.Duration
}

// Verdict is the share of one customer.
type Verdict struct {
	// Share is its weighted max-min share, and Demand what it uses and waits for.
	Share, Demand time.Duration
	// Used is the engine time that its requests used.
	Used time.Duration
	// AboveShare reports that its requests yield to those of others.
	AboveShare bool
}

// Judge computes the share of each customer and who is above it. It addresses a customer that
// asks for more than the engines can serve beside others that ask for less than an equal part.
// The customer must ask for more than its share: what it uses alone does not tell, since a flood
// that is held to its share uses no more than that. A single customer is never above its share.
func Judge(capacity time.Duration, usages []Usage) map[placement.CustomerHash]Verdict {
	demands := make([]Demand, 0, len(usages))
	for _, usage := range usages {
		if amount := usage.Used + usage.Waiting; amount > 0 {
			demands = append(demands, Demand{Customer: usage.Customer, Weight: usage.Weight, Amount: amount})
		}
	}
	shares := MaxMin(capacity, demands)
	verdicts := make(map[placement.CustomerHash]Verdict, len(demands))
	highest := 0.0
	for _, usage := range usages {
		share, found := shares[usage.Customer]
		if !found {
			continue
		}
		verdict := Verdict{Share: share, Demand: usage.Used + usage.Waiting, Used: usage.Used}
		allowed := time.Duration((1+shareMargin)*float64(share)) + usage.Tolerance
		verdict.AboveShare = len(demands) > 1 && verdict.Demand > allowed
		if verdict.AboveShare {
			highest = max(highest, verdict.useOfShare())
		}
		verdicts[usage.Customer] = verdict
	}
	excuseBelow(verdicts, excusedUse*highest)
	return verdicts
}

// excuseBelow clears the verdict of customers whose use of their share is below the bound.
func excuseBelow(verdicts map[placement.CustomerHash]Verdict, bound float64) {
	for customer, verdict := range verdicts {
		if verdict.AboveShare && verdict.useOfShare() < bound {
			verdict.AboveShare = false
			verdicts[customer] = verdict
		}
	}
}

// useOfShare returns the part of its share that the customer has used.
func (verdict Verdict) useOfShare() float64 {
	return float64(verdict.Used) / float64(max(verdict.Share, 1))
}

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may return. A
	// share changes within the maximum.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// RetryAfter returns when the customer's share has room: when its demand will have decayed to the
// share if it sends nothing more. spread, from 0 to 1, spreads the callers that are refused
// together over half as much time again.
func (verdict Verdict) RetryAfter(spread float64) time.Duration {
	excess := float64(max(verdict.Demand, 1)) / float64(max(verdict.Share, 1))
	untilRoom := max(float64(TimeConstant)*math.Log(excess), float64(minRetryAfter))
	return time.Duration(min(untilRoom, float64(maxRetryAfter)) * (1 + spread/2))
}
