package relay

import (
	"errors"
	"slices"
	"time"

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
		if key := first.plan.Primary.Key(); !exchange.route.Streaming && !first.failed && !first.answered.Load() && exchange.relay.silentCalls.RecordSilence(key) {
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
