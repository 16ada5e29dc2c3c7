package relay

import (
	"context"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/answerhead"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/quarantine"
	"peridotpath.example/peridotpath/telemetry"
)

// exchange is the state of one request across its attempts.
type exchange struct {
	relay    *Relay
	request  *Request
	caller   *Caller
	route    *peridotpath.Route
	service  peridotpath.Service
	spec     peridotpath.ServiceSpec
	customer peridotpath.CustomerID
	// engineCount is the number of the service's endpoints at the last placement,
	// prefillTime the prefill time of the prompt on one engine.
	engineCount int
	prefillTime time.Duration
	// contentFingerprint is the request's fingerprint; valid if hasFingerprint is true.
	contentFingerprint peridotpath.Fingerprint
	hasFingerprint     bool
	// sharedParts are the shared parts of the prompt with their fingerprints; nil until they
	// are needed.
	sharedParts []quarantine.Part
	// verdict is the last decision about the request's suspects.
	verdict quarantine.Verdict
	// priority is the configured rank of the request; 0 is the most urgent.
	priority int
	deadline time.Time

	attemptHistory
	streamProgress

	// trialWaitSince is when the request first waited for a quarantine trial. All of its
	// attempts together wait for at most maxTrialWait.
	trialWaitSince time.Time
	// hasBegun reports that an endpoint has begun to answer the request in one of its attempts
	// and did not crash at once.
	hasBegun bool

	fairShareState

	// attemptState is that of the current attempt, the one that is recorded and logged.
	*attemptState
	timeToFirstEvent time.Duration
	// skipped is why the last placement skipped endpoints.
	skipped skippedEndpoints
}

// attemptState is what is recorded of one attempt.
type attemptState struct {
	plan     placement.Plan
	inFlight placement.InFlightNumber
	// placedAt is when the plan was made.
	placedAt time.Time
	sentAt   time.Time
	// link is the way that the connection of the attempt takes.
	link *outbound.Route
	// decodingSince is when the attempt's first event arrived; zero before it.
	decodingSince time.Time
	// survivalRecorded reports that the attempt was recorded as one that did not crash
	// its endpoint.
	survivalRecorded bool
	// endedAt is when the attempt ended by itself; endpointGone reports that its endpoint's process
	// had ended by then.
	endedAt      time.Time
	endpointGone bool
	// head is the head of the answer; nil while none has arrived.
	head *answerhead.Head
	// memoryReleased reports that the memory at the helpers was given back before the attempt's end.
	memoryReleased bool
}

// attemptHistory is the history of a request's attempts, which decides about retries.
type attemptHistory struct {
	// attemptCount counts all attempts, sentCount those that reached an endpoint.
	attemptCount, sentCount int
	// unansweredReservations counts the attempts that an engine's silence kept from being sent.
	unansweredReservations int
	// mayHaveRun reports that an attempt was sent and the endpoint did not guarantee
	// that it had not run the request.
	mayHaveRun bool
	// excluded holds the endpoints of failed attempts, blamedHelper the helper that the last
	// refusal blamed, lastFailure the last error answer of an endpoint.
	excluded     map[peridotpath.EndpointKey]bool
	blamedHelper string
	lastFailure  *failedAnswer
	// denied is what allowed no further attempt: "not_repeatable", "attempts", "budget", or the
	// result of the last placement; empty while none was denied.
	denied string
}

// streamProgress is what the caller has received of the answer.
type streamProgress struct {
	// streamBegun reports that the stream has begun; lastEventID is the id of the last event
	// sent to the caller, eventCount the number of events.
	streamBegun bool
	lastEventID string
	eventCount  int
	// isNextEventKnown reports that an attempt broke off within the event after the last one, so that
	// the stream is not whole yet.
	isNextEventKnown bool
	// lastEventAt is when the last event was sent, longestPause the longest time between
	// two events.
	lastEventAt  time.Time
	longestPause time.Duration
}

// maxTotalAttempts bounds the attempts of one request, including those that reached no
// endpoint, each of which takes up to the connection timeout.
const maxTotalAttempts = 5

// run makes attempts until one succeeds or no further one is allowed.
func (exchange *exchange) run(ctx context.Context) {
	exchange.relay.RetryBudget.RecordRequest(exchange.service, time.Now())
	if result := exchange.checkQuarantine(); result != nil {
		exchange.fail(*result)
		return
	}
	exchange.awaitEndpoints(ctx)
	for {
		if result := exchange.awaitQuarantineTrial(ctx); result != nil {
			exchange.fail(*result)
			return
		}
		if result := exchange.place(ctx); result != nil {
			exchange.fail(*result)
			return
		}
		if result := exchange.checkQuarantine(); result != nil {
			exchange.relay.LoadTracker.RemoveInFlight(exchange.inFlight)
			exchange.recordUse(time.Now())
			exchange.fail(*result)
			return
		}
		exchange.attemptCount++
		outcome, err := exchange.attempt(ctx)
		if outcome == outcomeDone {
			exchange.recordSurvival()
			exchange.recordResult(peridotpath.CodeOK)
			if exchange.relay.ServedSampler.Allow(time.Now()) {
				exchange.addLogFields(exchange.relay.Log.Info(), peridotpath.CodeOK).Msg("served")
			}
			return
		}
		exchange.recordFailure(ctx, outcome, err)
		if result := exchange.contextResult(ctx); result != nil {
			exchange.fail(*result)
			return
		}
		if result := exchange.checkRetry(ctx, outcome); result != nil {
			exchange.fail(*result)
			return
		}
	}
}

// place selects the endpoints for the next attempt and records it as in flight.
func (exchange *exchange) place(ctx context.Context) *peridotpath.Result {
	if canReach := exchange.relay.CanReach; canReach != nil && !canReach() {
		return exchange.refusal(peridotpath.CodeUnreachable, longRetryAfter)
	}
	if exchange.spec.Engine == nil {
		return exchange.placeWithoutEngine()
	}
	model := placement.Model{Rates: exchange.spec.Engine}
	exchange.prefillTime = model.PrefillTime(exchange.request.PromptTokens)
	exchange.recordArrival(time.Now())
	if exchange.prefillTime > maxUnqueuedPrefill && exchange.route.TTFTTarget >= minQueuedTTFT {
		return exchange.awaitDispatch(ctx, model, exchange.prefillTime)
	}
	if exchange.mayWaitForSlot() {
		return exchange.awaitShortSlot(ctx, model)
	}
	return exchange.placeAtOnce(model)
}

// placeAtOnce places a prompt on the best engines, also where it then waits for a slot there.
func (exchange *exchange) placeAtOnce(model placement.Model) *peridotpath.Result {
	for {
		now := time.Now()
		candidates, snapshot := exchange.candidates(now), exchange.relay.LoadTracker.Snapshot(now)
		if len(candidates) == 0 {
			return exchange.noEndpointRefusal()
		}
		candidates, snapshot, result := exchange.admitByShare(candidates, snapshot, now)
		if result != nil {
			return result
		}
		work := exchange.placementWork(now)
		plan, found := placement.PlanPrompt(model, work, candidates, snapshot)
		if !found {
			retryAfter := max(shortRetryAfter, placement.TimeToFreeSlot(model, work, candidates, snapshot))
			return exchange.refuseUnplanned(work, retryAfter, func(work placement.Work) bool {
				_, found := placement.PlanPrompt(model, work, candidates, snapshot)
				return found
			})
		}
		if exchange.beginInFlight(plan, now) {
			return nil
		}
	}
}

func (exchange *exchange) placeWithoutEngine() *peridotpath.Result {
	for {
		now := time.Now()
		candidates := exchange.candidates(now)
		if len(candidates) == 0 {
			return exchange.noEndpointRefusal()
		}
		work, snapshot := exchange.placementWork(now), exchange.relay.LoadTracker.Snapshot(now)
		plan, found := placement.PlanPlain(work, candidates, snapshot)
		if !found {
			return exchange.refuseUnplanned(work, shortRetryAfter, func(work placement.Work) bool {
				_, found := placement.PlanPlain(work, candidates, snapshot)
				return found
			})
		}
		if exchange.beginInFlight(plan, now) {
			return nil
		}
	}
}

// beginInFlight records the plan as in flight, so that later plans count its load. It
// returns false if other requests have exhausted an endpoint's rate limit in the meantime.
func (exchange *exchange) beginInFlight(plan placement.Plan, now time.Time) bool {
	if !exchange.takeRateLimits(&plan, now) {
		return false
	}
	exchange.attemptState = &attemptState{plan: plan, placedAt: now}
	exchange.inFlight = exchange.relay.LoadTracker.AddInFlight(plan.InFlight(exchange.placementWork(now), now))
	exchange.recordUse(now)
	exchange.recordDispatch(now)
	return true
}

func (exchange *exchange) placementWork(now time.Time) placement.Work {
	timeLeft := exchange.deadline.Sub(now)
	answer := exchange.request.MaxAnswerTokens
	if expected := exchange.request.ExpectedAnswerTokens; expected > 0 {
		answer = min(answer, expected)
	}
	if exchange.lastEventID != "" {
		// A resumed answer may be nearly complete, so only one more token is assumed. With
		// a longer estimate, the request could be refused because the remaining time looks
		// too short for it.
		answer = 1
	}
	if exchange.streamBegun {
		// A stream that has begun is continued after its deadline rather than cut.
		timeLeft = time.Hour
	}
	return placement.Work{
		PromptTokens: exchange.request.PromptTokens, AnswerTokens: answer,
		TTFTTarget: exchange.route.TTFTTarget, ITLTarget: exchange.route.ITLTarget,
		Waited: now.Sub(exchange.request.ArrivedAt), TimeLeft: timeLeft, ClientTimeout: exchange.untilClientTimeout(now), DataCentre: exchange.relay.DataCentre,
		FewestHelpers: exchange.blamedHelper != "", UntilExit: exchange.relay.ExitNotice.TimeLeft(now),
	}
}

// untilClientTimeout returns the time until the client times out if no event arrives; zero
// if the route sets no client timeout or the stream has begun. An expired timeout yields 1
// ns, since zero means that there is none.
func (exchange *exchange) untilClientTimeout(now time.Time) time.Duration {
	idleTimeout := exchange.route.ClientIdleTimeout
	if idleTimeout == 0 || exchange.streamBegun {
		return 0
	}
	return max(idleTimeout-now.Sub(exchange.request.ArrivedAt), 1)
}

// fingerprint returns the hash of the request's content, computed on first use.
func (exchange *exchange) fingerprint() peridotpath.Fingerprint {
	if !exchange.hasFingerprint {
		request := exchange.request
		exchange.contentFingerprint = peridotpath.FingerprintOf(exchange.customer, request.Host, request.Method, request.Target, request.Body)
		exchange.hasFingerprint = true
	}
	return exchange.contentFingerprint
}

// refusal returns the result for a request that cannot be placed now.
func (exchange *exchange) refusal(code peridotpath.Code, retryAfter time.Duration) *peridotpath.Result {
	exchange.denied = code.String()
	if exchange.mayHaveRun {
		return &peridotpath.Result{Code: peridotpath.CodeEndpointFailed}
	}
	return &peridotpath.Result{Code: code, RetryAfter: retryAfter}
}

// fail ends the request with an error: it aborts a stream that has begun, else forwards
// an endpoint's own error answer, else sends the result.
func (exchange *exchange) fail(result peridotpath.Result) {
	exchange.recordResult(result.Code)
	if leftOut, allowed := exchange.relay.FailureSampler.Take(result.Code.String(), time.Now()); allowed {
		event := exchange.addLogFields(exchange.relay.Log.Info(), result.Code).Dur("retry_after", result.RetryAfter).
			Bool("aborted", exchange.streamBegun).Str("denied", exchange.denied)
		telemetry.AddLeftOut(event, leftOut).Msg("failed")
	}
	switch {
	case exchange.streamBegun:
		telemetry.CountAnswerAborted(result.Code.String())
		exchange.caller.Abort()
	case exchange.lastFailure != nil && result.Code != peridotpath.CodeCallerGone:
		exchange.caller.Answer(exchange.lastFailure.answer.Status, exchange.lastFailure.answer.Header, exchange.lastFailure.body)
	default:
		exchange.caller.Refuse(result)
	}
}
