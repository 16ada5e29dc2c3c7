package relay

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/shutdown"
	"peridotpath.example/peridotpath/telemetry"
)

// timeLeft returns the time until the request's deadline, or until this process writes no more
// answers if that is earlier.
func (exchange *exchange) timeLeft(now time.Time) time.Duration {
	left := exchange.deadline.Sub(now)
	if untilExit := exchange.relay.ExitNotice.TimeLeft(now); untilExit > 0 {
		return min(left, untilExit)
	}
	return left
}

// refuseForExit returns the result of a request that this instance can't answer before it exits. One
// that was not sent is refused, so that its caller turns to another instance.
func (exchange *exchange) refuseForExit() *peridotpath.Result {
	telemetry.CountExitRefusal(exchange.mayHaveRun)
	return exchange.refusal(peridotpath.CodeStopping, shutdown.RetryAfter)
}

// refuseQueuedForExit returns the result of a prompt that leaves the prefill queue because this process
// exits. One that can still meet its target keeps its place at other instances; one that can't
// returns when there is capacity, like any other that is refused.
func (exchange *exchange) refuseQueuedForExit(outlook *placement.QueueOutlook, now time.Time) *peridotpath.Result {
	telemetry.CountExitRefusal(exchange.mayHaveRun)
	bookings := exchange.relay.Bookings
	if exchange.mayHaveRun || bookings == nil || outlook.MissesTarget() {
		return exchange.refusal(peridotpath.CodeStopping, exchange.bookReturn(outlook, now))
	}
	return exchange.refusal(peridotpath.CodeStopping, bookings.HandOver(exchange.fingerprint(), exchange.prefillTime, now))
}

// isKeptByExit reports whether a request for which no plan was found has one where this process does
// not exit.
func isKeptByExit(work placement.Work, isPlanned func(work placement.Work) bool) bool {
	if work.UntilExit == 0 {
		return false
	}
	work.UntilExit = 0
	return isPlanned(work)
}

// refuseUnplanned returns the result of a request for which no plan was found.
func (exchange *exchange) refuseUnplanned(work placement.Work, retryAfter time.Duration, isPlanned func(work placement.Work) bool) *peridotpath.Result {
	if isKeptByExit(work, isPlanned) {
		return exchange.refuseForExit()
	}
	return exchange.refusal(peridotpath.CodeCannotFinish, retryAfter)
}
