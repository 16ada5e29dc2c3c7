package main

import (
	"math/rand/v2"
	"strconv"
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// limitWindow is the sliding window in which requests to a limited endpoint are counted.
	// The endpoint may receive limitTolerance times as many requests as the announced limit
	// allows in the window, plus limitExtraRequests.
	limitWindow                        = 4 * time.Second
	limitTolerance, limitExtraRequests = 1.5, 5
	// minLimitDuration is the shortest time for which a limit is announced. It exceeds the
	// sum of the time in which instances must apply the limit and of limitWindow.
	minLimitDuration = 10 * time.Second
)

// limitedEndpoint is an endpoint that announces a rate limit.
type limitedEndpoint struct {
	limit       peridotpath.Rate
	announcedAt time.Time
	// arrivals are the times, within limitWindow, at which the endpoint received requests
	// from settled instances.
	arrivals   []time.Time
	isReported bool
}

// announceLimit makes a random endpoint announce a rate limit until end is called.
func (fleet *fleet) announceLimit(random *rand.Rand) (end func()) {
	endpoint := fleet.endpoints[random.IntN(len(fleet.endpoints))]
	limit := []peridotpath.Rate{0, 0.5, 1, 2.3, 6}[random.IntN(5)]
	began := time.Now()
	checker := fleet.checker
	checker.mutex.Lock()
	checker.limits[endpoint.ID] = &limitedEndpoint{limit: limit, announcedAt: began}
	checker.mutex.Unlock()
	endpoint.SetRateLimit(strconv.FormatFloat(float64(limit), 'f', -1, 64))
	return func() {
		time.Sleep(minLimitDuration - time.Since(began))
		checker.mutex.Lock()
		delete(checker.limits, endpoint.ID)
		checker.mutex.Unlock()
		endpoint.SetRateLimit("")
	}
}

// recordLimitedArrival checks the rate at which a limited endpoint receives requests from
// settled instances. The caller holds the mutex.
func (checker *checker) recordLimitedArrival(endpoint peridotpath.EndpointID, sent *sentRequest, now time.Time) {
	limited := checker.limits[endpoint]
	if limited == nil || now.Sub(limited.announcedAt) < settleTime+schedulingSlack || !sent.Instance.hasSettled(now) {
		return
	}
	limited.arrivals = append(limited.arrivals, now)
	for now.Sub(limited.arrivals[0]) > limitWindow {
		limited.arrivals = limited.arrivals[1:]
	}
	allowed := limitTolerance*float64(limited.limit)*limitWindow.Seconds() + limitExtraRequests
	if float64(len(limited.arrivals)) > allowed && !limited.isReported {
		limited.isReported = true
		checker.addViolation("%s names a limit of %v and got %d requests in %v", endpoint, limited.limit, len(limited.arrivals), limitWindow)
	}
}
