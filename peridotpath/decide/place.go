package decide

import (
	"slices"
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// sampleSize is how many random candidates are compared (power of two
	// choices). All instances see the same delayed reports; picking the best of
	// all endpoints would send every instance to the same one.
	sampleSize = 2
	// maxScanned limits the scan that follows when no sampled candidate can
	// take the work, and with it the cost of a decision in a large fleet.
	maxScanned = 64
	// maxPlainInFlight is the maximum number of concurrent calls to one plain
	// endpoint, over all instances.
	maxPlainInFlight = 64
	// plainCallTime is the assumed duration of a call to a plain service.
	plainCallTime = 50 * time.Millisecond
)

// maxMemoryFill is the share of an endpoint's KV memory up to which work of a
// class may fill it. Medium work leaves room for short work: medium work holds its
// memory for tens of seconds, during which a short prompt would be queued if
// all endpoints were full. The remainder absorbs underestimated lengths, which
// would otherwise queue inside the engine, where they can no longer be
// reordered. Long work may exceed the memory, because it waits inside the
// engine until memory is freed.
var maxMemoryFill = [classCount]float64{
	peridotpath.Short:  0.97,
	peridotpath.Medium: 0.9,
	peridotpath.Long:   1.2,
}

// overShareReserve is the additional share of memory that is closed to
// customers above their fair share. Priority alone does not protect the other
// customers: memory that a flood occupies is freed only as its requests end.
const overShareReserve = 0.1

// maxBacklog is the maximum prefill backlog of an endpoint to which work of a
// class is sent. Work inside an engine can no longer be reordered, moved or
// refused, so it stays in the scheduler's queue until the engine is nearly ready
// for it. A limit below the reporting delay would leave engines idle.
var maxBacklog = [classCount]time.Duration{
	peridotpath.Short:  time.Second,
	peridotpath.Medium: time.Second,
	peridotpath.Long:   2 * time.Second,
}

// backlogWeight is the share of the remaining prefill backlog that delays work
// of a class. Engines run higher priorities first, so a long prompt on the same
// engine barely delays a short one.
var backlogWeight = [classCount]float64{
	peridotpath.Short:  0.4,
	peridotpath.Medium: 0.9,
	peridotpath.Long:   1.2,
}

// obstacle is a bit set of reasons why an endpoint cannot take work.
type obstacle uint8

const (
	obstacleTooSmall obstacle = 1 << iota // the work exceeds the endpoint's total KV memory
	obstacleEjected                       // ejected, or an earlier attempt failed there
	obstacleNoFreeKV                      // too little KV memory is free
	obstacleBacklog                       // the backlog limit is reached
	obstacleDeadline                      // the deadline would be missed
	obstacleBackoff                       // the endpoint wants no work for a time
)

// candidate is a member with the predicted cost of the work on it.
type candidate struct {
	member         *member
	ttft           float64 // predicted, in seconds
	cost           float64 // ttft plus penalties, by which candidates are compared
	uncachedTokens int64
	isProbe        bool
}

// chooseCandidate returns the best of a few candidates for the work, or the
// obstacles if there is none.
func (scheduler *Scheduler) chooseCandidate(at int64, group *group, work *Work) (candidate, obstacle) {
	pool := group.poolFor(work.Class)
	best, reasons := scheduler.chooseCandidateFrom(at, pool, work)
	all := group.pools.Load().all
	if best.member == nil && reasons&(obstacleNoFreeKV|obstacleBacklog) == 0 && len(pool) < len(all) {
		// No endpoint of the pool becomes able to take the work by waiting:
		// each is too small, too slow or ejected. Endpoints outside the pool
		// may take it.
		return scheduler.chooseCandidateFrom(at, all, work)
	}
	return best, reasons
}

func (scheduler *Scheduler) chooseCandidateFrom(at int64, pool []*member, work *Work) (candidate, obstacle) {
	var best candidate
	var reasons obstacle
	if scheduler.isEnabled(MechanismAffinity) {
		if member, cachedTokens := scheduler.affinity.findMember(at, work); member != nil && slices.Contains(pool, member) {
			scheduler.consider(at, work, member, cachedTokens, &best, &reasons)
		}
	}
	samples := min(sampleSize, len(pool))
	if !scheduler.isEnabled(MechanismSampling) {
		samples = 0
	}
	for range samples {
		scheduler.consider(at, work, pool[scheduler.random.IntN(len(pool))], 0, &best, &reasons)
	}
	if best.member != nil || len(pool) == 0 {
		return best, reasons
	}
	start := scheduler.random.IntN(len(pool))
	for i := range min(maxScanned, len(pool)) {
		scheduler.consider(at, work, pool[(start+i)%len(pool)], 0, &best, &reasons)
	}
	return best, reasons
}

// consider replaces best if member is a better candidate, or adds to reasons the
// obstacle by which member cannot take the work.
func (scheduler *Scheduler) consider(at int64, work *Work, member *member, cachedTokens int64, best *candidate, reasons *obstacle) {
	if at < member.health.backoffUntil.Load() {
		*reasons |= obstacleBackoff
		return
	}
	next := candidate{member: member, uncachedTokens: max(int64(work.PromptTokens)-cachedTokens, 0)}
	if scheduler.isEnabled(MechanismEjection) {
		usable, probe := member.health.canTake(at, work)
		if !usable {
			*reasons |= obstacleEjected
			return
		}
		next.isProbe = probe
	}
	if work.hasFailedOn(member.ID) {
		*reasons |= obstacleEjected
		return
	}
	var reason obstacle
	if work.isPlain() {
		reason = scheduler.considerPlain(member, &next)
	} else {
		reason = scheduler.considerEngine(at, work, &next)
	}
	if reason != 0 {
		*reasons |= reason
		return
	}
	if best.member == nil || next.cost < best.cost {
		*best = next
	}
}

// considerPlain sets the cost of a call to a plain service, or returns the
// obstacle to it. The cost is the predicted number of in-flight requests (least
// connections), since the cost of a single call is unknown.
func (scheduler *Scheduler) considerPlain(member *member, next *candidate) obstacle {
	inFlight := member.inFlightCount(scheduler.isEnabled(MechanismSentCorrection))
	if inFlight >= maxPlainInFlight {
		return obstacleBacklog
	}
	next.ttft = plainCallTime.Seconds()
	next.cost = float64(inFlight+1) * member.health.slowness()
	return 0
}

// considerEngine sets the cost of a prompt on a model engine, or returns the
// obstacle to it.
func (scheduler *Scheduler) considerEngine(at int64, work *Work, next *candidate) obstacle {
	member, needed := next.member, work.requiredKV()
	totalKV := member.totalKV()
	if totalKV > 0 && float64(needed) > estimateSlack*float64(totalKV) {
		return obstacleTooSmall
	}
	if totalKV > 0 {
		needed = min(needed, totalKV)
	}
	rate := member.prefillRate()
	backlog := member.prefillBacklog(at, scheduler.isEnabled(MechanismSentCorrection))
	ownPending := float64(member.pendingUpTo(work.placement.band))
	next.ttft = (float64(next.uncachedTokens) + scheduler.delayingBacklog(work, ownPending, backlog, member.reportAge(at))) / rate
	next.cost = next.ttft
	finish := next.ttft + float64(work.MaxOutputTokens)/member.decodeRate()
	timeLeft := time.Duration(work.Deadline.UnixNano() - at).Seconds()
	// Before an endpoint's first report its rates are low defaults, by which an
	// instance that has just started would refuse work that the fleet can finish.
	if scheduler.isEnabled(MechanismPrediction) && member.load.Load() != nil && finish > timeLeft {
		return obstacleDeadline
	}
	usedKV := member.usedKV(work.queueClass(), scheduler.isEnabled(MechanismSentCorrection))
	if totalKV > 0 && scheduler.isEnabled(MechanismMemory) {
		if usedKV > 0 && float64(usedKV+needed) > scheduler.maxFill(at, work)*float64(totalKV) {
			return obstacleNoFreeKV
		}
		next.cost += memoryPressure(float64(usedKV+needed) / float64(totalKV))
	}
	if scheduler.isEnabled(MechanismBacklog) && scheduler.exceedsBacklog(work, ownPending, backlog, rate) {
		return obstacleBacklog
	}
	return 0
}

// maxFill is the share of an endpoint's memory up to which the work may fill
// it. The largest prompts need nearly all memory of an engine, which is never
// free at once while shorter prompts arrive. After half of its queue timeout, long
// work is sent to wait inside the engine, which reserves freed memory for it.
func (scheduler *Scheduler) maxFill(at int64, work *Work) float64 {
	isAged := work.queuedAt != 0 && at-work.queuedAt > int64(work.Profile.MaxQueueMS.Duration())/2
	if isAged && work.queueClass() == peridotpath.Long && scheduler.isEnabled(MechanismAgeing) {
		return 2
	}
	if work.placement.band%2 == 1 {
		return maxMemoryFill[work.queueClass()] - overShareReserve
	}
	return maxMemoryFill[work.queueClass()]
}

// memoryPressure is a penalty in seconds for filling an endpoint: a nearly full
// endpoint evicts cached prefixes and cannot take the next long prompt.
func memoryPressure(fill float64) float64 {
	return 0.2*max(fill-0.5, 0) + 10*max(fill-0.9, 0)
}

const (
	// reportStaleAfter is the age above which a report hardly predicts the
	// delay of a short prompt. Instances that weighed such a report in full would
	// all pick the same endpoints.
	reportStaleAfter = 2 * time.Second
	// staleBacklogWeight is the factor on the backlog from a stale report.
	staleBacklogWeight = 0.25
)

// delayingBacklog is the prefill backlog, in tokens, that delays the work: this
// Instance's own backlog in the work's band and earlier ones, and the share of the
// remaining backlog that delays the work's class.
func (scheduler *Scheduler) delayingBacklog(work *Work, ownPending, backlog float64, age time.Duration) float64 {
	if !scheduler.isEnabled(MechanismPriority) {
		return backlog
	}
	weight := backlogWeight[work.queueClass()]
	if work.queueClass() == peridotpath.Short && age > reportStaleAfter {
		weight *= staleBacklogWeight
	}
	return ownPending + weight*max(backlog-ownPending, 0)
}

// exceedsBacklog reports whether the endpoint has reached the backlog limit.
// Short work is compared with this Instance's equal part of the limit, since
// reports do not include how much of the backlog is short; one request is
// always allowed.
func (scheduler *Scheduler) exceedsBacklog(work *Work, ownPending, backlog, rate float64) bool {
	limit := maxBacklog[work.queueClass()].Seconds() * rate
	if work.Class == peridotpath.Short && scheduler.isEnabled(MechanismPriority) {
		return ownPending > 0 && ownPending > limit/float64(scheduler.instanceCount.Load())
	}
	return backlog > limit
}

// startAttempt starts an attempt on the candidate and accounts for its load.
func (scheduler *Scheduler) startAttempt(at int64, work *Work, chosen candidate) Decision {
	member := chosen.member
	if chosen.isProbe {
		member.health.isProbing.Store(true)
	}
	if work.Attempts == 0 {
		work.customer.retryBudget.recordRequest()
		member.retryBudget.recordRequest()
	}
	work.Attempts++
	work.Endpoint = member.ID
	work.placement = placement{
		member:         member,
		band:           work.placement.band,
		uncachedTokens: chosen.uncachedTokens,
		reservedKV:     work.requiredKV(),
		placedAt:       at,
		predictedTTFT:  int64(chosen.ttft * float64(time.Second)),
		isProbe:        chosen.isProbe,
	}
	member.addAttempt(at, &work.placement)
	if len(work.Prefixes) > 0 && scheduler.isEnabled(MechanismAffinity) {
		scheduler.affinity.record(at, work, member.state)
	}
	return Decision{Work: work, Verdict: Place, Endpoint: member.Endpoint, Priority: scheduler.enginePriority(at, work)}
}

// enginePriority is the priority sent to the engine. Work that has used half of
// its time before placement is raised by one profile level: engines run the
// highest priority first, so a steady stream of it would starve the rest.
func (scheduler *Scheduler) enginePriority(at int64, work *Work) int {
	if !scheduler.isEnabled(MechanismPriority) {
		return 0
	}
	priority := 2 * work.Profile.Priority
	if work.placement.band%2 == 0 {
		priority++
	}
	halfTime := work.ArrivedAt.UnixNano()/2 + work.Deadline.UnixNano()/2
	if scheduler.isEnabled(MechanismAgeing) && at > halfTime {
		priority += 2
	}
	return priority
}
