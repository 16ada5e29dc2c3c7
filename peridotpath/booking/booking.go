// Package booking keeps the returns of refused requests that were booked. A request that cannot
// be served in time is refused with a Retry-After at which there will be capacity; the booking
// takes its part of that capacity, and the request goes ahead of new ones when it returns then.
//
// It matters when callers ask for more than the capacity for seconds: without bookings,
// all refused callers return at the same time, or meet new requests that have come in the meantime,
// and are refused again. The package does no I/O and reads no clock.
package booking

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// earlyTolerance is how much before its time a return may come: Retry-After is rounded.
	earlyTolerance = 20 * time.Millisecond
	// lateTolerance is how long after its time a booking expires.
	lateTolerance = 2 * time.Second
	// punctualTolerance is how long after its time a return is still expected. Most callers
	// return within a round trip.
	punctualTolerance = 250 * time.Millisecond
	// assumedReturns is the number of returns assumed before any is observed, and maxCounted the
	// number of outcomes after which older ones count half.
	assumedReturns, maxCounted = 2, 64
	// maxBookings bounds the bookings kept.
	maxBookings = 4096
	// slotLength is the granularity of booked capacity.
	slotLength = 250 * time.Millisecond
	// drawnSlots is the number of slots, from the first one with room, from which a return is
	// drawn. In 2 s, instances that do not know of each other's bookings for 600 ms rarely
	// book a slot for more than its room.
	drawnSlots = 8
	// maxSlots bounds how far ahead returns are booked: 12 s, as callers give up some time.
	maxSlots = 48
	// bookableShare is the share of the capacity that is booked. The rest is for new requests,
	// which would all be refused in favour of returns otherwise while the overload lasts.
	bookableShare = 0.5
	// ownShare is how much of the bookable capacity an instance books, as a multiple of its equal
	// part. Where the facts of other instances are lost or old, all of them book the same time
	// otherwise: in a replay with all facts lost the worth was 0.64, and is 0.71 to 0.73 with it.
	ownShare = 1.25
)

type (
	// Return is one booked return.
	Return struct {
		Fingerprint peridotpath.Fingerprint
		// At is the time of the return, Work the engine time that it needs.
		At   time.Time
		Work time.Duration
		// IsUsed is set when the request has returned.
		IsUsed bool
		// IsOwn is set for a booking of this instance.
		IsOwn bool
	}

	// Request is what a booking is made for.
	Request struct {
		Fingerprint peridotpath.Fingerprint
		// Earliest is the first time at which there can be capacity.
		Earliest time.Time
		// Work is the engine time that the request needs.
		Work time.Duration
		// Capacity is the prefill rate of the engines, in engine seconds a second.
		Capacity float64
		// Instances is the number of instances that book.
		Instances int
	}

	// Ledger holds the booked returns. Set the exported fields before use.
	Ledger struct {
		// Announce, when set, is called with each booking of this instance and each change of one,
		// for the other instances.
		Announce func(booked Return, now time.Time)
		// Random returns a number from 0 to 1; nil for that of math/rand.
		Random func() float64

		mutex   sync.Mutex
		returns map[peridotpath.Fingerprint]Return
		// used and missed count the bookings whose request returned and those that expired
		// without it, of the last ones.
		used, missed float64
	}
)

// Book books a return and returns the time until then. A request that is booked already
// keeps its time. Without capacity to book it returns false and a time drawn from the second half of
// the bookable time.
func (ledger *Ledger) Book(request Request, now time.Time) (time.Duration, bool) {
	ledger.mutex.Lock()
	ledger.expire(now)
	if booked, found := ledger.returns[request.Fingerprint]; found && !booked.IsUsed && booked.At.After(now) {
		ledger.mutex.Unlock()
		return booked.At.Sub(now), true
	}
	at, found := ledger.draw(request, now)
	if !found || len(ledger.returns) >= maxBookings {
		wait := time.Duration((0.5 + 0.5*ledger.random()) * float64(maxSlots*slotLength))
		ledger.mutex.Unlock()
		return wait, false
	}
	booked := Return{Fingerprint: request.Fingerprint, At: at, Work: request.Work, IsOwn: true}
	ledger.store(booked)
	ledger.mutex.Unlock()
	if ledger.Announce != nil {
		ledger.Announce(booked, now)
	}
	return at.Sub(now), true
}

// handOverDelay is the time until a request returns that an exiting instance hands over. Other
// instances hear of it before.
const handOverDelay = 150 * time.Millisecond

// HandOver books the return of a request whose instance exits while it waits, and returns the time
// until then. It keeps its place: the capacity that it needs was promised to it before.
func (ledger *Ledger) HandOver(fingerprint peridotpath.Fingerprint, work time.Duration, now time.Time) time.Duration {
	booked := Return{Fingerprint: fingerprint, At: now.Add(handOverDelay), Work: work, IsOwn: true}
	ledger.mutex.Lock()
	ledger.expire(now)
	_, isKnown := ledger.returns[fingerprint]
	isKept := isKnown || len(ledger.returns) < maxBookings
	if isKept {
		ledger.store(booked)
	}
	ledger.mutex.Unlock()
	if isKept && ledger.Announce != nil {
		ledger.Announce(booked, now)
	}
	return handOverDelay
}

// Claim reports whether a request returns at its booked time, and marks the booking as used.
func (ledger *Ledger) Claim(fingerprint peridotpath.Fingerprint, now time.Time) bool {
	ledger.mutex.Lock()
	booked, found := ledger.returns[fingerprint]
	early := now.Before(booked.At.Add(-earlyTolerance))
	if !found || booked.IsUsed || early || now.After(booked.At.Add(lateTolerance)) {
		ledger.mutex.Unlock()
		return false
	}
	booked.IsUsed = true
	ledger.returns[fingerprint] = booked
	ledger.count(&ledger.used)
	ledger.mutex.Unlock()
	if ledger.Announce != nil {
		ledger.Announce(booked, now)
	}
	return true
}

// Receive stores a booking of another instance. A use is final.
func (ledger *Ledger) Receive(booked Return, now time.Time) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if now.After(booked.At.Add(lateTolerance)) && !booked.IsUsed {
		return
	}
	if booked.IsUsed {
		known, found := ledger.returns[booked.Fingerprint]
		if !found {
			return
		}
		if !known.IsUsed {
			ledger.count(&ledger.used)
		}
		known.IsUsed = true
		ledger.returns[booked.Fingerprint] = known
		return
	}
	ledger.expire(now)
	if len(ledger.returns) < maxBookings {
		ledger.store(booked)
	}
}

// IsEmpty reports whether no return is booked. It is cheap enough for every request.
func (ledger *Ledger) IsEmpty() bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return len(ledger.returns) == 0
}

// Expected returns the returns that have not come and are not overdue, the first one first.
func (ledger *Ledger) Expected(now time.Time) []Return {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.expire(now)
	var expected []Return
	for _, booked := range ledger.returns {
		if !booked.IsUsed && !now.After(booked.At.Add(punctualTolerance)) {
			expected = append(expected, booked)
		}
	}
	slices.SortFunc(expected, func(a, b Return) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return expected
}

func (ledger *Ledger) store(booked Return) {
	if ledger.returns == nil {
		ledger.returns = map[peridotpath.Fingerprint]Return{}
	}
	ledger.returns[booked.Fingerprint] = booked
}

// expire removes the bookings whose time has passed.
func (ledger *Ledger) expire(now time.Time) {
	for fingerprint, booked := range ledger.returns {
		if now.After(booked.At.Add(lateTolerance)) {
			delete(ledger.returns, fingerprint)
			if !booked.IsUsed {
				ledger.count(&ledger.missed)
			}
		}
	}
}

// count adds one to a counter of outcomes, and halves both when there are many.
func (ledger *Ledger) count(counter *float64) {
	*counter++
	if ledger.used+ledger.missed > maxCounted {
		ledger.used /= 2
		ledger.missed /= 2
	}
}

// ReturnRate returns the share of booked requests that return, estimated from the last ones; 1 where
// nothing was observed.
func (ledger *Ledger) ReturnRate() float64 {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return (ledger.used + assumedReturns) / (ledger.used + ledger.missed + assumedReturns)
}

// draw draws a time for the request, weighted by the free room of the slots.
func (ledger *Ledger) draw(request Request, now time.Time) (time.Time, bool) {
	start := request.Earliest
	if start.Before(now) {
		start = now
	}
	free := ledger.freeRoom(start, &request)
	first := slices.IndexFunc(free, func(room float64) bool { return room > 0 })
	if first < 0 {
		return time.Time{}, false
	}
	drawn := free[first:min(first+drawnSlots, len(free))]
	total := 0.0
	for _, room := range drawn {
		total += max(room, 0)
	}
	pick := ledger.random() * total
	for i, room := range drawn {
		if room > 0 && pick <= room {
			inSlot := time.Duration(pick / room * float64(slotLength))
			return start.Add(time.Duration(first+i)*slotLength + inSlot), true
		}
		pick -= max(room, 0)
	}
	return start.Add(time.Duration(first) * slotLength), true
}

// freeRoom returns the engine seconds that are free to book in each slot from start. Work that
// exceeds a slot's room takes that of the following slots.
func (ledger *Ledger) freeRoom(start time.Time, request *Request) []float64 {
	room := bookableShare * request.Capacity * slotLength.Seconds()
	free := ledger.freeOf(start, room, func(*Return) bool { return true })
	fits := make([]bool, len(free))
	for i := range free {
		fits[i] = hasRoomFrom(free[i:], request.Work.Seconds())
	}
	ownRoom := room * min(ownShare/float64(max(request.Instances, 1)), 1)
	for i, own := range ledger.freeOf(start, ownRoom, func(known *Return) bool { return known.IsOwn }) {
		free[i] = min(free[i], own)
		if !fits[i] {
			free[i] = min(free[i], 0)
		}
	}
	return free
}

// hasRoomFrom reports whether the work fits into the first slots without running into ones that are
// booked already. What is beyond the last slot is free.
func hasRoomFrom(free []float64, work float64) bool {
	for _, room := range free {
		if room <= 0 {
			return false
		}
		if work -= room; work <= 0 {
			return true
		}
	}
	return true
}

// freeOf returns the engine seconds that some of the bookings leave of a room in each slot.
func (ledger *Ledger) freeOf(start time.Time, room float64, counts func(known *Return) bool) []float64 {
	booked := make([]float64, maxSlots)
	for _, known := range ledger.returns {
		slot := int(known.At.Sub(start) / slotLength)
		if !known.At.Before(start) && slot < maxSlots && !known.IsUsed && counts(&known) {
			booked[slot] += known.Work.Seconds()
		}
	}
	free, carried := make([]float64, maxSlots), 0.0
	for i := range free {
		taken := carried + booked[i]
		free[i] = room - taken
		carried = max(taken-room, 0)
	}
	return free
}

func (ledger *Ledger) random() float64 {
	if ledger.Random != nil {
		return ledger.Random()
	}
	return rand.Float64()
}
