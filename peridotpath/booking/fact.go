package booking

import (
	"math"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
)

// FactOf returns the fact that tells other instances of a booking, or of its use. The detail is
// the work in milliseconds.
func FactOf(booked Return, now time.Time) facts.Fact {
	fact := facts.Fact{
		Kind: facts.KindReturnBooked, Subject: facts.Subject(booked.Fingerprint), Detail: uint64(max(booked.Work.Milliseconds(), 0)),
		ObservedAt: now,
	}
	if !booked.IsUsed {
		fact.Value = booked.At.Sub(now).Seconds()
	}
	return fact
}

// maxFactSeconds bounds what is accepted as the time until a return, and maxFactWork as its work.
const (
	maxFactSeconds = 60
	maxFactWork    = 10 * time.Minute
)

// ReturnOf returns the booking that a fact is about; false for one of another kind or with
// values that no instance sends.
func ReturnOf(fact facts.Fact) (Return, bool) {
	if fact.Kind != facts.KindReturnBooked || math.IsNaN(fact.Value) || fact.Value < 0 || fact.Value > maxFactSeconds || fact.Detail > uint64(maxFactWork.Milliseconds()) {
		return Return{}, false
	}
	return Return{
		Fingerprint: peridotpath.Fingerprint(fact.Subject), At: fact.ObservedAt.Add(time.Duration(fact.Value * float64(time.Second))),
		Work: time.Duration(fact.Detail) * time.Millisecond, IsUsed: fact.Value == 0,
	}, true
}
