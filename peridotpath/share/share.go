// Package share holds customers' request rates over all instances without a
// call on the path of a request. Each instance tells the others what each
// customer asks of it, and takes the part of the customer's limit that its part
// of the demand gives it.
//
// Over all instances a customer gets at most:
//
//   - its limit and one second's worth at once, while the instances hear one
//     another; those with little demand get a least part that adds a twentieth;
//   - the limit times the number of sides, for SilentAfter after a split in
//     which the demand moves to both sides, since neither can see the other's;
//   - its limit again after that, because each side gives every silent instance
//     an equal part, for as long as the membership list still names all. When
//     the lists differ, the limit times the number of lists.
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
	// Interval between two computations of the shares: below the time that a
	// peer's figures take to arrive, so that it adds little to it.
	Interval = 250 * time.Millisecond
	// SilentAfter is how long a peer's last figures count. Longer than an
	// exchange takes at its slowest, which is some seven seconds when 33
	// instances share a budget, so that no peer is silent in ordinary times.
	SilentAfter = 10 * time.Second
	// burst is the time's worth of requests that may come at once. Arrivals
	// are random, and a shallower bucket refuses a customer that keeps to its
	// rate; a deeper one lets through more at the start of a flood.
	burst = time.Second
	// smoothing is the time over which demand is averaged: short, since shares
	// follow demand with this lag, and no shorter than what makes the figure
	// of ten requests a second steady.
	smoothing = time.Second
	// publishPart is the part of an equal share below which an instance does
	// not publish a customer's demand. 34,000 customers would cost more than the
	// exchange may; those far below their limit need no division. All that
	// goes unpublished is at most a tenth of the limit.
	publishPart = 0.1
	// leastPart is the part of an equal share that an instance always has, so
	// that the first request of a customer finds room wherever it arrives.
	leastPart = 0.05
	// retryLimit bounds the advice when to come back: a share that is small now
	// has followed the demand by then.
	retryLimit = 2 * time.Second
	// historyLength is how many computations back the demand is remembered.
	historyLength = int(SilentAfter/Interval) + 1
	// idleAfter is when a customer without requests is forgotten.
	idleAfter = time.Minute
)

// Peer is what is known of another instance.
type Peer struct {
	// Heard is when it was last heard; zero for never.
	Heard time.Time
	// Demand is what each customer asks of it, in requests per second.
	Demand map[peridotpath.CustomerID]float64
}

// Limiter divides the customers' limits. Set the exported fields before Run.
type Limiter struct {
	// Peers returns every other instance that is listed or was heard of late.
	Peers func() []Peer
	// Publish is told the demand of each customer near its limit, and Keep
	// withdraws those for which it says no.
	Publish func(customer peridotpath.CustomerID, perSecond float64)
	Keep    func(keep func(customer peridotpath.CustomerID) bool)

	customers sync.Map // peridotpath.CustomerID to *customer
	instances atomic.Int64
	round     int // of Divide
}

// customer is what one instance knows of one customer. The path of a request
// uses the atomics only.
type customer struct {
	limit   atomic.Int64 // requests per second over all instances
	gap     atomic.Int64 // nanoseconds between two requests of this instance
	next    atomic.Int64 // when the next request is due at an even pace, Unix nanoseconds
	offered atomic.Int64 // requests since the last computation
	last    atomic.Int64 // when the last request came, Unix nanoseconds

	// Run only.
	demand    float64                // requests per second
	history   [historyLength]float64 // demand by computation, a ring
	published bool
}

// Allow takes one request out of the customer's share, or says when to come
// back. Limits are in requests; the prompt's tokens do not count at present.
// It may be called from any goroutine and takes no lock.
func (limiter *Limiter) Allow(now time.Time, who *peridotpath.Customer, _ peridotpath.Tokens) (ok bool, retryAfter time.Duration) {
	if who.MaxRequestsPerS <= 0 {
		return true, 0
	}
	customer := limiter.of(who)
	at := now.UnixNano()
	customer.offered.Add(1)
	customer.last.Store(at)
	if limit := int64(who.MaxRequestsPerS); customer.limit.Load() != limit {
		customer.limit.Store(limit)
		customer.gap.Store(gapOf(limiter.equal(limit)))
	}
	gap := customer.gap.Load()
	for {
		old := customer.next.Load()
		next := max(old, at) + gap
		if wait := next - at - tolerance(gap); wait > 0 {
			return false, min(time.Duration(wait), retryLimit)
		}
		if customer.next.CompareAndSwap(old, next) {
			return true, 0
		}
	}
}

// tolerance is how far ahead of an even pace requests may run, one at least.
func tolerance(gap int64) int64 { return max(int64(burst), gap) }

func gapOf(perSecond float64) int64 { return int64(float64(time.Second) / perSecond) }

// equal returns an instance's part of a limit when nothing is known of demand.
func (limiter *Limiter) equal(limit int64) float64 {
	return float64(limit) / float64(max(limiter.instances.Load(), 1))
}

func (limiter *Limiter) of(who *peridotpath.Customer) *customer {
	if found, ok := limiter.customers.Load(who.ID); ok {
		return found.(*customer)
	}
	fresh := &customer{}
	fresh.limit.Store(int64(who.MaxRequestsPerS))
	fresh.gap.Store(gapOf(limiter.equal(int64(who.MaxRequestsPerS))))
	found, _ := limiter.customers.LoadOrStore(who.ID, fresh)
	return found.(*customer)
}

// Run keeps the shares up to date until ctx ends.
func (limiter *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			limiter.Divide(now, now.Sub(last))
			last = now
		}
	}
}

// Divide computes the shares, elapsed after it did so last.
func (limiter *Limiter) Divide(now time.Time, elapsed time.Duration) {
	others := sumOf(limiter.Peers(), now)
	limiter.instances.Store(int64(others.heard + others.silent + 1))
	limiter.round++
	back := min(int((now.Sub(others.oldest)+Interval-1)/Interval), historyLength-1)
	published := map[peridotpath.CustomerID]bool{}
	limiter.customers.Range(func(key, value any) bool {
		id, customer := key.(peridotpath.CustomerID), value.(*customer)
		if now.UnixNano()-customer.last.Load() > int64(idleAfter) {
			limiter.customers.Delete(id)
			return true
		}
		customer.measure(elapsed)
		customer.history[limiter.round%historyLength] = customer.demand
		known := customer.history[(limiter.round+historyLength-back)%historyLength]
		equal := limiter.equal(customer.limit.Load())
		published[id] = limiter.publish(id, customer, equal)
		customer.setShare(now, shareOf(known, others.demand[id], equal, others.heard))
		return true
	})
	limiter.Keep(func(id peridotpath.CustomerID) bool { return published[id] })
}

// others is what the other instances say together.
type others struct {
	// heard and silent count the instances.
	heard, silent int
	// oldest is when the one was heard that was heard longest ago.
	oldest time.Time
	// demand is in requests per second, over all that were heard.
	demand map[peridotpath.CustomerID]float64
}

func sumOf(peers []Peer, now time.Time) others {
	others := others{oldest: now, demand: map[peridotpath.CustomerID]float64{}}
	for _, peer := range peers {
		if now.Sub(peer.Heard) > SilentAfter {
			others.silent++
			continue
		}
		others.heard++
		if peer.Heard.Before(others.oldest) {
			others.oldest = peer.Heard
		}
		for id, perSecond := range peer.Demand {
			others.demand[id] += perSecond
		}
	}
	return others
}

// measure updates the demand, refused requests included: a share that followed
// only what was admitted could never grow.
func (customer *customer) measure(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	rate := float64(customer.offered.Swap(0)) / elapsed.Seconds()
	weight := 1 - math.Exp(-float64(elapsed)/float64(smoothing))
	customer.demand += weight * (rate - customer.demand)
}

// publish tells the others of the demand while it is near the limit. It stops
// at half of where it begins, so that a steady demand is not told and withdrawn
// in turn.
func (limiter *Limiter) publish(id peridotpath.CustomerID, customer *customer, equal float64) bool {
	floor := publishPart * equal
	if customer.published {
		floor /= 2
	}
	customer.published = customer.demand > floor
	if customer.published {
		limiter.Publish(id, customer.demand)
	}
	return customer.published
}

// shareOf returns this instance's part of a limit.
//
// The load it is made for is a balancer that sends most of a customer's
// requests to few instances: equal parts would refuse there what lies idle
// elsewhere. While demand is below the limit each instance has what it needs
// and an equal part of what is left over. Above it each gets the part that its
// part of the demand is, so that all parts make up the limit. Silent instances
// are given equal parts, which is what they take when they hear nobody.
//
// known is this instance's demand as the others know it, not as it is: when a
// flood begins everywhere at once, each instance sees its own part first, and
// would take for itself everything that the others do not seem to need.
func shareOf(known, others, equal float64, heard int) float64 {
	// The others see the quantised figure. Reckoning with the same one, the
	// parts that the instances compute add up.
	known = digest.Rounded(known)
	available := equal * float64(heard+1)
	total := known + others
	share := known + (available-total)/float64(heard+1)
	if total > available {
		share = available * known / total
	}
	return max(share, leastPart*equal)
}

// setShare sets the pace. A pace that was slow has put the next request far
// ahead; without the cut the customer would wait out a share that it no longer
// has.
func (customer *customer) setShare(now time.Time, perSecond float64) {
	gap := gapOf(perSecond)
	customer.gap.Store(gap)
	limit := now.UnixNano() + tolerance(gap)
	for {
		old := customer.next.Load()
		if old <= limit || customer.next.CompareAndSwap(old, limit) {
			return
		}
	}
}
