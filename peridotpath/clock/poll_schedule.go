package clock

import (
	"context"
	"math/rand/v2"
	"time"
)

// Pace spaces looks at something that several instances look at and tell each
// other of: each looks only when nobody has for a while. Set the exported
// fields before Wait.
type Pace struct {
	// Least is the age below which nobody looks, and Spread how much later one
	// may look that was not chosen by chance to be first.
	Least, Spread time.Duration
	// Retry is the pause after a look that failed.
	Retry time.Duration
	// Others returns how many others look as well; nil for none.
	Others func() int
	// Gap is the least time between two looks, whatever the age and the wakes.
	Gap time.Duration
	// Before returns how many of those nearby are to look before this one; nil where
	// chance decides. Known reports whether anything was read yet, and counts.
	Before func() int
	Known  func() bool

	woken Signal
	last  time.Time
	// early says that the last wait was ended by a wake.
	early bool
	// nothing is the pause after a look that found nothing.
	nothing time.Duration
}

// The pause after a look that found nothing doubles from the least to the most.
// When all instances start together, before there is anything to be found, each
// would ask as often as the gap between looks allows. Whoever finds it first tells
// the others, which ends their pauses.
const (
	nothingLeast = 250 * time.Millisecond
	nothingMost  = 500 * time.Millisecond
)

// firstTurn is about how long a first look takes until what it found is known
// nearby: a whole routing on a small machine's link, and its way to a peer.
const firstTurn = 300 * time.Millisecond

// first returns the pause before a look while nothing was read yet that counts. Hundreds of
// instances that start at one moment would fill the store's link with the same
// answer for all of them, and none had it for a second; in turn, the first one of
// each place reads it and tells the others, which ends their pauses.
func (pace *Pace) first() time.Duration {
	if pace.Known == nil || pace.Known() {
		return 0
	}
	return time.Duration(pace.Before()) * firstTurn
}

// lookTurns is by how many instances nearby a look is put off to its latest.
const lookTurns = 4

// later returns how much later than the least age this instance looks. Where an
// order is known, those first in it look first: drawn by chance, a dozen of a hundred
// instances fetched the same change while the first of them still read it.
func (pace *Pace) later() time.Duration {
	turn := float64(pace.Spread)
	before := 0
	if pace.Before != nil {
		turn /= lookTurns
		before = pace.Before()
	}
	return min(time.Duration((float64(before)+rand.Float64())*turn), pace.Spread)
}

// Found notes whether a look found anything.
func (pace *Pace) Found(found bool) {
	if found {
		pace.nothing = 0
		return
	}
	pace.nothing = min(max(2*pace.nothing, nothingLeast), nothingMost)
}

// ageStep is the longest sleep before the age is looked at again: a peer's word
// may have changed it.
const ageStep = 100 * time.Millisecond

// Wake ends the present wait, or the next one. It never waits.
func (pace *Pace) Wake() { pace.woken.Raise() }

// Early reports whether the last Wait was ended by a wake.
func (pace *Pace) Early() bool { return pace.early }

// Due reports whether what is of that age is to be looked at again, by one at least.
func (pace *Pace) Due(age time.Duration) bool { return age >= pace.Least }

// retryShare is the pause between two looks of all instances together while
// looks fail: without it, many instances would ask a service that is away
// hundreds of times a second, and find it busy when it is back.
const retryShare = 60 * time.Millisecond

// Rest waits after a look that failed; false when ctx ended first. A wake ends
// it: the service may be away from here only, while a peer has something newer.
func (pace *Pace) Rest(ctx context.Context) bool {
	span := pace.Retry
	if pace.Others != nil {
		span = max(span, time.Duration(pace.Others())*retryShare)
	}
	return pace.pause(ctx, span)
}

// pause waits for the span, drawn out or shortened by up to half so that instances
// don't ask in step; false when ctx ended first. A wake ends it, and the next Wait.
func (pace *Pace) pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(time.Duration((0.5 + rand.Float64()) * float64(span)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-pace.woken.C():
		pace.Wake()
		return true
	case <-ctx.Done():
		return false
	}
}

// Wait waits until what is looked at is old enough; false when ctx ended first.
func (pace *Pace) Wait(ctx context.Context, age func() time.Duration) bool {
	// While there is nothing to be found, the age stays high: without a gap all
	// instances that start together would ask as fast as they are answered.
	if !Pause(ctx, pace.Gap-time.Since(pace.last)) {
		return false
	}
	pace.early = false
	if span := pace.nothing + pace.first(); span > 0 && !pace.pause(ctx, span) {
		return false
	}
	defer func() { pace.last = time.Now() }()
	limit := pace.Least + pace.later()
	for {
		left := limit - age()
		if left <= 0 {
			pace.early = pace.woken.Take()
			return ctx.Err() == nil
		}
		timer := time.NewTimer(min(left, ageStep))
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-pace.woken.C():
			timer.Stop()
			pace.early = true
			return true
		case <-timer.C:
		}
	}
}
