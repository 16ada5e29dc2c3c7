// Package clock measures spans for what may only be done for a while, such as
// claims and leases, and waits.
package clock

import (
	"context"
	"time"
)

// Clock reads the two clocks of a machine. Nil fields stand for time.Now.
type Clock struct {
	// Now is the monotonic clock.
	Now func() time.Time
	// Wall is the clock of dates, which may step.
	Wall func() time.Time
}

// Instant is one reading of both clocks.
type Instant struct {
	Monotonic time.Time
	Wall      time.Time
}

// Read returns the present instant.
func (clock Clock) Read() Instant {
	instant := Instant{Monotonic: time.Now()}
	if clock.Now != nil {
		instant.Monotonic = clock.Now()
	}
	instant.Wall = instant.Monotonic.Round(0)
	if clock.Wall != nil {
		instant.Wall = clock.Wall().Round(0)
	}
	return instant
}

// Elapsed returns the span from the instant to a later one, by whichever clock
// went further.
//
// Linux stops the monotonic clock while a machine is suspended: a holder that
// wakes would find its time hardly used, while for all others hours passed.
// The wall clock shows those hours. A wall clock that steps forward by mistake
// ends the span early, which is the safe side; one that steps back is covered
// by the monotonic clock.
func (instant Instant) Elapsed(later Instant) time.Duration {
	return max(later.Monotonic.Sub(instant.Monotonic), later.Wall.Sub(instant.Wall))
}

// Jitter returns the span with up to a tenth taken off or added, by a random
// number from 0 to 1. It keeps apart what instances that started at the same
// moment do at each interval.
func Jitter(span time.Duration, random float64) time.Duration {
	return span*9/10 + time.Duration(random*float64(span/5))
}

// Pause waits for the span; it returns false when ctx ended first. A span that
// is over already needs no timer; the race detector of Go 1.26 crashes on one
// in virtual time.
func Pause(ctx context.Context, span time.Duration) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
