package dispatch

import (
	"bytes"
	"context"
	"errors"
	"syscall"
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

// resumeDelays are the delays before each attempt to resume an interrupted
// stream. Their sum is below a second: long enough to get past a lost connection,
// short enough for a client's timeout.
var resumeDelays = [...]time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond}

// unreachedResumeDelay is the delay between further attempts to reach an endpoint to which no
// connection opens.
const unreachedResumeDelay = 500 * time.Millisecond

// stream is the state of one stream that is being relayed.
type stream struct {
	dispatcher *Dispatcher
	work       *decide.Work
	endpoint   peridotpath.Endpoint
	id         string
	sink       *Sink
	// onFirstContent is called at the first content.
	onFirstContent func()
	// onUsage, if not nil, is called with each event that contains the token usage.
	onUsage func(data []byte)

	// nextOffset is the required offset of the next event: a resumed stream neither
	// repeats nor skips events.
	nextOffset  int64
	contentSent bool
	// heldEvents has the events without content that came before the first token.
	heldEvents [][]byte
	// heldBytes is the size of heldEvents.
	heldBytes int
	tokens    peridotpath.Tokens
}

// usageField occurs in the event with the token usage, which is sent on request.
var usageField = []byte(`"usage":{`)

const (
	// maxHeldEvents and maxHeldBytes bound the events that are held back before the first content.
	maxHeldEvents = 16
	maxHeldBytes  = 64 << 10
)

// relayStream relays a stream to its end and resumes it where it is interrupted.
func (dispatcher *Dispatcher) relayStream(ctx context.Context, request *Request, endpoint peridotpath.Endpoint, answer *engine.Answer, sink *Sink) attempt {
	stream := &stream{
		dispatcher: dispatcher, work: request.Work, endpoint: endpoint, id: answer.StreamID,
		sink: sink, onFirstContent: request.releaseBody, onUsage: request.reportUsage,
	}
	return stream.relay(ctx, answer)
}

// ContinueStream relays a stream that a caller resumes by cursor, from the event
// after the given offset on.
func (dispatcher *Dispatcher) ContinueStream(ctx context.Context, work *decide.Work, endpoint peridotpath.Endpoint, id string, after int64, sink *Sink) *peridotpath.Result {
	dispatcher.init()
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	stream := &stream{dispatcher: dispatcher, work: work, endpoint: endpoint, id: id, sink: sink, nextOffset: after + 1}
	answer, err := stream.resume(ctx, resumeDelays[:])
	if err != nil {
		return failureResult(peridotpath.CodeStreamCut, err.Error())
	}
	sink.BeginAnswer(answer.Header, endpoint.ID, id)
	stream.contentSent = true
	attempt := stream.relay(ctx, answer)
	return attempt.result
}

// relay relays the answer and the answers that resume it. It closes each body before
// it requests the next: an engine that sent unusable events keeps sending into an
// open connection and would count the stream as attached.
func (stream *stream) relay(ctx context.Context, answer *engine.Answer) attempt {
	resumesWithoutEvents := 0
	for {
		offsetBefore := stream.nextOffset
		events := engine.NewEventReader(answer.Body, stream.dispatcher.AnswerMemory)
		complete, err := stream.relayEvents(ctx, events)
		events.Close()
		answer.Body.Close()
		if complete {
			return stream.finish()
		}
		if result := stream.abandonedAttempt(ctx, err); result != nil {
			return *result
		}
		if stream.nextOffset > offsetBefore {
			resumesWithoutEvents = 0
		}
		if resumesWithoutEvents == len(resumeDelays) {
			return stream.cutAttempt(ctx, err)
		}
		answer, err = stream.resume(ctx, resumeDelays[resumesWithoutEvents:])
		if err != nil {
			return stream.cutAttempt(ctx, err)
		}
		resumesWithoutEvents++
		telemetry.CountRetry(telemetry.RetryResumed)
	}
}

// errCallerWrite is the class of failures to write to the caller.
var errCallerWrite = errs.Class("dispatch: write to the caller")

// relayEvents relays events until the end marker and then returns true. If reading or
// writing fails earlier, it returns the error.
func (stream *stream) relayEvents(ctx context.Context, events *engine.EventReader) (bool, error) {
	for {
		event, err := events.Next()
		if err != nil {
			return false, err
		}
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		if event.Offset < 0 {
			event.Offset = stream.nextOffset
		}
		if event.Offset < stream.nextOffset {
			continue
		}
		if event.Offset > stream.nextOffset {
			return false, engine.ErrFailed.New("event %d came, %d was due", event.Offset, stream.nextOffset)
		}
		if string(event.Data) == engine.EndMarker {
			return true, nil
		}
		if !strictjson.Valid(event.Data) {
			return false, engine.ErrFailed.New("event %d is not JSON", event.Offset)
		}
		if err := stream.relayEvent(event); err != nil {
			return false, errCallerWrite.Wrap(err)
		}
	}
}

// relayEvent relays one event. Events before the first content are held back, so that
// the request can still be retried elsewhere if the endpoint fails early.
func (stream *stream) relayEvent(event engine.Event) error {
	stream.nextOffset = event.Offset + 1
	if stream.contentSent {
		stream.tokens++
		if stream.onUsage != nil && bytes.Contains(event.Data, usageField) {
			stream.onUsage(event.Data)
		}
		return stream.sink.WriteEvent(event.Offset, event.Data)
	}
	stream.heldEvents = append(stream.heldEvents, append([]byte{}, event.Data...))
	stream.heldBytes += len(event.Data)
	if !eventHasContent(event.Data) && len(stream.heldEvents) < maxHeldEvents && stream.heldBytes < maxHeldBytes {
		return nil
	}
	stream.contentSent = true
	stream.onFirstContent()
	stream.dispatcher.recordFirstToken(stream.work)
	stream.sink.BeginAnswer(nil, stream.endpoint.ID, stream.id)
	firstOffset := stream.nextOffset - int64(len(stream.heldEvents))
	for i, data := range stream.heldEvents {
		if err := stream.sink.WriteEvent(firstOffset+int64(i), data); err != nil {
			return err
		}
	}
	stream.tokens = 1
	stream.heldEvents = nil
	return nil
}

// eventHasContent reports whether an event carries part of the answer, not only a role.
func eventHasContent(data []byte) bool {
	choice := gjson.GetBytes(data, "choices.0")
	return choice.Get("text").String() != "" || choice.Get("delta.content").String() != "" ||
		choice.Get("delta.tool_calls.0").Exists()
}

// finish ends a stream after its end marker. A stream without content is a
// failure.
func (stream *stream) finish() attempt {
	if !stream.contentSent {
		return failedAttempt(stream.work, telemetry.RetryBadAnswer, peridotpath.CodeBadAnswer, "stream without content")
	}
	return deliveredAttempt(stream.tokens, stream.sink.WriteEvent(stream.nextOffset, []byte(engine.EndMarker)))
}

// abandonedAttempt returns the abandoned attempt if the caller disconnected or the
// deadline passed, and nil if the endpoint failed. It schedules the stream's
// cancellation.
func (stream *stream) abandonedAttempt(ctx context.Context, err error) *attempt {
	if ctx.Err() == nil && !errCallerWrite.Has(err) {
		return nil
	}
	result := callerGoneResult()
	if ctx.Err() != nil {
		result = contextEndedResult(ctx, stream.work, false)
	}
	stream.dispatcher.queueCancellation(stream.endpoint.Address, stream.id, result.Code == peridotpath.CodeCallerGone)
	return &attempt{outcome: decide.Abandoned, contentSent: stream.contentSent, tokens: stream.tokens, result: result}
}

// resume reattaches to the stream after the last relayed event, with one attempt
// after each delay, and more where mayAwaitEndpoint allows them. For each consecutive resumed
// answer without events, relay omits one more delay at the start of the list. Otherwise a caller
// that resumes after the last event of a complete stream, which browsers do on their own, would
// cause a busy loop of requests to the endpoint until the deadline.
func (stream *stream) resume(ctx context.Context, delays []time.Duration) (*engine.Answer, error) {
	err := engine.ErrStreamGone.New("the endpoint named no stream")
	startedAt := time.Now()
	for attempt := 0; ; attempt++ {
		delay := unreachedResumeDelay
		if attempt < len(delays) {
			delay = delays[attempt]
		} else if !stream.mayAwaitEndpoint(err, time.Since(startedAt)) {
			return nil, err
		}
		if stream.id == "" || !clock.SleepContext(ctx, delay) {
			return nil, err
		}
		var answer *engine.Answer
		answer, err = stream.dispatcher.Resume(ctx, stream.endpoint.Address, stream.id, stream.nextOffset-1)
		if err == nil || engine.ErrStreamGone.Has(err) {
			return answer, err
		}
	}
}

// mayAwaitEndpoint reports whether a stream waits on for an endpoint to which no connection opens.
// Only that endpoint can go on with a stream of which the caller has content, and it keeps the
// stream for the resume window. A refused connection shows that its process is gone.
func (stream *stream) mayAwaitEndpoint(err error, waited time.Duration) bool {
	isGone := errors.Is(err, syscall.ECONNREFUSED)
	return stream.contentSent && engine.ErrNotConnected.Has(err) && !isGone && waited < stream.dispatcher.ResumeWindow
}

// cutAttempt returns the failed attempt of a stream that could not be resumed. A caller that has
// content has a cursor, and may resume it itself once the endpoint is reached again.
func (stream *stream) cutAttempt(ctx context.Context, err error) attempt {
	if abandoned := stream.abandonedAttempt(ctx, err); abandoned != nil {
		return *abandoned
	}
	stream.dispatcher.queueCancellation(stream.endpoint.Address, stream.id, stream.contentSent)
	attempt := failedAttempt(stream.work, telemetry.RetryFailed, peridotpath.CodeStreamCut, err.Error())
	attempt.contentSent, attempt.tokens = stream.contentSent, stream.tokens
	return attempt
}
