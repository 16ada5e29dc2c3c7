package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/tidwall/gjson"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/answerbuffer"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/strictjson"
	"peridotpath.example/peridotpath/telemetry"
)

// Do runs a prompt and returns nil when the whole answer was delivered. ctx
// ends when the caller disconnects.
func (dispatcher *Dispatcher) Do(ctx context.Context, request *Request, sink *Sink) *peridotpath.Result {
	return dispatcher.runAttempts(ctx, request.Work, request.MaySend, func(ctx context.Context, decision decide.Decision) attempt {
		return dispatcher.attemptPrompt(ctx, request, decision, sink)
	})
}

// attemptPrompt sends the work to one endpoint and relays its answer.
func (dispatcher *Dispatcher) attemptPrompt(ctx context.Context, request *Request, decision decide.Decision, sink *Sink) attempt {
	work, endpoint := request.Work, decision.Endpoint
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, err := dispatcher.Send(ctx, endpoint.Address, &engine.Request{
		ID: work.ID, Path: request.Path, Body: request.Body,
		Priority: decision.Priority, Deadline: work.Deadline,
	})
	if err != nil {
		return dispatcher.classifySendError(ctx, work, endpoint.ID, err)
	}
	if request.WantsStream {
		return dispatcher.relayStream(ctx, request, endpoint, answer, sink)
	}
	defer answer.Body.Close()
	return dispatcher.relayWhole(ctx, request, endpoint, answer, sink)
}

// reportUsage passes the engine's token count of the prompt to Request.OnPromptUsage,
// if the answer or the stream's event contains it.
func (request *Request) reportUsage(data []byte) {
	if request.OnPromptUsage == nil {
		return
	}
	if tokens := gjson.GetBytes(data, "usage.prompt_tokens").Int(); tokens > 0 {
		request.OnPromptUsage(peridotpath.Tokens(tokens))
	}
}

// releaseBody releases the body's memory.
func (request *Request) releaseBody() {
	request.Body.Release()
	if request.OnBodyReleased != nil {
		request.OnBodyReleased()
	}
}

// relayWhole buffers an answer that is not a stream before it is delivered, so that a
// partial answer never reaches a caller as a success.
func (dispatcher *Dispatcher) relayWhole(ctx context.Context, request *Request, endpoint peridotpath.Endpoint, answer *engine.Answer, sink *Sink) attempt {
	work := request.Work
	held, err := dispatcher.AnswerMemory.Read(ctx, answer.Header, answer.Body)
	defer held.Release()
	body := held.Body
	switch {
	case ctx.Err() != nil:
		return attempt{outcome: decide.Abandoned, result: contextEndedResult(ctx, work, false)}
	case errors.Is(err, answerbuffer.ErrTooLarge):
		return failedAttempt(work, telemetry.RetryBadAnswer, peridotpath.CodeBadAnswer, err.Error())
	case err != nil:
		return failedAttempt(work, telemetry.RetryFailed, peridotpath.CodeEndpointFailed, err.Error())
	}
	if !strictjson.Valid(body) || !answerHasContent(body) {
		return failedAttempt(work, telemetry.RetryBadAnswer, peridotpath.CodeBadAnswer, "no content")
	}
	dispatcher.recordFirstToken(work)
	request.reportUsage(body)
	sink.BeginAnswer(answer.Header, endpoint.ID, answer.StreamID)
	tokens := peridotpath.Tokens(gjson.GetBytes(body, "usage.completion_tokens").Int())
	return deliveredAttempt(tokens, sink.WriteWhole(body))
}

// answerHasContent reports whether an answer has content. An empty success counts
// as a failure: it is often an engine's timeout, which no caller could detect.
func answerHasContent(body []byte) bool {
	choice := gjson.GetBytes(body, "choices.0")
	return choice.Get("text").String() != "" || choice.Get("message.content").String() != "" ||
		choice.Get("message.tool_calls.0").Exists()
}

func (dispatcher *Dispatcher) recordFirstToken(work *decide.Work) {
	now := time.Now()
	dispatcher.Scheduler.RecordFirstToken(now, work)
	telemetry.RecordTimeToFirstToken(work.Class, now.Sub(work.ArrivedAt))
}
