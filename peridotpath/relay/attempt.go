package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/reservation"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// maxAnswer bounds an answer that is no stream, in bytes; it is held whole.
	maxAnswer = 8 << 20
	// firstStallFactor and eventStallFactor bound the wait for a first event, in
	// times of what was predicted, and for a next one, in aims for pauses.
	firstStallFactor = 3
	eventStallFactor = 3
	// stallMargin comes on top of the time for which an engine's work stands still
	// when an engine that it depends on is gone. Given up any sooner, everything
	// at all the engines that shared a prompt with that one would be read again.
	// Callers give a stream up after two seconds, half a second later.
	stallMargin = 200 * time.Millisecond
)

var (
	errStalled   = errors.New("no event for too long")
	errForeign   = errors.New("not the endpoint's answer to this request")
	errTooLarge  = errors.New("answer larger than can be held")
	errKeyUnsure = errors.New("keys may not be used: the routing has not been confirmed for too long")
)

// attempt sends the request to the planned endpoints and hands the answer on.
func (exchange *exchange) attempt(ctx context.Context) (outcome, error) {
	relay := exchange.relay
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	now := time.Now()
	defer relay.Book.RemoveInFlight(exchange.flight)
	// The instance may have been frozen since the request was checked.
	if exchange.customer != "" && !relay.Routing.KeysUsable() {
		return outcomeUnsent, errKeyUnsure
	}
	exchange.sentAt, exchange.writingSince, exchange.survived = now, time.Time{}, false
	tickets, err := exchange.reserve(ctx)
	if err != nil {
		return outcomeNoMemory, err
	}
	defer relay.Keeper.ReleaseAsync(tickets)
	watch := exchange.watchStall(cancel)
	defer watch.Stop()
	if doubt := exchange.watchPace(); doubt != nil {
		defer doubt.Stop()
	}
	if exchange.givesUp() || len(tickets) > 0 {
		liveness := exchange.watchLiveness(ctx, cancel)
		defer liveness.Close()
		watch.liveness = liveness
	}
	answer, err := relay.Send(ctx, exchange.call(now, tickets))
	if err != nil {
		if outbound.ErrNotSent.Has(err) {
			return outcomeUnsent, err
		}
		return brokenUnless(ctx), errors.Join(err, context.Cause(ctx))
	}
	defer answer.Body.Close()
	exchange.noteLimit(answer)
	switch {
	case answer.Elsewhere:
		return outcomeElsewhere, nil
	case answer.NotRun:
		exchange.retryAfter, exchange.fault = answer.RetryAfter, answer.Fault
		return outcomeRefused, nil
	case !answer.Genuine:
		return outcomeFailed, errForeign
	}
	if exchange.route.Streaming && answer.Status == http.StatusOK {
		return exchange.stream(ctx, answer, watch)
	}
	return exchange.whole(ctx, answer)
}

// brokenUnless is the outcome of an attempt whose connection failed: it broke off,
// unless this instance had given the attempt up.
func brokenUnless(ctx context.Context) outcome {
	if ctx.Err() != nil {
		return outcomeFailed
	}
	return outcomeBroken
}

// reserve reserves the memory that the plan needs beside the writer's.
func (exchange *exchange) reserve(ctx context.Context) ([]*reservation.Reservation, error) {
	if len(exchange.plan.HelperReservations) == 0 {
		return nil, nil
	}
	tickets, err := exchange.relay.Keeper.Acquire(ctx, exchange.plan.HelperReservations)
	var notFree *reservation.ReserveError
	if errors.As(err, &notFree) {
		exchange.relay.Book.EjectFull(notFree.Endpoint, time.Now())
	}
	return tickets, err
}

func (exchange *exchange) call(now time.Time, tickets []*reservation.Reservation) *Call {
	call := &Call{
		Request: exchange.request, Endpoint: exchange.plan.Writer, Customer: exchange.customer,
		Left: exchange.deadline.Sub(now), Priority: enginePriority(exchange.route, exchange.priority), AfterEvent: exchange.afterEvent,
	}
	for i, endpoint := range exchange.plan.Helpers {
		helper := Helper{Endpoint: endpoint}
		if i < len(tickets) {
			helper.Ticket = tickets[i].ID
		}
		call.Helpers = append(call.Helpers, helper)
	}
	return call
}

// The engines' priorities by how soon a first event is due. Engines admit the
// more urgent first: without, a lookup waits behind whatever came before it.
const (
	urgentAim, urgentPriority     = 500 * time.Millisecond, 1
	ordinaryAim, ordinaryPriority = 2 * time.Second, 4
	patientPriority               = 6
	// usualPriority is the operators' rank that leaves these as they are, and
	// leastPriority the engines' last.
	usualPriority, leastPriority = 1, 9
)

func enginePriority(route *peridotpath.Route, priority int) int {
	engine := patientPriority
	switch {
	case route.TTFTTarget <= urgentAim:
		engine = urgentPriority
	case route.TTFTTarget <= ordinaryAim:
		engine = ordinaryPriority
	}
	return min(max(engine+priority-usualPriority, 0), leastPriority)
}

// stallWatch cancels an attempt whose events stop coming.
type stallWatch struct {
	timer *time.Timer
	span  time.Duration
	// liveness learns of events as signs of life; nil where nobody asks for them.
	liveness *liveness
}

// watchStall watches a stream that may go on elsewhere. What may not be repeated
// is never given up: its answer may still come.
func (exchange *exchange) watchStall(cancel context.CancelCauseFunc) *stallWatch {
	if !exchange.givesUp() {
		return &stallWatch{}
	}
	stall := exchange.relay.Stall + stallMargin
	first := firstStallFactor*exchange.plan.TimeToFirstEvent + stall
	span := max(stall, eventStallFactor*exchange.route.ITLTarget)
	return &stallWatch{timer: time.AfterFunc(first, func() { cancel(errStalled) }), span: span}
}

const (
	// doubtFactor and doubtMargin are when a first event is overdue, in times of what was
	// predicted and beyond.
	doubtFactor = 1.5
	doubtMargin = 150 * time.Millisecond
)

// watchPace has the engines asked for their pace if the first event is overdue.
func (exchange *exchange) watchPace() *time.Timer {
	if exchange.relay.Doubt == nil || exchange.spec.Engine == nil {
		return nil
	}
	plan, flight := exchange.plan, exchange.flight
	overdue := time.Duration(doubtFactor*float64(plan.TimeToFirstEvent)) + doubtMargin
	return time.AfterFunc(overdue, func() {
		if exchange.relay.Book.AwaitsFirstEvent(flight) {
			exchange.relay.Doubt(append([]*peridotpath.Endpoint{plan.Writer}, plan.Helpers...)...)
		}
	})
}

// givesUp reports whether a stream whose events stop may be given up here, since
// it may go on elsewhere.
func (exchange *exchange) givesUp() bool {
	route := exchange.route
	return route.Streaming && route.Repeatable() && exchange.sent+1 < route.MaxAttempts
}

func (watch *stallWatch) event() {
	if watch.liveness != nil {
		watch.liveness.event()
	}
	if watch.timer != nil && watch.timer.Stop() {
		watch.timer.Reset(watch.span)
	}
}

// Stop ends the watch.
func (watch *stallWatch) Stop() {
	if watch.timer != nil {
		watch.timer.Stop()
	}
}

// stream hands on whole events as they come. A break within an event drops what
// came of it, so that the stream can go on at another endpoint.
func (exchange *exchange) stream(ctx context.Context, answer *Answer, watch *stallWatch) (outcome, error) {
	events := newRawEvents(answer.Body)
	seen := 0
	for {
		raw, id, err := events.next()
		if errors.Is(err, io.EOF) && seen > 0 {
			exchange.beginStream(answer)
			exchange.caller.End()
			exchange.relay.Book.ClearEjection(exchange.plan.Writer.Key())
			return outcomeDone, nil
		}
		if err != nil {
			return brokenUnless(ctx), errors.Join(err, context.Cause(ctx))
		}
		watch.event()
		if seen == 0 {
			exchange.noteFirst()
			exchange.relay.Book.MarkDecoding(exchange.flight)
		}
		seen++
		exchange.beginStream(answer)
		if err := exchange.caller.Event(raw); err != nil {
			return outcomeFailed, err
		}
		exchange.noteEvent(time.Now())
		exchange.noteProgress()
		if id != "" {
			exchange.afterEvent = id
		}
	}
}

func (exchange *exchange) beginStream(answer *Answer) {
	if !exchange.begun {
		exchange.begun = true
		exchange.caller.Begin(answer.Status, answer.Header)
	}
}

// noteEvent notes an event that went out to the caller.
func (exchange *exchange) noteEvent(now time.Time) {
	if exchange.events > 0 {
		exchange.longestPause = max(exchange.longestPause, now.Sub(exchange.lastEvent))
	}
	exchange.events++
	exchange.lastEvent = now
}

// noteFirst records how long the first event took against the prediction.
func (exchange *exchange) noteFirst() {
	if exchange.events > 0 {
		return
	}
	exchange.firstEvent = time.Since(exchange.request.Arrived)
	telemetry.FirstToken(exchange.lengthClass(), exchange.firstEvent)
	telemetry.Predicted(exchange.lengthClass(), exchange.plan.TimeToFirstEvent, time.Since(exchange.sentAt))
	exchange.relay.Book.ObserveFirstEvent(exchange.plan.Writer.Key(), exchange.plan.TimeToFirstEvent, time.Since(exchange.sentAt))
}

// whole reads an answer that is no stream to its end before a byte goes out, so
// that a broken one never looks complete.
func (exchange *exchange) whole(ctx context.Context, answer *Answer) (outcome, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err != nil {
		return brokenUnless(ctx), err
	}
	if len(body) > maxAnswer {
		return outcomeFailed, errTooLarge
	}
	if answer.Status >= http.StatusInternalServerError {
		exchange.last = &failedAnswer{answer: answer, body: body}
		return outcomeErrored, nil
	}
	exchange.relay.Book.ClearEjection(exchange.plan.Writer.Key())
	exchange.caller.Answer(answer.Status, answer.Header, body)
	return outcomeDone, nil
}
