package placement

import "time"

// Costs are fractions of a request's value. The cost of a plan is the value that it is
// expected to lose, of the request itself and of others on the same engines.
const (
	// MissedTargetCost is the fraction of its value that an answer loses when it misses its
	// latency target.
	MissedTargetCost = 0.75
	// surelyMetShare and surelyMissedShare are shares of the target. A predicted time
	// below the first counts as met, one above the second as missed, and the cost grows
	// linearly between them. The first leaves room for errors of the prediction.
	surelyMetShare    = 0.6
	surelyMissedShare = 1.1
	// latencySlopeCost prefers the sooner of two plans that both meet or both miss the
	// target.
	latencySlopeCost = 0.02
	// remoteCost is the cost of a primary in another data centre: traffic between data
	// centres is charged.
	remoteCost = 0.008
	// ejectedCost keeps requests away from an endpoint that is ejected.
	ejectedCost = 0.9
	// idleEngineCost is the cost of placing the first decoding request on an engine. An
	// engine that decodes nothing can prefill long prompts at any time; packing decoding
	// requests keeps such engines available.
	idleEngineCost = 0.03
	// freeSlotCost is the cost of placing a decoding request on an engine whose slots are
	// all free; it decreases linearly with the share of free slots. It fills some engines
	// up and leaves others to long prompts.
	freeSlotCost = 0.03
	// rankCost makes all instances try the engines in the same order.
	rankCost = 0.002
	// jitterCost spreads the decoding requests of instances that have not yet received
	// each other's reports. It is as large as idleEngineCost and freeSlotCost, which
	// concentrate them, and smaller than the cost of a full engine.
	jitterCost = 0.03
	// maxITLShare is the share of the ITL target that an iteration may take.
	maxITLShare = 0.9
	// overtakingCost is the fraction of its value that a waiting prompt loses per second
	// of prefill that overtakes it.
	overtakingCost = 0.2
	// minIdleEngineConfidence is the lower bound of the confidence that scales
	// idleEngineCost once the instance has observed its peers for a while. Without it, a burst
	// of short prompts leaves no engine on which a long prompt can be prefilled. Right after a
	// start it would make all instances fill the few engines that they have heard of.
	minIdleEngineConfidence = 0.5
)

// ttftCost is the fraction of its value that an answer is expected to lose by the
// time of its first event.
func ttftCost(ttft, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	share := float64(ttft) / float64(target)
	missed := min(max((share-surelyMetShare)/(surelyMissedShare-surelyMetShare), 0), 1)
	return MissedTargetCost*missed + latencySlopeCost*share
}

// itlRiskCost is the fraction of its value that the answer is expected to lose where
// pending prefill on the primary will delay one of its events beyond the ITL target.
func itlRiskCost(work Work, primary *engine) float64 {
	if work.ITLTarget == 0 {
		return 0
	}
	if primary.load.LongestPrefill+primary.iteration > time.Duration(maxITLShare*float64(work.ITLTarget)) {
		return MissedTargetCost / 2
	}
	return 0
}

// interferenceCost is the value that the requests of an engine lose when prefill of the
// given duration is added to its backlog. The whole backlog falls between two events of
// each of these requests.
func interferenceCost(at *engine, prefill time.Duration) float64 {
	before := at.iteration + at.load.PrefillBacklog
	after := before + prefill
	cost := 0.0
	for _, itl := range at.load.itlTargets {
		limit := time.Duration(maxITLShare * float64(itl.target))
		if itl.target > 0 && before <= limit && after > limit {
			cost += MissedTargetCost * itl.value
		}
	}
	return cost
}

// helperOvertakingCost is the value that prompts with this engine as primary lose when a
// helper part of the given prefill time is added: engines prefill helper parts of other
// prompts first.
func helperOvertakingCost(at *engine, prefill time.Duration) float64 {
	return overtakingCost * prefill.Seconds() * at.load.prefillingValue
}

// confidence is a weight from 0 to 1 for costs that assume a complete snapshot. It is 1 if
// the estimated number of in-flight requests that peers have not reported yet is 0, 1/2 if
// that number is 1, and 1/17 if it is 2. After a start the confidence grows from 0 while
// the first reports arrive.
//
// It matters in a burst of short prompts at hundreds of instances, and when all clients
// reconnect after all instances have restarted. Each instance then places requests by
// reports that are milliseconds old or missing. All instances pick the same best engine,
// and that engine exceeds its batch size before any instance receives the others' reports.
func (snapshot *LoadSnapshot) confidence() float64 {
	square := snapshot.unreported * snapshot.unreported
	return snapshot.observedShare / (1 + square*square)
}

// engineCost is the cost of an engine as the primary, apart from latency. The costs of
// rank, free slots and an idle engine are scaled by the confidence in the snapshot; for an
// idle engine the scale is at least minIdleEngineConfidence. The lower the confidence, the
// larger the jitter, which keeps instances from choosing the same engine.
func engineCost(work Work, primary *engine) float64 {
	cost := rankCost*primary.confidence*primary.rank + jitterCost*(1-primary.confidence)*primary.jitter
	if primary.Endpoint.DataCentre != work.DataCentre {
		cost += remoteCost
	}
	if primary.IsEjected {
		cost += ejectedCost
	}
	if primary.load.RequestCount() == 0 {
		cost += idleEngineCost * max(primary.confidence, minIdleEngineConfidence*primary.observedShare)
	}
	if free := primary.slots - primary.load.RequestCount(); free > 0 {
		cost += freeSlotCost * primary.confidence * float64(free) / float64(primary.slots)
	}
	return cost
}
