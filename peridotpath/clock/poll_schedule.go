package clock

import (
	"context"
	"math/rand/v2"
	"time"
)

// Pace schedules the polls of data that several instances poll and share with each other:
// an instance polls only when its data is older than the interval, so that all instances
// together poll hardly more often than one. Set the exported fields before use.
type Pace struct {
	// Least is the age of the data from which one of the instances polls, and Pace.Spread
	// the largest additional delay of an instance.
	Least, Spread time.Duration
	// Retry is the delay after a failed poll.
	Retry time.Duration
	// Others returns the number of other instances that poll; nil for none.
	Others func() int
	// Gap is the minimum time between two polls, regardless of the age and of wakes.
	Gap time.Duration
	// Before returns how many nearby instances poll before this one; nil for a random
	// order. Pace.Known reports whether valid data was read yet; nil means that it was.
	// Pace.Before is required if Pace.Known is set.
	Before func() int
	Known  func() bool

	woken    Signal
	lastPoll time.Time
	// wokenEarly reports that a wake ended the last Pace.Wait.
	wokenEarly bool
	// emptyDelay is the delay after a poll that returned no data.
	emptyDelay time.Duration
}

// The delay after a poll that returned no data doubles from minEmptyDelay to maxEmptyDelay.
// Without it, instances that start together before any data is written would all poll at
// the rate that the gap allows. The first instance that finds data shares it, which ends
// the others' delays.
const (
	minEmptyDelay = 250 * time.Millisecond
	maxEmptyDelay = 500 * time.Millisecond
)

// firstPollTime is about the time from the start of a first poll until nearby instances have
// its result: the transfer of a whole routing over a small machine's link and to a peer.
const firstPollTime = 300 * time.Millisecond

// firstPollDelay returns the delay before a poll while no valid data was read yet. Hundreds of
// instances that start at once would saturate the store's link with the same reply for each
// of them, which delays all of them by a second. With staggered polls, the first
// instance of each location reads the data and shares it, which ends the others' delays.
func (schedule *Pace) firstPollDelay() time.Duration {
	if schedule.Known == nil || schedule.Known() {
		return 0
	}
	return time.Duration(schedule.Before()) * firstPollTime
}

// fullDelayRank is the number of preceding instances from which a poll has the full delay.
const fullDelayRank = 4

// pollDelay returns the additional delay of this instance's polls. If an order is known, the
// delay follows it: with random delays, a dozen of a hundred instances fetch the same change
// while the first of them is still reading it.
func (schedule *Pace) pollDelay() time.Duration {
	step := float64(schedule.Spread)
	preceding := 0
	if schedule.Before != nil {
		step /= fullDelayRank
		preceding = schedule.Before()
	}
	return min(time.Duration((float64(preceding)+rand.Float64())*step), schedule.Spread)
}

// Found records whether a poll returned data.
func (schedule *Pace) Found(found bool) {
	if found {
		schedule.emptyDelay = 0
		return
	}
	schedule.emptyDelay = min(max(2*schedule.emptyDelay, minEmptyDelay), maxEmptyDelay)
}

// ageCheckInterval is the longest sleep between two checks of the age, which data received from a
// peer resets.
const ageCheckInterval = 100 * time.Millisecond

// Wake ends the current Pace.Wait, or the next one. It does not block.
func (schedule *Pace) Wake() { schedule.woken.Raise() }

// Early reports whether a wake ended the last Pace.Wait.
func (schedule *Pace) Early() bool { return schedule.wokenEarly }

// Due reports whether data of that age is due for a poll by at least one instance.
func (schedule *Pace) Due(age time.Duration) bool { return age >= schedule.Least }

// retryPerInstance is the average time between two polls of all instances together while polls
// fail. Without it, many instances would poll an unreachable service hundreds of times a
// second and overload it when it recovers.
const retryPerInstance = 60 * time.Millisecond

// Rest waits after a failed poll and returns false if ctx ends first. A wake ends it: the
// service may be unreachable only from here while a peer has newer data.
func (schedule *Pace) Rest(ctx context.Context) bool {
	delay := schedule.Retry
	if schedule.Others != nil {
		delay = max(delay, time.Duration(schedule.Others())*retryPerInstance)
	}
	return schedule.sleepJittered(ctx, delay)
}

// sleepJittered waits for the duration, with jitter of up to half of it so that instances do not
// poll in step, and returns false if ctx ends first. A wake ends it, and the next Pace.Wait.
func (schedule *Pace) sleepJittered(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(time.Duration((0.5 + rand.Float64()) * float64(delay)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-schedule.woken.C():
		schedule.Wake()
		return true
	case <-ctx.Done():
		return false
	}
}

// Wait waits until the data is old enough for a poll and returns false if ctx ends first.
func (schedule *Pace) Wait(ctx context.Context, age func() time.Duration) bool {
	// The age stays high until there is data. Without the gap, all instances that start
	// together would poll as fast as they receive replies.
	if !Pause(ctx, schedule.Gap-time.Since(schedule.lastPoll)) {
		return false
	}
	schedule.wokenEarly = false
	if delay := schedule.emptyDelay + schedule.firstPollDelay(); delay > 0 && !schedule.sleepJittered(ctx, delay) {
		return false
	}
	defer func() { schedule.lastPoll = time.Now() }()
	limit := schedule.Least + schedule.pollDelay()
	for {
		left := limit - age()
		if left <= 0 {
			schedule.wokenEarly = schedule.woken.Take()
			return ctx.Err() == nil
		}
		timer := time.NewTimer(min(left, ageCheckInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-schedule.woken.C():
			timer.Stop()
			schedule.wokenEarly = true
			return true
		case <-timer.C:
		}
	}
}
