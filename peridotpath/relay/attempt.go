package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/eventstream"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/reservation"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// firstEventStallFactor bounds the wait for the first event as a multiple of the
	// predicted time, nextEventStallFactor that for each further one as a multiple of the
	// route's ITL target (inter-token latency).
	firstEventStallFactor = 3
	nextEventStallFactor  = 3
	// stallMargin is added to Relay.EngineStallTime, for which every engine stalls that
	// shares a prompt with an unreachable one. A shorter timeout would cancel all requests
	// at these engines and prefill them again elsewhere. Client timeouts of two seconds
	// expire half a second after such a stall ends.
	stallMargin = 200 * time.Millisecond
)

var (
	errStalled        = errors.New("stream timed out waiting for the next event")
	errAnswerMismatch = errors.New("answer belongs to another endpoint or request")
	errKeysExpired    = errors.New("API keys expired: the routing was not confirmed within the key lifetime")
)

// attempt sends the request to the planned endpoints and relays the answer.
func (exchange *exchange) attempt(ctx context.Context) (outcome, error) {
	relay, requestCtx := exchange.relay, ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, exchange.link = outbound.WithRoute(ctx)
	now := time.Now()
	defer relay.LoadTracker.RemoveInFlight(exchange.inFlight)
	defer func() { exchange.recordUse(time.Now()) }()
	// The process may have been suspended for longer than the keys' lifetime since the key
	// was checked.
	if exchange.customer != "" && !relay.Routing.KeysUsable() {
		return outcomeUnsent, errKeysExpired
	}
	exchange.sentAt, exchange.decodingSince, exchange.survivalRecorded = now, time.Time{}, false
	exchange.sent.Store(false)
	exchange.answered.Store(false)
	defer exchange.watchLink(cancel)()
	reservations, err := exchange.reserveMemory(ctx)
	if err != nil {
		return outcomeNoMemory, err
	}
	defer relay.Reservations.ReleaseAsync(reservations)
	if !exchange.planTakesRequests(time.Now()) || len(reservations) > 0 && exchange.checkQuarantine() != nil {
		return outcomeWithdrawn, nil
	}
	watch := exchange.watchStall(cancel)
	defer watch.Stop()
	if overdueTimer := exchange.watchFirstEvent(); overdueTimer != nil {
		defer overdueTimer.Stop()
	}
	if exchange.canFailOver() || len(reservations) > 0 {
		probe := exchange.startLivenessProbe(ctx, cancel)
		defer probe.Close()
		watch.probe = probe
	}
	exchange.sent.Store(true)
	exchange.logSendsDespiteAnnouncement(time.Now())
	call := exchange.newCall(now, reservations)
	if exchange.mayUseSecondEndpoint() {
		return exchange.attemptWithSecond(requestCtx, ctx, cancel, call)
	}
	answer, err := relay.Send(ctx, call)
	if err != nil {
		if outbound.ErrNotSent.Has(err) {
			return outcomeUnsent, err
		}
		return connectionOutcome(ctx), errors.Join(err, context.Cause(ctx))
	}
	defer answer.Body.Close()
	exchange.answered.Store(true)
	if outcome, err := exchange.checkAnswer(answer); outcome != outcomeDone {
		return outcome, err
	}
	if exchange.route.Streaming && answer.Status == http.StatusOK {
		return exchange.relayStream(ctx, answer, watch)
	}
	held, outcome, err := relay.readWhole(ctx, answer)
	defer held.Release()
	if outcome != outcomeDone {
		return outcome, err
	}
	return exchange.relayWhole(answer, held.Body), nil
}

// checkAnswer records what the head of an answer announces. It returns outcomeDone if the answer
// is the endpoint's own to this request.
func (exchange *exchange) checkAnswer(answer *Answer) (outcome, error) {
	exchange.recordRateLimit(answer)
	exchange.recordAnnouncement(answer)
	switch {
	case answer.Misdirected:
		return outcomeMisdirected, nil
	case answer.NotRun:
		exchange.blamedHelper = answer.BlamedHelper
		return outcomeRefused, nil
	case !answer.MatchesRequest:
		return outcomeFailed, errAnswerMismatch
	}
	return outcomeDone, nil
}

// connectionOutcome returns the outcome of an attempt whose connection failed:
// outcomeBroken, or outcomeFailed if this instance had cancelled the attempt.
func connectionOutcome(ctx context.Context) outcome {
	if ctx.Err() != nil {
		return outcomeFailed
	}
	return outcomeBroken
}

// reserveMemory reserves the KV cache that the plan needs on engines other than the primary.
func (exchange *exchange) reserveMemory(ctx context.Context) ([]*reservation.Reservation, error) {
	if len(exchange.plan.HelperReservations) == 0 {
		return nil, nil
	}
	reservations, err := exchange.relay.Reservations.Acquire(ctx, exchange.plan.HelperReservations)
	var reserveError *reservation.ReserveError
	if errors.As(err, &reserveError) {
		exchange.relay.LoadTracker.EjectFull(reserveError.Endpoint, time.Now())
	}
	return reservations, err
}

func (exchange *exchange) newCall(now time.Time, reservations []*reservation.Reservation) *Call {
	call := &Call{
		Request: exchange.request, Endpoint: exchange.plan.Primary, Customer: exchange.customer,
		TimeLeft: exchange.deadline.Sub(now), Priority: enginePriority(exchange.route, exchange.priority), LastEventID: exchange.lastEventID,
	}
	for i, endpoint := range exchange.plan.Helpers {
		helper := Helper{Endpoint: endpoint}
		if i < len(reservations) {
			helper.ReservationID = reservations[i].ID
		}
		call.Helpers = append(call.Helpers, helper)
	}
	return call
}

// Engine priorities by the route's TTFT target (time to first token). Engines admit
// requests by priority; with equal priorities, a request with a short target waits
// behind all earlier arrivals.
const (
	urgentTTFT, urgentPriority     = 500 * time.Millisecond, 1
	ordinaryTTFT, ordinaryPriority = 2 * time.Second, 4
	relaxedPriority                = 6
	// neutralRank is the configured rank that does not shift these values,
	// lowestPriority the engines' lowest priority.
	neutralRank, lowestPriority = 1, 9
)

func enginePriority(route *peridotpath.Route, rank int) int {
	base := relaxedPriority
	switch {
	case route.TTFTTarget <= urgentTTFT:
		base = urgentPriority
	case route.TTFTTarget <= ordinaryTTFT:
		base = ordinaryPriority
	}
	return min(max(base+rank-neutralRank, 0), lowestPriority)
}

// stallWatch cancels an attempt whose events stop arriving.
type stallWatch struct {
	timer            *time.Timer
	nextEventTimeout time.Duration
	// probe records events as proof of liveness; nil if the attempt has no probe.
	probe *livenessProbe
}

// watchStall returns a watch that cancels a stalled stream if it can fail over to
// another endpoint. A request that must not be repeated is never cancelled, since its
// answer may still arrive.
func (exchange *exchange) watchStall(cancel context.CancelCauseFunc) *stallWatch {
	if !exchange.canFailOver() {
		return &stallWatch{}
	}
	stall := exchange.relay.EngineStallTime + stallMargin
	firstEventTimeout := firstEventStallFactor*exchange.plan.TimeToFirstEvent + stall
	nextEventTimeout := max(stall, nextEventStallFactor*exchange.route.ITLTarget)
	return &stallWatch{timer: time.AfterFunc(firstEventTimeout, func() { cancel(errStalled) }), nextEventTimeout: nextEventTimeout}
}

const (
	// A first event is overdue after the predicted time multiplied by overdueFactor, plus
	// overdueMargin.
	overdueFactor = 1.5
	overdueMargin = 150 * time.Millisecond
)

// watchFirstEvent calls Relay.OnOverdueFirstEvent with the attempt's engines when the
// first event is overdue.
func (exchange *exchange) watchFirstEvent() *time.Timer {
	if exchange.relay.OnOverdueFirstEvent == nil || exchange.spec.Engine == nil {
		return nil
	}
	plan, inFlight := exchange.plan, exchange.inFlight
	overdueAfter := time.Duration(overdueFactor*float64(plan.TimeToFirstEvent)) + overdueMargin
	return time.AfterFunc(overdueAfter, func() {
		if exchange.relay.LoadTracker.AwaitsFirstEvent(inFlight) {
			exchange.relay.OnOverdueFirstEvent(append([]*peridotpath.Endpoint{plan.Primary}, plan.Helpers...)...)
		}
	})
}

// canFailOver reports whether a stalled stream may be cancelled and continued on
// another endpoint.
func (exchange *exchange) canFailOver() bool {
	return exchange.route.Streaming && exchange.canRepeat()
}

func (watch *stallWatch) recordEvent() {
	if watch.probe != nil {
		watch.probe.recordEvent()
	}
	if watch.timer != nil && watch.timer.Stop() {
		watch.timer.Reset(watch.nextEventTimeout)
	}
}

// Stop ends the watch.
func (watch *stallWatch) Stop() {
	if watch.timer != nil {
		watch.timer.Stop()
	}
}

// relayStream relays whole events as they arrive. If the connection fails within an event,
// its partial data is dropped, so that the stream can resume on another endpoint.
func (exchange *exchange) relayStream(ctx context.Context, answer *Answer, watch *stallWatch) (outcome, error) {
	events := eventstream.NewReader(answer.Body)
	received := 0
	for {
		raw, id, err := events.Next()
		if errors.Is(err, io.EOF) && received > 0 {
			exchange.beginStream(answer)
			exchange.recordBegun()
			exchange.caller.End()
			exchange.relay.LoadTracker.ClearEjection(exchange.plan.Primary.Key())
			return outcomeDone, nil
		}
		if err != nil {
			return connectionOutcome(ctx), errors.Join(err, context.Cause(ctx))
		}
		watch.recordEvent()
		if received == 0 {
			exchange.recordFirstEvent()
			exchange.relay.LoadTracker.MarkDecoding(exchange.inFlight)
		}
		received++
		exchange.beginStream(answer)
		if err := exchange.caller.Event(raw); err != nil {
			return outcomeFailed, err
		}
		exchange.recordEvent(time.Now())
		exchange.recordProgress()
		if id != "" {
			exchange.lastEventID = id
		}
	}
}

func (exchange *exchange) beginStream(answer *Answer) {
	if !exchange.streamBegun {
		exchange.streamBegun = true
		exchange.caller.Begin(answer.Status, answer.Header)
	}
}

// recordEvent records an event that was sent to the caller.
func (exchange *exchange) recordEvent(now time.Time) {
	if exchange.eventCount > 0 {
		exchange.longestPause = max(exchange.longestPause, now.Sub(exchange.lastEventAt))
	}
	exchange.eventCount++
	exchange.lastEventAt = now
}

// recordFirstEvent records the latency of the first event and its ratio to the prediction.
func (exchange *exchange) recordFirstEvent() {
	if exchange.eventCount > 0 {
		return
	}
	exchange.timeToFirstEvent = time.Since(exchange.request.ArrivedAt)
	telemetry.RecordTimeToFirstToken(exchange.lengthClass(), exchange.timeToFirstEvent)
	telemetry.RecordTTFTPredictionRatio(exchange.lengthClass(), exchange.plan.TimeToFirstEvent, time.Since(exchange.sentAt))
	exchange.relay.LoadTracker.ObserveFirstEvent(exchange.plan.Primary.Key(), exchange.plan.TimeToFirstEvent, time.Since(exchange.sentAt))
}

// relayWhole sends the caller a complete answer, or keeps one that reports an endpoint's error.
func (exchange *exchange) relayWhole(answer *Answer, body []byte) outcome {
	if answer.Status >= http.StatusInternalServerError {
		exchange.lastFailure = &failedAnswer{answer: answer, body: body}
		return outcomeErrored
	}
	if answer.Status < http.StatusMultipleChoices {
		exchange.recordBegun()
	}
	exchange.relay.LoadTracker.ClearEjection(exchange.plan.Primary.Key())
	exchange.caller.Answer(answer.Status, answer.Header, body)
	return outcomeDone
}
