package fairness

import (
	"math"
	"time"
)

const (
	// waitShare is the part of the TTFT target that a request may wait in an engine for a slot.
	// The rest is for its prefill and for engines that have more than an even part of the load.
	waitShare = 0.25
	// extraInFlight is added to each window, so that each customer can have a request in flight
	// at each instance.
	extraInFlight = 1
)

// Line is the state of an instance and a customer above its share when a short prompt arrives.
type Line struct {
	// Slots is the number of requests that the engines may have in flight: RoomFor their slots.
	Slots int
	// PartOfSlots is the customer's part of all shares, from 0 to 1.
	PartOfSlots float64
	// PartHere is the part of the customer's demand that arrives at this instance, from 0 to 1.
	PartHere float64
	// InFlight is the number of the customer's requests that this instance has in flight.
	InFlight int
}

// RoomFor returns how many requests engines may have in flight so that none waits too long for
// a slot, where a request has a slot for the time hold. What is in flight beyond the slots keeps
// the engines busy between the end of a request and the dispatch of the next one, and where the
// reported load is old, so that requests are not spread evenly.
func RoomFor(slots int, ttftTarget, hold time.Duration) int {
	return int(float64(slots) * (1 + waitShare*float64(ttftTarget)/float64(max(hold, time.Millisecond))))
}

// Admits reports whether the prompt is sent to an engine. It addresses a flood of short prompts
// that takes all slots: each instance keeps its part of the customer's part of the slots in
// flight, and refuses the rest. The bound relies on the instance's own requests, which are known
// at once, and on the shares, which change within seconds: a rule on the load that peers report
// would let all instances send and refuse together when the reports are old.
func (line Line) Admits() bool { return line.InFlight < line.window() }

func (line Line) window() int {
	return int(math.Floor(float64(line.Slots)*line.PartOfSlots*line.PartHere)) + extraInFlight
}
