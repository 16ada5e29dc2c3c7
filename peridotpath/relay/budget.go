package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
)

// RetryBudget bounds the retries of each service. The bound holds for all instances
// together: each instance uses its share. Without it, the retries after an outage of some
// endpoints overload all others.
type RetryBudget struct {
	// Ratio is the number of retries allowed per request, and Slack the number allowed
	// beyond that, per Window.
	Ratio  float64
	Slack  int
	Window time.Duration
	// Instances returns the number of instances that share the slack.
	Instances func() int
	// Random returns a number from 0 to 1; nil for that of math/rand.
	Random func() float64

	mutex     sync.Mutex
	histories map[peridotpath.Service]*retryHistory
}

// retryHistory holds the times of a service's requests and retries, oldest first.
type retryHistory struct {
	requests, retries []time.Time
	// draw decides until drawnUntil whether the fraction of a retry that is left counts as one.
	draw       float64
	drawnUntil time.Time
}

// usableSlackShare is the fraction that an instance uses of its share of the slack. The
// rest covers the retries of instances that were replaced within the window; their
// replacements start with an empty history.
const usableSlackShare = 0.5

// RecordRequest counts one request of the service.
func (budget *RetryBudget) RecordRequest(service peridotpath.Service, now time.Time) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	history := budget.historyOf(service)
	history.requests = append(dropBefore(history.requests, now.Add(-budget.Window)), now)
}

// TakeRetry takes one retry from the service's budget and reports whether one was left.
func (budget *RetryBudget) TakeRetry(service peridotpath.Service, now time.Time) bool {
	instances := max(budget.Instances(), 1)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	history := budget.historyOf(service)
	start := now.Add(-budget.Window)
	history.requests = dropBefore(history.requests, start)
	history.retries = dropBefore(history.retries, start)
	allowed := budget.Ratio*float64(len(history.requests)) + usableSlackShare*float64(budget.Slack)/float64(instances)
	needed := 1.0
	if allowed < 1 {
		needed = budget.drawFor(history, now)
	}
	if float64(len(history.retries))+needed > allowed {
		return false
	}
	history.retries = append(history.retries, now)
	return true
}

// drawFor returns which share of a retry must be left for one to be taken, from 0 to 1.
//
// In a large fleet an instance's share is less than one retry. Rounded down, no instance would
// ever retry, whatever the fleet's budget; rounded up, all of them together would exceed it. An
// instance therefore takes a retry with the probability of its share, and keeps to the draw for a
// window, so that asking again does not raise the chance.
func (budget *RetryBudget) drawFor(history *retryHistory, now time.Time) float64 {
	if now.Before(history.drawnUntil) {
		return history.draw
	}
	random := budget.Random
	if random == nil {
		random = rand.Float64
	}
	history.draw, history.drawnUntil = random(), now.Add(budget.Window)
	return history.draw
}

func (budget *RetryBudget) historyOf(service peridotpath.Service) *retryHistory {
	if budget.histories == nil {
		budget.histories = map[peridotpath.Service]*retryHistory{}
	}
	history := budget.histories[service]
	if history == nil {
		history = &retryHistory{}
		budget.histories[service] = history
	}
	return history
}

// dropBefore returns the times that are not before start.
func dropBefore(times []time.Time, start time.Time) []time.Time {
	first := 0
	for first < len(times) && times[first].Before(start) {
		first++
	}
	return times[first:]
}
