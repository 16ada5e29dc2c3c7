package decide

import (
	"slices"
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// sampleSize is how many random candidates are compared. All instances see
	// the same lagging reports; were each to take the best of all endpoints,
	// they would all take the same one.
	sampleSize = 2
	// scanMost bounds the search when no sampled candidate will do, and with it
	// the cost of a decision in a large fleet.
	scanMost = 64
	// plainInFlight is how many calls one plain endpoint gets at a time, over
	// all instances.
	plainInFlight = 64
	// plainEstimate is how long a call to a plain service is taken to last.
	plainEstimate = 50 * time.Millisecond
)

// memoryFill is the share of an endpoint's KV memory that work of a class may
// fill. Longer work leaves room for shorter: it holds its memory for tens of
// seconds, and a short prompt that finds all endpoints full waits for one of
// them. The last part is for lengths that were estimated too low, which would
// otherwise wait inside the engine where nobody can reorder them.
var memoryFill = [classes]float64{
	peridotpath.Short:  0.97,
	peridotpath.Medium: 0.9,
	peridotpath.Long:   1.2,
}

// overReserve is the further share of memory that customers above their fair
// share leave to the others. Priority alone does not help those: memory that a
// flood holds comes back only as its requests end.
const overReserve = 0.1

// backlogLimit is how much prompt work an endpoint may have ahead when work of
// a class is sent to it. Work inside an engine can no longer be reordered,
// moved or refused, so it stays with us until the engine is nearly ready for
// it. Shorter than the lag of reports would leave engines idle.
var backlogLimit = [classes]time.Duration{
	peridotpath.Short:  time.Second,
	peridotpath.Medium: time.Second,
	peridotpath.Long:   2 * time.Second,
}

// backlogSeen is the share of an endpoint's other prompt work that delays work
// of a class. Engines run higher priorities first, so that a short prompt
// hardly waits for the long one beside it.
var backlogSeen = [classes]float64{
	peridotpath.Short:  0.4,
	peridotpath.Medium: 0.9,
	peridotpath.Long:   1.2,
}

// obstacle is a set of reasons why work was not placed.
type obstacle uint8

const (
	obstacleSmall obstacle = 1 << iota // never fits
	obstacleOut                        // ejected, or failed this work before
	obstacleFull                       // no memory now
	obstacleBusy                       // enough to do now
	obstacleLate                       // would finish after the deadline
)

// candidate is a member with what the work would cost there.
type candidate struct {
	member   *member
	ttft     float64 // predicted, in seconds
	cost     float64 // what is compared: ttft with penalties
	uncached int64
	probe    bool
}

// choose returns the best of a few candidates for the work, or why there is
// none.
func (scheduler *Scheduler) choose(at int64, group *group, work *Work) (candidate, obstacle) {
	pool := group.pool(work.Class)
	best, met := scheduler.chooseFrom(at, pool, work)
	all := group.pools.Load().all
	if best.member == nil && met&(obstacleFull|obstacleBusy) == 0 && len(pool) < len(all) {
		// None of the subset can ever take the work: they are too small, too slow
		// or ejected. It would wait in vain for them while others could.
		return scheduler.chooseFrom(at, all, work)
	}
	return best, met
}

func (scheduler *Scheduler) chooseFrom(at int64, pool []*member, work *Work) (candidate, obstacle) {
	var best candidate
	var met obstacle
	if scheduler.on(MechanismAffinity) {
		if member, cached := scheduler.affinity.find(at, work); member != nil && slices.Contains(pool, member) {
			scheduler.consider(at, work, member, cached, &best, &met)
		}
	}
	samples := min(sampleSize, len(pool))
	if !scheduler.on(MechanismSampling) {
		samples = 0
	}
	for range samples {
		scheduler.consider(at, work, pool[scheduler.random.IntN(len(pool))], 0, &best, &met)
	}
	if best.member != nil || len(pool) == 0 {
		return best, met
	}
	start := scheduler.random.IntN(len(pool))
	for i := range min(scanMost, len(pool)) {
		scheduler.consider(at, work, pool[(start+i)%len(pool)], 0, &best, &met)
	}
	return best, met
}

// consider makes member the best candidate if it is, or notes why it cannot
// be one.
func (scheduler *Scheduler) consider(at int64, work *Work, member *member, cached int64, best *candidate, met *obstacle) {
	next := candidate{member: member, uncached: max(int64(work.Prompt)-cached, 0)}
	if scheduler.on(MechanismEjection) {
		usable, probe := member.health.usable(at, work)
		if !usable {
			*met |= obstacleOut
			return
		}
		next.probe = probe
	}
	if work.avoids(member.ID) {
		*met |= obstacleOut
		return
	}
	var reason obstacle
	if work.plain() {
		reason = scheduler.considerPlain(member, &next)
	} else {
		reason = scheduler.considerEngine(at, work, &next)
	}
	if reason != 0 {
		*met |= reason
		return
	}
	if best.member == nil || next.cost < best.cost {
		*best = next
	}
}

// considerPlain fills in the cost of a call to a plain service: the least
// predicted in flight, since nothing is known of what calls cost.
func (scheduler *Scheduler) considerPlain(member *member, next *candidate) obstacle {
	inFlight := member.inFlight(scheduler.on(MechanismSent))
	if inFlight >= plainInFlight {
		return obstacleBusy
	}
	next.ttft = plainEstimate.Seconds()
	next.cost = float64(inFlight+1) * member.health.slowness()
	return 0
}

// considerEngine fills in the cost of a prompt on a model engine.
func (scheduler *Scheduler) considerEngine(at int64, work *Work, next *candidate) obstacle {
	member, need := next.member, work.memoryNeed()
	total := member.memoryTotal()
	if total > 0 && float64(need) > estimateSlack*float64(total) {
		return obstacleSmall
	}
	if total > 0 {
		need = min(need, total)
	}
	rate := member.rate()
	ahead := member.prefillAhead(at, scheduler.on(MechanismSent))
	own := float64(member.pendingUpTo(work.placement.band))
	next.ttft = (float64(next.uncached) + scheduler.aheadOf(work, own, ahead, member.reportAge(at))) / rate
	next.cost = next.ttft
	finish := next.ttft + float64(work.Output)/member.decodeRate()
	left := time.Duration(work.Deadline.UnixNano() - at).Seconds()
	// Before an endpoint's first report its rates are guesses on the low side. An
	// instance that has just started would refuse by them what the fleet can do.
	if scheduler.on(MechanismPrediction) && member.load.Load() != nil && finish > left {
		return obstacleLate
	}
	used := member.memoryUsed(work.slot(), scheduler.on(MechanismSent))
	if total > 0 && scheduler.on(MechanismMemory) {
		if used > 0 && float64(used+need) > scheduler.fill(at, work)*float64(total) {
			return obstacleFull
		}
		next.cost += memoryPressure(float64(used+need) / float64(total))
	}
	if scheduler.on(MechanismBacklog) && scheduler.busy(work, own, ahead, rate) {
		return obstacleBusy
	}
	return 0
}

// fill is the share of an endpoint's memory that the work may fill. The largest
// prompts need nearly all memory of an engine, and never see that much free at
// once while shorter ones come and go. After a part of its time in the queue,
// long work is sent to wait inside the engine, where memory that comes free is
// kept for it.
func (scheduler *Scheduler) fill(at int64, work *Work) float64 {
	aged := work.queuedAt != 0 && at-work.queuedAt > int64(work.Profile.MaxQueueMS.Duration())/2
	if aged && work.slot() == peridotpath.Long && scheduler.on(MechanismAgeing) {
		return 2
	}
	if work.placement.band%2 == 1 {
		return memoryFill[work.slot()] - overReserve
	}
	return memoryFill[work.slot()]
}

// memoryPressure is a penalty in seconds for filling an endpoint: a nearly
// full one evicts cached prefixes and has no room for the next long prompt.
func memoryPressure(fill float64) float64 {
	return 0.2*max(fill-0.5, 0) + 10*max(fill-0.9, 0)
}

const (
	// reportStale is the age from which a report says little of what a short
	// prompt meets at an endpoint, and everybody who still believes it goes to
	// the same endpoints.
	reportStale = 2 * time.Second
	// staleSeen is how much of such a report's work still counts.
	staleSeen = 0.25
)

// aheadOf is the prompt work that goes before the work: this Instance's own at
// the same or a higher band, and the part of the rest that delays its class.
func (scheduler *Scheduler) aheadOf(work *Work, own, ahead float64, age time.Duration) float64 {
	if !scheduler.on(MechanismPriority) {
		return ahead
	}
	seen := backlogSeen[work.slot()]
	if work.slot() == peridotpath.Short && age > reportStale {
		seen *= staleSeen
	}
	return own + seen*max(ahead-own, 0)
}

// busy reports whether the endpoint has enough to do for now. Short work is
// measured against this Instance's part of the limit, since reports do not say
// how much of the work ahead is short; one request is always let through.
func (scheduler *Scheduler) busy(work *Work, own, ahead, rate float64) bool {
	limit := backlogLimit[work.slot()].Seconds() * rate
	if work.Class == peridotpath.Short && scheduler.on(MechanismPriority) {
		return own > 0 && own > limit/float64(scheduler.instances.Load())
	}
	return ahead > limit
}

// place charges the candidate with the work.
func (scheduler *Scheduler) place(at int64, work *Work, chosen candidate) Decision {
	member := chosen.member
	if chosen.probe {
		member.health.probing.Store(true)
	}
	if work.Attempts == 0 {
		work.customer.retries.earn()
		member.retries.earn()
	}
	work.Attempts++
	work.Endpoint = member.ID
	work.placement = placement{
		member:    member,
		band:      work.placement.band,
		uncached:  chosen.uncached,
		memory:    work.memoryNeed(),
		at:        at,
		predicted: int64(chosen.ttft * float64(time.Second)),
		probe:     chosen.probe,
	}
	member.start(at, &work.placement)
	if len(work.Prefixes) > 0 && scheduler.on(MechanismAffinity) {
		scheduler.affinity.note(at, work, member.state)
	}
	return Decision{Work: work, Verdict: Place, Endpoint: member.Endpoint, Priority: scheduler.priority(at, work)}
}

// priority is what the engine is told. Work that has used half its time before
// it was placed goes up to the next profile's level: engines run the highest
// priority first, and a steady stream of it would never let the rest begin.
func (scheduler *Scheduler) priority(at int64, work *Work) int {
	if !scheduler.on(MechanismPriority) {
		return 0
	}
	priority := 2 * work.Profile.Priority
	if work.placement.band%2 == 0 {
		priority++
	}
	half := work.Arrived.UnixNano()/2 + work.Deadline.UnixNano()/2
	if scheduler.on(MechanismAgeing) && at > half {
		priority += 2
	}
	return priority
}
