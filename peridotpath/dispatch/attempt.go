package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/tidwall/gjson"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/service"
	"peridotpath.example/peridotpath/strictjson"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// maxWhole bounds an answer that is not a stream.
	maxWhole = 16 << 20
	// comeBack is the Retry-After of failures that have no better estimate.
	comeBack = time.Second
)

// attempt is what one placement came to.
type attempt struct {
	outcome decide.Outcome
	reason  telemetry.Reason
	// result is nil for a whole answer.
	result *peridotpath.Result
	// started says that content has gone to the caller: nothing is run again.
	started bool
	tokens  peridotpath.Tokens
}

// Do runs a prompt and returns nil when the whole answer was delivered. ctx
// ends when the caller leaves.
func (dispatcher *Dispatcher) Do(ctx context.Context, request *Request, sink *Sink) *peridotpath.Result {
	return dispatcher.run(ctx, request.Work, request.MaySend, func(ctx context.Context, endpoint peridotpath.Endpoint) attempt {
		return dispatcher.try(ctx, request, endpoint, sink)
	})
}

// run has the work placed, tries it there, and repeats it where that is safe.
func (dispatcher *Dispatcher) run(ctx context.Context, work *decide.Work, maySend func() error, try func(context.Context, peridotpath.Endpoint) attempt) *peridotpath.Result {
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
			attempt = try(ctx, decision.Endpoint)
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
			telemetry.Retry(attempt.reason)
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

// noteUsage tells how many tokens the engine counted in the prompt, if the
// answer, or a stream's event, says so.
func (request *Request) noteUsage(data []byte) {
	if request.Usage == nil {
		return
	}
	if tokens := gjson.GetBytes(data, "usage.prompt_tokens").Int(); tokens > 0 {
		request.Usage(peridotpath.Tokens(tokens))
	}
}

// letGo gives the body's memory back.
func (request *Request) letGo() {
	request.Body.Drop()
	if request.Free != nil {
		request.Free()
	}
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
	return attempt{outcome: decide.Abandoned, result: result}
}

// mayRepeat guards against running work twice. Work that certainly did not run
// may go elsewhere; work that may have run only if it is idempotent and its
// caller has seen nothing of the answer.
func mayRepeat(ctx context.Context, work *decide.Work, attempt *attempt) bool {
	if attempt.started || ctx.Err() != nil {
		return false
	}
	switch attempt.outcome {
	case decide.Unreached, decide.Rejected:
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

// try sends the work to one endpoint and relays the answer.
func (dispatcher *Dispatcher) try(ctx context.Context, request *Request, endpoint peridotpath.Endpoint, sink *Sink) attempt {
	work := request.Work
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, err := dispatcher.Send(ctx, endpoint.Address, &engine.Request{
		ID: work.ID, Path: request.Path, Body: request.Body,
		Priority: work.Profile.Priority, Deadline: work.Deadline,
	})
	if err != nil {
		dispatcher.noteLeaving(endpoint.ID, err)
		return dispatcher.sendFailed(ctx, work, err)
	}
	defer answer.Body.Close()
	if request.Stream {
		return dispatcher.relay(ctx, request, endpoint, answer, sink)
	}
	return dispatcher.whole(ctx, request, endpoint, answer, sink)
}

// noteLeaving keeps new work from an endpoint that says it is leaving: the
// membership list may go on naming it as live for half a minute.
func (dispatcher *Dispatcher) noteLeaving(endpoint peridotpath.EndpointID, err error) {
	leaving := engine.ErrLeaving.Has(err) || service.ErrLeaving.Has(err)
	if leaving && dispatcher.Draining != nil {
		dispatcher.Draining(time.Now(), endpoint)
	}
}

// sendFailed sorts a failure before the answer's headers.
func (dispatcher *Dispatcher) sendFailed(ctx context.Context, work *decide.Work, err error) attempt {
	detail := err.Error()
	switch {
	case engine.ErrUnreached.Has(err) && ctx.Err() == nil:
		return attempt{outcome: decide.Unreached, reason: telemetry.RetryUnreached, result: failure(peridotpath.CodeNoEndpoint, detail)}
	case engine.ErrRefused.Has(err):
		return attempt{outcome: decide.Rejected, reason: telemetry.RetryRefused, result: failure(peridotpath.CodeEndpointRefused, detail)}
	case engine.ErrBadRequest.Has(err):
		return attempt{outcome: decide.Finished, result: failure(peridotpath.CodeBadRequest, detail)}
	case ctx.Err() != nil:
		return attempt{outcome: decide.Abandoned, result: dispatcher.ended(ctx, work, engine.ErrUnreached.Has(err))}
	default:
		return attempt{outcome: decide.Failed, reason: telemetry.RetryFailed, result: mayHaveRun(work, peridotpath.CodeEndpointFailed, detail)}
	}
}

func failure(code peridotpath.Code, detail string) *peridotpath.Result {
	return &peridotpath.Result{Code: code, RetryAfter: comeBack, Detail: detail}
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
// its caller left. queued says that it certainly did not run.
func (dispatcher *Dispatcher) ended(ctx context.Context, work *decide.Work, queued bool) *peridotpath.Result {
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &peridotpath.Result{Code: peridotpath.CodeCallerGone}
	case queued:
		return failure(peridotpath.CodeQueueTimeout, "")
	default:
		return mayHaveRun(work, peridotpath.CodeDeadline, "time ran out")
	}
}

// whole reads an answer that is not a stream and delivers it in one piece, so
// that half an answer never reaches a caller as a success.
func (dispatcher *Dispatcher) whole(ctx context.Context, request *Request, endpoint peridotpath.Endpoint, answer *engine.Answer, sink *Sink) attempt {
	work := request.Work
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWhole))
	if ctx.Err() != nil {
		return attempt{outcome: decide.Abandoned, result: dispatcher.ended(ctx, work, false)}
	}
	if err != nil {
		return attempt{outcome: decide.Failed, reason: telemetry.RetryFailed, result: mayHaveRun(work, peridotpath.CodeEndpointFailed, err.Error())}
	}
	if !strictjson.Valid(body) || !wholeHasContent(body) {
		return attempt{outcome: decide.Failed, reason: telemetry.RetryBadAnswer, result: mayHaveRun(work, peridotpath.CodeBadAnswer, "no content")}
	}
	dispatcher.firstToken(work)
	request.noteUsage(body)
	sink.Start(answer.Header, endpoint.ID, answer.StreamID)
	tokens := peridotpath.Tokens(gjson.GetBytes(body, "usage.completion_tokens").Int())
	if err := sink.Whole(body); err != nil {
		return attempt{outcome: decide.Abandoned, started: true, tokens: tokens, result: &peridotpath.Result{Code: peridotpath.CodeCallerGone}}
	}
	return attempt{outcome: decide.Finished, started: true, tokens: tokens}
}

// wholeHasContent refuses an empty success: a timeout dressed as an answer is
// invisible to the people it hurts.
func wholeHasContent(body []byte) bool {
	choice := gjson.GetBytes(body, "choices.0")
	return choice.Get("text").String() != "" || choice.Get("message.content").String() != "" ||
		choice.Get("message.tool_calls.0").Exists()
}

func (dispatcher *Dispatcher) firstToken(work *decide.Work) {
	now := time.Now()
	dispatcher.Scheduler.FirstToken(now, work)
	telemetry.FirstToken(work.Class, now.Sub(work.Arrived))
}
