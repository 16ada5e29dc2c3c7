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
	if race.exchange.lateCall(race.first, now).MayJoin() {
		race.first.suspect(failover.DoubtLate, errLate)
	}
}

var errLate = errors.New("call not answered by its target, or its endpoint no longer listed")

// mayJoinLate reports whether the first contender runs alone and may be joined when it is late.
func (race *race) mayJoinLate() bool {
	return len(race.running) == 1 && race.running[0] == race.first && race.first.doubt == failover.DoubtNone &&
		!race.lateJoined && !race.spareDenied && race.exchange.mayUseSecondEndpoint()
}

// lateCall returns the state that decides whether a second endpoint gets the call.
func (exchange *exchange) lateCall(first *contender, now time.Time) failover.LateCall {
	return failover.LateCall{
		SinceArrival: now.Sub(exchange.request.ArrivedAt), SinceSent: now.Sub(first.sentAt), Target: exchange.route.TTFTTarget,
		AnswerBegun: first.answered.Load(), IsGone: exchange.relay.AllEndpoints().ByKey(first.plan.Primary.Key()) == nil,
		Attempts: exchange.attemptCount, MaxAttempts: maxTotalAttempts, Sent: exchange.sentCount + 1, MaxSent: exchange.route.MaxAttempts,
	}
}

// nextSecondCheck returns the time until the next check whether a second attempt is due.
func (exchange *exchange) nextSecondCheck(first *contender) time.Duration {
	if due := exchange.lateCall(first, time.Now()).UntilLate(); due > 0 {
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
