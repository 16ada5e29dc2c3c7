package relay

import (
	"context"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/telemetry"
)

// Long prompts wait in a prefill queue at the instances instead of at the engines. All
// instances derive the same queue order from the entries that they exchange.
//
// The queue serves bursts of long prompts, such as a dozen within two seconds, each of
// which takes one engine seconds to prefill. Sent at once, they are prefilled
// concurrently on all engines and delay each other's parts: all of them, and the short
// prompts beside them, miss their latency targets. Dispatched one after another, each
// prefill is split across all engines with few decoding requests and takes a fraction
// of a second.
const (
	// maxUnqueuedPrefill is the prefill time on one engine above which a prompt is queued. A
	// shorter prefill fits between the events of decoding requests.
	maxUnqueuedPrefill = 150 * time.Millisecond
	// minQueuedTTFT is the smallest TTFT target of a request that is queued. A request with
	// a shorter target misses it after any wait, and its client timeout expires before the
	// long prompts ahead of it are prefilled, so that it would never be sent.
	minQueuedTTFT = 4 * maxUnqueuedPrefill
	// queuePollInterval is the interval at which the position of a queued prompt is
	// polled, and queuePollPerPeer what each peer adds: the cost of a poll grows with the
	// in-flight requests of all instances.
	queuePollInterval = 10 * time.Millisecond
	queuePollPerPeer  = 200 * time.Microsecond
	// delayPerRank is how much later a prompt is queued for each rank of lower priority:
	// one rank outweighs an arrival that is up to a second earlier.
	delayPerRank = time.Second
)

// awaitDispatch queues the request until it is first in the prefill queue and the engines
// have capacity for it, then places it.
func (exchange *exchange) awaitDispatch(ctx context.Context, model placement.Model, prefillTime time.Duration) *peridotpath.Result {
	tracker := exchange.relay.LoadTracker
	pollInterval := queuePollInterval + time.Duration(tracker.LivePeerCount(time.Now()))*queuePollPerPeer
	queuedAt := exchange.request.ArrivedAt.Add(time.Duration(exchange.priority) * delayPerRank)
	prompt := exchange.newQueuedPrompt(queuedAt, time.Now())
	prompt.Target = exchange.request.ArrivedAt.Add(exchange.route.TTFTTarget)
	prompt.Booked = exchange.claimReturn(time.Now())
	entry := tracker.Join(prompt)
	defer tracker.Dequeue(entry)
	for {
		if result := exchange.checkQuarantine(); result != nil {
			return result
		}
		now := time.Now()
		candidates := exchange.candidates(now)
		if len(candidates) == 0 {
			return exchange.noEndpointRefusal()
		}
		exchange.updateShare(entry, queuedAt, now)
		ahead, prefillAhead := tracker.QueuedAhead(entry, exchange.relay.Instance, now)
		outlook := exchange.queueOutlook(prefillAhead, prompt.Booked, now)
		if result := exchange.refuseQueued(&outlook, now); result != nil {
			return result
		}
		work, missesTarget := outlook.Work, outlook.MissesTarget()
		blocked := false
		// One dispatch at a time takes a digest and a poll, about 35 ms at 30 instances. At
		// 60 engines, 28 dispatches a second leave some idle while prompts wait.
		if ahead < tracker.PromptsSideBySide(len(candidates), now) {
			plan, found := exchange.planDispatch(model, work, candidates, entry, now)
			mustWait := placement.CanAwaitReports(plan, work, tracker.TimeToSettle(now))
			if found && !mustWait && placement.IsWorthDispatching(plan, work, ahead) && exchange.beginInFlight(plan, now) {
				telemetry.RecordPrefillQueueWait(work.Waited)
				telemetry.CountPrefillPlaced(prefillTime)
				return nil
			}
			if !found && isKeptByExit(work, func(work placement.Work) bool {
				_, found := exchange.planDispatch(model, work, candidates, entry, now)
				return found
			}) {
				return exchange.refuseQueuedForExit(&outlook, now)
			}
			// The head of the queue waits for KV cache, or for engines with less
			// interference cost. Later prompts must not wait with it (head-of-line
			// blocking).
			blocked = !found || plan.PrefillDelay <= placement.DispatchLead
		}
		tracker.UpdateQueued(entry, missesTarget, blocked)
		if !clock.SleepContext(ctx, pollInterval) {
			return exchange.contextResult(ctx)
		}
	}
}

// planDispatch plans a queued prompt beside those ahead of it in the queue, which are assumed to
// be placed first.
func (exchange *exchange) planDispatch(model placement.Model, work placement.Work, candidates []placement.Candidate, entry placement.QueuedPromptNumber, now time.Time) (placement.Plan, bool) {
	tracker := exchange.relay.LoadTracker
	snapshot := tracker.Snapshot(now)
	snapshot.AssumePlaced(candidates, tracker.PrefillsAhead(entry, exchange.relay.Instance, now))
	return placement.PlanDispatch(model, work, candidates, snapshot)
}
