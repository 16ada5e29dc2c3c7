package relay

import (
	"context"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/placement"
)

// exchange is one request on its way through the attempts.
type exchange struct {
	relay    *Relay
	request  *Request
	caller   *Caller
	route    *peridotpath.Route
	service  peridotpath.Service
	spec     peridotpath.ServiceSpec
	customer peridotpath.CustomerID
	// engines is how many there were at the last look, reading how long one of them
	// takes for the prompt.
	engines int
	reading time.Duration
	// content is the request's fingerprint once hasContent.
	content    peridotpath.Fingerprint
	hasContent bool
	// priority is the operators' rank of the request; 0 is the most urgent.
	priority int
	deadline time.Time

	attempts
	progress

	// suspected is when the request first asked whether it is; attempts wait no longer for
	// that together than one of them may.
	suspected time.Time
	// writingSince is when the attempt's first event came; zero before it.
	writingSince time.Time
	// survived says that the attempt's endpoint was found to go on with the request.
	survived bool

	plan       placement.Plan
	flight     placement.InFlightNumber
	sentAt     time.Time
	firstEvent time.Duration
	retryAfter time.Duration
	// limited is how long it is until the first of the endpoints takes a request that
	// were passed over for their limits; zero where none was.
	limited time.Duration
}

// attempts is what the attempts so far say about the next one.
type attempts struct {
	// tries counts attempts, sent those that reached an endpoint.
	tries, sent int
	// mayHaveRun says that an attempt was sent and not promised not to have run.
	mayHaveRun bool
	// avoid holds the endpoints of failed attempts, fault names the one that a refusal
	// blamed, last is what an endpoint's own failure answered.
	avoid map[peridotpath.EndpointKey]bool
	fault string
	last  *failedAnswer
}

// progress is how far the answer has come at the caller.
type progress struct {
	// begun says that the answer's stream has begun, afterEvent which event the
	// caller has, events how many.
	begun      bool
	afterEvent string
	events     int
	// lastEvent is when the last event went out, longestPause the longest time
	// between two.
	lastEvent    time.Time
	longestPause time.Duration
}

// maxTries bounds the attempts of one request, those included that reached no
// endpoint: each such one costs up to the time limit of a connection.
const maxTries = 5

// run makes attempts until one ends the request.
func (exchange *exchange) run(ctx context.Context) {
	exchange.relay.Budget.Note(exchange.service, time.Now())
	if result := exchange.barred(); result != nil {
		exchange.fail(*result)
		return
	}
	exchange.awaitEndpoints(ctx)
	for {
		if result := exchange.awaitTrial(ctx); result != nil {
			exchange.fail(*result)
			return
		}
		if result := exchange.place(ctx); result != nil {
			exchange.fail(*result)
			return
		}
		if result := exchange.barred(); result != nil {
			exchange.relay.Book.RemoveInFlight(exchange.flight)
			exchange.fail(*result)
			return
		}
		exchange.tries++
		outcome, err := exchange.attempt(ctx)
		if outcome == outcomeDone {
			exchange.noteSurvival()
			exchange.count(peridotpath.CodeOK)
			if exchange.relay.Served.Allow(time.Now()) {
				exchange.log(exchange.relay.Log.Info(), peridotpath.CodeOK).Msg("served")
			}
			return
		}
		exchange.note(ctx, outcome, err)
		if result := exchange.ended(ctx); result != nil {
			exchange.fail(*result)
			return
		}
		if result := exchange.again(outcome); result != nil {
			exchange.fail(*result)
			return
		}
	}
}

// place finds the endpoints for the next attempt and notes it as under way.
func (exchange *exchange) place(ctx context.Context) *peridotpath.Result {
	if exchange.spec.Engine == nil {
		return exchange.placePlain()
	}
	model := placement.Model{Rates: exchange.spec.Engine}
	exchange.reading = model.PrefillTime(exchange.request.Prompt)
	if exchange.reading > longRead && exchange.route.TTFTTarget >= leastWaitAim {
		return exchange.awaitTurn(ctx, model, exchange.reading)
	}
	for {
		now := time.Now()
		candidates, view := exchange.candidates(now), exchange.relay.Book.Snapshot(now)
		if len(candidates) == 0 {
			return exchange.noEndpoint()
		}
		work := exchange.work(now)
		plan, found := placement.PlanPrompt(model, work, candidates, view)
		if !found {
			return exchange.refusal(peridotpath.CodeCannotFinish, max(shortReturn, placement.TimeToFreeSlot(model, work, candidates, view)))
		}
		if exchange.begin(plan, now) {
			return nil
		}
	}
}

func (exchange *exchange) placePlain() *peridotpath.Result {
	for {
		now := time.Now()
		candidates := exchange.candidates(now)
		if len(candidates) == 0 {
			return exchange.noEndpoint()
		}
		plan, found := placement.PlanPlain(exchange.work(now), candidates, exchange.relay.Book.Snapshot(now))
		if !found {
			return exchange.refusal(peridotpath.CodeCannotFinish, shortReturn)
		}
		if exchange.begin(plan, now) {
			return nil
		}
	}
}

// begin notes the plan as under way, so that the next one counts it. It returns false
// where another request has used up the writer's limit meanwhile.
func (exchange *exchange) begin(plan placement.Plan, now time.Time) bool {
	if !exchange.take(&plan, now) {
		return false
	}
	exchange.plan = plan
	exchange.flight = exchange.relay.Book.AddInFlight(plan.InFlight(exchange.work(now), now))
	return true
}

func (exchange *exchange) work(now time.Time) placement.Work {
	left := exchange.deadline.Sub(now)
	answer := exchange.request.Answer
	if hint := exchange.request.AnswerHint; hint > 0 {
		answer = min(answer, hint)
	}
	if exchange.afterEvent != "" {
		// Most of it may be written already.
		answer = 1
	}
	if exchange.begun {
		// A stream that has begun is better gone on with than broken off, however late.
		left = time.Hour
	}
	return placement.Work{
		PromptTokens: exchange.request.Prompt, AnswerTokens: answer,
		TTFTTarget: exchange.route.TTFTTarget, ITLTarget: exchange.route.ITLTarget,
		Waited: now.Sub(exchange.request.Arrived), TimeLeft: left, ClientTimeout: exchange.patience(now), DataCentre: exchange.relay.DataCentre,
	}
}

// patience is the time until the caller leaves if no event has come; zero where
// that is not known, or the stream has begun.
func (exchange *exchange) patience(now time.Time) time.Duration {
	silence := exchange.route.ClientIdleTimeout
	if silence == 0 || exchange.begun {
		return 0
	}
	return max(silence-now.Sub(exchange.request.Arrived), 1)
}

// fingerprint names the request's content. It is taken when it is first asked for.
func (exchange *exchange) fingerprint() peridotpath.Fingerprint {
	if !exchange.hasContent {
		request := exchange.request
		exchange.content = peridotpath.FingerprintOf(exchange.customer, request.Host, request.Method, request.Target, request.Body)
		exchange.hasContent = true
	}
	return exchange.content
}

// refusal ends a request that no endpoint takes now.
func (exchange *exchange) refusal(code peridotpath.Code, retryAfter time.Duration) *peridotpath.Result {
	if exchange.mayHaveRun {
		return &peridotpath.Result{Code: peridotpath.CodeEndpointFailed}
	}
	return &peridotpath.Result{Code: code, RetryAfter: retryAfter}
}

// fail ends the request without a success.
func (exchange *exchange) fail(result peridotpath.Result) {
	exchange.count(result.Code)
	exchange.log(exchange.relay.Log.Info(), result.Code).Dur("retry_after", result.RetryAfter).Msg("failed")
	switch {
	case exchange.begun:
		exchange.caller.Break()
	case exchange.last != nil && result.Code != peridotpath.CodeCallerGone:
		exchange.caller.Answer(exchange.last.answer.Status, exchange.last.answer.Header, exchange.last.body)
	default:
		exchange.caller.Refuse(result)
	}
}
