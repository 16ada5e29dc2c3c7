package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/tidwall/gjson"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/strictjson"
	"peridotpath.example/peridotpath/telemetry"
)

// maxWhole bounds an answer that is not a stream, in bytes.
const maxWhole = 16 << 20

// Do runs a prompt and returns nil when the whole answer was delivered. ctx
// ends when the caller leaves.
func (dispatcher *Dispatcher) Do(ctx context.Context, request *Request, sink *Sink) *peridotpath.Result {
	return dispatcher.run(ctx, request.Work, request.MaySend, func(ctx context.Context, decision decide.Decision) attempt {
		return dispatcher.try(ctx, request, decision, sink)
	})
}

// try sends the work to one endpoint and relays the answer.
func (dispatcher *Dispatcher) try(ctx context.Context, request *Request, decision decide.Decision, sink *Sink) attempt {
	work, endpoint := request.Work, decision.Endpoint
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, err := dispatcher.Send(ctx, endpoint.Address, &engine.Request{
		ID: work.ID, Path: request.Path, Body: request.Body,
		Priority: decision.Priority, Deadline: work.Deadline,
	})
	if err != nil {
		return dispatcher.sendFailed(ctx, work, endpoint.ID, err)
	}
	if request.Stream {
		return dispatcher.relay(ctx, request, endpoint, answer, sink)
	}
	defer answer.Body.Close()
	return dispatcher.whole(ctx, request, endpoint, answer, sink)
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

// dropBody gives the body's memory back.
func (request *Request) dropBody() {
	request.Body.Release()
	if request.Free != nil {
		request.Free()
	}
}

// whole reads an answer that is not a stream and delivers it in one piece, so
// that half an answer never reaches a caller as a success.
func (dispatcher *Dispatcher) whole(ctx context.Context, request *Request, endpoint peridotpath.Endpoint, answer *engine.Answer, sink *Sink) attempt {
	work := request.Work
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWhole))
	if ctx.Err() != nil {
		return attempt{outcome: decide.Abandoned, result: ended(ctx, work, false)}
	}
	if err != nil {
		return failed(work, telemetry.RetryFailed, peridotpath.CodeEndpointFailed, err.Error())
	}
	if !strictjson.Valid(body) || !wholeHasContent(body) {
		return failed(work, telemetry.RetryBadAnswer, peridotpath.CodeBadAnswer, "no content")
	}
	dispatcher.firstToken(work)
	request.noteUsage(body)
	sink.Start(answer.Header, endpoint.ID, answer.StreamID)
	tokens := peridotpath.Tokens(gjson.GetBytes(body, "usage.completion_tokens").Int())
	return delivered(tokens, sink.Whole(body))
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
	dispatcher.Scheduler.RecordFirstToken(now, work)
	telemetry.RecordTimeToFirstToken(work.Class, now.Sub(work.ArrivedAt))
}
