package relay

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/fairness"
	"peridotpath.example/peridotpath/fairshare"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/telemetry"
)

// fairShareState is what a request has recorded in the FairShare.
type fairShareState struct {
	// arrivalRecorded reports that the request was recorded as an arrival.
	arrivalRecorded bool
	// dispatchRecorded reports that the current attempt was recorded as dispatched, with charge as
	// its engine time.
	dispatchRecorded bool
	charge           fairshare.Charge
	// eventsBefore is the number of events of earlier attempts.
	eventsBefore int
}

// sharesTime reports whether the request uses engine time of a customer.
func (exchange *exchange) sharesTime() bool {
	return exchange.relay.FairShare != nil && exchange.customer != "" && exchange.spec.Engine != nil
}

// engineDemand returns what the rest of the request asks of the engines.
func (exchange *exchange) engineDemand(now time.Time) *fairshare.Demand {
	return &fairshare.Demand{
		Customer: placement.HashCustomer(exchange.customer), Rates: exchange.spec.Engine,
		PromptTokens: exchange.request.PromptTokens, Prefill: exchange.prefillTime, AnswerTokens: exchange.placementWork(now).AnswerTokens,
	}
}

// recordArrival records the engine time that the request asks for, once.
func (exchange *exchange) recordArrival(now time.Time) {
	if !exchange.sharesTime() || exchange.arrivalRecorded {
		return
	}
	exchange.arrivalRecorded = true
	exchange.relay.FairShare.RecordArrival(exchange.engineDemand(now), now)
}

// recordDispatch records the engine time of an attempt that is about to be sent.
func (exchange *exchange) recordDispatch(now time.Time) {
	if !exchange.sharesTime() {
		return
	}
	exchange.dispatchRecorded, exchange.eventsBefore = true, exchange.eventCount
	exchange.charge = exchange.relay.FairShare.RecordDispatch(exchange.engineDemand(now), now)
}

// recordUse replaces the estimated decode time of an attempt that has ended by that of the events
// that arrived.
func (exchange *exchange) recordUse(now time.Time) {
	if !exchange.dispatchRecorded {
		return
	}
	exchange.dispatchRecorded = false
	exchange.relay.FairShare.RecordEnd(&exchange.charge, fairshare.Answer{
		IsStreamed: exchange.route.Streaming, Events: float64(exchange.eventCount - exchange.eventsBefore),
		IsWhole: exchange.eventsBefore == 0 && exchange.request.LastEventID == "",
	}, now)
}

// recordServed counts the request by its size class within its route.
func (exchange *exchange) recordServed(code peridotpath.Code) {
	if !exchange.sharesTime() || code != peridotpath.CodeOK && !code.NotRun() {
		return
	}
	exchange.relay.FairShare.RecordServed(exchange.route.Name, exchange.request.PromptTokens, code == peridotpath.CodeOK, time.Now())
}

// admitByShare refuses a short prompt of a customer above its share when all slots are taken, and
// returns the engines that the prompt may be sent to otherwise, with the load by which to place it:
// that of this instance alone where the reports of peers are older than the time for which a
// request has a slot. A request that was sent before is not refused.
func (exchange *exchange) admitByShare(candidates []placement.Candidate, snapshot placement.LoadSnapshot, now time.Time) ([]placement.Candidate, placement.LoadSnapshot, *peridotpath.Result) {
	batch := 0
	if exchange.spec.Engine != nil {
		batch = exchange.spec.Engine.BatchSize
	}
	if !exchange.sharesTime() || batch == 0 || exchange.sentCount > 0 || exchange.lastEventID != "" {
		return candidates, snapshot, nil
	}
	occupied := 0
	for _, candidate := range candidates {
		occupied += snapshot.At(candidate.Key).RequestCount()
	}
	state := fairshare.Slots{Count: batch * len(candidates), Occupied: occupied}
	slotTime := exchange.engineDemand(now).SlotTime()
	state.Room = fairness.RoomFor(state.Count, exchange.route.TTFTTarget, slotTime)
	reportsAreStale := exchange.relay.LoadTracker.ReportLag() > slotTime
	if reportsAreStale {
		state.Estimated = len(exchange.relay.LoadTracker.LocalInFlight()) * (1 + exchange.relay.LoadTracker.LivePeerCount(now))
	}
	retryAfter := exchange.relay.FairShare.AdmitShort(placement.HashCustomer(exchange.customer), state, now)
	if retryAfter > 0 {
		return nil, snapshot, exchange.refusal(peridotpath.CodeOverShare, retryAfter)
	}
	if reportsAreStale && exchange.relay.FairShare.LacksSlots(now) {
		return fairshare.LeastUsed(candidates, exchange.relay.LoadTracker.LocalInFlight()), exchange.relay.LoadTracker.LocalSnapshot(now), nil
	}
	return candidates, snapshot, nil
}

// newQueuedPrompt returns the request's entry in the prefill queue.
func (exchange *exchange) newQueuedPrompt(queuedAt, now time.Time) placement.QueuedPrompt {
	prompt := placement.NewQueuedPrompt(queuedAt, exchange.prefillTime)
	if exchange.sharesTime() {
		prompt.Customer = placement.HashCustomer(exchange.customer)
		prompt.OverShare, prompt.Due = exchange.shareOrder(queuedAt, now)
	}
	return prompt
}

// shareOrder returns whether the request yields in the prefill queue, and its due time there.
func (exchange *exchange) shareOrder(queuedAt, now time.Time) (overShare bool, due time.Time) {
	return exchange.relay.FairShare.Order(&fairshare.QueuedRequest{
		Customer: placement.HashCustomer(exchange.customer), Route: exchange.route.Name, TTFTTarget: exchange.route.TTFTTarget,
		PromptTokens: exchange.request.PromptTokens, Prefill: exchange.prefillTime, QueuedAt: queuedAt,
	}, now)
}

// updateShare updates the entry of a request that waits in the prefill queue.
func (exchange *exchange) updateShare(entry placement.QueuedPromptNumber, queuedAt, now time.Time) {
	if !exchange.sharesTime() {
		return
	}
	share := exchange.relay.FairShare
	if now.Sub(exchange.request.ArrivedAt) >= queuePollInterval {
		share.RecordWait(now)
	}
	overShare, due := exchange.shareOrder(queuedAt, now)
	if share.LoadTracker.UpdateShare(entry, overShare, due) {
		telemetry.CountShareYield()
	}
}
