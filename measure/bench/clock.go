// Package bench is a discrete-event simulation that compares load-balancing policies:
// peridotpath's scheduler, the scheduler without single mechanisms, and baselines such as
// round robin and least in flight. It simulates model engines with continuous batching,
// limited KV cache memory and priorities, under mixed prompt lengths, overload, bursts,
// skewed customers and failing engines, and reports time to first token and goodput. The
// same seed gives the same figures on every run and machine.
package bench

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their times. Events with the same time run in the
// order in which they were scheduled.
type clock struct {
	now       time.Time
	events    events
	scheduled uint64
}

type event struct {
	at       int64 // nanoseconds since 1970
	sequence uint64
	run      func()
}

// runAfter schedules run after a delay.
func (clock *clock) runAfter(delay time.Duration, run func()) {
	clock.runAt(clock.now.Add(delay), run)
}

// runAt schedules run at a time.
func (clock *clock) runAt(at time.Time, run func()) {
	clock.scheduled++
	heap.Push(&clock.events, &event{at: at.UnixNano(), sequence: clock.scheduled, run: run})
}

// runUntil runs the events up to and including end.
func (clock *clock) runUntil(end time.Time) {
	for len(clock.events) > 0 && clock.events[0].at <= end.UnixNano() {
		next := heap.Pop(&clock.events).(*event)
		clock.now = time.Unix(0, next.at).UTC()
		next.run()
	}
}

type events []*event

// Len implements heap.Interface.
func (events events) Len() int { return len(events) }

// Less implements heap.Interface.
func (events events) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].sequence < events[j].sequence
}

// Swap implements heap.Interface.
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

// Push implements heap.Interface.
func (events *events) Push(value any) { *events = append(*events, value.(*event)) }

// Pop implements heap.Interface.
func (events *events) Pop() any {
	last := len(*events) - 1
	popped := (*events)[last]
	(*events)[last] = nil
	*events = (*events)[:last]
	return popped
}
