package relay

import (
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/failover"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/quarantine"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// joinInterval is the time between two attempts to find an endpoint for a request in doubt.
	joinInterval = 50 * time.Millisecond
	// askInterval is the time between two questions for a retry that was not granted. A request
	// asks for longer than others are waited for, and its own endpoint mostly goes on first.
	askInterval = 300 * time.Millisecond
)

// retryGrant is a retry of the budget that a race asks for before another attempt joins.
type retryGrant struct {
	granted chan bool
	// isAsking reports that an answer is awaited, isHeld that a retry was granted and not used.
	isAsking, isHeld bool
	askAgainAt       time.Time
}

func (grant *retryGrant) record(granted bool, now time.Time) {
	grant.isAsking, grant.isHeld = false, granted
	if !granted {
		grant.askAgainAt = now.Add(askInterval)
		telemetry.CountRetryBudgetExhausted()
	}
}

// join lets another attempt run beside those in doubt, if an endpoint takes it now and the budget
// grants a retry.
func (race *race) join(now time.Time) {
	exchange := race.exchange
	if race.isOnlyLate() && (race.lateJoined || race.spareDenied) || !exchange.mayJoinNow(now) {
		return
	}
	added := exchange.exclude(race.runningKeys())
	plan, found := race.planJoined(now)
	if !found || !race.takeRetry(now) || !exchange.mayTrySuspect(now) || !exchange.beginInFlight(plan, now) {
		exchange.include(added)
		exchange.attemptState = race.current.attemptState
		return
	}
	race.retry.isHeld = false
	race.lateJoined = race.lateJoined || race.isOnlyLate()
	race.joinedFor = race.running[len(race.running)-1].doubt
	exchange.attemptCount++
	contender := race.add()
	race.second = contender
	exchange.attemptState = race.current.attemptState
	telemetry.CountSecondAttempt()
	if len(contender.plan.HelperReservations) == 0 {
		race.beginJoined(reservedMemory{contender: contender})
		return
	}
	race.active++
	go func() { race.reserved <- exchange.reserveMemory(contender) }()
}

// beginJoined sends the request to the endpoints of a contender that has joined.
func (race *race) beginJoined(reserved reservedMemory) {
	contender, exchange := reserved.contender, race.exchange
	if !slices.Contains(race.running, contender) {
		exchange.relay.Reservations.ReleaseAsync(reserved.reservations)
		return
	}
	outcome, err := race.begin(contender, reserved)
	if outcome == outcomeDone {
		return
	}
	race.remove(contender, err)
	race.retry.isHeld = true
	exchange.attemptState = contender.attemptState
	exchange.recordFailure(race.ctx, outcome, err)
	exchange.attemptState = race.current.attemptState
}

// untilNextJoin returns the time until another attempt is tried again.
func (race *race) untilNextJoin(now time.Time) time.Duration {
	switch {
	case race.isOnlyLate() && (race.lateJoined || race.spareDenied), race.retry.isAsking:
		return noCheck
	case race.retry.isHeld, now.After(race.retry.askAgainAt):
		return joinInterval
	}
	return max(race.retry.askAgainAt.Sub(now), joinInterval)
}

// mayJoinNow reports whether the request may be sent once more, as far as its content, its key and
// the links are concerned.
func (exchange *exchange) mayJoinNow(now time.Time) bool {
	relay := exchange.relay
	switch exchange.judge(now).State {
	case quarantine.Quarantined, quarantine.OnTrial:
		return false
	}
	if exchange.customer != "" && !relay.Routing.KeysUsable() {
		return false
	}
	return relay.CanReach == nil || relay.CanReach()
}

// mayTrySuspect reports whether a request that is suspected of crashing endpoints may be sent once
// more: no other attempt at the suspect is in flight in the fleet, or it has waited for maxTrialWait.
func (exchange *exchange) mayTrySuspect(now time.Time) bool {
	verdict := exchange.judge(now)
	if verdict.State == quarantine.Clear {
		return true
	}
	if exchange.trialWaitSince.IsZero() {
		exchange.trialWaitSince = now
	}
	return exchange.relay.Quarantine.ReserveTrial(verdict.Suspect, now) || now.Sub(exchange.trialWaitSince) > maxTrialWait
}

// exclude keeps endpoints out of the next placements, and returns those that were not yet.
func (exchange *exchange) exclude(keys []peridotpath.EndpointKey) (added []peridotpath.EndpointKey) {
	if exchange.excluded == nil {
		exchange.excluded = map[peridotpath.EndpointKey]bool{}
	}
	for _, key := range keys {
		if !exchange.excluded[key] {
			exchange.excluded[key] = true
			added = append(added, key)
		}
	}
	return added
}

func (exchange *exchange) include(keys []peridotpath.EndpointKey) {
	for _, key := range keys {
		delete(exchange.excluded, key)
	}
}

// planJoined plans another attempt that can be sent now.
func (race *race) planJoined(now time.Time) (placement.Plan, bool) {
	exchange := race.exchange
	work, snapshot := exchange.placementWork(now), exchange.relay.LoadTracker.SnapshotWithout(now, race.inFlight())
	candidates := exchange.candidates(now)
	if exchange.spec.Engine == nil {
		if race.isOnlyLate() {
			candidates = freeCandidates(candidates, snapshot)
		}
		return placement.PlanPlain(work, candidates, snapshot)
	}
	plan, found := placement.PlanPrompt(placement.Model{Rates: exchange.spec.Engine}, work, candidates, snapshot)
	isQueued := exchange.prefillTime > maxUnqueuedPrefill && exchange.route.TTFTTarget >= minQueuedTTFT
	return plan, found && (!isQueued || placement.IsWorthDispatching(plan, work, 0))
}

// takeRetry takes a retry of the budget. It asks other instances for one where none is left here,
// and returns false until they have answered. A call that is merely late gets one only if enough
// are left for requests that have failed.
func (race *race) takeRetry(now time.Time) bool {
	exchange, budget := race.exchange, race.exchange.relay.RetryBudget
	if race.isOnlyLate() {
		race.spareDenied = !budget.TakeSpare(exchange.service, now)
		if race.spareDenied {
			telemetry.CountSecondAttemptRefused()
		}
		return !race.spareDenied
	}
	switch {
	case race.retry.isHeld:
		return true
	case race.retry.isAsking, now.Before(race.retry.askAgainAt):
		return false
	}
	race.retry.isAsking = true
	race.active++
	limit := exchange.retryWaitLimit(now)
	go func() { race.retry.granted <- budget.AwaitRetry(race.ctx, exchange.service, limit) }()
	return false
}

// inFlight returns the entries of the contenders in the load. Their own attempt must not look like
// the load of others: the engines that it may be sent to again are those that have its parts.
func (race *race) inFlight() []placement.InFlightNumber {
	var numbers []placement.InFlightNumber
	for _, contender := range race.running {
		numbers = append(numbers, contender.inFlight)
	}
	return numbers
}

// isOnlyLate reports whether all contenders in doubt are calls that are merely late.
func (race *race) isOnlyLate() bool {
	for _, contender := range race.running {
		if contender.doubt != failover.DoubtLate {
			return false
		}
	}
	return true
}
