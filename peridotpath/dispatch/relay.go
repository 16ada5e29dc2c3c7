package dispatch

import (
	"bytes"
	"context"
	"time"

	"github.com/tidwall/gjson"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/strictjson"
	"peridotpath.example/peridotpath/telemetry"
)

// resumeDelays are the waits before each try to resume a stream that broke
// off. Together they stay under a second: longer than a lost connection needs,
// shorter than a caller's patience.
var resumeDelays = [...]time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond}

// stream is the state of one relayed stream.
type stream struct {
	dispatcher *Dispatcher
	work       *decide.Work
	endpoint   peridotpath.Endpoint
	id         string
	sink       *Sink
	// begun is called when the first content has come.
	begun func()
	// usage is told of each event that names the usage; nil for nobody.
	usage func(data []byte)

	// next is the offset that the next event must have; a resumed stream
	// repeats nothing and skips nothing.
	next    int64
	started bool
	// held are events without content that came before the first token.
	held   [][]byte
	tokens peridotpath.Tokens
}

// usageField is in the event that names the usage, where the caller asked for it.
var usageField = []byte(`"usage":{`)

// maxHeld bounds the events held back before the first content.
const maxHeld = 16

// relay passes a stream on until its end, resuming it where it breaks off.
func (dispatcher *Dispatcher) relay(ctx context.Context, request *Request, endpoint peridotpath.Endpoint, answer *engine.Answer, sink *Sink) attempt {
	stream := &stream{
		dispatcher: dispatcher, work: request.Work, endpoint: endpoint, id: answer.StreamID,
		sink: sink, begun: request.dropBody, usage: request.noteUsage,
	}
	return stream.run(ctx, answer)
}

// Continue relays a stream that a caller resumes by cursor, from the event
// after the given offset.
func (dispatcher *Dispatcher) Continue(ctx context.Context, work *decide.Work, endpoint peridotpath.Endpoint, id string, after int64, sink *Sink) *peridotpath.Result {
	dispatcher.start()
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	stream := &stream{dispatcher: dispatcher, work: work, endpoint: endpoint, id: id, sink: sink, next: after + 1}
	answer, err := stream.resume(ctx, resumeDelays[:])
	if err != nil {
		return failure(peridotpath.CodeStreamCut, err.Error())
	}
	sink.Start(answer.Header, endpoint.ID, id)
	stream.started = true
	attempt := stream.run(ctx, answer)
	return attempt.result
}

// run relays the answer and those that resume it. It closes each body before
// the next is asked for: an engine whose events could not be used goes on
// sending them, and would take the stream for one that is being read.
func (stream *stream) run(ctx context.Context, answer *engine.Answer) attempt {
	fruitless := 0
	for {
		before := stream.next
		whole, err := stream.pass(ctx, engine.NewEventReader(answer.Body))
		answer.Body.Close()
		if whole {
			return stream.finish()
		}
		if result := stream.stopped(ctx, err); result != nil {
			return *result
		}
		if stream.next > before {
			fruitless = 0
		}
		if fruitless == len(resumeDelays) {
			return stream.cut(ctx, err)
		}
		answer, err = stream.resume(ctx, resumeDelays[fruitless:])
		if err != nil {
			return stream.cut(ctx, err)
		}
		fruitless++
		telemetry.CountRetry(telemetry.RetryResumed)
	}
}

// errSink is the class of failures to write to the caller.
var errSink = errs.Class("dispatch: write to the caller")

// pass relays events until the end mark (true) or a failure.
func (stream *stream) pass(ctx context.Context, events *engine.EventReader) (bool, error) {
	for {
		event, err := events.Next()
		if err != nil {
			return false, err
		}
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		if event.Offset < 0 {
			event.Offset = stream.next
		}
		if event.Offset < stream.next {
			continue
		}
		if event.Offset > stream.next {
			return false, engine.ErrFailed.New("event %d came, %d was due", event.Offset, stream.next)
		}
		if string(event.Data) == engine.EndMark {
			return true, nil
		}
		if !strictjson.Valid(event.Data) {
			return false, engine.ErrFailed.New("event %d is not JSON", event.Offset)
		}
		if err := stream.event(event); err != nil {
			return false, errSink.Wrap(err)
		}
	}
}

// event passes one event on. Until the first content it is held back, so that
// an endpoint that fails early can still be replaced by another.
func (stream *stream) event(event engine.Event) error {
	stream.next = event.Offset + 1
	if stream.started {
		stream.tokens++
		if stream.usage != nil && bytes.Contains(event.Data, usageField) {
			stream.usage(event.Data)
		}
		return stream.sink.Event(event.Offset, event.Data)
	}
	stream.held = append(stream.held, append([]byte{}, event.Data...))
	if !eventHasContent(event.Data) && len(stream.held) < maxHeld {
		return nil
	}
	stream.started = true
	stream.begun()
	stream.dispatcher.firstToken(stream.work)
	stream.sink.Start(nil, stream.endpoint.ID, stream.id)
	first := stream.next - int64(len(stream.held))
	for i, data := range stream.held {
		if err := stream.sink.Event(first+int64(i), data); err != nil {
			return err
		}
	}
	stream.tokens = 1
	stream.held = nil
	return nil
}

// eventHasContent reports whether an event carries part of the answer, not only a role.
func eventHasContent(data []byte) bool {
	choice := gjson.GetBytes(data, "choices.0")
	return choice.Get("text").String() != "" || choice.Get("delta.content").String() != "" ||
		choice.Get("delta.tool_calls.0").Exists()
}

// finish ends a stream whose end mark came. One without any content is a
// failure, not an answer.
func (stream *stream) finish() attempt {
	if !stream.started {
		return failed(stream.work, telemetry.RetryBadAnswer, peridotpath.CodeBadAnswer, "stream without content")
	}
	return delivered(stream.tokens, stream.sink.Event(stream.next, []byte(engine.EndMark)))
}

// stopped returns how the attempt ends if the caller left or the time ran out,
// and nil if the endpoint's side broke.
func (stream *stream) stopped(ctx context.Context, err error) *attempt {
	if ctx.Err() == nil && !errSink.Has(err) {
		return nil
	}
	result := callerGone()
	if ctx.Err() != nil {
		result = ended(ctx, stream.work, false)
	}
	stream.dispatcher.abandon(stream.endpoint.Address, stream.id, result.Code == peridotpath.CodeCallerGone)
	return &attempt{outcome: decide.Abandoned, started: stream.started, tokens: stream.tokens, result: result}
}

// resume attaches to the stream again after the last event that was passed on.
// It waits each of the delays before one try. A stream that is resumed and gives
// nothing has used up the first of them: a caller that resumes after the last
// event of a whole stream, as browsers do by themselves, would else have the
// endpoint asked without pause until its deadline.
func (stream *stream) resume(ctx context.Context, delays []time.Duration) (*engine.Answer, error) {
	err := engine.ErrStreamGone.New("the endpoint named no stream")
	for _, delay := range delays {
		if stream.id == "" || !clock.SleepContext(ctx, delay) {
			return nil, err
		}
		var answer *engine.Answer
		answer, err = stream.dispatcher.Resume(ctx, stream.endpoint.Address, stream.id, stream.next-1)
		if err == nil || engine.ErrStreamGone.Has(err) {
			return answer, err
		}
	}
	return nil, err
}

// cut ends an attempt whose stream broke off for good.
func (stream *stream) cut(ctx context.Context, err error) attempt {
	if ended := stream.stopped(ctx, err); ended != nil {
		return *ended
	}
	stream.dispatcher.abandon(stream.endpoint.Address, stream.id, false)
	attempt := failed(stream.work, telemetry.RetryFailed, peridotpath.CodeStreamCut, err.Error())
	attempt.started, attempt.tokens = stream.started, stream.tokens
	return attempt
}
