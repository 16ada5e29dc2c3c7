package relay

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/booking"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/telemetry"
)

// claimReturn reports whether the request was refused before and returns at its booked time.
func (exchange *exchange) claimReturn(now time.Time) bool {
	ledger := exchange.relay.Bookings
	if ledger == nil || exchange.attemptCount > 0 || ledger.IsEmpty() {
		return false
	}
	claimed := ledger.Claim(exchange.fingerprint(), now)
	if claimed {
		telemetry.CountReturn()
	}
	return claimed
}

// queueOutlook predicts for a queued prompt when it will have been prefilled.
func (exchange *exchange) queueOutlook(prefillAhead time.Duration, isBooked bool, now time.Time) placement.QueueOutlook {
	capacity := exchange.relay.LoadTracker.PrefillCapacity(exchange.engineCount, now)
	work := exchange.placementWork(now)
	return placement.QueueOutlook{
		Work: work, UntilPrefilled: time.Duration(float64(prefillAhead+exchange.prefillTime) / max(capacity, 1)),
		Decode: placement.Model{Rates: exchange.spec.Engine}.ShortestDecodeTime(work), IsBooked: isBooked, IsResumed: exchange.streamBegun,
	}
}

// refuseQueued refuses a prompt that waits in vain, and books its return; nil where it may go on
// waiting.
func (exchange *exchange) refuseQueued(outlook *placement.QueueOutlook, now time.Time) *peridotpath.Result {
	verdict := outlook.Decide()
	switch verdict {
	case placement.QueueWait:
		return nil
	case placement.QueueExit:
		return exchange.refuseQueuedForExit(outlook, now)
	}
	code, reason := peridotpath.CodeCannotFinish, telemetry.RefusedAtOnce
	if verdict == placement.QueueTimeout {
		code = peridotpath.CodeQueueTimeout
	}
	if outlook.Work.Waited > refusedAtOnce {
		reason = telemetry.RefusedAfterWait
	}
	telemetry.CountLongRefusal(reason)
	return exchange.refusal(code, exchange.bookReturn(outlook, now))
}

// refusedAtOnce is the time from arrival within which a refusal counts as one without a wait.
const refusedAtOnce = 50 * time.Millisecond

// bookReturn books the return of a request that is refused and returns the time until then. A
// customer above its share returns when its share has room, if that is later.
func (exchange *exchange) bookReturn(outlook *placement.QueueOutlook, now time.Time) time.Duration {
	wait := max(shortRetryAfter, outlook.UntilRoom())
	if exchange.sharesTime() {
		wait = max(wait, exchange.relay.FairShare.RefuseQueued(exchange.customer, time.Now()))
	}
	if exchange.relay.Bookings == nil || exchange.mayHaveRun {
		return wait
	}
	capacity := exchange.relay.LoadTracker.LastPrefillCapacity()
	retryAfter, booked := exchange.relay.Bookings.Book(booking.Request{
		Fingerprint: exchange.fingerprint(), Earliest: now.Add(wait), Work: exchange.prefillTime, Capacity: capacity,
		Instances: 1 + exchange.relay.LoadTracker.LivePeerCount(now),
	}, now)
	if exchange.relay.AdmissionSampler.Allow(now) {
		exchange.relay.Log.Info().Str("request", string(exchange.request.ID)).Bool("booked", booked).Dur("reading", exchange.prefillTime).
			Dur("retry_after", retryAfter).Float64("capacity", capacity).Msg("return_booked")
	}
	return retryAfter
}
