// Package share is a distributed rate limiter: it enforces the customers'
// request rates over all instances without a remote call on the request path.
// It matters when a load balancer sends most of a customer's requests to few
// instances, where equal parts of the limit would refuse requests below the limit.
// Each instance gossips its demand per customer and takes the share of the
// limit that corresponds to its share of the total demand.
//
// Over all instances a customer is granted at most:
//
//   - its limit and a burst of one second, while the instances receive one
//     another's demand; the minimum shares of instances with little demand add a
//     twentieth;
//   - the limit times the number of sides, for PeerDemandTTL after a network
//     partition in which the demand moves to both sides, since neither side
//     receives the demand of the other;
//   - its limit again after that, because each side reserves an equal part for
//     every silent instance, as long as the membership lists of both sides still
//     contain all instances; when the instances read different lists, the limit
//     times the number of these lists.
package share

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/digest"
)

const (
	// UpdateInterval is the time between two computations of the shares. It is
	// shorter than the delay with which the demand of peers arrives, and so
	// adds little to it.
	UpdateInterval = 250 * time.Millisecond
	// PeerDemandTTL is the time after which the last demand of a peer expires. It
	// is longer than the longest interval between exchanges, which is about seven
	// seconds when 33 instances share a budget, so that no peer is silent in
	// normal operation.
	PeerDemandTTL = 10 * time.Second
	// burstTime is the bucket depth, in time at the full rate. Arrivals are
	// random, and a shallower bucket would refuse a customer that is within its
	// limit; a deeper one admits more at the start of a flood.
	burstTime = time.Second
	// demandTimeConstant is the time constant of the moving average of demand.
	// Shares follow demand with this delay; a shorter time constant would
	// make the average of ten requests per second unstable.
	demandTimeConstant = time.Second
	// publishThreshold is the part of an equal share below which an instance
	// does not publish a customer's demand. The demand of 34,000 customers
	// would exceed the budget of the exchange, and customers far below their
	// limit need no division of it. The unpublished demand is at most a tenth
	// of the limit.
	publishThreshold = 0.1
	// minSharePart is the minimum share of an instance, as a part of an equal
	// share, so that the first request of a customer is admitted at any
	// instance.
	minSharePart = 0.05
	// maxRetryDelay is the maximum retry delay. Within this time a small share
	// has grown with the demand.
	maxRetryDelay = 2 * time.Second
	// historyLength is the number of computations for which the demand is kept.
	historyLength = int(PeerDemandTTL/UpdateInterval) + 1
	// removeIdleAfter is the time after which a customer without requests is
	// removed.
	removeIdleAfter = time.Minute
)

// PeerDemand is the last received state of another instance.
type PeerDemand struct {
	// ReceivedAt is when the instance's demand was last received; zero for never.
	ReceivedAt time.Time
	// Demand is the demand of each customer at the instance, in requests per second.
	Demand map[peridotpath.CustomerID]float64
}

// Limiter divides the customers' rate limits between instances. The exported
// fields must be set before Run.
type Limiter struct {
	// Peers returns every other instance that is listed or has recently sent its
	// demand.
	Peers func() []PeerDemand
	// Publish publishes the demand of a customer near its limit.
	Publish func(customer peridotpath.CustomerID, perSecond float64)
	// RetainPublished withdraws the demand of the customers for which keep is
	// false.
	RetainPublished func(keep func(customer peridotpath.CustomerID) bool)

	customers     sync.Map // peridotpath.CustomerID to *customer
	instanceCount atomic.Int64
	roundCount    int // number of computations
}

// customer is this instance's state of one customer. The request path uses the
// atomics only.
type customer struct {
	limit         atomic.Int64 // requests per second over all instances
	interval      atomic.Int64 // nanoseconds between two requests of this instance
	nextRequestAt atomic.Int64 // when the next request is due at an even rate, Unix nanoseconds
	offeredCount  atomic.Int64 // requests since the last computation
	lastRequestAt atomic.Int64 // when the last request arrived, Unix nanoseconds

	// The fields below are used by Limiter.UpdateShares only.
	demand      float64                // requests per second
	history     [historyLength]float64 // demand at the latest computations, a ring
	isPublished bool
}

// Allow takes one request out of the customer's share, or returns the delay
// after which to retry. Limits are in requests; the prompt's tokens are not
// counted. It is safe for concurrent use and takes no lock.
func (limiter *Limiter) Allow(now time.Time, configured *peridotpath.Customer, _ peridotpath.Tokens) (ok bool, retryAfter time.Duration) {
	if configured.MaxRequestsPerS <= 0 {
		return true, 0
	}
	customer := limiter.customerFor(configured)
	at := now.UnixNano()
	customer.offeredCount.Add(1)
	customer.lastRequestAt.Store(at)
	if limit := int64(configured.MaxRequestsPerS); customer.limit.Load() != limit {
		customer.limit.Store(limit)
		customer.interval.Store(intervalFor(limiter.equalPart(limit)))
	}
	interval := customer.interval.Load()
	for {
		old := customer.nextRequestAt.Load()
		next := max(old, at) + interval
		if wait := next - at - burstTolerance(interval); wait > 0 {
			return false, min(time.Duration(wait), maxRetryDelay)
		}
		if customer.nextRequestAt.CompareAndSwap(old, next) {
			return true, 0
		}
	}
}

// burstTolerance is how far requests may run ahead of an even rate, in
// nanoseconds: at least one interval.
func burstTolerance(interval int64) int64 { return max(int64(burstTime), interval) }

func intervalFor(perSecond float64) int64 { return int64(float64(time.Second) / perSecond) }

// equalPart returns an equal part of a limit, which applies while the demand is
// unknown.
func (limiter *Limiter) equalPart(limit int64) float64 {
	return float64(limit) / float64(max(limiter.instanceCount.Load(), 1))
}

func (limiter *Limiter) customerFor(configured *peridotpath.Customer) *customer {
	if found, ok := limiter.customers.Load(configured.ID); ok {
		return found.(*customer)
	}
	fresh := &customer{}
	fresh.limit.Store(int64(configured.MaxRequestsPerS))
	fresh.interval.Store(intervalFor(limiter.equalPart(int64(configured.MaxRequestsPerS))))
	found, _ := limiter.customers.LoadOrStore(configured.ID, fresh)
	return found.(*customer)
}

// Run updates the shares until ctx ends.
func (limiter *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(UpdateInterval)
	defer ticker.Stop()
	lastUpdateAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			limiter.UpdateShares(now, now.Sub(lastUpdateAt))
			lastUpdateAt = now
		}
	}
}

// UpdateShares computes the shares. elapsed is the time since the last call.
func (limiter *Limiter) UpdateShares(now time.Time, elapsed time.Duration) {
	others := aggregate(limiter.Peers(), now)
	limiter.instanceCount.Store(int64(others.currentCount + others.silentCount + 1))
	limiter.roundCount++
	// The other instances are assumed to have this instance's demand of
	// roundsBack computations ago.
	roundsBack := min(int((now.Sub(others.oldestReceivedAt)+UpdateInterval-1)/UpdateInterval), historyLength-1)
	published := map[peridotpath.CustomerID]bool{}
	limiter.customers.Range(func(key, value any) bool {
		id, customer := key.(peridotpath.CustomerID), value.(*customer)
		if now.UnixNano()-customer.lastRequestAt.Load() > int64(removeIdleAfter) {
			limiter.customers.Delete(id)
			return true
		}
		customer.updateDemand(elapsed)
		customer.history[limiter.roundCount%historyLength] = customer.demand
		ownDemand := customer.history[(limiter.roundCount+historyLength-roundsBack)%historyLength]
		equal := limiter.equalPart(customer.limit.Load())
		published[id] = limiter.publish(id, customer, equal)
		customer.setShare(now, computeShare(ownDemand, others.demand[id], equal, others.currentCount))
		return true
	})
	limiter.RetainPublished(func(id peridotpath.CustomerID) bool { return published[id] })
}

// peerTotals is the aggregate of the other instances.
type peerTotals struct {
	// currentCount and silentCount are the numbers of instances with current
	// and with expired demand.
	currentCount, silentCount int
	// oldestReceivedAt is the earliest receive time among the current ones.
	oldestReceivedAt time.Time
	// demand is the sum over the current ones, in requests per second.
	demand map[peridotpath.CustomerID]float64
}

func aggregate(peers []PeerDemand, now time.Time) peerTotals {
	others := peerTotals{oldestReceivedAt: now, demand: map[peridotpath.CustomerID]float64{}}
	for _, peer := range peers {
		if now.Sub(peer.ReceivedAt) > PeerDemandTTL {
			others.silentCount++
			continue
		}
		others.currentCount++
		if peer.ReceivedAt.Before(others.oldestReceivedAt) {
			others.oldestReceivedAt = peer.ReceivedAt
		}
		for id, perSecond := range peer.Demand {
			others.demand[id] += perSecond
		}
	}
	return others
}

// updateDemand updates the demand, including refused requests: a share that
// followed admitted requests only could never grow.
func (customer *customer) updateDemand(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	rate := float64(customer.offeredCount.Swap(0)) / elapsed.Seconds()
	weight := 1 - math.Exp(-float64(elapsed)/float64(demandTimeConstant))
	customer.demand += weight * (rate - customer.demand)
}

// publish publishes the demand while it is near the limit. It stops at half of
// the threshold at which it starts (hysteresis), so that a steady demand is not
// published and withdrawn repeatedly.
func (limiter *Limiter) publish(id peridotpath.CustomerID, customer *customer, equal float64) bool {
	floor := publishThreshold * equal
	if customer.isPublished {
		floor /= 2
	}
	customer.isPublished = customer.demand > floor
	if customer.isPublished {
		limiter.Publish(id, customer.demand)
	}
	return customer.isPublished
}

// computeShare returns this instance's share of a limit.
//
// While the total demand is below the limit, each instance gets its own demand
// and an equal part of the rest. Above the limit, shares are proportional to
// demand, so that they add up to the limit. Each silent instance is reserved an
// equal part, which is also what an instance takes that receives from no peer.
//
// ownDemand is this instance's demand as last received by the others, which is
// older than its current one: when a flood begins at all instances at once,
// each sees its own demand first, and would otherwise take the entire unused
// limit.
func computeShare(ownDemand, peerDemand, equal float64, peers int) float64 {
	// The other instances receive the quantised figure. With the same figure
	// here, the shares that the instances compute add up to the limit.
	ownDemand = digest.QuantisedDemand(ownDemand)
	available := equal * float64(peers+1)
	total := ownDemand + peerDemand
	share := ownDemand + (available-total)/float64(peers+1)
	if total > available {
		share = available * ownDemand / total
	}
	return max(share, minSharePart*equal)
}

// setShare sets the rate. With a low rate, the next request can be due far in the
// future. The time at which it is due is capped, so that a customer whose share has
// grown does not wait by its earlier, lower rate.
func (customer *customer) setShare(now time.Time, perSecond float64) {
	interval := intervalFor(perSecond)
	customer.interval.Store(interval)
	limit := now.UnixNano() + burstTolerance(interval)
	for {
		old := customer.nextRequestAt.Load()
		if old <= limit || customer.nextRequestAt.CompareAndSwap(old, limit) {
			return
		}
	}
}
