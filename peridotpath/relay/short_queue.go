package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// shortPollInterval is the interval at which the first waiting short prompt is planned, and
	// shortIdleInterval that at which the others check whether they are late.
	shortPollInterval = 10 * time.Millisecond
	shortIdleInterval = 40 * time.Millisecond
	// shortDelayPerRank is how much later a short prompt is due for each rank of lower priority:
	// three ranks outweigh a usual TTFT target.
	shortDelayPerRank = 100 * time.Millisecond
	// minReleasedLifetime is the least time for which a slot that an own request has released
	// belongs to this instance. Otherwise it does until peers know that it is free.
	minReleasedLifetime = 10 * time.Millisecond
)

// ShortQueue holds the short prompts that wait at this instance for a free slot of an engine.
//
// It serves loads a little above what the engines' slots sustain. Sent to the engines at
// once, all prompts wait there in an order that cannot be changed, and most miss their targets by
// a little. In this queue, those that cannot be on time any more yield to those that can.
type ShortQueue struct {
	// LogSampler samples the log lines of prompts that have waited.
	LogSampler *telemetry.LogSampler

	// waiting is the number of waiting prompts, scarceAt when slots were scarce last, in Unix
	// nanoseconds. While both are zero, requests take no lock.
	waiting, scarceAt atomic.Int64
	// reporting orders the reports of waiting prompts to peers.
	reporting sync.Mutex

	mutex      sync.Mutex
	lastNumber uint64
	services   map[peridotpath.Service]*serviceQueue
}

// serviceQueue holds the waiting prompts of one service.
type serviceQueue struct {
	entries []*shortEntry
	// released are the times at which own requests released slots, oldest first.
	released map[peridotpath.EndpointKey][]time.Time
	late     placement.LateService
	// newsAge is the time until peers know that a slot is free.
	newsAge time.Duration
}

// shortEntry is one waiting prompt.
type shortEntry struct {
	placement.WaitingShort
	joinedAt time.Time
	// wake receives when the prompt has become the first one or a slot was released.
	wake chan struct{}
	// nextDraw is when the prompt may draw for free slots again.
	nextDraw time.Time
	// outlook is that of the last plan.
	outlook placement.SlotOutlook
}

func (queue *ShortQueue) service(name peridotpath.Service) *serviceQueue {
	if queue.services == nil {
		queue.services = map[peridotpath.Service]*serviceQueue{}
	}
	service := queue.services[name]
	if service == nil {
		service = &serviceQueue{released: map[peridotpath.EndpointKey][]time.Time{}}
		queue.services[name] = service
	}
	return service
}

// join adds a prompt.
func (queue *ShortQueue) join(name peridotpath.Service, entry *shortEntry) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.lastNumber++
	entry.Number = queue.lastNumber
	service := queue.service(name)
	service.advance(entry.joinedAt, 0)
	service.entries = append(service.entries, entry)
	queue.waiting.Add(1)
}

// leave removes a prompt and wakes the one that is then the first.
func (queue *ShortQueue) leave(name peridotpath.Service, entry *shortEntry, wasSent bool, now time.Time) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	service := queue.service(name)
	sentLate := 0
	if wasSent && entry.IsLate {
		sentLate = 1
	}
	service.advance(now, sentLate)
	service.entries = slices.DeleteFunc(service.entries, func(other *shortEntry) bool { return other == entry })
	queue.waiting.Add(-1)
	service.wakeFirst()
}

func (service *serviceQueue) advance(now time.Time, sentLate int) {
	_, waits := service.position(nil)
	service.late.Advance(now, waits.Late > 0, sentLate)
}

// position returns how many prompts go before the entry, and counts all.
func (service *serviceQueue) position(entry *shortEntry) (ahead int, waits placement.ShortWaits) {
	for _, other := range service.entries {
		if other.IsLate {
			waits.Late++
		} else {
			waits.OnTime++
		}
		if entry != nil && other != entry && other.Precedes(&entry.WaitingShort) {
			ahead++
		}
	}
	return ahead, waits
}

func (service *serviceQueue) wakeFirst() {
	var first *shortEntry
	for _, entry := range service.entries {
		if first == nil || entry.Precedes(&first.WaitingShort) {
			first = entry
		}
	}
	if first != nil {
		select {
		case first.wake <- struct{}{}:
		default:
		}
	}
}

// standing is a waiting prompt's place in the queue.
type standing struct {
	ahead    int
	here     placement.ShortWaits
	lateWait time.Duration
}

// update records whether the prompt is late and its customer above its share, and returns its place.
func (queue *ShortQueue) update(name peridotpath.Service, entry *shortEntry, isLate, isOverShare bool, now time.Time) standing {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	service := queue.service(name)
	service.advance(now, 0)
	if entry.IsLate != isLate || entry.OverShare != isOverShare {
		entry.IsLate, entry.OverShare = isLate, isOverShare
		service.wakeFirst()
	}
	ahead, here := service.position(entry)
	return standing{ahead: ahead, here: here, lateWait: service.late.Wait(max(ahead-here.OnTime, 0))}
}

// waits counts the waiting prompts of all services.
func (queue *ShortQueue) waits() placement.ShortWaits {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	var total placement.ShortWaits
	for _, service := range queue.services {
		_, waits := service.position(nil)
		total.OnTime += waits.OnTime
		total.Late += waits.Late
	}
	return total
}

// report reports the waiting prompts to peers and in the metrics.
func (queue *ShortQueue) report(tracker *placement.LoadTracker) {
	queue.reporting.Lock()
	defer queue.reporting.Unlock()
	waits := queue.waits()
	tracker.SetShortWaits(waits)
	telemetry.SetShortWaits(waits.OnTime, waits.Late)
}

// scarceMemory is how long after slots were scarce the ends of requests are recorded.
const scarceMemory = 2 * time.Second

// release records that an own request has released its slot, and wakes the first prompt.
func (queue *ShortQueue) release(name peridotpath.Service, endpoint peridotpath.EndpointKey, now time.Time) {
	if now.UnixNano()-queue.scarceAt.Load() > int64(scarceMemory) {
		return
	}
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	service := queue.service(name)
	service.expireReleased(now)
	service.released[endpoint] = append(service.released[endpoint], now)
	service.wakeFirst()
}

func (service *serviceQueue) expireReleased(now time.Time) {
	for endpoint, times := range service.released {
		for len(times) > 0 && now.Sub(times[0]) > max(service.newsAge, minReleasedLifetime) {
			times = times[1:]
		}
		if len(times) == 0 {
			delete(service.released, endpoint)
			continue
		}
		service.released[endpoint] = times
	}
}

// releasedCandidates returns the candidates with a slot that an own request has released.
func (queue *ShortQueue) releasedCandidates(name peridotpath.Service, candidates []placement.Candidate, newsAge time.Duration, now time.Time) []placement.Candidate {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	service := queue.service(name)
	service.newsAge = newsAge
	service.expireReleased(now)
	if len(service.released) == 0 {
		return nil
	}
	var own []placement.Candidate
	for _, candidate := range candidates {
		if len(service.released[candidate.Key]) > 0 {
			own = append(own, candidate)
		}
	}
	return own
}

// take removes one of the released slots of the endpoint.
func (queue *ShortQueue) take(name peridotpath.Service, endpoint peridotpath.EndpointKey) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	service := queue.service(name)
	if times := service.released[endpoint]; len(times) > 1 {
		service.released[endpoint] = times[1:]
		return
	}
	delete(service.released, endpoint)
}

// mayWaitForSlot reports whether the request may wait for a free slot. Retries and resumed
// streams may not: they are sent at once. A long prompt with a short target waits for more than a
// slot, and is refused at once where no engine takes it.
func (exchange *exchange) mayWaitForSlot() bool {
	return exchange.relay.ShortQueue != nil && exchange.spec.Engine.BatchSize > 0 && exchange.route.TTFTTarget > 0 &&
		exchange.prefillTime <= maxUnqueuedPrefill && exchange.attemptCount == 0 && !exchange.mayHaveRun && exchange.lastEventID == "" && !exchange.streamBegun
}

// releaseShortSlot records that an attempt has released its slot at the endpoint.
func (exchange *exchange) releaseShortSlot(endpoint peridotpath.EndpointKey, now time.Time) {
	if queue := exchange.relay.ShortQueue; queue != nil && exchange.spec.Engine != nil {
		queue.release(exchange.service, endpoint, now)
	}
}

// shortPlan is the plan of a short prompt with what the decision needs.
type shortPlan struct {
	plan    placement.Plan
	found   bool
	outlook placement.SlotOutlook
	// hasSlot is set where the primary has a free slot, isOwnSlot where an own request has released
	// it.
	hasSlot, isOwnSlot bool
}

// planAmong plans the prompt on the candidates. It returns false where none has a free slot.
func (planned *shortPlan) planAmong(model placement.Model, work placement.Work, candidates []placement.Candidate, snapshot placement.LoadSnapshot) bool {
	if len(candidates) == 0 {
		return false
	}
	planned.plan, planned.found = placement.PlanPrompt(model, work, candidates, snapshot)
	planned.hasSlot = planned.found && snapshot.HasFreeSlot(model, planned.plan.Primary.Key())
	return planned.hasSlot
}

// planShort plans a short prompt while slots are scarce: on an engine where an own request has
// released a slot, or else at a free slot chosen at random, or else on the best of all engines.
func (exchange *exchange) planShort(model placement.Model, work placement.Work, candidates []placement.Candidate, snapshot placement.LoadSnapshot, now time.Time) shortPlan {
	queue := exchange.relay.ShortQueue
	queue.scarceAt.Store(now.UnixNano())
	planned := shortPlan{outlook: placement.NewSlotOutlook(model, work, candidates, snapshot)}
	if !planned.outlook.MaySplit {
		own := queue.releasedCandidates(exchange.service, candidates, planned.outlook.NewsAge, now)
		if planned.planAmong(model, work, own, snapshot) && work.Waited+planned.plan.TimeToFirstEvent <= work.TTFTTarget {
			planned.isOwnSlot = true
			return planned
		}
		if planned.planAmong(model, work, planned.outlook.Pick, snapshot) {
			return planned
		}
	}
	if planned.planAmong(model, work, candidates, snapshot) && planned.outlook.MaySplit {
		planned.outlook.TimeToFirstEvent = min(planned.outlook.TimeToFirstEvent, planned.plan.TimeToFirstEvent)
	}
	return planned
}

// awaitShortSlot places a short prompt at once if free slots are plentiful, or else when it gets
// one.
func (exchange *exchange) awaitShortSlot(ctx context.Context, model placement.Model) *peridotpath.Result {
	for exchange.relay.ShortQueue.waiting.Load() == 0 {
		now := time.Now()
		candidates, snapshot := exchange.candidates(now), exchange.relay.LoadTracker.Snapshot(now)
		if len(candidates) == 0 {
			return exchange.noEndpointRefusal()
		}
		if !snapshot.HasPlentifulSlots(model, candidates) {
			break
		}
		plan, found := placement.PlanPrompt(model, exchange.placementWork(now), candidates, snapshot)
		if !found || !snapshot.HasFreeSlot(model, plan.Primary.Key()) {
			break
		}
		if exchange.beginInFlight(plan, now) {
			return nil
		}
	}
	return exchange.queueShort(ctx, model)
}

// queueShort queues a short prompt until it is sent or refused.
func (exchange *exchange) queueShort(ctx context.Context, model placement.Model) *peridotpath.Result {
	queue := exchange.relay.ShortQueue
	entry := &shortEntry{joinedAt: time.Now(), wake: make(chan struct{}, 1)}
	entry.Due = exchange.request.ArrivedAt.Add(exchange.route.TTFTTarget - exchange.prefillTime + time.Duration(exchange.priority)*shortDelayPerRank)
	if refusal := exchange.refuseByShare(entry.joinedAt); refusal != nil {
		return refusal
	}
	queue.join(exchange.service, entry)
	verdict := placement.ShortWait
	defer func() { exchange.leaveShortQueue(entry, verdict) }()
	for {
		if result := exchange.checkQuarantine(); result != nil {
			return result
		}
		now := time.Now()
		candidates := exchange.candidates(now)
		if len(candidates) == 0 {
			return exchange.noEndpointRefusal()
		}
		planned, decision := exchange.decideShort(model, entry, candidates, now)
		switch verdict = decision.Decide(); verdict {
		case placement.ShortRefuse:
			return exchange.refusal(peridotpath.CodeCannotFinish, decision.RetryAfter())
		case placement.ShortSend:
			if exchange.beginInFlight(planned.plan, now) {
				queue.take(exchange.service, planned.plan.Primary.Key())
				return nil
			}
			verdict = placement.ShortWait
		case placement.ShortWait:
			if decision.MayDraw && decision.HasSlot {
				entry.nextDraw = now.Add(max(decision.Outlook.NewsAge, shortPollInterval))
			}
		}
		queue.report(exchange.relay.LoadTracker)
		if !entry.sleep(ctx, decision.IsFirst) {
			return exchange.contextResult(ctx)
		}
	}
}

// refuseByShare refuses a prompt of a customer above its share that finds all slots taken.
func (exchange *exchange) refuseByShare(now time.Time) *peridotpath.Result {
	if !exchange.sharesTime() {
		return nil
	}
	_, _, refusal := exchange.admitByShare(exchange.candidates(now), exchange.relay.LoadTracker.Snapshot(now), now)
	return refusal
}

// decideShort prepares the decision about a queued prompt. Only the first one of the queue is
// planned; for the others, the outlook of their last plan is used.
func (exchange *exchange) decideShort(model placement.Model, entry *shortEntry, candidates []placement.Candidate, now time.Time) (shortPlan, placement.ShortDecision) {
	relay, work := exchange.relay, exchange.placementWork(now)
	isOverShare := exchange.sharesTime() && relay.FairShare.OverShare(exchange.customer, now)
	planned := shortPlan{outlook: entry.outlook}
	isPlanned := entry.outlook.TimeToFirstEvent == 0
	if isPlanned {
		planned = exchange.planShort(model, work, candidates, relay.LoadTracker.Snapshot(now), now)
	}
	isLate := placement.IsLate(work, planned.outlook.TimeToFirstEvent)
	place := relay.ShortQueue.update(exchange.service, entry, isLate, isOverShare, now)
	if place.ahead == 0 && !isPlanned {
		planned = exchange.planShort(model, work, candidates, relay.LoadTracker.Snapshot(now), now)
		isLate = placement.IsLate(work, planned.outlook.TimeToFirstEvent)
		place = relay.ShortQueue.update(exchange.service, entry, isLate, isOverShare, now)
	}
	entry.outlook = planned.outlook
	return planned, placement.ShortDecision{
		Work: work, Outlook: planned.outlook, HasSlot: planned.hasSlot, IsOwnSlot: planned.isOwnSlot, IsFirst: place.ahead == 0,
		MayDraw: !now.Before(entry.nextDraw), Here: place.here, Peers: relay.LoadTracker.PeerShortWaits(now),
		IsLate: isLate, LateWait: place.lateWait, Draw: rand.Float64(),
	}
}

// leaveShortQueue removes the prompt from the queue and records how it ended.
func (exchange *exchange) leaveShortQueue(entry *shortEntry, verdict placement.ShortVerdict) {
	relay, now := exchange.relay, time.Now()
	relay.ShortQueue.leave(exchange.service, entry, verdict == placement.ShortSend, now)
	relay.ShortQueue.report(relay.LoadTracker)
	name := verdict.String()
	if verdict == placement.ShortWait {
		name = "ended"
	}
	waited := now.Sub(entry.joinedAt)
	telemetry.RecordShortQueue(name, entry.IsLate, waited)
	if waited > 0 && relay.ShortQueue.LogSampler.Allow(now) {
		relay.Log.Info().Str("request", string(exchange.request.ID)).Str("service", string(exchange.service)).Str("verdict", name).
			Bool("late", entry.IsLate).Dur("waited", waited).Int("free_slots", entry.outlook.FreeSlots).
			Int64("waiting", relay.ShortQueue.waiting.Load()).Msg("short_prompt_queued")
	}
}

// sleep waits until the prompt is woken or its poll interval has passed. It returns false when the
// context ends.
func (entry *shortEntry) sleep(ctx context.Context, isFirst bool) bool {
	interval := shortIdleInterval
	if isFirst {
		interval = shortPollInterval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-entry.wake:
	case <-timer.C:
	}
	return ctx.Err() == nil
}
