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
	// minLimitDuration is the shortest time for which a limit is set. It exceeds the sum of the
	// time in which instances must apply the limit and of limitWindow.
	minLimitDuration = 10 * time.Second
	// limitNoticeTime is the time in which the instance that an endpoint names its limit to must
	// have told the others, on a busy machine.
	limitNoticeTime = schedulingSlack
)

// limitedEndpoint is an endpoint with a rate limit.
type limitedEndpoint struct {
	limit peridotpath.Rate
	// setAt is when the endpoint got the limit, and namedAt when it first named it in an answer; zero
	// while it has not.
	setAt, namedAt time.Time
	// arrivals are the times, within limitWindow, at which the endpoint received requests
	// from settled instances that must know the limit.
	arrivals   []time.Time
	isReported bool
}

// setLimit makes a random endpoint name a rate limit until end is called. An endpoint that names it
// late keeps it for longer, so that one limitWindow is checked.
func (fleet *fleet) setLimit(random *rand.Rand) (end func()) {
	endpoint := fleet.endpoints[random.IntN(len(fleet.endpoints))]
	limited := &limitedEndpoint{limit: []peridotpath.Rate{0, 0.5, 1, 2.3, 6}[random.IntN(5)], setAt: time.Now()}
	checker := fleet.checker
	checker.mutex.Lock()
	checker.limits[endpoint.ID] = limited
	checker.mutex.Unlock()
	endpoint.SetRateLimit(formatLimit(limited.limit))
	return func() {
		time.Sleep(time.Until(limited.setAt.Add(minLimitDuration)))
		checker.mutex.Lock()
		namedAt := limited.namedAt
		checker.mutex.Unlock()
		time.Sleep(time.Until(namedAt.Add(limitNoticeTime + limitWindow)))
		checker.mutex.Lock()
		delete(checker.limits, endpoint.ID)
		checker.mutex.Unlock()
		endpoint.SetRateLimit("")
	}
}

func formatLimit(limit peridotpath.Rate) string {
	return strconv.FormatFloat(float64(limit), 'f', -1, 64)
}

// recordNamedLimit records that an endpoint names a limit in an answer. The answer may be to a
// request from before the limit was set, and name an earlier one.
func (checker *checker) recordNamedLimit(endpoint peridotpath.EndpointID, limit string, now time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	if limited := checker.limits[endpoint]; limited != nil && limited.namedAt.IsZero() && limit == formatLimit(limited.limit) {
		limited.namedAt = now
	}
}

// mustBeKnown reports whether all settled instances must know the limit. A silent endpoint gets
// requests and names its limit to nobody.
func (limited *limitedEndpoint) mustBeKnown(now time.Time) bool {
	return now.Sub(limited.setAt) >= settleTime+schedulingSlack && !limited.namedAt.IsZero() && now.Sub(limited.namedAt) >= limitNoticeTime
}

// recordLimitedArrival checks the rate at which a limited endpoint receives requests from
// settled instances. The caller holds the mutex.
func (checker *checker) recordLimitedArrival(endpoint peridotpath.EndpointID, sent *sentRequest, now time.Time) {
	limited := checker.limits[endpoint]
	if limited == nil || !limited.mustBeKnown(now) || !sent.Instance.hasSettled(now) {
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
