package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath/answerbuffer"
	"peridotpath.example/peridotpath/eventstream"
	"peridotpath.example/peridotpath/failover"
	"peridotpath.example/peridotpath/liveness"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/reservation"
)

// contender is one of the attempts at a request that run side by side.
type contender struct {
	*attemptState
	ctx          context.Context
	cancel       context.CancelCauseFunc
	reservations []*reservation.Reservation
	// reservationLimit, when set, bounds the time for which its reservations are awaited.
	reservationLimit time.Duration
	// sent reports that the endpoint may have received the request, answered that the head of an
	// answer has arrived.
	// unloaded reports that it does not count as load.
	sent, answered, unloaded atomic.Bool
	// doubt is why no answer is expected, doubtErr the error that goes with it.
	doubt    failover.Doubt
	doubtErr error
	// progressAt is when the request was sent or the last event arrived. The next event is overdue
	// from eventTimeout after it on; zero for no timeout.
	progressAt   time.Time
	eventTimeout time.Duration
	// nextEventTimeout is the eventTimeout after the first event.
	nextEventTimeout time.Duration
	eventCount       int
	answer           *Answer
	// failed reports that the attempt has ended without an answer, wasAnswered that it has answered.
	failed, wasAnswered bool
	probe               *liveness.Probe
	// stops end the watches of the attempt.
	stops []func()
}

// contenderResult is how a contender ended. held is complete if outcome is outcomeDone and the answer
// is no stream, and nil where nothing was read; the receiver releases it.
type contenderResult struct {
	contender *contender
	answer    *Answer
	held      *answerbuffer.Buffer
	outcome   outcome
	err       error
	// endedAt is when it ended, endpointGone whether its endpoint's process had ended by then.
	endedAt      time.Time
	endpointGone bool
}

// progress is the head of a contender's stream, or one event of it. event is nil for the head.
type progress struct {
	contender *contender
	answer    *Answer
	event     []byte
	id        string
}

// run sends the call and reads the whole answer. It reports the events of a stream one by one, and
// once how it has ended. It uses no state of the exchange. An endpoint that broke off is probed here:
// the race relays the events of other contenders meanwhile.
func (contender *contender) run(relay *Relay, call *Call, isStream bool, progresses chan<- progress, results chan<- contenderResult) {
	result := contenderResult{contender: contender}
	ctx := contender.ctx
	defer func() {
		result.endedAt = time.Now()
		result.endpointGone = result.outcome == outcomeBroken && relay.hasCrashed(ctx, call.Endpoint)
		results <- result
	}()
	answer, err := relay.Send(ctx, call)
	if err != nil {
		if result.outcome, result.err = outcomeUnsent, err; !outbound.ErrNotSent.Has(err) {
			result.outcome, result.err = connectionOutcome(ctx), errors.Join(err, context.Cause(ctx))
		}
		return
	}
	defer answer.Body.Close()
	contender.answered.Store(true)
	result.answer = answer
	switch {
	case !answer.isRelayed():
	case isStream && answer.Status == http.StatusOK:
		result.outcome, result.err = contender.readEvents(relay.AnswerMemory, answer, call.LastEventID != "", progresses)
	default:
		result.held, result.outcome, result.err = relay.readWhole(ctx, answer)
	}
}

// readEvents reports the events of a stream as they arrive, each of them whole. If the connection
// fails within an event, its partial data is dropped, so that the stream can resume on another
// endpoint. A stream that is resumed after its last event has no event more, only its end.
func (contender *contender) readEvents(memory eventstream.Memory, answer *Answer, isResumed bool, progresses chan<- progress) (outcome, error) {
	report := func(event []byte, id string) bool {
		select {
		case progresses <- progress{contender, answer, event, id}:
			return true
		case <-contender.ctx.Done():
			return false
		}
	}
	if !report(nil, "") {
		return outcomeFailed, context.Cause(contender.ctx)
	}
	events := eventstream.NewReader(answer.Body)
	events.Memory = memory
	defer events.Close()
	for received := 0; ; received++ {
		raw, id, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) && (received > 0 || isResumed && answer.HasEnd):
			return outcomeDone, nil
		case err != nil:
			if events.IsWithinEvent() {
				err = errors.Join(errWithinEvent, err)
			}
			return connectionOutcome(contender.ctx), errors.Join(err, context.Cause(contender.ctx))
		case !report(bytes.Clone(raw), id):
			return outcomeFailed, context.Cause(contender.ctx)
		}
	}
}

// suspect records why no answer is expected any more. The first reason stays until an event arrives,
// unless the attempt was merely late. That the endpoint is unresponsive replaces any other: it
// decides about the memory that is reserved for the attempt.
func (contender *contender) suspect(doubt failover.Doubt, err error) {
	if contender.doubt == failover.DoubtNone || contender.doubt == failover.DoubtLate || doubt == failover.DoubtUnresponsive {
		contender.doubt, contender.doubtErr = doubt, err
	}
}

// recordProgress records an event, which ends all doubts.
func (contender *contender) recordProgress(now time.Time) {
	contender.doubt, contender.doubtErr = failover.DoubtNone, nil
	contender.progressAt, contender.eventTimeout = now, contender.nextEventTimeout
	contender.eventCount++
	if contender.probe != nil {
		contender.probe.RecordEvent()
	}
}

// untilOverdue returns the time until the next event is overdue; false where it never is.
func (contender *contender) untilOverdue(now time.Time) (time.Duration, bool) {
	if contender.eventTimeout == 0 || contender.doubt != failover.DoubtNone {
		return 0, false
	}
	return contender.progressAt.Add(contender.eventTimeout).Sub(now), true
}

// state returns what decides whether the attempt goes on.
func (contender *contender) state() failover.Attempt {
	return failover.Attempt{Doubt: contender.doubt, WasSent: contender.sent.Load(), HoldsMemory: len(contender.reservations) > 0}
}
