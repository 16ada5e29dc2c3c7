package main

import (
	"math/rand/v2"
	"strconv"
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// limitSpan is the span over which what a limited endpoint gets is counted, and
	// limitFactor and limitSlack what it may get beyond what it names.
	limitSpan               = 4 * time.Second
	limitFactor, limitSlack = 1.5, 5
	// limitLeast is how long an endpoint names a limit at least: longer than instances
	// may take to keep to it, and the span.
	limitLeast = 10 * time.Second
)

// limited is an endpoint that names a limit.
type limited struct {
	limit peridotpath.Rate
	since time.Time
	// arrivals is when instances in touch sent to it.
	arrivals []time.Time
	broken   bool
}

// nameLimit lets an endpoint name a limit until it is ended.
func (fleet *fleet) nameLimit(random *rand.Rand) (end func()) {
	endpoint := fleet.endpoints[random.IntN(len(fleet.endpoints))]
	limit := []peridotpath.Rate{0, 0.5, 1, 2.3, 6}[random.IntN(5)]
	began := time.Now()
	checks := fleet.checks
	checks.mutex.Lock()
	checks.limits[endpoint.ID] = &limited{limit: limit, since: began}
	checks.mutex.Unlock()
	endpoint.SetRateLimit(strconv.FormatFloat(float64(limit), 'f', -1, 64))
	return func() {
		time.Sleep(limitLeast - time.Since(began))
		checks.mutex.Lock()
		delete(checks.limits, endpoint.ID)
		checks.mutex.Unlock()
		endpoint.SetRateLimit("")
	}
}

// arrived counts what a limited endpoint gets from instances that were not disturbed.
func (checks *checks) arrived(endpoint peridotpath.EndpointID, id peridotpath.RequestID) {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	limited, asked, now := checks.limits[endpoint], checks.asked[id], time.Now()
	if limited == nil || asked.Instance == nil || now.Sub(limited.since) < contact+slack || !asked.Instance.inTouch(now) {
		return
	}
	limited.arrivals = append(limited.arrivals, now)
	for now.Sub(limited.arrivals[0]) > limitSpan {
		limited.arrivals = limited.arrivals[1:]
	}
	allowed := limitFactor*float64(limited.limit)*limitSpan.Seconds() + limitSlack
	if float64(len(limited.arrivals)) > allowed && !limited.broken {
		limited.broken = true
		checks.breaks("%s names a limit of %v and got %d requests in %v", endpoint, limited.limit, len(limited.arrivals), limitSpan)
	}
}
