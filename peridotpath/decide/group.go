package decide

import (
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
)

// classCount is the number of length classes with a queue. Oversize has no
// queue of its own.
const classCount = int(peridotpath.Oversize)

// group is the scheduling state of one service. The pools are replaced as a whole
// (read-copy-update); the fields from queues on are guarded by Scheduler.mu.
type group struct {
	service peridotpath.Service
	pools   atomic.Pointer[pools]
	// largestKV is the largest KV memory of an endpoint, in tokens; zero if
	// unknown.
	largestKV atomic.Int64
	// queuedCount counts the queued work of each class.
	queuedCount [classCount]atomic.Int64
	// demand is the prompt work submitted in each class, in tokens.
	demand [classCount]window
	// drained is the prompt work of each class that reached its first token, in
	// tokens.
	drained [classCount]window

	queues [classCount]queue
	// backlogSince is the time at which the queue of a class became non-empty, in
	// Unix nanoseconds; zero while the queue is empty.
	backlogSince   [classCount]int64
	subset         subset
	retrySchedules [classCount]retrySchedule
}

// pools are the members on which work may be placed.
type pools struct {
	all []*member
	// long is the subset for long work, others the rest.
	long, others []*member
}

// demandWindow is the time over which demand is averaged. Few long prompts arrive
// at one Instance, and a shorter span would often contain none.
const demandWindow = 3 * time.Minute

// drainWindow is the time over which the drain rate is averaged; it spans several
// prompts of the class.
var drainWindow = [classCount]time.Duration{
	peridotpath.Short:  5 * time.Second,
	peridotpath.Medium: 10 * time.Second,
	peridotpath.Long:   30 * time.Second,
}

// earliestBackoffEnd returns the time until the first endpoint that wants no work for a time
// takes work again; zero if there is none.
func (group *group) earliestBackoffEnd(at int64) time.Duration {
	var earliest int64
	for _, member := range group.pools.Load().all {
		if until := member.health.backoffUntil.Load(); until > at && (earliest == 0 || until < earliest) {
			earliest = until
		}
	}
	return time.Duration(max(earliest-at, 0))
}

func newGroup(service peridotpath.Service) *group {
	group := &group{service: service}
	for class := range classCount {
		group.demand[class].span = demandWindow
		group.drained[class].span = drainWindow[class]
	}
	group.pools.Store(&pools{})
	return group
}

// poolFor returns the members on which work of the class may be placed. While
// long work is queued for memory, medium work is kept off the endpoints for
// long work: it would take memory as soon as it is freed and starve the long
// work until its queue timeout.
func (group *group) poolFor(class peridotpath.LengthClass) []*member {
	pools := group.pools.Load()
	switch {
	case class == peridotpath.Long && len(pools.long) > 0:
		return pools.long
	case class == peridotpath.Medium && len(pools.others) > 0 && group.queuedCount[peridotpath.Long].Load() > 0:
		return pools.others
	default:
		return pools.all
	}
}

// totalPrefillRate is the prefill rate of members in tokens per second.
func totalPrefillRate(members []*member) float64 {
	var sum float64
	for _, member := range members {
		sum += member.prefillRate()
	}
	return sum
}

// estimateSlack is the factor by which an estimated memory need may exceed an
// endpoint's memory. Estimates are inexact by some percent, and the engine, which
// counts exactly, rejects what it cannot hold at no cost.
const estimateSlack = 1.1

// pooledMemoryRetryDelay is the retry delay for a prompt that no endpoint can
// hold. Within it, engines have usually drained and pooled their memory, if the
// fleet has enough. Engines that run long prompts take longer; the caller is
// then refused again.
const pooledMemoryRetryDelay = 15 * time.Second

// isOversize reports whether no endpoint can hold the work at present. Engines
// that pool their memory report it as that of their leader, so such work
// becomes placeable once they have done so.
func (group *group) isOversize(work *Work) bool {
	largest := group.largestKV.Load()
	return largest > 0 && float64(work.requiredKV()) > estimateSlack*float64(largest)
}

func maxKVTokens(members []*member) int64 {
	var largest int64
	for _, member := range members {
		largest = max(largest, member.totalKV())
	}
	return largest
}

// ejectedCount returns the number of ejected members.
func (pools *pools) ejectedCount() int {
	count := 0
	for _, member := range pools.all {
		if member.health.isEjected() {
			count++
		}
	}
	return count
}
