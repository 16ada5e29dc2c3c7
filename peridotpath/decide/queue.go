package decide

import (
	"container/heap"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
)

// quantum is the deficit that a customer of weight one gains per round, in
// tokens: about the largest prompt of the class, so that most rounds select
// work.
var quantum = [classCount]int64{
	peridotpath.Short:  int64(peridotpath.ShortBelow),
	peridotpath.Medium: int64(peridotpath.LongFrom),
	peridotpath.Long:   400_000,
}

// queue holds the queued work of one class: deficit round robin between
// customers, weighted and in tokens, and earliest deadline first within a
// customer. A customer that floods the queue delays only its own work.
type queue struct {
	class        peridotpath.LengthClass
	fifo         bool // a single flow for all customers, to benchmark fair queueing
	flows        map[*customer]*flow
	ring         []*flow // non-empty flows, in round-robin order
	ringPosition int
	count        int
	tokens       int64
	lastSequence uint64
}

// flow is the queued work of one customer.
type flow struct {
	customer *customer
	works    byDeadline
	deficit  int64
	tokens   int64
}

// cost is the number of tokens by which work reduces its customer's deficit.
func (work *Work) cost() int64 { return max(int64(work.PromptTokens), 1) }

func (queue *queue) flowKey(work *Work) *customer {
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
	key := queue.flowKey(work)
	customerFlow := queue.flows[key]
	if customerFlow == nil {
		customerFlow = &flow{customer: key}
		queue.flows[key] = customerFlow
		queue.ring = append(queue.ring, customerFlow)
	}
	queue.lastSequence++
	work.sequence = queue.lastSequence
	heap.Push(&customerFlow.works, work)
	customerFlow.tokens += work.cost()
	queue.tokens += work.cost()
	queue.count++
}

// head returns the next work to serve without removing it.
func (queue *queue) head() *Work {
	if queue.count == 0 {
		return nil
	}
	for {
		customerFlow := queue.ring[queue.ringPosition%len(queue.ring)]
		if customerFlow.deficit >= customerFlow.works[0].cost() {
			return customerFlow.works[0]
		}
		queue.ringPosition = (queue.ringPosition + 1) % len(queue.ring)
		next := queue.ring[queue.ringPosition]
		next.deficit += quantum[queue.class] * next.weight()
	}
}

func (flow *flow) weight() int64 {
	if flow.customer == nil {
		return 1
	}
	return flow.customer.weight.Load()
}

// dequeue removes the head and reduces its customer's deficit.
func (queue *queue) dequeue(work *Work) {
	queue.flows[queue.flowKey(work)].deficit -= work.cost()
	queue.remove(work)
}

// remove removes work without changing the deficit, and reports whether it was
// queued.
func (queue *queue) remove(work *Work) bool {
	customerFlow := queue.flows[queue.flowKey(work)]
	if customerFlow == nil {
		return false
	}
	index := slices.Index(customerFlow.works, work)
	if index < 0 {
		return false
	}
	heap.Remove(&customerFlow.works, index)
	customerFlow.tokens -= work.cost()
	queue.tokens -= work.cost()
	queue.count--
	if len(customerFlow.works) == 0 {
		queue.removeFlow(customerFlow)
	}
	return true
}

// removeFlow removes an empty flow with its deficit, so that an idle customer
// accumulates none.
func (queue *queue) removeFlow(customerFlow *flow) {
	delete(queue.flows, customerFlow.customer)
	index := slices.Index(queue.ring, customerFlow)
	queue.ring = slices.Delete(queue.ring, index, index+1)
	if queue.ringPosition > index {
		queue.ringPosition--
	}
	if len(queue.ring) > 0 {
		queue.ringPosition %= len(queue.ring)
	}
}

// tokensAhead returns the tokens that are served before new work of the
// customer, and how many of them are the customer's own. These are all queued
// tokens, or fewer if the customer's own flow is short: until the new work is
// served, the other customers receive only their fair shares.
func (queue *queue) tokensAhead(customer *customer) (tokens, ownTokens int64) {
	if queue.fifo {
		return queue.tokens, queue.tokens
	}
	weight := customer.weight.Load()
	if customerFlow := queue.flows[customer]; customerFlow != nil {
		ownTokens = customerFlow.tokens
	}
	ahead := ownTokens
	for _, customerFlow := range queue.ring {
		if customerFlow.customer != customer {
			ahead += min(customerFlow.tokens, (ownTokens+quantum[queue.class]*weight)*customerFlow.weight()/weight)
		}
	}
	return min(ahead, queue.tokens), ownTokens
}

// longestWait returns the longest wait so far among the flows that precede new
// work of the customer: all flows for a customer above its fair share,
// otherwise those of customers within theirs.
func (queue *queue) longestWait(at int64, customer *customer) time.Duration {
	var longest int64
	isOverShare := customer.isOverShare[queue.class].Load()
	for _, customerFlow := range queue.ring {
		if !isOverShare && customerFlow.customer != nil && customerFlow.customer.isOverShare[queue.class].Load() {
			continue
		}
		for _, work := range customerFlow.works {
			longest = max(longest, at-work.queuedAt)
		}
	}
	return time.Duration(longest)
}

// removeExpired removes and returns the work for which isExpired is true.
func (queue *queue) removeExpired(isExpired func(*Work) bool) []*Work {
	var removed []*Work
	for _, customerFlow := range slices.Clone(queue.ring) {
		for _, work := range slices.Clone(customerFlow.works) {
			if isExpired(work) {
				removed = append(removed, work)
				queue.remove(work)
			}
		}
	}
	return removed
}

// byDeadline is a heap of work, earliest deadline first.
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
