// Package clock measures the age of claims, leases and data that are valid for a limited
// time, also on machines that are suspended or whose wall clock steps. It also schedules the
// polls of instances that share what they read, so that many instances poll a store hardly
// more often than one.
package clock

import (
	"context"
	"time"
)

// Clock reads the two clocks of a machine. Nil fields default to time.Now.
type Clock struct {
	// Now is the monotonic clock.
	Now func() time.Time
	// Wall is the wall clock, which may step.
	Wall func() time.Time
}

// Instant is a time on both clocks.
type Instant struct {
	Monotonic time.Time
	Wall      time.Time
}

// Read returns the current instant.
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

// Elapsed returns the time from the instant to a later one, by the clock that advanced
// further.
//
// Linux stops the monotonic clock while a machine is suspended: by it alone, a lease
// holder that resumes after hours would consider its lease valid. The wall clock counts
// those hours. A wall clock that steps forward ends the lease early, which is safe; one
// that steps back is covered by the monotonic clock.
func (instant Instant) Elapsed(later Instant) time.Duration {
	return max(later.Monotonic.Sub(instant.Monotonic), later.Wall.Sub(instant.Wall))
}

// Jitter returns the duration changed by up to 10% in either direction, by a random number
// from 0 to 1. It desynchronises the periodic work of instances that started at the same
// time.
func Jitter(duration time.Duration, random float64) time.Duration {
	return duration*9/10 + time.Duration(random*float64(duration/5))
}

// SleepContext waits for the duration and returns false if ctx ends first. It starts no
// timer for a duration that is not positive: the race detector of Go 1.26 crashes on such a
// timer in virtual time.
func SleepContext(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
