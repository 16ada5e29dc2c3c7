package dispatch

import (
	"context"
	"errors"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/telemetry"
)

// runAttempts places the work, attempts it at the endpoint, and retries where that is
// safe.
func (dispatcher *Dispatcher) runAttempts(ctx context.Context, work *decide.Work, maySend func() error, attemptAt func(context.Context, decide.Decision) attempt) *peridotpath.Result {
	dispatcher.init()
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	decision := dispatcher.awaitDecision(ctx, work, func() decide.Decision {
		return dispatcher.Scheduler.Submit(time.Now(), work)
	})
	// lastRun is the result of the last attempt that may have run at an endpoint.
	var lastRun *peridotpath.Result
	for {
		if decision.Verdict == decide.Refuse {
			return resultForCaller(decision.Result, lastRun)
		}
		attempt := checkMaySend(maySend)
		if attempt.result == nil {
			attempt = attemptAt(ctx, decision)
		}
		dispatcher.finishPlacement(work, attempt.outcome, attempt.tokens)
		dispatcher.logFailedAttempt(work, decision.Endpoint.ID, &attempt)
		if attempt.outcome == decide.Failed {
			lastRun = attempt.result
		}
		if attempt.result == nil || !mayRetry(ctx, work, &attempt) {
			return resultForCaller(attempt.result, lastRun)
		}
		decision = dispatcher.awaitDecision(ctx, work, func() decide.Decision {
			return dispatcher.Scheduler.Retry(time.Now(), work, attempt.result)
		})
		if decision.Verdict == decide.Place {
			telemetry.CountRetry(attempt.reason)
		}
	}
}

// resultForCaller returns the result for the caller. If the last attempt did not run, but
// an earlier one may have, the caller gets the result of the earlier attempt: after "not
// run" the caller would send the request again as a new one.
func resultForCaller(result, lastRun *peridotpath.Result) *peridotpath.Result {
	if result != nil && lastRun != nil && result.Code.NotRun() {
		return lastRun
	}
	return result
}

// checkMaySend calls maySend, if it is set, before an attempt is sent. If maySend
// fails, the returned attempt has the outcome NeverSent and the result for the error;
// otherwise it has no result, and the attempt may be sent.
func checkMaySend(maySend func() error) attempt {
	if maySend == nil {
		return attempt{}
	}
	err := maySend()
	if err == nil {
		return attempt{}
	}
	var result *peridotpath.Result
	if !errors.As(err, &result) {
		result = failureResult(peridotpath.CodePlatformDown, err.Error())
	}
	return attempt{outcome: decide.NeverSent, result: result}
}

// mayRetry reports whether the work may be retried without running twice. Work
// that certainly did not run may be; work that may have run only if it is
// idempotent and no content was sent to its caller.
func mayRetry(ctx context.Context, work *decide.Work, attempt *attempt) bool {
	if attempt.contentSent || ctx.Err() != nil {
		return false
	}
	switch attempt.outcome {
	case decide.NotConnected, decide.CutOff, decide.Rejected:
		return true
	case decide.Failed:
		return work.Profile.Idempotent
	default:
		return false
	}
}

func (dispatcher *Dispatcher) logFailedAttempt(work *decide.Work, endpoint peridotpath.EndpointID, attempt *attempt) {
	if attempt.result == nil {
		return
	}
	dispatcher.Log.Info().Str("request", string(work.ID)).Str("endpoint", string(endpoint)).
		Int("attempt", work.Attempts).Int("code", int(attempt.result.Code)).
		Str("detail", attempt.result.Detail).Msg("attempt_failed")
}
