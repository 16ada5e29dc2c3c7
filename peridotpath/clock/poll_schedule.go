package clock

import (
	"context"
	"math/rand/v2"
	"time"
)

// PollSchedule schedules the polls of data that several instances poll and share with each
// other: an instance polls only when its data has reached MinAge, so that all instances
// together poll hardly more often than one. Set the exported fields before use.
type PollSchedule struct {
	// MinAge is the age of the data from which one of the instances polls, and MaxDelay
	// the largest additional delay of an instance.
	MinAge, MaxDelay time.Duration
	// RetryDelay is the delay after a failed poll.
	RetryDelay time.Duration
	// PeerCount returns the number of other instances that poll; nil for none.
	PeerCount func() int
	// MinInterval is the minimum time between two polls, regardless of the age and of wakes.
	MinInterval time.Duration
	// PrecedingPeers returns how many nearby instances poll before this one; nil for a
	// random order. HasData reports whether valid data has been read; nil means true.
	// PrecedingPeers is required if HasData is set.
	PrecedingPeers func() int
	HasData        func() bool

	woken    Signal
	lastPoll time.Time
	// wokenEarly reports that a wake ended the last WaitUntilDue.
	wokenEarly bool
	// emptyDelay is the delay after a poll that returned no data.
	emptyDelay time.Duration
}

// The delay after a poll that returned no data doubles from minEmptyDelay to maxEmptyDelay.
// Without it, instances that start together before any data is written would all poll at
// the rate that MinInterval allows. The first instance that finds data shares it, which ends
// the others' delays.
const (
	minEmptyDelay = 250 * time.Millisecond
	maxEmptyDelay = 500 * time.Millisecond
)

// firstPollTime is about the time from the start of a first poll until nearby instances have
// its result: the transfer of a whole routing over a small machine's link and to a peer.
const firstPollTime = 300 * time.Millisecond

// firstPollDelay returns the delay before a poll until valid data has been read. Without
// it, hundreds of instances that start at once would saturate the store's link with the
// same reply for each instance, which delays all replies by a second. With staggered polls,
// the first instance of each location reads the data and shares it, which ends the others'
// delays.
func (schedule *PollSchedule) firstPollDelay() time.Duration {
	if schedule.HasData == nil || schedule.HasData() {
		return 0
	}
	return time.Duration(schedule.PrecedingPeers()) * firstPollTime
}

const (
	// fullDelayRank is the number of preceding instances from which a poll has the full delay.
	fullDelayRank = 4
	// orderedJitter is the share of the step between two ranks over which polls of one rank are
	// spread. In the rest of the step the result reaches the next rank; without it, a poll late in
	// its step and those of the next rank read the same data.
	orderedJitter = 0.75
)

// pollDelay returns the additional delay of this instance's polls. If an order is known, the
// delay follows it: with random delays, a dozen of a hundred instances fetch the same change
// while the first of them is still reading it.
func (schedule *PollSchedule) pollDelay() time.Duration {
	if schedule.PrecedingPeers == nil {
		return time.Duration(rand.Float64() * float64(schedule.MaxDelay))
	}
	step := float64(schedule.MaxDelay) / fullDelayRank
	steps := float64(schedule.PrecedingPeers()) + orderedJitter*rand.Float64()
	return min(time.Duration(steps*step), schedule.MaxDelay)
}

// RecordPoll records whether a poll returned data.
func (schedule *PollSchedule) RecordPoll(found bool) {
	if found {
		schedule.emptyDelay = 0
		return
	}
	schedule.emptyDelay = min(max(2*schedule.emptyDelay, minEmptyDelay), maxEmptyDelay)
}

// ageCheckInterval is the longest sleep between two checks of the age, which falls when data
// arrives from a peer.
const ageCheckInterval = 100 * time.Millisecond

// Wake ends the current WaitUntilDue, or the next one. It does not block.
func (schedule *PollSchedule) Wake() { schedule.woken.Raise() }

// WokenEarly reports whether a wake ended the last WaitUntilDue.
func (schedule *PollSchedule) WokenEarly() bool { return schedule.wokenEarly }

// IsDue reports whether one of the instances should poll data of that age.
func (schedule *PollSchedule) IsDue(age time.Duration) bool { return age >= schedule.MinAge }

// retryDelayPerInstance is, per peer, the minimum delay after a failed poll. It is about the
// average time between two polls of all instances together. Without it, many instances
// would poll an unreachable service hundreds of times a second and overload it when it
// recovers.
const retryDelayPerInstance = 60 * time.Millisecond

// WaitAfterFailure waits after a failed poll and returns false if ctx ends first. A wake
// ends the wait: the service may be unreachable only from this instance, while a peer has
// newer data.
func (schedule *PollSchedule) WaitAfterFailure(ctx context.Context) bool {
	delay := schedule.RetryDelay
	if schedule.PeerCount != nil {
		delay = max(delay, time.Duration(schedule.PeerCount())*retryDelayPerInstance)
	}
	return schedule.sleepJittered(ctx, delay)
}

// sleepJittered waits for the duration, with jitter of up to half of it so that instances
// do not poll in step, and returns false if ctx ends first. A wake ends the wait, and also
// the next WaitUntilDue.
func (schedule *PollSchedule) sleepJittered(ctx context.Context, delay time.Duration) bool {
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

// WaitUntilDue waits until the data is old enough for a poll and returns false if ctx ends
// first.
func (schedule *PollSchedule) WaitUntilDue(ctx context.Context, age func() time.Duration) bool {
	// The age stays high until there is data. Without MinInterval, all instances that
	// start together would poll as fast as they receive replies.
	if !SleepContext(ctx, schedule.MinInterval-time.Since(schedule.lastPoll)) {
		return false
	}
	schedule.wokenEarly = false
	if delay := schedule.emptyDelay + schedule.firstPollDelay(); delay > 0 && !schedule.sleepJittered(ctx, delay) {
		return false
	}
	defer func() { schedule.lastPoll = time.Now() }()
	limit := schedule.MinAge + schedule.pollDelay()
	for {
		remaining := limit - age()
		if remaining <= 0 {
			schedule.wokenEarly = schedule.woken.Take()
			return ctx.Err() == nil
		}
		timer := time.NewTimer(min(remaining, ageCheckInterval))
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
