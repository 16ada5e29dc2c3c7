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
	// houseKeeping is how often shares, subsets and expired work are looked at.
	houseKeeping = 100 * time.Millisecond
	// retryPlacing is how soon waiting work is tried again when no event came:
	// predictions change with time alone.
	retryPlacing = 20 * time.Millisecond
)

// Scheduler decides for one Instance. Its methods may be called from any
// goroutine. Work that can be placed at once is placed without a lock; only
// work that has to wait, and the ends of attempts, take one.
type Scheduler struct {
	// Seed makes the random choices repeatable. Two instances should differ.
	Seed uint64
	// Disabled mechanisms are left out, for measurements.
	Disabled Mechanism
	// Allow takes one request out of a customer's rate over all instances, or
	// says when to come back. nil stands for an equal part for each instance.
	Allow func(now time.Time, customer *peridotpath.Customer, tokens peridotpath.Tokens) (ok bool, retryAfter time.Duration)

	once      sync.Once
	random    *rand.Rand
	instances atomic.Int32
	groups    atomic.Pointer[map[peridotpath.Service]*group]
	members   atomic.Pointer[map[peridotpath.EndpointID]*member]
	customers customers
	affinity  affinity
	waiting   atomic.Int64

	mu    sync.Mutex // guards the queues and the fleet's replacement
	order []*group   // by name, so that walks are repeatable
	kept  int64      // the last housekeeping
	next  int64      // when Advance is due
}

func (scheduler *Scheduler) start() {
	source := &source{}
	source.state.Store(scheduler.Seed)
	scheduler.random = rand.New(source)
	scheduler.instances.CompareAndSwap(0, 1)
	scheduler.groups.Store(&map[peridotpath.Service]*group{})
	scheduler.members.Store(&map[peridotpath.EndpointID]*member{})
}

func (scheduler *Scheduler) on(mechanism Mechanism) bool {
	return scheduler.Disabled&mechanism == 0
}

// SetInstances says how many instances share the endpoints and the customers'
// limits, this one included. Until it is called there is one.
func (scheduler *Scheduler) SetInstances(count int) {
	scheduler.once.Do(scheduler.start)
	scheduler.instances.Store(int32(max(count, 1)))
}

// SetEndpoints replaces what is known of the fleet. Endpoints that are gone or
// leaving get no new work from here on; work that runs there is not touched.
func (scheduler *Scheduler) SetEndpoints(now time.Time, endpoints []peridotpath.Endpoint) {
	scheduler.once.Do(scheduler.start)
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	old := *scheduler.members.Load()
	members := make(map[peridotpath.EndpointID]*member, len(endpoints))
	live := map[peridotpath.Service][]*member{}
	for _, endpoint := range endpoints {
		member := renew(old[endpoint.ID], endpoint)
		members[endpoint.ID] = member
		if endpoint.State == peridotpath.StateLive {
			live[endpoint.Service] = append(live[endpoint.Service], member)
		}
	}
	for id, member := range old {
		if members[id] == nil {
			member.current.Store(nil)
		}
	}
	scheduler.members.Store(&members)
	scheduler.regroup(now.UnixNano(), live)
}

// renew returns the member for an endpoint, with the state it had.
func renew(old *member, endpoint peridotpath.Endpoint) *member {
	fresh := &member{Endpoint: endpoint}
	if old != nil {
		fresh.state = old.state
	} else {
		fresh.state = &state{}
		fresh.retries.allow(endpointAllowance)
	}
	if endpoint.State == peridotpath.StateLive {
		fresh.current.Store(fresh)
	} else {
		fresh.current.Store(nil)
	}
	return fresh
}

// regroup puts the live members into their services' groups.
func (scheduler *Scheduler) regroup(at int64, live map[peridotpath.Service][]*member) {
	old := *scheduler.groups.Load()
	groups := make(map[peridotpath.Service]*group, len(live))
	for service, found := range old {
		groups[service] = found
	}
	for service := range live {
		if groups[service] == nil {
			groups[service] = makeGroup(service)
			scheduler.order = append(scheduler.order, groups[service])
		}
	}
	slices.SortFunc(scheduler.order, func(a, b *group) int {
		return strings.Compare(string(a.service), string(b.service))
	})
	for _, group := range scheduler.order {
		scheduler.resize(at, group, live[group.service])
	}
	scheduler.groups.Store(&groups)
}

// Report takes in an endpoint's report about itself.
func (scheduler *Scheduler) Report(now time.Time, id peridotpath.EndpointID, load peridotpath.Load) {
	scheduler.once.Do(scheduler.start)
	if member := (*scheduler.members.Load())[id]; member != nil {
		member.report(now, load)
	}
}

// Submit decides about new work.
func (scheduler *Scheduler) Submit(now time.Time, work *Work) Decision {
	scheduler.once.Do(scheduler.start)
	at := now.UnixNano()
	work.customer = scheduler.customers.of(work.Customer)
	group := (*scheduler.groups.Load())[work.Profile.Service]
	if group == nil {
		return refuse(work, peridotpath.CodeNoEndpoint, spread(ejectFor, scheduler.random.Float64()))
	}
	if result := scheduler.admit(at, work); result != nil {
		return Decision{Work: work, Verdict: Refuse, Result: result}
	}
	if group.oversize(work) {
		work.customer.active.Add(-1)
		return refuse(work, peridotpath.CodeNoMemory, spread(groupRetry, scheduler.random.Float64()))
	}
	work.customer.usage[work.slot()].add(at, work.cost())
	group.demand[work.slot()].add(at, work.cost())
	return scheduler.placeOrQueue(at, group, work)
}

// slot is the index of the work's class in the queues.
func (work *Work) slot() peridotpath.LengthClass { return min(work.Class, peridotpath.Long) }

// placeOrQueue places the work if nothing of its class waits and an endpoint
// is ready for it; else it queues or refuses it.
func (scheduler *Scheduler) placeOrQueue(at int64, group *group, work *Work) Decision {
	over := scheduler.on(MechanismDemotion) && work.customer.over[work.slot()].Load()
	work.placement = placement{band: bandOf(work.Class, over)}
	met := obstacleBusy
	if group.queued[work.slot()].Load() == 0 {
		chosen, obstacles := scheduler.choose(at, group, work)
		if chosen.member != nil {
			return scheduler.place(at, work, chosen)
		}
		met = obstacles
	}
	return scheduler.enqueue(at, group, work, met)
}

// Advance decides about waiting work. Call it after every event and at Next.
func (scheduler *Scheduler) Advance(now time.Time) []Decision {
	scheduler.once.Do(scheduler.start)
	at := now.UnixNano()
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	var decisions []Decision
	if at-scheduler.kept >= int64(houseKeeping) {
		decisions = scheduler.keepHouse(at)
	}
	for _, group := range scheduler.order {
		for class := range classes {
			decisions = scheduler.serve(at, group, peridotpath.LengthClass(class), decisions)
		}
	}
	scheduler.next = 0
	if scheduler.waiting.Load() > 0 {
		scheduler.next = at + int64(retryPlacing)
	}
	return decisions
}

// serve places what waits in one class for as long as its head finds a place.
func (scheduler *Scheduler) serve(at int64, group *group, class peridotpath.LengthClass, decisions []Decision) []Decision {
	for {
		work := group.queues[class].head()
		if work == nil {
			return decisions
		}
		chosen, met := scheduler.choose(at, group, work)
		switch {
		case chosen.member != nil:
			group.queues[class].serve(work)
			scheduler.unqueued(group, work)
			decisions = append(decisions, scheduler.place(at, work, chosen))
		case met&(obstacleBusy|obstacleFull|obstacleOut) == 0:
			group.queues[class].remove(work)
			scheduler.unqueued(group, work)
			decisions = append(decisions, scheduler.refuseQueued(at, group, work, peridotpath.CodeCannotFinish))
		default:
			return decisions
		}
	}
}

// keepHouse does what need not be done at every event, and refuses work whose
// time in the queue is over.
func (scheduler *Scheduler) keepHouse(at int64) []Decision {
	elapsed := time.Duration(at - scheduler.kept)
	if scheduler.kept == 0 {
		elapsed = 0
	}
	scheduler.kept = at
	scheduler.customers.markShares(at)
	var decisions []Decision
	for _, group := range scheduler.order {
		pools := group.pools.Load()
		for _, member := range pools.all {
			member.health.decay(elapsed)
		}
		scheduler.resize(at, group, pools.all)
		decisions = append(decisions, scheduler.expire(at, group)...)
	}
	return decisions
}

// resize fits the subset for long work to its demand and publishes the pools.
func (scheduler *Scheduler) resize(at int64, group *group, members []*member) {
	group.largest.Store(largestMemory(members))
	if !scheduler.on(MechanismSubset) || len(members) == 0 {
		group.pools.Store(&pools{all: members})
		return
	}
	var total float64
	for class := range classes {
		total += group.demand[class].perSecond(at)
	}
	demand := group.demand[peridotpath.Long].perSecond(at)
	mean := capacity(members) / float64(len(members))
	needed := demand * float64(scheduler.instances.Load()) / mean
	limit := len(members)
	if total > 0 {
		limit = int(float64(len(members))*demand/total) + 1
	}
	group.subset.resize(at, needed, min(limit, len(members)))
	if published := group.pools.Load(); sameMembers(published.all, members) && len(published.long) == group.subset.size {
		return
	}
	group.pools.Store(group.subset.split(members))
}

func sameMembers(a, b []*member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Next returns when Advance is due if nothing happens before; zero for never.
func (scheduler *Scheduler) Next() time.Time {
	if scheduler.waiting.Load() == 0 {
		return time.Time{}
	}
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	if scheduler.next == 0 {
		return time.Time{}
	}
	return time.Unix(0, scheduler.next)
}

// Cancel takes waiting work out of the queue: its caller left.
func (scheduler *Scheduler) Cancel(_ time.Time, work *Work) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	group := (*scheduler.groups.Load())[work.Profile.Service]
	if group == nil || !group.queues[work.slot()].remove(work) {
		return
	}
	scheduler.unqueued(group, work)
	work.customer.active.Add(-1)
}

// FirstToken notes that placed work has begun to answer.
func (scheduler *Scheduler) FirstToken(now time.Time, work *Work) {
	placed := &work.placement
	if placed.member == nil || placed.started {
		return
	}
	at := now.UnixNano()
	placed.member.answer(placed)
	if group := (*scheduler.groups.Load())[work.Profile.Service]; group != nil {
		group.drained[work.slot()].add(at, work.cost())
	}
	placed.firstAt = at
	scheduler.observe(at, placed)
}

// observe compares the time that a placement has taken with the prediction.
func (scheduler *Scheduler) observe(at int64, placed *placement) {
	if scheduler.on(MechanismSlowness) {
		placed.member.health.observe(time.Duration(at-placed.at), time.Duration(placed.predicted))
	}
}

// Done ends the current placement. It must be called exactly once for each
// Place verdict. tokens is how many answer tokens were produced.
func (scheduler *Scheduler) Done(now time.Time, work *Work, outcome Outcome, tokens peridotpath.Tokens) {
	placed := &work.placement
	if placed.member == nil {
		return
	}
	at := now.UnixNano()
	switch {
	case placed.started && scheduler.on(MechanismSlowness):
		placed.member.health.observeDecode(tokens, time.Duration(at-placed.firstAt))
	case !placed.started && outcome == Abandoned:
		// The caller gave up before the first token: the time until then is the
		// least that it would have taken, and left out it would hide exactly the
		// endpoints that answer too late for anybody.
		scheduler.observe(at, placed)
	}
	charged := outcome
	if outcome == Abandoned && hung(at, placed) {
		charged = Failed
	}
	placed.member.end(at, placed)
	scheduler.judge(at, work.Profile.Service, placed, charged)
	work.customer.active.Add(-1)
	work.outcome = outcome
	if outcome != Finished && outcome != Abandoned && outcome != Unsent {
		work.avoid = append(work.avoid, work.Endpoint)
	}
	work.Endpoint = ""
	placed.member = nil
}
