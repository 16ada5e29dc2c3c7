package decide

import (
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
)

// classes is how many length classes are queued; Oversize has no place of its
// own yet.
const classes = int(peridotpath.Oversize)

// group is the endpoints of one service with what is decided about them
// together. The endpoints are read-copy-update; the queues and what goes with
// them belong to Scheduler.mu.
type group struct {
	service peridotpath.Service
	pools   atomic.Pointer[pools]
	// largest is the largest KV memory of an endpoint, zero while unknown.
	largest atomic.Int64
	// queued counts the waiting work of each class.
	queued [classes]atomic.Int64
	// demand is the arriving prompt work of each class, in tokens.
	demand [classes]window
	// drained is the prompt work of each class that got its first token.
	drained [classes]window

	queues [classes]queue
	// backlogged is since when a class has waited without a break, in
	// nanoseconds; zero when nothing waits.
	backlogged [classes]int64
	subset     subset
	returns    [classes]returns
}

// pools are the members that work may be placed on.
type pools struct {
	all []*member
	// long is the subset for long work, rest the others.
	long, rest []*member
}

// demandSpan averages the arriving work. Few long prompts arrive at one
// Instance, so a shorter span would see none of them most of the time.
const demandSpan = 3 * time.Minute

// drainSpan averages the work that got through, over several prompts.
var drainSpan = [classes]time.Duration{
	peridotpath.Short:  5 * time.Second,
	peridotpath.Medium: 10 * time.Second,
	peridotpath.Long:   30 * time.Second,
}

func makeGroup(service peridotpath.Service) *group {
	group := &group{service: service}
	for class := range classes {
		group.demand[class].span = demandSpan
		group.drained[class].span = drainSpan[class]
	}
	group.pools.Store(&pools{})
	return group
}

// pool returns the members that work of the class may go to. While long work
// waits for memory, medium work keeps off the long work's endpoints: it would
// take each piece of memory as it comes free, and the long work would wait
// until its time is over.
func (group *group) pool(class peridotpath.LengthClass) []*member {
	pools := group.pools.Load()
	switch {
	case class == peridotpath.Long && len(pools.long) > 0:
		return pools.long
	case class == peridotpath.Medium && len(pools.rest) > 0 && group.queued[peridotpath.Long].Load() > 0:
		return pools.rest
	default:
		return pools.all
	}
}

// capacity is the prefill rate of members in tokens per second.
func capacity(members []*member) float64 {
	var sum float64
	for _, member := range members {
		sum += member.rate()
	}
	return sum
}

// estimateSlack is how far above an endpoint's memory an estimated need may
// be. Estimates are off by some percent, and the engine, which counts exactly,
// refuses at no cost what it cannot hold.
const estimateSlack = 1.1

// groupRetry is when a caller may come back whose prompt no endpoint holds: by
// then engines have usually drained and pooled their memory, where the fleet
// has enough. Engines that run long prompts take longer; the caller is then
// told once more.
const groupRetry = 15 * time.Second

// oversize reports work that no endpoint can hold at present. A group of engines
// reports its pooled memory as its leader's, so such work becomes placeable
// once one has formed.
func (group *group) oversize(work *Work) bool {
	largest := group.largest.Load()
	return largest > 0 && float64(work.memoryNeed()) > estimateSlack*float64(largest)
}

func largestMemory(members []*member) int64 {
	var largest int64
	for _, member := range members {
		largest = max(largest, member.memoryTotal())
	}
	return largest
}

// ejected counts the members that are out.
func (pools *pools) ejected() int {
	count := 0
	for _, member := range pools.all {
		if member.health.out() {
			count++
		}
	}
	return count
}
