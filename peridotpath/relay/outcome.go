package relay

import (
	"context"
	"errors"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/failover"
	"peridotpath.example/peridotpath/retrybudget"
	"peridotpath.example/peridotpath/shutdown"
	"peridotpath.example/peridotpath/telemetry"
)

// failedAnswer is an endpoint's error answer, forwarded to the caller if all attempts
// fail.
type failedAnswer struct {
	answer *Answer
	body   []byte
}

// outcome is how one attempt ended.
type outcome int

const (
	outcomeDone outcome = iota
	// outcomeUnsent: no byte reached the endpoint.
	outcomeUnsent
	// outcomeRefused: the endpoint guarantees not to have run the request.
	outcomeRefused
	// outcomeMisdirected: the address belongs to another endpoint now.
	outcomeMisdirected
	// outcomeFailed: the attempt failed; the request may have run.
	outcomeFailed
	// outcomeNoMemory: the KV cache that the request needs could not be reserved.
	outcomeNoMemory
	// outcomeErrored: the endpoint ran the request and answered with an error.
	outcomeErrored
	// outcomeBroken: the connection failed; the request may have run.
	outcomeBroken
	// outcomeWithdrawn: an endpoint of the plan announced before the request was sent that it
	// takes none.
	outcomeWithdrawn
)

var outcomeNames = [...]string{"done", "unsent", "refused", "elsewhere", "failed", "no_memory", "errored", "broken", "withdrawn"}

func (outcome outcome) String() string { return outcomeNames[outcome] }

// isUnattempted reports whether nothing was sent to the primary. Such an attempt is made again
// at other endpoints and does not count.
func (outcome outcome) isUnattempted() bool {
	return outcome == outcomeNoMemory || outcome == outcomeWithdrawn
}

// recordFailure logs a failed attempt and updates the state of its endpoint.
func (exchange *exchange) recordFailure(ctx context.Context, outcome outcome, err error) {
	telemetry.CountFailedAttempt(outcome.String())
	failedAt, givenUp := time.Now(), doubtOf(err)
	if givenUp != failover.DoubtNone {
		telemetry.CountAttemptGivenUp(givenUp.String())
	}
	crashed := outcome == outcomeBroken && exchange.endpointGone
	if outcome == outcomeBroken {
		failedAt = exchange.endedAt
	}
	exchange.logFailure(outcome, failedAt, givenUp, crashed, err)
	if outcome.isUnattempted() {
		// No request was sent, and the primary did not fail.
		exchange.attemptCount--
		return
	}
	now, key := time.Now(), exchange.plan.Primary.Key()
	if crashed {
		exchange.recordCrash(failedAt)
	}
	switch outcome {
	case outcomeRefused:
		exchange.sentCount++
		exchange.attributeRefusal(key, now)
	case outcomeErrored:
		exchange.sentCount++
		exchange.mayHaveRun = true
		exchange.recordSurvival()
	case outcomeFailed, outcomeBroken:
		exchange.sentCount++
		exchange.mayHaveRun = true
		if givenUp != failover.DoubtLinkLost && !errors.Is(ctx.Err(), context.Canceled) {
			// Neither this instance's links nor a caller that leaves are the endpoint's fault.
			exchange.ejectFailed(key, now)
		}
	case outcomeUnsent:
		unsent := failover.UnsentAttempt{IsEndedHere: ctx.Err() != nil, Waited: now.Sub(exchange.sentAt)}
		if unsent.BlamesEndpoint() {
			exchange.ejectFailed(key, now)
		}
	case outcomeMisdirected:
		exchange.ejectFailed(key, now)
	}
	if exchange.excluded == nil {
		exchange.excluded = map[peridotpath.EndpointKey]bool{}
	}
	exchange.excluded[key] = true
}

// logFailure logs a failed attempt. Each crash of an endpoint is logged: it is evidence against what
// it ran.
func (exchange *exchange) logFailure(outcome outcome, failedAt time.Time, givenUp failover.Doubt, crashed bool, err error) {
	leftOut, allowed := exchange.relay.FailureSampler.Take("attempt_"+outcome.String(), time.Now())
	if !allowed && !crashed {
		return
	}
	event := exchange.relay.Log.Info().Str("request", string(exchange.request.ID)).Stringer("content", exchange.fingerprint()).
		Str("endpoint", string(exchange.plan.Primary.ID)).Int("try", exchange.attemptCount).Bool("endpoint_gone", crashed).
		Dur("took", time.Since(exchange.request.ArrivedAt)).Dur("waited", exchange.sentAt.Sub(exchange.request.ArrivedAt)).
		Stringer("outcome", outcome).Str("given_up", givenUp.String()).Dur("silent", exchange.silentFor(failedAt)).
		Int("events", exchange.eventCount).Str("carrier", exchange.carrier()).
		Str("route", string(exchange.route.Name)).Str("customer", string(exchange.customer)).Str("parts", exchange.partsForLog()).Err(err)
	if exchange.head != nil {
		event = event.Stringer("head", exchange.head)
	}
	telemetry.AddLeftOut(event, leftOut).Msg("attempt_failed")
}

// attributeRefusal ejects the endpoint that caused a refusal: the helper that the primary
// could not reach, or else the primary, which is full. A refusal after this instance gave back
// the memory at the helpers is nobody's fault: the helper that it names lacks the reservation.
func (exchange *exchange) attributeRefusal(key peridotpath.EndpointKey, now time.Time) {
	if exchange.memoryReleased {
		return
	}
	for _, helper := range exchange.plan.Helpers {
		if exchange.blamedHelper != "" && (exchange.blamedHelper == string(helper.ID) || exchange.blamedHelper == helper.Address.String()) {
			exchange.relay.LoadTracker.EjectFailed(helper.Key(), now)
			return
		}
	}
	exchange.relay.LoadTracker.EjectFull(key, now)
}

// contextResult returns the result of a request whose deadline has passed, whose caller has
// disconnected or that the exit of this process ends; nil while the request may continue.
func (exchange *exchange) contextResult(ctx context.Context) *peridotpath.Result {
	switch {
	case ctx.Err() == nil:
		return nil
	case shutdown.HasEnded(ctx):
		return exchange.refuseForExit()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		if !exchange.mayHaveRun {
			return &peridotpath.Result{Code: peridotpath.CodeCannotFinish, RetryAfter: shortRetryAfter}
		}
		return &peridotpath.Result{Code: peridotpath.CodeDeadline}
	default:
		return &peridotpath.Result{Code: peridotpath.CodeCallerGone}
	}
}

// checkRetry returns nil if another attempt may follow, else the result that ends the
// request.
func (exchange *exchange) checkRetry(ctx context.Context, outcome outcome) *peridotpath.Result {
	if outcome.isUnattempted() {
		return exchange.checkHold(time.Now())
	}
	final := exchange.finalResult(outcome)
	if denial := exchange.failoverState().Denied(); denial != failover.DeniedNothing {
		exchange.denied = string(denial)
		return final
	}
	// An attempt that reached no endpoint adds no load, so its retry takes nothing from
	// the budget.
	if exchange.sentCount > 0 || outcome == outcomeMisdirected {
		limit := exchange.retryWaitLimit(time.Now())
		if !exchange.relay.RetryBudget.AwaitRetry(ctx, exchange.service, limit) {
			if errors.Is(ctx.Err(), context.Canceled) {
				return exchange.contextResult(ctx)
			}
			telemetry.CountRetryBudgetExhausted()
			exchange.denied = "budget"
			return final
		}
	}
	return nil
}

// failoverState returns the state that decides about further attempts while none runs.
func (exchange *exchange) failoverState() failover.Request {
	return failover.Request{
		IsRepeatable: exchange.route.Repeatable(), MayHaveRun: exchange.mayHaveRun, Attempts: exchange.attemptCount, MaxAttempts: maxTotalAttempts,
		Sent: exchange.sentCount, MaxSent: exchange.route.MaxAttempts,
	}
}

// checkHold returns the refusal of a request that silent engines have kept from being sent for too
// long; nil where it may be tried again. Another instance may have engines that answer.
func (exchange *exchange) checkHold(now time.Time) *peridotpath.Result {
	if exchange.unansweredReservations == 0 || exchange.mayStillBeHeld() || exchange.untilHoldLimit(now) > 0 {
		return nil
	}
	return exchange.refusal(peridotpath.CodeCannotFinish, shortRetryAfter)
}

// mayStillBeHeld reports whether no limit of holding applies: the request was sent, or its route has
// no target.
func (exchange *exchange) mayStillBeHeld() bool {
	return exchange.sentCount > 0 || exchange.streamBegun || exchange.lastEventID != "" || exchange.route.TTFTTarget == 0
}

func (exchange *exchange) untilHoldLimit(now time.Time) time.Duration {
	work := exchange.placementWork(now)
	return work.UntilHoldLimit()
}

// minReservationTime is how long a reservation is awaited at least. Engines answer within milliseconds.
const minReservationTime = 50 * time.Millisecond

// reservationLimit returns how long an attempt may await its reservations; zero for their own timeout.
// A prompt that left its queue later than the limit of holding has that timeout in its first attempt.
func (exchange *exchange) reservationLimit(now time.Time) time.Duration {
	left := exchange.untilHoldLimit(now)
	isFirst := exchange.attemptCount <= 1 && exchange.unansweredReservations == 0
	if exchange.mayStillBeHeld() || isFirst && left <= 0 {
		return 0
	}
	return max(left, minReservationTime)
}

// retryWaitLimit returns how long the request may wait for a lent retry.
func (exchange *exchange) retryWaitLimit(now time.Time) time.Duration {
	wait := failover.RetryWait{
		Longest: retrybudget.MaxWait, TimeLeft: exchange.timeLeft(now), HasBegun: exchange.streamBegun,
		SinceHeard: now.Sub(exchange.request.ArrivedAt),
	}
	if exchange.streamBegun {
		wait.SinceHeard = now.Sub(exchange.lastEventAt)
	}
	if exchange.route.Streaming {
		wait.ClientIdleTimeout = exchange.route.ClientIdleTimeout
	}
	return wait.Limit()
}

func (exchange *exchange) finalResult(outcome outcome) *peridotpath.Result {
	switch {
	case exchange.streamBegun:
		return &peridotpath.Result{Code: peridotpath.CodeStreamCut}
	case exchange.mayHaveRun:
		return &peridotpath.Result{Code: peridotpath.CodeEndpointFailed}
	default:
		return &peridotpath.Result{
			Code: peridotpath.CodeEndpointRefused, RetryAfter: exchange.refusedRetryAfter(time.Now()), Detail: outcome.String(),
		}
	}
}
