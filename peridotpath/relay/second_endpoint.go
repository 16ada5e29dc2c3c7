package relay

import (
	"errors"
	"slices"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/failover"
	"peridotpath.example/peridotpath/placement"
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

// mayUseSecondEndpoint reports whether the attempt may be joined by one at a second endpoint:
// the request is an idempotent call, not a stream, to a service without engines.
func (exchange *exchange) mayUseSecondEndpoint() bool {
	return exchange.route.Idempotent && !exchange.route.Streaming && exchange.spec.Engine == nil &&
		exchange.route.TTFTTarget > 0 && exchange.sentCount+1 < exchange.route.MaxAttempts
}

// statusFirstFailure is the lowest status of an answer that reports an endpoint's error.
const statusFirstFailure = 500

// checkLate suspects the first contender when a second endpoint is due.
func (race *race) checkLate(now time.Time) {
	if race.first.doubt == failover.DoubtLate && race.first.answered.Load() {
		race.first.doubt, race.first.doubtErr = failover.DoubtNone, nil
	}
	if !race.mayJoinLate() {
		return
	}
	if state := race.exchange.secondAttemptState(race.first, now); state.isDue() {
		race.first.suspect(failover.DoubtLate, errLate)
	}
}

var errLate = errors.New("call not answered by its target, or its endpoint no longer listed")

// mayJoinLate reports whether the first contender runs alone and may be joined when it is late.
func (race *race) mayJoinLate() bool {
	return len(race.running) == 1 && race.running[0] == race.first && race.first.doubt == failover.DoubtNone &&
		!race.lateJoined && !race.spareDenied && race.exchange.mayUseSecondEndpoint()
}

// secondAttemptState returns the state that decides about a second attempt.
func (exchange *exchange) secondAttemptState(first *contender, now time.Time) *secondAttempt {
	return &secondAttempt{
		sinceArrival: now.Sub(exchange.request.ArrivedAt), sinceSent: now.Sub(first.sentAt), target: exchange.route.TTFTTarget,
		answerBegun: first.answered.Load(), isGone: exchange.relay.AllEndpoints().ByKey(first.plan.Primary.Key()) == nil,
		attemptCount: exchange.attemptCount, sentCount: exchange.sentCount + 1, maxAttempts: exchange.route.MaxAttempts,
	}
}

// nextSecondCheck returns the time until the next check whether a second attempt is due.
func (exchange *exchange) nextSecondCheck(first *contender) time.Duration {
	if due := exchange.secondAttemptState(first, time.Now()).timeUntilDue(); due > 0 {
		return min(due, goneCheckInterval)
	}
	return goneCheckInterval
}

// logSecondAttempt logs and counts how a request with two attempts ended, and ejects the first
// endpoint of a plain call if it was silent. It does nothing where there was one attempt.
func (race *race) logSecondAttempt(last *contender, now time.Time) {
	exchange, first, second := race.exchange, race.first, race.second
	if second == nil {
		return
	}
	race.second = nil
	winner := "none"
	switch {
	case !last.wasAnswered:
	case last == first:
		winner = "first"
	default:
		winner = "second"
		if key := first.plan.Primary.Key(); !exchange.route.Streaming && !first.failed && !first.answered.Load() && exchange.relay.silentEndpoints.recordSilence(key) {
			// Whether the own link is to blame depends on the way of the silent attempt.
			exchange.attemptState = first.attemptState
			exchange.ejectFailed(key, now)
			exchange.attemptState = last.attemptState
		}
	}
	telemetry.CountSecondAttemptWinner(winner)
	if exchange.relay.ServedSampler.Allow(now) {
		exchange.relay.Log.Info().Str("request", string(exchange.request.ID)).Str("route", string(exchange.route.Name)).
			Str("first", string(first.plan.Primary.ID)).Str("second", string(second.plan.Primary.ID)).
			Stringer("doubt", race.joinedFor).Dur("after", second.sentAt.Sub(first.sentAt)).Dur("took", now.Sub(exchange.request.ArrivedAt)).
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
