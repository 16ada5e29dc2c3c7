// Package bench compares policies of placing requests on a small fake fleet,
// on a clock of discrete events. The same seed gives the same figures on every
// run and machine.
package bench

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their times; events of one time run in
// the order in which they were planned.
type clock struct {
	now     time.Time
	events  events
	planned uint64
}

type event struct {
	at       int64 // nanoseconds since 1970
	sequence uint64
	run      func()
}

// after plans run for the given time from now.
func (clock *clock) after(delay time.Duration, run func()) {
	clock.at(clock.now.Add(delay), run)
}

// at plans run.
func (clock *clock) at(at time.Time, run func()) {
	clock.planned++
	heap.Push(&clock.events, &event{at: at.UnixNano(), sequence: clock.planned, run: run})
}

// runUntil runs events up to the end.
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
