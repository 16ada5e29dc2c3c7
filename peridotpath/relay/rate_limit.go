package relay

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/placement"
)

// recordRateLimit records the rate limit that the attempt's endpoint announces.
func (exchange *exchange) recordRateLimit(answer *Answer) {
	primary, now := exchange.plan.Primary, time.Now()
	switch {
	case !answer.isFromEndpoint():
	case answer.RateLimit != nil:
		exchange.relay.Throttle.RecordLimit(primary, *answer.RateLimit, now)
	case answer.HasNoRateLimit:
		exchange.relay.Throttle.RecordNoLimit(primary, exchange.sentAt, now)
	}
}

// rateLimitFilter returns a function that reports whether an endpoint's rate limit admits a
// request now. The function records the shortest wait of the endpoints whose limit does
// not.
func (exchange *exchange) rateLimitFilter(now time.Time) func(peridotpath.EndpointKey) bool {
	throttle := exchange.relay.Throttle
	if throttle.HasNoLimits() {
		return func(peridotpath.EndpointKey) bool { return true }
	}
	unreported := exchange.relay.LoadTracker.Snapshot(now).UnreportedRequests()
	return func(key peridotpath.EndpointKey) bool {
		wait := throttle.TimeUntilAllowed(key, unreported, now)
		if wait > 0 {
			exchange.skipped.limitWait.record(wait)
		}
		return wait == 0
	}
}

// takeRateLimits counts the plan against its endpoints' rate limits, and reports whether they
// admit it.
func (exchange *exchange) takeRateLimits(plan *placement.Plan, now time.Time) bool {
	if exchange.relay.Throttle.HasNoLimits() {
		return true
	}
	keys := []peridotpath.EndpointKey{plan.Primary.Key()}
	for _, helper := range plan.Helpers {
		keys = append(keys, helper.Key())
	}
	return exchange.relay.Throttle.TakeTokens(keys, now)
}
