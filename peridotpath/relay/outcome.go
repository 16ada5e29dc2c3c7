package relay

import (
	"context"
	"errors"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/telemetry"
)

// failedAnswer is an endpoint's own failure, kept to be handed on if no other
// endpoint does better.
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
	// outcomeRefused: the endpoint promises not to have run the request.
	outcomeRefused
	// outcomeElsewhere: another endpoint has the address now.
	outcomeElsewhere
	// outcomeFailed: the request may have run.
	outcomeFailed
	// outcomeNoMemory: the memory that the request needs could not be reserved.
	outcomeNoMemory
	// outcomeErrored: the endpoint ran it and answered with a failure of its own.
	outcomeErrored
	// outcomeBroken: the connection broke off; the request may have run.
	outcomeBroken
)

var outcomeNames = [...]string{"done", "unsent", "refused", "elsewhere", "failed", "no_memory", "errored", "broken"}

func (outcome outcome) String() string { return outcomeNames[outcome] }

// note draws what an attempt's failure says of its endpoint.
func (exchange *exchange) note(ctx context.Context, outcome outcome, err error) {
	telemetry.Attempt(outcome.String())
	gone := outcome == outcomeBroken && exchange.relay.departed(ctx, exchange.plan.Writer)
	exchange.relay.Log.Info().Str("request", string(exchange.request.ID)).Stringer("content", exchange.fingerprint()).
		Str("endpoint", string(exchange.plan.Writer.ID)).Int("try", exchange.tries).Bool("endpoint_gone", gone).
		Stringer("outcome", outcome).Int("events", exchange.events).Err(err).Msg("attempt_failed")
	if outcome == outcomeNoMemory {
		// The writer has nothing to do with it, and nothing was sent.
		exchange.tries--
		return
	}
	now, key := time.Now(), exchange.plan.Writer.Key()
	if gone {
		exchange.noteEnd(now)
	}
	switch outcome {
	case outcomeRefused:
		exchange.sent++
		exchange.noteRefusal(key, now)
	case outcomeErrored:
		exchange.sent++
		exchange.mayHaveRun = true
		exchange.noteSurvival()
	case outcomeFailed, outcomeBroken:
		exchange.sent++
		exchange.mayHaveRun = true
		exchange.relay.Book.EjectFailed(key, now)
	case outcomeUnsent, outcomeElsewhere:
		exchange.relay.Book.EjectFailed(key, now)
	}
	if exchange.avoid == nil {
		exchange.avoid = map[peridotpath.EndpointKey]bool{}
	}
	exchange.avoid[key] = true
}

// noteRefusal notes who is to blame for a refusal: the endpoint, which is full,
// or a helper that it could not reach.
func (exchange *exchange) noteRefusal(key peridotpath.EndpointKey, now time.Time) {
	for _, helper := range exchange.plan.Helpers {
		if exchange.fault != "" && (exchange.fault == string(helper.ID) || exchange.fault == helper.Address.String()) {
			exchange.relay.Book.EjectFailed(helper.Key(), now)
			return
		}
	}
	exchange.relay.Book.EjectFull(key, now)
}

// ended reports why the request has no time or no caller left.
func (exchange *exchange) ended(ctx context.Context) *peridotpath.Result {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		if !exchange.mayHaveRun {
			return &peridotpath.Result{Code: peridotpath.CodeCannotFinish, RetryAfter: shortReturn}
		}
		return &peridotpath.Result{Code: peridotpath.CodeDeadline}
	default:
		return &peridotpath.Result{Code: peridotpath.CodeCallerGone}
	}
}

// again decides whether another attempt may follow; it returns the result that
// ends the request where none may.
func (exchange *exchange) again(outcome outcome) *peridotpath.Result {
	if outcome == outcomeNoMemory {
		return nil
	}
	final := exchange.finalResult(outcome)
	if exchange.mayHaveRun && !exchange.route.Repeatable() {
		return final
	}
	if exchange.tries >= maxTries || exchange.sent >= max(exchange.route.MaxAttempts, 1) {
		return final
	}
	// What never reached an endpoint adds nothing to the load of the others.
	if exchange.sent > 0 || outcome == outcomeElsewhere {
		if !exchange.relay.Budget.Spend(exchange.service, time.Now()) {
			telemetry.BudgetSpent()
			return final
		}
	}
	return nil
}

func (exchange *exchange) finalResult(outcome outcome) *peridotpath.Result {
	switch {
	case exchange.begun:
		return &peridotpath.Result{Code: peridotpath.CodeStreamCut}
	case exchange.mayHaveRun:
		return &peridotpath.Result{Code: peridotpath.CodeEndpointFailed}
	default:
		return &peridotpath.Result{
			Code: peridotpath.CodeEndpointRefused, RetryAfter: max(exchange.retryAfter, shortReturn), Detail: outcome.String(),
		}
	}
}
