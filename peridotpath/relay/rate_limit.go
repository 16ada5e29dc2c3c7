package relay

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/placement"
)

// noteLimit notes what the attempt's endpoint says that it takes.
func (exchange *exchange) noteLimit(answer *Answer) {
	writer, now := exchange.plan.Writer, time.Now()
	switch {
	case answer.Elsewhere || !answer.NotRun && !answer.Genuine:
		// It is not this endpoint's.
	case answer.Limit != nil:
		exchange.relay.Throttle.Named(writer, *answer.Limit, now)
	case answer.NoLimit:
		exchange.relay.Throttle.Unnamed(writer, exchange.sentAt, now)
	}
}

// limits returns what reports whether an endpoint takes a request now by what it has
// named. It notes when the first that does not will.
func (exchange *exchange) limits(now time.Time) func(peridotpath.EndpointKey) bool {
	throttle := exchange.relay.Throttle
	if throttle.Idle() {
		return func(peridotpath.EndpointKey) bool { return true }
	}
	contenders := exchange.relay.Book.View(now).Unheard()
	return func(key peridotpath.EndpointKey) bool {
		wait := throttle.Wait(key, contenders, now)
		if wait > 0 && (exchange.limited == 0 || wait < exchange.limited) {
			exchange.limited = wait
		}
		return wait == 0
	}
}

// noEndpoint refuses a request that no endpoint may take.
func (exchange *exchange) noEndpoint() *peridotpath.Result {
	if exchange.limited > 0 {
		return exchange.refusal(peridotpath.CodeLimited, max(shortReturn, exchange.limited))
	}
	return exchange.refusal(peridotpath.CodeNoEndpoint, shortReturn)
}

// take counts the plan against what its endpoints have named, and reports whether they
// still take it.
func (exchange *exchange) take(plan *placement.Plan, now time.Time) bool {
	if exchange.relay.Throttle.Idle() {
		return true
	}
	keys := []peridotpath.EndpointKey{plan.Writer.Key()}
	for _, helper := range plan.Helpers {
		keys = append(keys, helper.Key())
	}
	return exchange.relay.Throttle.Take(keys, now)
}
