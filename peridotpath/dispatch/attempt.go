package dispatch

import (
	"context"
	"errors"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/reach"
	"peridotpath.example/peridotpath/service"
	"peridotpath.example/peridotpath/telemetry"
)

// defaultRetryAfter is the Retry-After of failures without an estimate of their own.
const defaultRetryAfter = time.Second

// attempt is the outcome of one placement.
type attempt struct {
	outcome decide.Outcome
	reason  telemetry.RetryReason
	// result is nil for a whole answer.
	result *peridotpath.Result
	// contentSent is set once content was sent to the caller; the work is then not retried.
	contentSent bool
	// tokens is the number of answer tokens that were delivered.
	tokens peridotpath.Tokens
}

// failedAttempt returns an attempt that failed at the endpoint and may have run.
func failedAttempt(work *decide.Work, reason telemetry.RetryReason, code peridotpath.Code, detail string) attempt {
	return attempt{outcome: decide.Failed, reason: reason, result: possiblyRanResult(work, code, detail)}
}

// deliveredAttempt returns an attempt whose whole answer was written to the caller. A
// non-nil err means that the caller disconnected before the write.
func deliveredAttempt(tokens peridotpath.Tokens, err error) attempt {
	if err != nil {
		return attempt{outcome: decide.Abandoned, contentSent: true, tokens: tokens, result: callerGoneResult()}
	}
	return attempt{outcome: decide.Finished, contentSent: true, tokens: tokens}
}

// classifySendError returns the attempt for an error of an engine or a plain service
// that came before the response headers.
func (dispatcher *Dispatcher) classifySendError(ctx context.Context, work *decide.Work, endpoint peridotpath.EndpointID, err error) attempt {
	dispatcher.reportDraining(endpoint, err)
	dispatcher.reportBackoff(endpoint, err)
	notReached := engine.ErrNotConnected.Has(err) || service.ErrUnreached.Has(err)
	refused := engine.ErrRefused.Has(err) || service.ErrRefused.Has(err)
	detail := err.Error()
	switch {
	case notReached && ctx.Err() == nil && reach.ErrCutOff.Has(err):
		return attempt{outcome: decide.CutOff, reason: telemetry.RetryUnreached, result: failureResult(peridotpath.CodeUnreachable, detail)}
	case notReached && ctx.Err() == nil:
		return attempt{outcome: decide.NotConnected, reason: telemetry.RetryUnreached, result: failureResult(peridotpath.CodeNoEndpoint, detail)}
	case refused:
		return attempt{outcome: decide.Rejected, reason: telemetry.RetryRefused, result: failureResult(peridotpath.CodeEndpointRefused, detail)}
	case engine.ErrBadRequest.Has(err):
		return attempt{outcome: decide.Finished, result: failureResult(peridotpath.CodeBadRequest, detail)}
	case ctx.Err() != nil:
		return attempt{outcome: decide.Abandoned, result: contextEndedResult(ctx, work, notReached)}
	default:
		return failedAttempt(work, telemetry.RetryFailed, peridotpath.CodeEndpointFailed, detail)
	}
}

// reportDraining excludes an endpoint that reports its shutdown from new work: the
// membership list may still show it as live for half a minute.
func (dispatcher *Dispatcher) reportDraining(endpoint peridotpath.EndpointID, err error) {
	leaving := engine.ErrLeaving.Has(err) || service.ErrLeaving.Has(err)
	if leaving && dispatcher.OnEndpointDraining != nil {
		dispatcher.OnEndpointDraining(time.Now(), endpoint)
	}
}

// reportBackoff keeps work away from an endpoint that wants none for a time.
func (dispatcher *Dispatcher) reportBackoff(endpoint peridotpath.EndpointID, err error) {
	var backoff *outbound.BackoffError
	if errors.As(err, &backoff) && dispatcher.OnEndpointBackoff != nil {
		dispatcher.Log.Info().Str("event", "endpoint_backoff").Str("endpoint", string(endpoint)).Dur("retry_after", backoff.Delay).Send()
		dispatcher.OnEndpointBackoff(time.Now(), endpoint, backoff.Delay)
	}
}

func failureResult(code peridotpath.Code, detail string) *peridotpath.Result {
	return &peridotpath.Result{Code: code, RetryAfter: defaultRetryAfter, Detail: detail}
}

func callerGoneResult() *peridotpath.Result {
	return &peridotpath.Result{Code: peridotpath.CodeCallerGone}
}

// possiblyRanResult returns the result of work that an endpoint may have run. For work
// that is not idempotent the outcome is reported as unknown: after any other code
// the caller would retry, and the work would run twice.
func possiblyRanResult(work *decide.Work, code peridotpath.Code, detail string) *peridotpath.Result {
	if work.Profile.Idempotent {
		return failureResult(code, detail)
	}
	return &peridotpath.Result{Code: peridotpath.CodeOutcomeUnknown, Detail: detail}
}

// contextEndedResult returns the result of a request whose context ended, by its
// deadline or because its caller disconnected. notRun means that it certainly did not
// run.
func contextEndedResult(ctx context.Context, work *decide.Work, notRun bool) *peridotpath.Result {
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return callerGoneResult()
	case notRun:
		return failureResult(peridotpath.CodeQueueTimeout, "")
	default:
		return possiblyRanResult(work, peridotpath.CodeDeadline, "time ran out")
	}
}
