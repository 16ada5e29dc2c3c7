package order

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"peridotpath.example/peridotpath"
)

const (
	// Bounds of the exponential backoff of loads after the weight store refused one.
	minLoadBackoff = time.Second
	maxLoadBackoff = time.Minute
)

// dueOrder is an order that is due to be sent.
type dueOrder struct {
	endpoint peridotpath.EndpointID
	desired  State
	// loadsWeights is set if the order counts as a load from the weight store.
	loadsWeights bool
}

// planner decides which engines get an order now. It does no I/O.
//
// It matters when a whole service gets a new version: twenty engines that each
// read many gigabytes from a weight store with a rate limit. If all load
// concurrently, they are refused or slow each other down beyond the time limit of
// their orders, and none finishes. So loads are limited in number and rate, and
// the engine that has differed from its desired state longest is first, so that
// no engine starves. Orders that need no weights are not limited.
type planner struct {
	limiter            *rate.Limiter
	maxConcurrentLoads int

	activeLoads int
	// queuedSince holds when each engine began to differ from its desired state; a failed
	// order resets it to the time of the failure.
	queuedSince      map[peridotpath.EndpointID]time.Time
	loadBackoff      time.Duration
	loadsPausedUntil time.Time
}

func newPlanner(settings Settings) *planner {
	loadInterval := time.Minute / time.Duration(settings.LoadsPerMinute)
	return &planner{
		limiter:            rate.NewLimiter(rate.Every(loadInterval), settings.MaxConcurrentLoads),
		maxConcurrentLoads: settings.MaxConcurrentLoads,
		queuedSince:        map[peridotpath.EndpointID]time.Time{},
	}
}

// dueOrders returns the orders to send now, given the states that were just read.
// Engines without a state are skipped.
func (planner *planner) dueOrders(now time.Time, desired, actual map[peridotpath.EndpointID]State) []dueOrder {
	maps.DeleteFunc(planner.queuedSince, func(id peridotpath.EndpointID, _ time.Time) bool {
		_, wanted := desired[id]
		return !wanted
	})
	var queue []peridotpath.EndpointID
	for id, state := range actual {
		want, ok := desired[id]
		if !ok || state.Equal(want) {
			delete(planner.queuedSince, id)
			continue
		}
		if planner.queuedSince[id].IsZero() {
			planner.queuedSince[id] = now
		}
		queue = append(queue, id)
	}
	slices.SortFunc(queue, planner.compareByQueueTime)
	var due []dueOrder
	for _, id := range queue {
		loadsWeights := actual[id].NeedsWeights(desired[id])
		if loadsWeights && !planner.acquireLoad(now) {
			continue
		}
		due = append(due, dueOrder{endpoint: id, desired: desired[id], loadsWeights: loadsWeights})
	}
	return due
}

func (planner *planner) compareByQueueTime(a, b peridotpath.EndpointID) int {
	return cmp.Or(planner.queuedSince[a].Compare(planner.queuedSince[b]), cmp.Compare(a, b))
}

// acquireLoad reserves a load from the weight store and reports whether the limits
// allow one now.
func (planner *planner) acquireLoad(now time.Time) bool {
	if planner.activeLoads >= planner.maxConcurrentLoads || now.Before(planner.loadsPausedUntil) || !planner.limiter.AllowN(now, 1) {
		return false
	}
	planner.activeLoads++
	return true
}

// recordResult releases the order's load. If the weight store refused it, loads back off.
// An engine whose order failed moves to the end of the queue; otherwise as many
// broken engines as there are concurrent loads would block all others.
func (planner *planner) recordResult(now time.Time, order dueOrder, err error) {
	if order.loadsWeights {
		planner.activeLoads--
	}
	switch {
	case err == nil:
		planner.loadBackoff = 0
		return
	case ErrWeightStoreBusy.Has(err):
		planner.loadBackoff = min(max(2*planner.loadBackoff, minLoadBackoff), maxLoadBackoff)
		planner.loadsPausedUntil = now.Add(planner.loadBackoff)
	}
	planner.queuedSince[order.endpoint] = now
}
