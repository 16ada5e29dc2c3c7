package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/answerbuffer"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/quarantine"
	"peridotpath.example/peridotpath/telemetry"
)

// goneCheckInterval is the time between two checks whether the endpoint of a plain call that has
// not begun its answer is still listed, and between two attempts to find a second endpoint.
const goneCheckInterval = 50 * time.Millisecond

// secondAttempt is the state of a plain call that decides whether a second endpoint gets it.
//
// It matters for an endpoint that takes calls and does not answer, as one whose machine has lost
// its network: 98 idempotent calls waited there until their deadline of 1.5 s. A second attempt
// costs a free slot of another endpoint and one retry of the budget, which bounds the load that
// these attempts add while all endpoints are slow.
type secondAttempt struct {
	// sinceArrival and sinceSent are the times since the request arrived and since it was sent.
	sinceArrival, sinceSent time.Duration
	target                  time.Duration
	// answerBegun reports that the first endpoint has begun to answer, isGone that it is no
	// longer listed.
	answerBegun, isGone bool
	// attemptCount and sentCount are as in attemptHistory, the first attempt included.
	attemptCount, sentCount, maxAttempts int
}

// isDue reports whether the call should be sent to a second endpoint now. An attempt gets half
// the target for itself: one that is made after a failure is not late from its first moment.
func (second *secondAttempt) isDue() bool {
	switch {
	case second.answerBegun, second.attemptCount >= maxTotalAttempts, second.sentCount >= second.maxAttempts:
		return false
	case second.isGone:
		return true
	}
	return second.timeUntilDue() <= 0
}

// timeUntilDue returns the time until the first endpoint has exceeded the target.
func (second *secondAttempt) timeUntilDue() time.Duration {
	return max(second.target-second.sinceArrival, second.target/2-second.sinceSent)
}

// freeCandidates returns the candidates that have a free slot. Where an endpoint's calls wait for
// a slot, a second attempt would wait as the first one does, and add to the overload.
func freeCandidates(candidates []placement.Candidate, snapshot placement.LoadSnapshot) []placement.Candidate {
	return slices.DeleteFunc(candidates, func(candidate placement.Candidate) bool {
		load := snapshot.At(candidate.Key)
		return candidate.IsEjected || load.RequestCount() >= max(candidate.Endpoint.Slots, 1)
	})
}

// contender is one of the attempts of a plain call.
type contender struct {
	call     *Call
	plan     placement.Plan
	inFlight placement.InFlightNumber
	placedAt time.Time
	sentAt   time.Time
	link     *outbound.Route
	cancel   context.CancelCauseFunc
	// answered reports that the head of an answer has arrived.
	answered *atomic.Bool
	failed   bool
	// secondRefused reports that the retry budget had no retry left for a second attempt.
	secondRefused bool
}

// contenderResult is how a contender ended. held is complete if outcome is outcomeDone, and nil
// where nothing was read; the receiver releases it.
type contenderResult struct {
	contender *contender
	answer    *Answer
	held      *answerbuffer.Buffer
	outcome   outcome
	err       error
}

// run sends the call and reads the whole answer. It reports once and uses no state of the
// exchange.
func (contender *contender) run(ctx context.Context, relay *Relay, results chan<- contenderResult) {
	result := contenderResult{contender: contender}
	defer func() { results <- result }()
	answer, err := relay.Send(ctx, contender.call)
	if err != nil {
		if result.outcome, result.err = outcomeUnsent, err; !outbound.ErrNotSent.Has(err) {
			result.outcome, result.err = connectionOutcome(ctx), errors.Join(err, context.Cause(ctx))
		}
		return
	}
	defer answer.Body.Close()
	contender.answered.Store(true)
	result.answer = answer
	if answer.isFromEndpoint() && !answer.NotRun {
		result.held, result.outcome, result.err = relay.readWhole(ctx, answer)
	}
}

// mayUseSecondEndpoint reports whether the attempt may be joined by one at a second endpoint:
// the request is an idempotent call, not a stream, to a service without engines.
func (exchange *exchange) mayUseSecondEndpoint() bool {
	return exchange.route.Idempotent && !exchange.route.Streaming && exchange.spec.Engine == nil &&
		exchange.route.TTFTTarget > 0 && exchange.sentCount+1 < exchange.route.MaxAttempts
}

// attemptWithSecond sends a plain call to the planned endpoint, and to a second one if the first
// does not begin its answer by the target. The first success is relayed and the other attempt is
// cancelled, which closes its connection. A failure is returned when no attempt is left. firstCtx
// is the context of the first attempt, which cancel ends, and ctx that of the request.
func (exchange *exchange) attemptWithSecond(ctx, firstCtx context.Context, cancel context.CancelCauseFunc, call *Call) (outcome, error) {
	first, second := exchange.asContender(call, cancel, &exchange.answered), (*contender)(nil)
	// Each contender reports once, so that none waits for this goroutine.
	results := make(chan contenderResult, 2)
	running := 1
	defer func() {
		for ; running > 0; running-- {
			result := <-results
			result.held.Release()
		}
	}()
	go first.run(firstCtx, exchange.relay, results)
	timer := time.NewTimer(exchange.nextSecondCheck(first))
	defer timer.Stop()
	for {
		select {
		case result := <-results:
			running--
			exchange.setCurrentAttempt(result.contender)
			other := first
			if result.contender == first {
				other = second
			}
			outcome, err := exchange.finishContender(&result, other)
			result.held.Release()
			switch {
			case outcome == outcomeDone, running == 0:
				if second != nil {
					exchange.recordSecondAttempt(first, second, outcome, result.contender)
				}
				return outcome, err
			}
			result.contender.failed = true
			exchange.recordFailure(ctx, outcome, err)
			exchange.relay.LoadTracker.RemoveInFlight(result.contender.inFlight)
			exchange.setCurrentAttempt(other)
		case <-timer.C:
			if state := exchange.secondAttemptState(first); state.isDue() && ctx.Err() == nil {
				var stop func()
				if second, stop = exchange.startSecond(ctx, first, results); second != nil {
					defer stop()
					running++
					continue
				}
			}
			if !first.secondRefused {
				timer.Reset(exchange.nextSecondCheck(first))
			}
		}
	}
}

// asContender returns the attempt that the exchange has planned.
func (exchange *exchange) asContender(call *Call, cancel context.CancelCauseFunc, answered *atomic.Bool) *contender {
	return &contender{
		call: call, plan: exchange.plan, inFlight: exchange.inFlight, placedAt: exchange.placedAt, sentAt: exchange.sentAt,
		link: exchange.link, cancel: cancel, answered: answered,
	}
}

// setCurrentAttempt makes the contender the attempt that the exchange records and logs.
func (exchange *exchange) setCurrentAttempt(contender *contender) {
	exchange.plan, exchange.inFlight, exchange.placedAt = contender.plan, contender.inFlight, contender.placedAt
	exchange.sentAt, exchange.link = contender.sentAt, contender.link
}

// finishContender records what a contender received, and relays it if it is a success. The other
// contender, nil for none, is cancelled before that.
func (exchange *exchange) finishContender(result *contenderResult, other *contender) (outcome, error) {
	if result.answer == nil {
		return result.outcome, result.err
	}
	if outcome, err := exchange.checkAnswer(result.answer); outcome != outcomeDone {
		return outcome, err
	}
	if result.outcome != outcomeDone {
		return result.outcome, result.err
	}
	if other != nil && result.answer.Status < statusFirstFailure {
		other.cancel(errOtherAnswered)
		exchange.relay.LoadTracker.RemoveInFlight(other.inFlight)
	}
	exchange.relay.silentEndpoints.recordAnswer(result.contender.plan.Primary.Key())
	return exchange.relayWhole(result.answer, result.held.Body), nil
}

// statusFirstFailure is the lowest status of an answer that reports an endpoint's error.
const statusFirstFailure = 500

var errOtherAnswered = errors.New("another endpoint has answered this request")

// secondAttemptState returns the state that decides about a second attempt.
func (exchange *exchange) secondAttemptState(first *contender) *secondAttempt {
	now := time.Now()
	return &secondAttempt{
		sinceArrival: now.Sub(exchange.request.ArrivedAt), sinceSent: now.Sub(first.sentAt), target: exchange.route.TTFTTarget,
		answerBegun: first.answered.Load(), isGone: exchange.relay.AllEndpoints().ByKey(first.plan.Primary.Key()) == nil,
		attemptCount: exchange.attemptCount, sentCount: exchange.sentCount + 1, maxAttempts: exchange.route.MaxAttempts,
	}
}

// nextSecondCheck returns the time until the next check whether a second attempt is due.
func (exchange *exchange) nextSecondCheck(first *contender) time.Duration {
	if due := exchange.secondAttemptState(first).timeUntilDue(); due > 0 {
		return min(due, goneCheckInterval)
	}
	return goneCheckInterval
}

// startSecond sends the call to a second endpoint, and returns the attempt with a function that
// ends it; nil if no endpoint takes it now. The exchange goes on with the first attempt.
func (exchange *exchange) startSecond(ctx context.Context, first *contender, results chan<- contenderResult) (*contender, func()) {
	if !exchange.placeSecond(first) {
		exchange.setCurrentAttempt(first)
		return nil, nil
	}
	exchange.attemptCount++
	exchange.sentAt = time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, exchange.link = outbound.WithRoute(ctx)
	second := exchange.asContender(exchange.newCall(exchange.sentAt, nil), cancel, &atomic.Bool{})
	exchange.setCurrentAttempt(first)
	stopWatch := exchange.watchContenderLink(second)
	telemetry.CountSecondAttempt()
	go second.run(ctx, exchange.relay, results)
	return second, func() {
		stopWatch()
		cancel(errOtherAnswered)
		exchange.relay.LoadTracker.RemoveInFlight(second.inFlight)
	}
}

// placeSecond plans an attempt at an endpoint with a free slot and records it as in flight.
func (exchange *exchange) placeSecond(first *contender) bool {
	now, relay := time.Now(), exchange.relay
	if exchange.judge(now).State != quarantine.Clear || exchange.customer != "" && !relay.Routing.KeysUsable() || relay.CanReach != nil && !relay.CanReach() {
		return false
	}
	key := first.plan.Primary.Key()
	if exchange.excluded == nil {
		exchange.excluded = map[peridotpath.EndpointKey]bool{}
	}
	exchange.excluded[key] = true
	snapshot := relay.LoadTracker.Snapshot(now)
	plan, found := placement.PlanPlain(exchange.placementWork(now), freeCandidates(exchange.candidates(now), snapshot), snapshot)
	hasBudget := found && relay.RetryBudget.TakeSpare(exchange.service, now)
	if hasBudget && exchange.beginInFlight(plan, now) {
		return true
	}
	if found && !hasBudget {
		first.secondRefused = true
		telemetry.CountSecondAttemptRefused()
	}
	delete(exchange.excluded, key)
	return false
}

// watchContenderLink cancels the contender when the own links carry nothing any more, as watchLink
// does. It returns a function that ends the watch.
func (exchange *exchange) watchContenderLink(contender *contender) (stop func()) {
	notifyStalled := exchange.relay.NotifyStalled
	if notifyStalled == nil {
		return func() {}
	}
	return notifyStalled(func() {
		if _, isCarried := contender.link.Peer(); isCarried {
			return
		}
		exchange.relay.LoadTracker.RemoveInFlight(contender.inFlight)
		if !contender.answered.Load() {
			contender.cancel(errLinkStalled)
		}
	})
}

// recordSecondAttempt logs and counts how a call with two attempts ended, and ejects the first
// endpoint if it was silent.
func (exchange *exchange) recordSecondAttempt(first, second *contender, outcome outcome, last *contender) {
	winner, now := "none", time.Now()
	switch {
	case outcome == outcomeDone && last == first:
		winner = "first"
	case outcome == outcomeDone:
		winner = "second"
		if key := first.plan.Primary.Key(); !first.failed && !first.answered.Load() && exchange.relay.silentEndpoints.recordSilence(key) {
			exchange.ejectFailed(key, now)
		}
	}
	telemetry.CountSecondAttemptWinner(winner)
	if exchange.relay.ServedSampler.Allow(now) {
		exchange.relay.Log.Info().Str("request", string(exchange.request.ID)).Str("route", string(exchange.route.Name)).
			Str("first", string(first.plan.Primary.ID)).Str("second", string(second.plan.Primary.ID)).
			Dur("after", second.sentAt.Sub(first.sentAt)).Dur("took", now.Sub(exchange.request.ArrivedAt)).
			Str("winner", winner).Msg("second_attempt")
	}
}

// maxSilentCalls is the number of consecutive calls to an endpoint that another one answered
// first, without the beginning of an answer, after which the endpoint is ejected. Since these
// calls are cancelled, the endpoint would otherwise look idle and attract more of them.
const maxSilentCalls = 2

// maxSilentEndpoints bounds the endpoints that are counted; those that left the fleet stay.
const maxSilentEndpoints = 1024

// silentEndpoints counts for each endpoint the consecutive calls that it was silent on.
type silentEndpoints struct {
	mutex  sync.Mutex
	counts map[peridotpath.EndpointKey]int
}

// recordSilence counts a call, and reports whether the endpoint is to be ejected.
func (silent *silentEndpoints) recordSilence(key peridotpath.EndpointKey) bool {
	silent.mutex.Lock()
	defer silent.mutex.Unlock()
	if silent.counts == nil || len(silent.counts) >= maxSilentEndpoints {
		silent.counts = map[peridotpath.EndpointKey]int{}
	}
	silent.counts[key]++
	return silent.counts[key] >= maxSilentCalls
}

// recordAnswer records that the endpoint has answered.
func (silent *silentEndpoints) recordAnswer(key peridotpath.EndpointKey) {
	silent.mutex.Lock()
	defer silent.mutex.Unlock()
	delete(silent.counts, key)
}
