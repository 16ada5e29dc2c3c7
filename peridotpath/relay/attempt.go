package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/reservation"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// From firstEventStallFactor times the predicted time on, the first event is overdue, and
	// from nextEventStallFactor times the route's ITL target (inter-token latency) on each
	// further one.
	firstEventStallFactor = 3
	nextEventStallFactor  = 3
	// stallMargin is added to Relay.EngineStallTime, for which every engine stalls that
	// shares a prompt with an unreachable one. With a shorter timeout, all requests at these
	// engines would be prefilled again elsewhere. Client timeouts of two seconds
	// expire half a second after such a stall ends.
	stallMargin = 200 * time.Millisecond
)

var (
	errStalled             = errors.New("stream timed out waiting for the next event")
	errAnswerMismatch      = errors.New("answer belongs to another endpoint or request")
	errContradictoryAnswer = errors.New("answer states both that the request has run and that it has not")
	errUnprovenRefusal     = errors.New("refusal does not state that the request has not run")
	errKeysExpired         = errors.New("API keys expired: the routing was not confirmed within the key lifetime")
)

// attempt sends the request to the planned endpoints, and to others beside them while these are in
// doubt, and relays the first answer.
func (exchange *exchange) attempt(ctx context.Context) (outcome, error) {
	defer func() { exchange.recordUse(time.Now()) }()
	race := newRace(ctx, exchange)
	defer race.close()
	first := race.add()
	// The process may have been suspended for longer than the keys' lifetime since the key
	// was checked.
	if exchange.customer != "" && !exchange.relay.Routing.KeysUsable() {
		return outcomeUnsent, errKeysExpired
	}
	first.reservationLimit = exchange.reservationLimit(first.sentAt)
	reserved := exchange.reserveMemory(first)
	if reserved.isUnanswered {
		exchange.unansweredReservations++
	}
	if outcome, err := race.begin(first, reserved); outcome != outcomeDone {
		return outcome, err
	}
	return race.run()
}

// checkAnswer records what the head of an answer announces. It returns outcomeDone if the answer
// is the endpoint's own to this request.
func (exchange *exchange) checkAnswer(answer *Answer) (outcome, error) {
	exchange.head = &answer.Head
	exchange.recordRateLimit(answer)
	exchange.recordAnnouncement(answer)
	switch {
	case answer.Misdirected:
		return outcomeMisdirected, nil
	case answer.NotRun:
		exchange.blamedHelper = answer.BlamedHelper
		return outcomeRefused, nil
	case answer.Head.IsContradictory():
		telemetry.CountUnprovenAnswer("contradictory")
		return outcomeFailed, errContradictoryAnswer
	case answer.Head.IsUnprovenRefusal():
		telemetry.CountUnprovenAnswer("refusal")
		return outcomeFailed, errUnprovenRefusal
	case !answer.isRelayed():
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

// reservedMemory is the KV cache that was reserved for an attempt on engines other than its
// primary, or why it was not.
type reservedMemory struct {
	contender    *contender
	reservations []*reservation.Reservation
	err          error
	// isUnanswered reports that an engine did not answer in time.
	isUnanswered bool
}

// reserveMemory reserves the KV cache that the attempt needs on engines other than the primary.
func (exchange *exchange) reserveMemory(contender *contender) reservedMemory {
	reserved := reservedMemory{contender: contender}
	if len(contender.plan.HelperReservations) == 0 {
		return reserved
	}
	ctx := contender.ctx
	if contender.reservationLimit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, contender.reservationLimit)
		defer cancel()
	}
	reserved.reservations, reserved.err = exchange.relay.Reservations.Acquire(ctx, contender.plan.HelperReservations)
	var reserveError *reservation.ReserveError
	if errors.As(reserved.err, &reserveError) {
		if ctx.Err() == nil {
			// An order that this instance has ended itself says nothing about the engine.
			exchange.relay.LoadTracker.EjectFull(reserveError.Endpoint, time.Now())
		}
		reserved.isUnanswered = reserveError.IsUnanswered()
	}
	return reserved
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

// eventTimeouts returns the times after which the first event of an attempt and each further one
// are overdue.
func (exchange *exchange) eventTimeouts(plan *placement.Plan) (first, next time.Duration) {
	stall := exchange.relay.EngineStallTime + stallMargin
	return firstEventStallFactor*plan.TimeToFirstEvent + stall, max(stall, nextEventStallFactor*exchange.route.ITLTarget)
}

const (
	// A first event is overdue after the predicted time multiplied by overdueFactor, plus
	// overdueMargin.
	overdueFactor = 1.5
	overdueMargin = 150 * time.Millisecond
)

// watchFirstEvent calls Relay.OnOverdueFirstEvent with the attempt's engines when the
// first event is overdue. It returns a function that ends the watch.
func (exchange *exchange) watchFirstEvent(state *attemptState) (stop func() bool) {
	if exchange.relay.OnOverdueFirstEvent == nil || exchange.spec.Engine == nil {
		return func() bool { return false }
	}
	plan, inFlight := state.plan, state.inFlight
	overdueAfter := time.Duration(overdueFactor*float64(plan.TimeToFirstEvent)) + overdueMargin
	return time.AfterFunc(overdueAfter, func() {
		if exchange.relay.LoadTracker.AwaitsFirstEvent(inFlight) {
			exchange.relay.OnOverdueFirstEvent(append([]*peridotpath.Endpoint{plan.Primary}, plan.Helpers...)...)
		}
	}).Stop
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

// relayWhole sends the caller a complete answer, or keeps one that reports an endpoint's error. It
// is no answer to a stream that has begun.
func (exchange *exchange) relayWhole(answer *Answer, body []byte) outcome {
	if exchange.streamBegun {
		return outcomeErrored
	}
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
