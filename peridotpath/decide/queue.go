package decide

import (
	"container/heap"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
)

// quantum is what a customer of weight one may take from a queue in a round,
// in tokens: about the largest prompt of the class, so that few rounds pass
// without a choice.
var quantum = [classes]int64{
	peridotpath.Short:  int64(peridotpath.ShortBelow),
	peridotpath.Medium: int64(peridotpath.LongFrom),
	peridotpath.Long:   400_000,
}

// queue holds the waiting work of one class: deficit round robin between
// customers, weighed by tokens, and earliest deadline first within one. A
// customer that floods the queue makes its own line longer and nobody else's.
type queue struct {
	class  peridotpath.LengthClass
	fifo   bool // one line for all, to measure what the shares buy
	flows  map[*customer]*flow
	ring   []*flow // flows with work, in round order
	turn   int
	count  int
	tokens int64
	pushed uint64
}

// flow is one customer's line.
type flow struct {
	customer *customer
	works    byDeadline
	deficit  int64
	tokens   int64
}

// cost is what work takes from its customer's deficit.
func (work *Work) cost() int64 { return max(int64(work.Prompt), 1) }

func (queue *queue) key(work *Work) *customer {
	if queue.fifo {
		return nil
	}
	return work.customer
}

// push adds work.
func (queue *queue) push(work *Work) {
	if queue.flows == nil {
		queue.flows = map[*customer]*flow{}
	}
	key := queue.key(work)
	line := queue.flows[key]
	if line == nil {
		line = &flow{customer: key}
		queue.flows[key] = line
		queue.ring = append(queue.ring, line)
	}
	queue.pushed++
	work.sequence = queue.pushed
	heap.Push(&line.works, work)
	line.tokens += work.cost()
	queue.tokens += work.cost()
	queue.count++
}

// head returns the work whose turn it is, and leaves it in the queue.
func (queue *queue) head() *Work {
	if queue.count == 0 {
		return nil
	}
	for {
		line := queue.ring[queue.turn%len(queue.ring)]
		if line.deficit >= line.works[0].cost() {
			return line.works[0]
		}
		queue.turn = (queue.turn + 1) % len(queue.ring)
		next := queue.ring[queue.turn]
		next.deficit += quantum[queue.class] * next.weight()
	}
}

func (flow *flow) weight() int64 {
	if flow.customer == nil {
		return 1
	}
	return flow.customer.weight.Load()
}

// serve takes the head out and charges its customer.
func (queue *queue) serve(work *Work) {
	queue.flows[queue.key(work)].deficit -= work.cost()
	queue.remove(work)
}

// remove takes work out without a charge and reports whether it was there.
func (queue *queue) remove(work *Work) bool {
	line := queue.flows[queue.key(work)]
	if line == nil {
		return false
	}
	index := slices.Index(line.works, work)
	if index < 0 {
		return false
	}
	heap.Remove(&line.works, index)
	line.tokens -= work.cost()
	queue.tokens -= work.cost()
	queue.count--
	if len(line.works) == 0 {
		queue.drop(line)
	}
	return true
}

// drop forgets an empty line and its deficit: a customer saves nothing up.
func (queue *queue) drop(line *flow) {
	delete(queue.flows, line.customer)
	index := slices.Index(queue.ring, line)
	queue.ring = slices.Delete(queue.ring, index, index+1)
	if queue.turn > index {
		queue.turn--
	}
	if len(queue.ring) > 0 {
		queue.turn %= len(queue.ring)
	}
}

// ahead returns the tokens that go before new work of the customer: all that
// wait, or fewer when the customer's own line is short, since the others then
// get only their shares of what is served until its turn.
func (queue *queue) ahead(customer *customer) (tokens, own int64) {
	if queue.fifo {
		return queue.tokens, queue.tokens
	}
	weight := customer.weight.Load()
	if line := queue.flows[customer]; line != nil {
		own = line.tokens
	}
	shared := own
	for _, line := range queue.ring {
		if line.customer != customer {
			shared += min(line.tokens, (own+quantum[queue.class]*weight)*line.weight()/weight)
		}
	}
	return min(shared, queue.tokens), own
}

// oldest returns how long the work has waited that waits longest among what
// goes before new work of the customer: its own line, and the lines of those
// who keep within their share as it does.
func (queue *queue) oldest(at int64, customer *customer) time.Duration {
	var longest int64
	over := customer.over[queue.class].Load()
	for _, line := range queue.ring {
		if !over && line.customer != nil && line.customer.over[queue.class].Load() {
			continue
		}
		for _, work := range line.works {
			longest = max(longest, at-work.queuedAt)
		}
	}
	return time.Duration(longest)
}

// expired takes out the work for which late says so.
func (queue *queue) expired(late func(*Work) bool) []*Work {
	var out []*Work
	for _, line := range slices.Clone(queue.ring) {
		for _, work := range slices.Clone(line.works) {
			if late(work) {
				out = append(out, work)
				queue.remove(work)
			}
		}
	}
	return out
}

// byDeadline is a heap of work, the earliest deadline first.
type byDeadline []*Work

// Len implements heap.Interface.
func (works byDeadline) Len() int { return len(works) }

// Less implements heap.Interface.
func (works byDeadline) Less(i, j int) bool {
	if works[i].Deadline.Equal(works[j].Deadline) {
		return works[i].sequence < works[j].sequence
	}
	return works[i].Deadline.Before(works[j].Deadline)
}

// Swap implements heap.Interface.
func (works byDeadline) Swap(i, j int) { works[i], works[j] = works[j], works[i] }

// Push implements heap.Interface.
func (works *byDeadline) Push(value any) { *works = append(*works, value.(*Work)) }

// Pop implements heap.Interface.
func (works *byDeadline) Pop() any {
	last := len(*works) - 1
	work := (*works)[last]
	(*works)[last] = nil
	*works = (*works)[:last]
	return work
}
