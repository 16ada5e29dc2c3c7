package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/shortqueue"
	"peridotpath.example/peridotpath/telemetry"
)

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
		queue.Release(exchange.service, endpoint, now)
	}
}

// awaitShortSlot places a short prompt at once if free slots are plentiful, or else when it gets
// one.
func (exchange *exchange) awaitShortSlot(ctx context.Context, model placement.Model) *peridotpath.Result {
	for exchange.relay.ShortQueue.Waiting() == 0 {
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
	entry := shortqueue.NewEntry(exchange.request.ArrivedAt.Add(exchange.route.TTFTTarget-exchange.prefillTime), exchange.priority, time.Now())
	if refusal := exchange.refuseByShare(entry.JoinedAt); refusal != nil {
		return refusal
	}
	queue.Join(exchange.service, entry)
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
		case placement.ShortExit:
			return exchange.refuseForExit()
		case placement.ShortRefuse:
			return exchange.refusal(peridotpath.CodeCannotFinish, decision.RetryAfter())
		case placement.ShortSend:
			if exchange.beginInFlight(planned.Plan, now) {
				queue.Take(exchange.service, planned.Primary.Key())
				return nil
			}
			verdict = placement.ShortWait
		case placement.ShortWait:
			if decision.MayDraw && decision.HasSlot {
				entry.RecordDraw(decision.Outlook.NewsAge, now)
			}
		}
		queue.Report(exchange.relay.reportShortWaits)
		if !entry.Sleep(ctx, decision.IsFirst, decision.Work.UntilHoldLimit()) {
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
func (exchange *exchange) decideShort(model placement.Model, entry *shortqueue.Entry, candidates []placement.Candidate, now time.Time) (shortqueue.Plan, placement.ShortDecision) {
	relay, work := exchange.relay, exchange.placementWork(now)
	isOverShare := exchange.sharesTime() && relay.FairShare.OverShare(exchange.customer, now)
	planned := shortqueue.Plan{Outlook: entry.Outlook}
	isPlanned := entry.Outlook.TimeToFirstEvent == 0
	if isPlanned {
		planned = relay.ShortQueue.Plan(exchange.service, model, work, candidates, relay.LoadTracker.Snapshot(now), now)
	}
	isLate := placement.IsLate(work, planned.Outlook.TimeToFirstEvent)
	place := relay.ShortQueue.Update(exchange.service, entry, isLate, isOverShare, now)
	if place.Ahead == 0 && !isPlanned {
		planned = relay.ShortQueue.Plan(exchange.service, model, work, candidates, relay.LoadTracker.Snapshot(now), now)
		isLate = placement.IsLate(work, planned.Outlook.TimeToFirstEvent)
		place = relay.ShortQueue.Update(exchange.service, entry, isLate, isOverShare, now)
	}
	entry.Outlook = planned.Outlook
	return planned, placement.ShortDecision{
		Work: work, Outlook: planned.Outlook, HasSlot: planned.HasSlot, IsOwnSlot: planned.IsOwnSlot, IsFirst: place.Ahead == 0,
		MayDraw: entry.MayDraw(now), Here: place.Here, Peers: relay.LoadTracker.PeerShortWaits(now),
		IsLate: isLate, LateWait: place.LateWait, Draw: rand.Float64(),
	}
}

// leaveShortQueue removes the prompt from the queue and records how it ended.
func (exchange *exchange) leaveShortQueue(entry *shortqueue.Entry, verdict placement.ShortVerdict) {
	relay, now := exchange.relay, time.Now()
	relay.ShortQueue.Leave(exchange.service, entry, verdict == placement.ShortSend, now)
	relay.ShortQueue.Report(relay.reportShortWaits)
	name := verdict.String()
	if verdict == placement.ShortWait {
		name = "ended"
	}
	waited := now.Sub(entry.JoinedAt)
	telemetry.RecordShortQueue(name, entry.IsLate, waited)
	if waited > 0 && relay.ShortQueue.LogSampler.Allow(now) {
		relay.Log.Info().Str("request", string(exchange.request.ID)).Str("service", string(exchange.service)).Str("verdict", name).
			Bool("late", entry.IsLate).Dur("waited", waited).Int("free_slots", entry.Outlook.FreeSlots).
			Int64("waiting", relay.ShortQueue.Waiting()).Msg("short_prompt_queued")
	}
}

// reportShortWaits reports the number of waiting prompts to peers and in the metrics.
func (relay *Relay) reportShortWaits(waits placement.ShortWaits) {
	relay.LoadTracker.SetShortWaits(waits)
	telemetry.SetShortWaits(waits.OnTime, waits.Late)
}
