package relay

import (
	"context"
	"errors"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/telemetry"
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

	// tries counts attempts, sent those that reached an endpoint.
	tries, sent int
	// mayHaveRun says that an attempt was sent and not promised not to have run.
	mayHaveRun bool
	avoid      map[peridotpath.EndpointKey]bool
	// begun says that the answer's stream has begun, afterEvent which event the
	// caller has, events how many.
	begun      bool
	afterEvent string
	events     int
	// lastEvent is when the last event went out, longestPause the longest time
	// between two.
	lastEvent    time.Time
	longestPause time.Duration

	// suspected is when the request first asked whether it is; attempts wait no longer for
	// that together than one of them may.
	suspected time.Time
	// writingSince is when the attempt's first event came; zero before it.
	writingSince time.Time
	// survived says that the attempt's endpoint was found to go on with the request.
	survived bool

	plan       placement.Plan
	flight     placement.FlightNumber
	sentAt     time.Time
	firstEvent time.Duration
	retryAfter time.Duration
	// limited is how long it is until the first of the endpoints takes a request that
	// were passed over for their limits; zero where none was.
	limited time.Duration
	// fault names the endpoint that a refusal blamed.
	fault string
	last  *failedAnswer
}

// failedAnswer is an endpoint's own failure, kept to be handed on if no other
// endpoint does better.
type failedAnswer struct {
	answer *Answer
	body   []byte
}

// outcome is how one attempt ended.
type outcome int

const (
	outcomeDone outcome = iota
	// outcomeUnsent: no byte reached the endpoint.
	outcomeUnsent
	// outcomeRefused: the endpoint promises not to have run the request.
	outcomeRefused
	// outcomeElsewhere: another endpoint has the address now.
	outcomeElsewhere
	// outcomeFailed: the request may have run.
	outcomeFailed
	// outcomeNoMemory: the memory that the request needs could not be reserved.
	outcomeNoMemory
	// outcomeErrored: the endpoint ran it and answered with a failure of its own.
	outcomeErrored
	// outcomeBroken: the connection broke off; the request may have run.
	outcomeBroken
)

var outcomeNames = [...]string{"done", "unsent", "refused", "elsewhere", "failed", "no_memory", "errored", "broken"}

func (outcome outcome) String() string { return outcomeNames[outcome] }

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
			exchange.relay.Book.End(exchange.flight)
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
	exchange.reading = model.ReadTime(exchange.request.Prompt)
	if exchange.reading > longRead && exchange.route.AnswerAim >= leastWaitAim {
		return exchange.awaitTurn(ctx, model, exchange.reading)
	}
	for {
		now := time.Now()
		candidates, view := exchange.candidates(now), exchange.relay.Book.View(now)
		if len(candidates) == 0 {
			return exchange.noEndpoint()
		}
		work := exchange.work(now)
		plan, found := placement.PlanPrompt(model, work, candidates, view)
		if !found {
			return exchange.refusal(peridotpath.CodeCannotFinish, max(shortReturn, placement.SoonestFree(model, work, candidates, view)))
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
		plan, found := placement.PlanPlain(exchange.work(now), candidates, exchange.relay.Book.View(now))
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
	exchange.flight = exchange.relay.Book.Begin(plan.Flight(exchange.work(now), now))
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
		Prompt: exchange.request.Prompt, Answer: answer,
		AnswerAim: exchange.route.AnswerAim, PauseAim: exchange.route.PauseAim,
		Waited: now.Sub(exchange.request.Arrived), Left: left, Patience: exchange.patience(now), DataCentre: exchange.relay.DataCentre,
	}
}

// patience is the time until the caller leaves if no event has come; zero where
// that is not known, or the stream has begun.
func (exchange *exchange) patience(now time.Time) time.Duration {
	silence := exchange.route.Silence
	if silence == 0 || exchange.begun {
		return 0
	}
	return max(silence-now.Sub(exchange.request.Arrived), 1)
}

// candidates returns the endpoints that may take the request.
func (exchange *exchange) candidates(now time.Time) []placement.Candidate {
	exchange.limited = 0
	members := exchange.relay.Endpoints().Of(exchange.service)
	exchange.engines = len(members)
	candidates := exchange.candidatesOf(members, now)
	if len(candidates) == 0 {
		candidates = exchange.candidatesOf(exchange.relay.AllEndpoints().Of(exchange.service), now)
	}
	return candidates
}

func (exchange *exchange) candidatesOf(members []directory.Member, now time.Time) []placement.Candidate {
	candidates := make([]placement.Candidate, 0, len(members))
	suspects := exchange.relay.Book.Suspects(now)
	withinLimit := exchange.limits(now)
	for _, member := range members {
		if exchange.avoid[member.Key] || !withinLimit(member.Key) {
			continue
		}
		candidates = append(candidates, placement.Candidate{Endpoint: member.Endpoint, Key: member.Key, Suspect: suspects[member.Key]})
	}
	return candidates
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

// note draws what an attempt's failure says of its endpoint.
func (exchange *exchange) note(ctx context.Context, outcome outcome, err error) {
	telemetry.Attempt(outcome.String())
	gone := outcome == outcomeBroken && exchange.relay.departed(ctx, exchange.plan.Writer)
	exchange.relay.Log.Info().Str("request", string(exchange.request.ID)).Stringer("content", exchange.fingerprint()).
		Str("endpoint", string(exchange.plan.Writer.ID)).Int("try", exchange.tries).Bool("endpoint_gone", gone).
		Stringer("outcome", outcome).Int("events", exchange.events).Err(err).Msg("attempt_failed")
	if outcome == outcomeNoMemory {
		// The writer has nothing to do with it, and nothing was sent.
		exchange.tries--
		return
	}
	now, key := time.Now(), exchange.plan.Writer.Key()
	if gone {
		exchange.noteEnd(now)
	}
	switch outcome {
	case outcomeRefused:
		exchange.sent++
		exchange.noteRefusal(key, now)
	case outcomeErrored:
		exchange.sent++
		exchange.mayHaveRun = true
		exchange.noteSurvival()
	case outcomeFailed, outcomeBroken:
		exchange.sent++
		exchange.mayHaveRun = true
		exchange.relay.Book.Failed(key, now)
	case outcomeUnsent, outcomeElsewhere:
		exchange.relay.Book.Failed(key, now)
	}
	if exchange.avoid == nil {
		exchange.avoid = map[peridotpath.EndpointKey]bool{}
	}
	exchange.avoid[key] = true
}

// noteRefusal notes who is to blame for a refusal: the endpoint, which is full,
// or a helper that it could not reach.
func (exchange *exchange) noteRefusal(key peridotpath.EndpointKey, now time.Time) {
	for _, helper := range exchange.plan.Helpers {
		if exchange.fault != "" && (exchange.fault == string(helper.ID) || exchange.fault == helper.Address.String()) {
			exchange.relay.Book.Failed(helper.Key(), now)
			return
		}
	}
	exchange.relay.Book.Full(key, now)
}

// ended reports why the request has no time or no caller left.
func (exchange *exchange) ended(ctx context.Context) *peridotpath.Result {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		if !exchange.mayHaveRun {
			return &peridotpath.Result{Code: peridotpath.CodeCannotFinish, RetryAfter: shortReturn}
		}
		return &peridotpath.Result{Code: peridotpath.CodeDeadline}
	default:
		return &peridotpath.Result{Code: peridotpath.CodeCallerGone}
	}
}

// again decides whether another attempt may follow; it returns the result that
// ends the request where none may.
func (exchange *exchange) again(outcome outcome) *peridotpath.Result {
	if outcome == outcomeNoMemory {
		return nil
	}
	final := exchange.finalResult(outcome)
	if exchange.mayHaveRun && !exchange.route.Repeatable() {
		return final
	}
	if exchange.tries >= maxTries || exchange.sent >= max(exchange.route.MaxAttempts, 1) {
		return final
	}
	// What never reached an endpoint adds nothing to the load of the others.
	if exchange.sent > 0 || outcome == outcomeElsewhere {
		if !exchange.relay.Budget.Spend(exchange.service, time.Now()) {
			telemetry.BudgetSpent()
			return final
		}
	}
	return nil
}

func (exchange *exchange) finalResult(outcome outcome) *peridotpath.Result {
	switch {
	case exchange.begun:
		return &peridotpath.Result{Code: peridotpath.CodeStreamCut}
	case exchange.mayHaveRun:
		return &peridotpath.Result{Code: peridotpath.CodeEndpointFailed}
	default:
		return &peridotpath.Result{
			Code: peridotpath.CodeEndpointRefused, RetryAfter: max(exchange.retryAfter, shortReturn), Detail: outcome.String(),
		}
	}
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
