package booking_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/booking"
	"peridotpath.example/peridotpath/facts"
)

func fingerprint(number int) peridotpath.Fingerprint {
	var fingerprint peridotpath.Fingerprint
	binary.BigEndian.PutUint64(fingerprint[:], uint64(number))
	return fingerprint
}

func request(number int, now time.Time) booking.Request {
	return booking.Request{Fingerprint: fingerprint(number), Earliest: now.Add(time.Second), Work: 4 * time.Second, Capacity: 40}
}

// A caller that returns at its time is recognised once, also at an instance that has only the
// fact of the booking: the one that booked may have died.
func TestReturnIsRecognisedOnceAtAnotherInstance(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	other := &booking.Ledger{}
	var sent []facts.Fact
	ledger := &booking.Ledger{Announce: func(booked booking.Return, at time.Time) { sent = append(sent, booking.FactOf(booked, at)) }}
	wait, booked := ledger.Book(request(1, now), now)
	is.True(booked)
	is.True(wait >= time.Second)
	received, valid := booking.ReturnOf(sent[0])
	is.True(valid)
	other.Receive(received, now.Add(25*time.Millisecond))
	back := now.Add(wait + 10*time.Millisecond)
	is.True(other.Claim(fingerprint(1), back))
	is.True(!other.Claim(fingerprint(1), back))
	is.True(ledger.Claim(fingerprint(1), back))
	is.Equal(len(sent), 2)
	// The use, too, is a fact.
	third := &booking.Ledger{}
	third.Receive(received, now)
	used, valid := booking.ReturnOf(sent[1])
	is.True(valid)
	third.Receive(used, back)
	is.True(!third.Claim(fingerprint(1), back))
}

// A caller that repeats its request at once must gain nothing: no advantage before its time, no
// second booking, no sooner time.
func TestEarlyReturnGainsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	ledger := &booking.Ledger{}
	wait, _ := ledger.Book(request(1, now), now)
	for early := range 9 {
		at := now.Add(time.Duration(early) * 100 * time.Millisecond)
		is.True(!ledger.Claim(fingerprint(1), at))
		again, booked := ledger.Book(request(1, at), at)
		is.True(booked)
		is.Equal(at.Add(again), now.Add(wait))
	}
	is.Equal(len(ledger.Expected(now)), 1)
}

// A booking expires 2 s after its time and then takes no capacity.
func TestBookingExpires(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	ledger := &booking.Ledger{}
	wait, _ := ledger.Book(request(1, now), now)
	is.True(!ledger.Claim(fingerprint(1), now.Add(wait+2*time.Second+time.Millisecond)))
	is.Equal(len(ledger.Expected(now.Add(wait+2*time.Second+time.Millisecond))), 0)
	is.True(ledger.IsEmpty())
}

// Where callers do not return, capacity must not be kept for them.
func TestReturnRateFollowsTheCallers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	ledger := &booking.Ledger{}
	is.Equal(ledger.ReturnRate(), 1.0)
	for i := range 20 {
		ledger.Book(request(i, now), now)
	}
	now = now.Add(20 * time.Second)
	is.Equal(len(ledger.Expected(now)), 0)
	is.True(ledger.ReturnRate() < 0.15)
	for i := range 60 {
		wait, _ := ledger.Book(request(100+i, now), now)
		now = now.Add(wait)
		is.True(ledger.Claim(fingerprint(100+i), now))
	}
	is.True(ledger.ReturnRate() > 0.7)
}

// Refused callers that all return at the same time meet each other. Bookings must spread them over
// the capacity to come: no second has more than half of it, plus one return.
func TestReturnsAreSpreadOverTheCapacity(t *testing.T) {
	now := time.Now()
	ledger := &booking.Ledger{}
	for i := range 30 {
		if _, booked := ledger.Book(request(i, now), now); !booked {
			t.Fatalf("request %d is not booked: 120 of the 240 bookable engine seconds are asked for", i)
		}
	}
	perSecond := map[int]time.Duration{}
	for _, booked := range ledger.Expected(now) {
		perSecond[int(booked.At.Sub(now).Seconds())] += booked.Work
	}
	for second, work := range perSecond {
		if work > 24*time.Second+4*time.Second {
			t.Errorf("second %d: %v booked, want at most half of 40 engine seconds and a return", second, work)
		}
	}
}

// A return whose work exceeds the free room of its slot must not run into a slot that is booked: both
// would ask for the same engine time.
func TestReturnDoesNotRunIntoABookedSlot(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	const slot = 250 * time.Millisecond // 5 engine seconds are bookable in each
	earliest := now.Add(time.Second)
	// By this draw the second slot would be taken if only its own room counted.
	ledger := &booking.Ledger{Random: func() float64 { return 0.2 }}
	ledger.Receive(booking.Return{Fingerprint: fingerprint(1), At: earliest.Add(2 * slot), Work: 5 * time.Second}, now)
	wait, booked := ledger.Book(booking.Request{Fingerprint: fingerprint(2), Earliest: earliest, Work: 8 * time.Second, Capacity: 40}, now)
	is.True(booked)
	is.True(now.Add(wait).Sub(earliest) >= 3*slot)
}

// Thirty instances that do not know of each other's bookings for 600 ms must not book the same
// slot: at 28 refused engine seconds a second, each second may have at most 1.5 times its room.
func TestInstancesWithOldFactsDoNotBookTheSameTime(t *testing.T) {
	now := time.Now()
	type pending struct {
		at     time.Time
		booked booking.Return
		by     int
	}
	var underway []pending
	var ledgers []*booking.Ledger
	var all []booking.Return
	for i := range 30 {
		ledgers = append(ledgers, &booking.Ledger{Announce: func(booked booking.Return, at time.Time) {
			underway = append(underway, pending{at: at.Add(600 * time.Millisecond), booked: booked, by: i})
			all = append(all, booked)
		}})
	}
	for number := range 28 {
		at := now.Add(time.Duration(number) * time.Second / 7)
		for len(underway) > 0 && !underway[0].at.After(at) {
			for i, ledger := range ledgers {
				if i != underway[0].by {
					ledger.Receive(underway[0].booked, underway[0].at)
				}
			}
			underway = underway[1:]
		}
		ledgers[number%30].Book(request(number, at), at)
	}
	perSecond := map[int]time.Duration{}
	for _, booked := range all {
		perSecond[int(booked.At.Sub(now).Seconds())] += booked.Work
	}
	for second, work := range perSecond {
		if work > 40*time.Second {
			t.Errorf("second %d: %v booked, want at most the capacity of 40 s", second, work)
		}
	}
}

// Where all capacity is booked, the caller gets a time but no booking, and memory stays bounded.
func TestBookingsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	ledger := &booking.Ledger{}
	refused := 0
	for i := range 10_000 {
		wait, booked := ledger.Book(request(i, now), now)
		if !booked {
			refused++
			is.True(wait >= 6*time.Second && wait <= 12*time.Second)
		}
	}
	is.True(refused > 9_000)
	is.True(len(ledger.Expected(now)) <= 70)
	for i := range 10_000 {
		ledger.Receive(booking.Return{Fingerprint: fingerprint(i), At: now.Add(time.Second)}, now)
	}
	is.True(len(ledger.Expected(now)) <= 4096)
}

// Facts with values that no instance sends are dropped.
func TestInvalidFacts(t *testing.T) {
	is := is.New(t)
	for _, fact := range []facts.Fact{
		{Kind: facts.KindTrial, Value: 1}, {Kind: facts.KindReturnBooked, Value: -1}, {Kind: facts.KindReturnBooked, Value: 1e9},
		{Kind: facts.KindReturnBooked, Value: 1, Detail: 1 << 60},
	} {
		_, valid := booking.ReturnOf(fact)
		is.True(!valid)
	}
}

// An instance exits while a prompt waits in its queue. The prompt returns at another instance, and would
// wait there behind those that have come since.
func TestHandedOverPromptKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	other := &booking.Ledger{}
	ledger := &booking.Ledger{Announce: func(booked booking.Return, at time.Time) {
		received, valid := booking.ReturnOf(booking.FactOf(booked, at))
		is.True(valid)
		other.Receive(received, at.Add(25*time.Millisecond))
	}}
	wait, booked := ledger.Book(request(1, now), now)
	is.True(booked)
	now = now.Add(wait)
	is.True(ledger.Claim(fingerprint(1), now)) // it has returned once, and waits
	wait = ledger.HandOver(fingerprint(1), 4*time.Second, now)
	is.True(wait > 0 && wait < time.Second)
	is.True(other.Claim(fingerprint(1), now.Add(wait)))
	is.True(!other.Claim(fingerprint(1), now.Add(wait)))
}
