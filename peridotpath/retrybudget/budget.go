// Package retrybudget bounds the retries of each service across all instances. Without a bound,
// the retries after an outage of some endpoints overload all others. Each instance has an equal
// part of the budget, and lends what it does not need to instances that have used up theirs.
//
// Lending matters where the failures reach few instances: of 240 streams at six instances, 90
// broke at three of them, and 12 were not resumed for want of budget while the fleet had used
// half of what it may.
//
// The bound of the fleet, Ratio x requests + Slack retries in each sliding window, holds as it
// does without lending. A grant answers one need of one start of the borrower, and is used less
// than grantLifetime after the borrower announced this need, by its own clock, which includes
// suspended time. The lender makes the grant after the announcement. Each borrowed retry is
// therefore made within grantLifetime of a grant, which the lender counts as used for Window +
// grantLifetime: in every window that contains the borrowed retry, the lender still counts it
// whenever it takes or grants another one. So the lender's own and lent retries of a window are
// within its part, and the parts add up to the bound. No assumption is made about the network: a
// message that is lost, repeated or delayed in a frozen process can only leave a grant unused.
package retrybudget

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/telemetry"
)

// Budget is one instance's part of the retry budget of each service. Set the exported fields
// before use.
type Budget struct {
	// Ratio is the number of retries allowed per request, and Slack the number allowed
	// beyond that, per Window, for all instances together.
	Ratio  float64
	Slack  int
	Window time.Duration
	// Instances returns the number of instances that share the slack.
	Instances func() int
	// Random returns a number from 0 to 1; nil for that of math/rand.
	Random func() float64
	// StartedAt is the start of this instance; zero where it started long ago. It lends nothing
	// for a window after it, since it does not know yet how many others there are.
	StartedAt time.Time

	// Facts carries needs and grants; nil disables lending. SenderID identifies this start of
	// the instance.
	Facts    *facts.Table
	Instance peridotpath.InstanceID
	SenderID uint64
	// SinceBoot returns the time since boot, which advances while the machine is suspended.
	SinceBoot func() time.Duration
	Log       zerolog.Logger

	mutex sync.Mutex
	// largestFleet is the largest number of instances of the last window, seen at largestAt.
	largestFleet int
	largestAt    time.Time
	histories    map[serviceHash]*history
	sampler      telemetry.LogSampler
}

// history holds the times of a service's requests and retries, oldest first.
type history struct {
	requests, retries []time.Time
	// lent holds the times of the retries that were lent, wanted those of the retries that
	// requests have asked for in the last forecastTime.
	lent, wanted []time.Time
	// draw decides until drawnUntil whether the fraction of a retry that is left counts as one.
	draw       float64
	drawnUntil time.Time

	borrowing borrowing
	// answered holds the last need of each borrower.
	answered map[uint64]answeredNeed
}

const (
	// usableSlackShare is the fraction that an instance uses of its share of the slack. The
	// rest covers the retries of instances that were replaced within the window; their
	// replacements start with an empty history.
	usableSlackShare = 0.5
	// spareShare is the share of its part that an instance uses for requests that have not failed.
	// Where a service is slower than its target, second attempts would use up the whole part and
	// leave nothing for the retries of an outage.
	spareShare = 0.5
	// grantLifetime is how long after its announcement a need may use a grant.
	grantLifetime = time.Second
	// forecastTime is the time whose retries an instance expects to need again: it lends what
	// is left beyond them.
	forecastTime = 2 * time.Second
	// logLinesPerSecond bounds the log lines of loans.
	logLinesPerSecond = 10
)

// RecordRequest counts one request of the service.
func (budget *Budget) RecordRequest(service peridotpath.Service, now time.Time) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	history := budget.historyOf(hashOf(service))
	history.requests = append(dropBefore(history.requests, now.Add(-budget.Window)), now)
}

// TakeRetry takes one retry from the service's budget and reports whether one was left.
func (budget *Budget) TakeRetry(service peridotpath.Service, now time.Time) bool {
	instances := budget.fleetSize(now)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	history := budget.historyOf(hashOf(service))
	history.wanted = append(dropBefore(history.wanted, now.Add(-forecastTime)), now)
	return budget.take(history, service, instances, now)
}

// TakeSpare takes one retry for a request that has not failed, such as a second attempt beside a
// slow one, and reports whether one was left. It leaves the rest of the budget, and all that is
// borrowed, to requests that have failed.
func (budget *Budget) TakeSpare(service peridotpath.Service, now time.Time) bool {
	instances := budget.fleetSize(now)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	history := budget.historyOf(hashOf(service))
	if !budget.hasLeft(history, instances, spareShare, 0, now) {
		return false
	}
	history.retries = append(history.retries, now)
	return true
}

// take takes one retry, a borrowed one first, since it expires. The caller holds the mutex.
func (budget *Budget) take(history *history, service peridotpath.Service, instances int, now time.Time) bool {
	if budget.Facts != nil && history.borrowing.take(budget.SinceBoot()) {
		telemetry.CountBorrowedRetry()
		if budget.allowLogLine(now) {
			budget.Log.Info().Str("service", string(service)).Int("left", history.borrowing.available(budget.SinceBoot())).Msg("budget_borrowed")
		}
		return true
	}
	if !budget.hasLeft(history, instances, 1, 0, now) {
		return false
	}
	history.retries = append(history.retries, now)
	return true
}

// hasLeft reports whether a share of this instance's part allows one more retry beside a reserve.
func (budget *Budget) hasLeft(history *history, instances int, share float64, reserve int, now time.Time) bool {
	allowed, used := share*budget.allowed(history, instances, now), budget.used(history, now)
	needed := 1.0
	if allowed < 1 {
		needed = budget.drawFor(history, now)
	}
	return float64(used+reserve)+needed <= allowed
}

// allowed returns the number of retries in a window that this instance's part allows.
func (budget *Budget) allowed(history *history, instances int, now time.Time) float64 {
	history.requests = dropBefore(history.requests, now.Add(-budget.Window))
	return budget.Ratio*float64(len(history.requests)) + usableSlackShare*float64(budget.Slack)/float64(instances)
}

// used returns the number of retries that count against this instance's part now.
func (budget *Budget) used(history *history, now time.Time) int {
	history.retries = dropBefore(history.retries, now.Add(-budget.Window))
	history.lent = dropBefore(history.lent, now.Add(-budget.Window-grantLifetime))
	return len(history.retries) + len(history.lent)
}

// Left returns the number of retries that are left for the service with the fewest; for the
// metrics.
func (budget *Budget) Left(now time.Time) float64 {
	instances := budget.fleetSize(now)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	left := usableSlackShare * float64(budget.Slack) / float64(instances)
	for _, history := range budget.histories {
		left = min(left, budget.allowed(history, instances, now)-float64(budget.used(history, now)))
	}
	return max(left, 0)
}

// drawFor returns which share of a retry must be left for one to be taken, from 0 to 1.
//
// In a large fleet an instance's share is less than one retry. Rounded down, no instance would
// ever retry, whatever the fleet's budget; rounded up, all of them together would exceed it. An
// instance therefore takes a retry with the probability of its share, and keeps to the draw for a
// window, so that asking again does not raise the chance.
func (budget *Budget) drawFor(history *history, now time.Time) float64 {
	if now.Before(history.drawnUntil) {
		return history.draw
	}
	history.draw, history.drawnUntil = budget.random(), now.Add(budget.Window)
	return history.draw
}

func (budget *Budget) random() float64 {
	if budget.Random != nil {
		return budget.Random()
	}
	return rand.Float64()
}

func (budget *Budget) historyOf(service serviceHash) *history {
	if budget.histories == nil {
		budget.histories = map[serviceHash]*history{}
	}
	found := budget.histories[service]
	if found == nil {
		found = &history{}
		budget.histories[service] = found
	}
	return found
}

// allowLogLine reports whether a loan may be logged now. The caller holds the mutex.
func (budget *Budget) allowLogLine(now time.Time) bool {
	budget.sampler.PerSecond = logLinesPerSecond
	return budget.sampler.Allow(now)
}

// dropBefore returns the times that are not before start.
func dropBefore(times []time.Time, start time.Time) []time.Time {
	first := 0
	for first < len(times) && times[first].Before(start) {
		first++
	}
	return times[first:]
}

// fleetSize returns the largest number of instances that was known within the last window. An
// instance that was frozen or cut off hears few others for a moment, and would take the part of
// all of them for its own.
func (budget *Budget) fleetSize(now time.Time) int {
	instances := max(budget.Instances(), 1)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if instances >= budget.largestFleet || now.Sub(budget.largestAt) > budget.Window {
		budget.largestFleet, budget.largestAt = instances, now
	}
	return budget.largestFleet
}
