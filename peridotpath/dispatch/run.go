package dispatch

import (
	"context"
	"errors"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/telemetry"
)

// run has the work placed, tries it there, and repeats it where that is safe.
func (dispatcher *Dispatcher) run(ctx context.Context, work *decide.Work, maySend func() error, try func(context.Context, decide.Decision) attempt) *peridotpath.Result {
	dispatcher.start()
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	decision := dispatcher.await(ctx, work, func() decide.Decision {
		return dispatcher.Scheduler.Submit(time.Now(), work)
	})
	// ran is the result of the last attempt that an endpoint may have run.
	var ran *peridotpath.Result
	for {
		if decision.Verdict == decide.Refuse {
			return truthful(decision.Result, ran)
		}
		attempt := forbidden(maySend)
		if attempt.result == nil {
			attempt = try(ctx, decision)
		}
		dispatcher.done(work, attempt.outcome, attempt.tokens)
		dispatcher.logAttempt(work, decision.Endpoint.ID, &attempt)
		if attempt.outcome == decide.Failed {
			ran = attempt.result
		}
		if attempt.result == nil || !mayRepeat(ctx, work, &attempt) {
			return truthful(attempt.result, ran)
		}
		decision = dispatcher.await(ctx, work, func() decide.Decision {
			return dispatcher.Scheduler.Retry(time.Now(), work, attempt.result)
		})
		if decision.Verdict == decide.Place {
			telemetry.CountRetry(attempt.reason)
		}
	}
}

// truthful returns what the caller is told in the end. A repeat that is refused
// did not run, but an earlier attempt may have: a caller told "not run" would
// send the request once more as if it were new, so it gets that attempt's result.
func truthful(result, ran *peridotpath.Result) *peridotpath.Result {
	if result != nil && ran != nil && result.Code.NotRun() {
		return ran
	}
	return result
}

// forbidden returns an attempt that was not made, if maySend forbids it.
func forbidden(maySend func() error) attempt {
	if maySend == nil {
		return attempt{}
	}
	err := maySend()
	if err == nil {
		return attempt{}
	}
	var result *peridotpath.Result
	if !errors.As(err, &result) {
		result = failure(peridotpath.CodePlatformDown, err.Error())
	}
	return attempt{outcome: decide.NeverSent, result: result}
}

// mayRepeat guards against running work twice. Work that certainly did not run
// may go elsewhere; work that may have run only if it is idempotent and its
// caller has seen nothing of the answer.
func mayRepeat(ctx context.Context, work *decide.Work, attempt *attempt) bool {
	if attempt.started || ctx.Err() != nil {
		return false
	}
	switch attempt.outcome {
	case decide.NotConnected, decide.Rejected:
		return true
	case decide.Failed:
		return work.Profile.Idempotent
	default:
		return false
	}
}

func (dispatcher *Dispatcher) logAttempt(work *decide.Work, endpoint peridotpath.EndpointID, attempt *attempt) {
	if attempt.result == nil {
		return
	}
	dispatcher.Log.Info().Str("request", string(work.ID)).Str("endpoint", string(endpoint)).
		Int("attempt", work.Attempts).Int("code", int(attempt.result.Code)).
		Str("detail", attempt.result.Detail).Msg("attempt_failed")
}
