package dispatch

import (
	"context"
	"errors"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/service"
	"peridotpath.example/peridotpath/telemetry"
)

// defaultRetryAfter is the Retry-After of failures that have no better estimate.
const defaultRetryAfter = time.Second

// attempt is what one placement came to.
type attempt struct {
	outcome decide.Outcome
	reason  telemetry.RetryReason
	// result is nil for a whole answer.
	result *peridotpath.Result
	// started says that content has gone to the caller: nothing is run again.
	started bool
	// tokens is the length of the answer, as far as it was delivered.
	tokens peridotpath.Tokens
}

// failed is an attempt that failed at the endpoint and may have run.
func failed(work *decide.Work, reason telemetry.RetryReason, code peridotpath.Code, detail string) attempt {
	return attempt{outcome: decide.Failed, reason: reason, result: mayHaveRun(work, code, detail)}
}

// delivered is an attempt whose whole answer was written to the caller; err
// says that the caller had left by then.
func delivered(tokens peridotpath.Tokens, err error) attempt {
	if err != nil {
		return attempt{outcome: decide.Abandoned, started: true, tokens: tokens, result: callerGone()}
	}
	return attempt{outcome: decide.Finished, started: true, tokens: tokens}
}

// sendFailed sorts a failure before the answer's headers, of an engine or a
// plain service.
func (dispatcher *Dispatcher) sendFailed(ctx context.Context, work *decide.Work, endpoint peridotpath.EndpointID, err error) attempt {
	dispatcher.noteLeaving(endpoint, err)
	unreached := engine.ErrNotConnected.Has(err) || service.ErrUnreached.Has(err)
	refused := engine.ErrRefused.Has(err) || service.ErrRefused.Has(err)
	detail := err.Error()
	switch {
	case unreached && ctx.Err() == nil:
		return attempt{outcome: decide.NotConnected, reason: telemetry.RetryUnreached, result: failure(peridotpath.CodeNoEndpoint, detail)}
	case refused:
		return attempt{outcome: decide.Rejected, reason: telemetry.RetryRefused, result: failure(peridotpath.CodeEndpointRefused, detail)}
	case engine.ErrBadRequest.Has(err):
		return attempt{outcome: decide.Finished, result: failure(peridotpath.CodeBadRequest, detail)}
	case ctx.Err() != nil:
		return attempt{outcome: decide.Abandoned, result: ended(ctx, work, unreached)}
	default:
		return failed(work, telemetry.RetryFailed, peridotpath.CodeEndpointFailed, detail)
	}
}

// noteLeaving keeps new work from an endpoint that says it is leaving: the
// membership list may go on naming it as live for half a minute.
func (dispatcher *Dispatcher) noteLeaving(endpoint peridotpath.EndpointID, err error) {
	leaving := engine.ErrLeaving.Has(err) || service.ErrLeaving.Has(err)
	if leaving && dispatcher.Draining != nil {
		dispatcher.Draining(time.Now(), endpoint)
	}
}

func failure(code peridotpath.Code, detail string) *peridotpath.Result {
	return &peridotpath.Result{Code: code, RetryAfter: defaultRetryAfter, Detail: detail}
}

func callerGone() *peridotpath.Result {
	return &peridotpath.Result{Code: peridotpath.CodeCallerGone}
}

// mayHaveRun is the result of work that an endpoint may have run. For work that
// is not idempotent the caller must learn that the outcome is unknown: any
// other code would invite a second run.
func mayHaveRun(work *decide.Work, code peridotpath.Code, detail string) *peridotpath.Result {
	if work.Profile.Idempotent {
		return failure(code, detail)
	}
	return &peridotpath.Result{Code: peridotpath.CodeOutcomeUnknown, Detail: detail}
}

// ended is the result of a request whose context ended: its time ran out or
// its caller left. notRun says that it certainly did not run.
func ended(ctx context.Context, work *decide.Work, notRun bool) *peridotpath.Result {
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return callerGone()
	case notRun:
		return failure(peridotpath.CodeQueueTimeout, "")
	default:
		return mayHaveRun(work, peridotpath.CodeDeadline, "time ran out")
	}
}
