package main

import (
	"time"

	"peridotpath.example/peridotpath"
)

// The bound of retries that the settings of the instances state: in each window, retryRatio of the
// requests and retrySlack more, for all instances together.
const (
	retryWindowLength = 10 * time.Second
	retryRatio        = 0.2
	retrySlack        = 100
)

// retryWindow holds when a service received the first attempts of requests and their retries.
type retryWindow struct {
	seen              map[peridotpath.RequestID]bool
	requests, retries []time.Time
	isReported        bool
}

// recordRetry checks the bound of retries. A request that never arrives counts as none, so that
// the check allows no more than the bound. The caller holds the mutex.
func (checker *checker) recordRetry(service peridotpath.Service, sent *sentRequest, now time.Time) {
	window := checker.retries[service]
	if window == nil {
		window = &retryWindow{seen: map[peridotpath.RequestID]bool{}}
		checker.retries[service] = window
	}
	if !window.seen[sent.ID] {
		window.seen[sent.ID] = true
		window.requests = append(window.requests, now)
		return
	}
	window.retries = append(dropBefore(window.retries, now.Add(-retryWindowLength)), now)
	// The requests of the window before count where they were more.
	before := countBetween(window.requests, now.Add(-2*retryWindowLength), now.Add(-retryWindowLength))
	within := countBetween(window.requests, now.Add(-retryWindowLength), now)
	allowed := retryRatio*float64(max(before, within)) + retrySlack
	if float64(len(window.retries)) > allowed && !window.isReported {
		window.isReported = true
		checker.addViolation("%s received %d retries in %v, %.0f are allowed", service, len(window.retries), retryWindowLength, allowed)
	}
}

func dropBefore(times []time.Time, start time.Time) []time.Time {
	first := 0
	for first < len(times) && times[first].Before(start) {
		first++
	}
	return times[first:]
}

func countBetween(times []time.Time, from, until time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(until) {
			count++
		}
	}
	return count
}
