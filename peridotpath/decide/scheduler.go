package decide

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// maintenanceInterval is the interval at which fair shares, subsets and
	// expired work are processed.
	maintenanceInterval = 100 * time.Millisecond
	// placementRetryInterval is the delay after which queued work is tried
	// again when no event arrives: predictions change with time alone.
	placementRetryInterval = 20 * time.Millisecond
)

// Scheduler admits, queues and places the requests of one Instance. Its methods
// are safe for concurrent use. Work that can be placed at once is placed
// without a lock; only queueing and the end of an attempt take one.
type Scheduler struct {
	// Seed makes the random choices reproducible. It must differ between
	// instances, which would otherwise sample the same endpoints.
	Seed uint64
	// Disabled is the set of mechanisms that are switched off, for benchmarks.
	Disabled Mechanism
	// Allow takes one request out of a customer's rate limit over all instances,
	// or returns the delay after which to retry. When it is nil, each instance
	// enforces an equal part of the limit.
	Allow func(now time.Time, customer *peridotpath.Customer, tokens peridotpath.Tokens) (ok bool, retryAfter time.Duration)

	once          sync.Once
	random        *rand.Rand
	instanceCount atomic.Int32
	groups        atomic.Pointer[map[peridotpath.Service]*group]
	members       atomic.Pointer[map[peridotpath.EndpointID]*member]
	customers     customers
	affinity      affinity
	totalQueued   atomic.Int64

	mu           sync.Mutex // guards the queues and the replacement of the fleet
	sortedGroups []*group   // sorted by name, so that iteration is deterministic
	maintainedAt int64      // when the last maintenance ran, in Unix nanoseconds
	nextDispatch int64      // when DispatchQueued is due, in Unix nanoseconds; zero for never
}

func (scheduler *Scheduler) initialise() {
	source := &source{}
	source.state.Store(scheduler.Seed)
	scheduler.random = rand.New(source)
	scheduler.instanceCount.CompareAndSwap(0, 1)
	scheduler.groups.Store(&map[peridotpath.Service]*group{})
	scheduler.members.Store(&map[peridotpath.EndpointID]*member{})
}

func (scheduler *Scheduler) isEnabled(mechanism Mechanism) bool {
	return scheduler.Disabled&mechanism == 0
}

// SetInstances sets how many instances, including this one, share the endpoints
// and the customers' limits. The default is one.
func (scheduler *Scheduler) SetInstances(count int) {
	scheduler.once.Do(scheduler.initialise)
	scheduler.instanceCount.Store(int32(max(count, 1)))
}

// SetEndpoints replaces the fleet. Endpoints that were removed or are leaving
// receive no new work; work that already runs there continues.
func (scheduler *Scheduler) SetEndpoints(now time.Time, endpoints []peridotpath.Endpoint) {
	scheduler.once.Do(scheduler.initialise)
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	old := *scheduler.members.Load()
	members := make(map[peridotpath.EndpointID]*member, len(endpoints))
	live := map[peridotpath.Service][]*member{}
	for _, endpoint := range endpoints {
		member := renewMember(old[endpoint.ID], endpoint)
		members[endpoint.ID] = member
		if endpoint.State == peridotpath.StateLive {
			live[endpoint.Service] = append(live[endpoint.Service], member)
		}
	}
	for id, member := range old {
		if members[id] == nil {
			member.liveMember.Store(nil)
		}
	}
	scheduler.members.Store(&members)
	scheduler.updateGroups(now.UnixNano(), live)
}

// renewMember returns the member for an endpoint and keeps its previous state.
func renewMember(old *member, endpoint peridotpath.Endpoint) *member {
	fresh := &member{Endpoint: endpoint}
	if old != nil {
		fresh.state = old.state
		if old.Incarnation != endpoint.Incarnation {
			// The backoff was asked for by the process before.
			fresh.health.backoffUntil.Store(0)
		}
	} else {
		fresh.state = &state{}
		fresh.retryBudget.setInitial(initialEndpointRetries)
	}
	if endpoint.State == peridotpath.StateLive {
		fresh.liveMember.Store(fresh)
	} else {
		fresh.liveMember.Store(nil)
	}
	return fresh
}

// updateGroups assigns the live members to the groups of their services.
func (scheduler *Scheduler) updateGroups(at int64, live map[peridotpath.Service][]*member) {
	old := *scheduler.groups.Load()
	groups := make(map[peridotpath.Service]*group, len(live))
	for service, found := range old {
		groups[service] = found
	}
	for service := range live {
		if groups[service] == nil {
			groups[service] = newGroup(service)
			scheduler.sortedGroups = append(scheduler.sortedGroups, groups[service])
		}
	}
	slices.SortFunc(scheduler.sortedGroups, func(a, b *group) int {
		return strings.Compare(string(a.service), string(b.service))
	})
	for _, group := range scheduler.sortedGroups {
		scheduler.updatePools(at, group, live[group.service])
	}
	scheduler.groups.Store(&groups)
}

// ApplyReport applies the load report of an endpoint.
func (scheduler *Scheduler) ApplyReport(now time.Time, id peridotpath.EndpointID, load peridotpath.Load) {
	scheduler.once.Do(scheduler.initialise)
	if member := (*scheduler.members.Load())[id]; member != nil {
		member.report(now, load)
	}
}

// BackOff keeps new work away from an endpoint that wants none for a time.
func (scheduler *Scheduler) BackOff(now time.Time, id peridotpath.EndpointID, delay time.Duration) {
	scheduler.once.Do(scheduler.initialise)
	if member := (*scheduler.members.Load())[id]; member != nil {
		member.health.backOff(now.Add(min(delay, maxBackoff)).UnixNano())
	}
}

// Submit admits new work and places, queues or refuses it.
func (scheduler *Scheduler) Submit(now time.Time, work *Work) Decision {
	scheduler.once.Do(scheduler.initialise)
	at := now.UnixNano()
	work.customer = scheduler.customers.lookUp(work.Customer)
	group := (*scheduler.groups.Load())[work.Profile.Service]
	if group == nil {
		return refuse(work, peridotpath.CodeNoEndpoint, addJitter(minEjection, scheduler.random.Float64()))
	}
	if result := scheduler.checkLimits(at, work); result != nil {
		return Decision{Work: work, Verdict: Refuse, Result: result}
	}
	if group.isOversize(work) {
		work.customer.activeCount.Add(-1)
		return refuse(work, peridotpath.CodeNoMemory, addJitter(pooledMemoryRetryDelay, scheduler.random.Float64()))
	}
	work.customer.usage[work.queueClass()].add(at, work.cost())
	group.demand[work.queueClass()].add(at, work.cost())
	return scheduler.placeOrQueue(at, group, work)
}

// queueClass is the class whose queue holds the work. Oversize work shares the
// queue of Long work.
func (work *Work) queueClass() peridotpath.LengthClass { return min(work.Class, peridotpath.Long) }

// placeOrQueue places the work if its class has an empty queue and an endpoint
// can take it; otherwise it queues or refuses it.
func (scheduler *Scheduler) placeOrQueue(at int64, group *group, work *Work) Decision {
	isOverShare := scheduler.isEnabled(MechanismDemotion) && work.customer.isOverShare[work.queueClass()].Load()
	work.placement = placement{band: bandOf(work.Class, isOverShare)}
	reasons := obstacleBacklog
	if group.queuedCount[work.queueClass()].Load() == 0 {
		chosen, obstacles := scheduler.chooseCandidate(at, group, work)
		if chosen.member != nil {
			return scheduler.startAttempt(at, work, chosen)
		}
		reasons = obstacles
	}
	return scheduler.enqueueOrRefuse(at, group, work, reasons)
}

// DispatchQueued dispatches or refuses queued work. Call it after every event and
// at the time that NextDispatch returns.
func (scheduler *Scheduler) DispatchQueued(now time.Time) []Decision {
	scheduler.once.Do(scheduler.initialise)
	at := now.UnixNano()
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	var decisions []Decision
	if at-scheduler.maintainedAt >= int64(maintenanceInterval) {
		decisions = scheduler.runMaintenance(at)
	}
	for _, group := range scheduler.sortedGroups {
		for class := range classCount {
			decisions = scheduler.dispatchClass(at, group, peridotpath.LengthClass(class), decisions)
		}
	}
	scheduler.nextDispatch = 0
	if scheduler.totalQueued.Load() > 0 {
		scheduler.nextDispatch = at + int64(placementRetryInterval)
	}
	return decisions
}

// dispatchClass places the queued work of one class until no endpoint can take
// its head yet. A head that would miss its deadline or fits nowhere is refused.
func (scheduler *Scheduler) dispatchClass(at int64, group *group, class peridotpath.LengthClass, decisions []Decision) []Decision {
	for {
		work := group.queues[class].head()
		if work == nil {
			return decisions
		}
		chosen, reasons := scheduler.chooseCandidate(at, group, work)
		switch {
		case chosen.member != nil:
			group.queues[class].dequeue(work)
			scheduler.countDequeued(group, work)
			decisions = append(decisions, scheduler.startAttempt(at, work, chosen))
		case reasons&(obstacleBacklog|obstacleNoFreeKV|obstacleEjected) == 0:
			group.queues[class].remove(work)
			scheduler.countDequeued(group, work)
			code := peridotpath.CodeCannotFinish
			if reasons&obstacleBackoff != 0 {
				code = peridotpath.CodeUnavailable
			}
			decisions = append(decisions, scheduler.refuseQueued(at, group, work, code))
		default:
			return decisions
		}
	}
}

// runMaintenance updates fair shares, decays slowness, resizes the subsets and
// refuses work whose queue timeout has expired. It runs at an interval and not
// at every event.
func (scheduler *Scheduler) runMaintenance(at int64) []Decision {
	elapsed := time.Duration(at - scheduler.maintainedAt)
	if scheduler.maintainedAt == 0 {
		elapsed = 0
	}
	scheduler.maintainedAt = at
	scheduler.customers.updateOverShare(at)
	var decisions []Decision
	for _, group := range scheduler.sortedGroups {
		pools := group.pools.Load()
		for _, member := range pools.all {
			member.health.decaySlowness(elapsed)
		}
		scheduler.updatePools(at, group, pools.all)
		decisions = append(decisions, scheduler.refuseExpired(at, group)...)
	}
	return decisions
}

// updatePools fits the subset for long work to the demand for it and publishes
// the pools.
func (scheduler *Scheduler) updatePools(at int64, group *group, members []*member) {
	group.largestKV.Store(maxKVTokens(members))
	if !scheduler.isEnabled(MechanismSubset) || len(members) == 0 {
		group.pools.Store(&pools{all: members})
		return
	}
	var totalDemand float64
	for class := range classCount {
		totalDemand += group.demand[class].perSecond(at)
	}
	longDemand := group.demand[peridotpath.Long].perSecond(at)
	meanPrefillRate := totalPrefillRate(members) / float64(len(members))
	neededEndpoints := longDemand * float64(scheduler.instanceCount.Load()) / meanPrefillRate
	maxSize := len(members)
	if totalDemand > 0 {
		maxSize = int(float64(len(members))*longDemand/totalDemand) + 1
	}
	group.subset.resize(at, neededEndpoints, min(maxSize, len(members)))
	if published := group.pools.Load(); sameMembers(published.all, members) && len(published.long) == group.subset.size {
		return
	}
	group.pools.Store(group.subset.split(members))
}

func sameMembers(a, b []*member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// NextDispatch returns when DispatchQueued is due if no event arrives earlier;
// the zero time means never.
func (scheduler *Scheduler) NextDispatch() time.Time {
	if scheduler.totalQueued.Load() == 0 {
		return time.Time{}
	}
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	if scheduler.nextDispatch == 0 {
		return time.Time{}
	}
	return time.Unix(0, scheduler.nextDispatch)
}

// Cancel removes queued work whose caller has disconnected.
func (scheduler *Scheduler) Cancel(_ time.Time, work *Work) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	group := (*scheduler.groups.Load())[work.Profile.Service]
	if group == nil || !group.queues[work.queueClass()].remove(work) {
		return
	}
	scheduler.countDequeued(group, work)
	work.customer.activeCount.Add(-1)
}

// RecordFirstToken records that placed work has produced its first token.
func (scheduler *Scheduler) RecordFirstToken(now time.Time, work *Work) {
	placed := &work.placement
	if placed.member == nil || placed.hasFirstToken {
		return
	}
	at := now.UnixNano()
	placed.member.removePending(placed)
	if group := (*scheduler.groups.Load())[work.Profile.Service]; group != nil {
		group.drained[work.queueClass()].add(at, work.cost())
	}
	placed.firstTokenAt = at
	scheduler.observeTTFT(at, placed)
}

// observeTTFT compares the time since a placement with its predicted time to
// first token.
func (scheduler *Scheduler) observeTTFT(at int64, placed *placement) {
	if scheduler.isEnabled(MechanismSlowness) {
		placed.member.health.observeTTFT(time.Duration(at-placed.placedAt), time.Duration(placed.predictedTTFT))
	}
}

// EndAttempt ends the current attempt. It must be called exactly once for each
// Place verdict. tokens is the number of answer tokens produced.
func (scheduler *Scheduler) EndAttempt(now time.Time, work *Work, outcome Outcome, tokens peridotpath.Tokens) {
	placed := &work.placement
	if placed.member == nil {
		return
	}
	at := now.UnixNano()
	switch {
	case placed.hasFirstToken && scheduler.isEnabled(MechanismSlowness):
		placed.member.health.observeDecode(tokens, time.Duration(at-placed.firstTokenAt))
	case !placed.hasFirstToken && outcome == Abandoned:
		// The caller disconnected before the first token. The elapsed time is a
		// lower bound of the time to first token. If it were not observed, the
		// slowness of the slowest endpoints would never be.
		scheduler.observeTTFT(at, placed)
	}
	charged := outcome
	if outcome == Abandoned && isHung(at, placed) {
		charged = Failed
	}
	placed.member.removeAttempt(at, placed)
	scheduler.recordOutcome(at, work.Profile.Service, placed, charged)
	work.customer.activeCount.Add(-1)
	work.outcome = outcome
	if outcome != Finished && outcome != Abandoned && outcome != NeverSent {
		work.failedEndpoints = append(work.failedEndpoints, work.Endpoint)
	}
	work.Endpoint = ""
	placed.member = nil
}
