package decide

import (
	"math"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
)

// band is the order of work on an endpoint: by length class, and within a class
// customers within their fair share first.
type band uint8

const bandCount = 2 * int(peridotpath.Oversize)

func bandOf(class peridotpath.LengthClass, isOverShare bool) band {
	class = min(class, peridotpath.Long)
	if isOverShare {
		return band(2*class + 1)
	}
	return band(2 * class)
}

// member is an Endpoint of the fleet with this Instance's state of it. A new
// fleet replaces the Endpoint and keeps the state.
type member struct {
	peridotpath.Endpoint
	*state
}

// loadReport is a load report with this Instance's totals at its AsOf.
type loadReport struct {
	peridotpath.Load
	asOf   int64
	totals totals
}

// state is this Instance's state of one endpoint while the endpoint is in the fleet.
type state struct {
	// liveMember is the live member, nil once the endpoint is leaving or removed.
	liveMember atomic.Pointer[member]
	load       atomic.Pointer[loadReport]
	ledger     ledger
	// pendingTokens is the prompt work sent that has no first token yet, in
	// uncached tokens.
	pendingTokens [bandCount]atomic.Int64
	health        health
	retryBudget   budget
}

const (
	// assumedPrefillRate is the prefill rate until an engine has reported its
	// own. It is low, so that an unknown endpoint is not overloaded.
	assumedPrefillRate = 10_000
	// assumedDecodeRate is the decode rate until an engine has reported its own.
	assumedDecodeRate = 20
)

// prefillRate is the prefill rate in tokens per second: the reported one,
// divided by the observed slowness.
func (member *member) prefillRate() float64 {
	load := member.load.Load()
	if load == nil || load.PrefillPerS <= 0 {
		return assumedPrefillRate
	}
	return float64(load.PrefillPerS) / member.health.slowness()
}

// decodeRate is the decode rate of one request in tokens per second: the lower of
// the reported and the observed one. An idle endpoint reports a rate that it
// cannot keep under load.
func (member *member) decodeRate() float64 {
	rate := float64(assumedDecodeRate)
	if load := member.load.Load(); load != nil && load.DecodePerS > 0 {
		rate = float64(load.DecodePerS)
	}
	if observed := member.health.decodeRate.load(); observed > 0 {
		return min(rate, observed)
	}
	return rate
}

// pendingUpTo is this Instance's pending prompt work in the band and all earlier
// ones, in tokens.
func (member *member) pendingUpTo(limit band) int64 {
	var sum int64
	for i := range limit + 1 {
		sum += member.pendingTokens[i].Load()
	}
	return sum
}

// prefillBacklog predicts the prefill backlog of the endpoint, in tokens: the
// reported backlog, minus what the endpoint has prefilled since the report, plus
// the pending work sent since the report. This Instance's own pending work is the
// lower bound.
func (member *member) prefillBacklog(at int64, addSent bool) float64 {
	ownPending := float64(member.pendingUpTo(band(bandCount - 1)))
	load := member.load.Load()
	if load == nil {
		return ownPending
	}
	backlog := float64(load.PrefillTokens)
	if !addSent {
		return backlog
	}
	backlog -= float64(load.PrefillPerS) * time.Duration(at-load.asOf).Seconds()
	sentSince := float64(member.ledger.sentTokens.Load() - load.totals.sentTokens)
	return max(max(backlog, 0)+min(sentSince, ownPending), ownPending)
}

// reportAge is the age of the newest report; zero if there is none.
func (member *member) reportAge(at int64) time.Duration {
	load := member.load.Load()
	if load == nil {
		return 0
	}
	return max(time.Duration(at-load.asOf), 0)
}

// usedKV predicts the KV memory, in tokens, that is unavailable to work of a
// class. Long work is queued inside the engine until its memory is free, and
// shorter work of higher priority overtakes it; so the memory that long work has
// yet to receive counts only for other long work.
func (member *member) usedKV(class peridotpath.LengthClass, addSent bool) int64 {
	ownKV, ownLongKV := member.ledger.reservedKV.Load(), member.ledger.longKV.Load()
	load := member.load.Load()
	if load == nil {
		return ownKV + ownLongKV
	}
	if !addSent {
		return int64(load.KVUsed)
	}
	addedSince := ownKV - load.totals.reservedKV
	longAddedSince := ownLongKV - load.totals.longKV
	if class >= peridotpath.Long {
		return max(ownKV+ownLongKV, int64(load.KVUsed)+addedSince+longAddedSince)
	}
	return max(ownKV, int64(load.KVUsed)+addedSince+min(longAddedSince, 0))
}

// totalKV is the endpoint's KV memory in tokens; zero if unknown.
func (member *member) totalKV() int64 {
	if load := member.load.Load(); load != nil && load.KVTokens > 0 {
		return int64(load.KVTokens)
	}
	return int64(member.KVTokens)
}

// inFlightCount predicts the number of requests on the endpoint.
func (member *member) inFlightCount(addSent bool) int64 {
	ownCount := member.ledger.runningCount.Load()
	load := member.load.Load()
	if load == nil {
		return ownCount
	}
	count := int64(load.Running + load.Waiting)
	if !addSent {
		return count
	}
	return max(ownCount, count+ownCount-load.totals.runningCount)
}

// report stores a load report unless a newer one is held.
func (state *state) report(now time.Time, load peridotpath.Load) {
	old := state.load.Load()
	if old != nil && load.Revision < old.Revision {
		return
	}
	if load.AsOf.IsZero() {
		load.AsOf = now
	}
	asOf := load.AsOf.UnixNano()
	state.load.Store(&loadReport{Load: load, asOf: asOf, totals: state.ledger.totalsAt(asOf)})
}

// addAttempt adds the load of an attempt to the endpoint.
func (state *state) addAttempt(at int64, placement *placement) {
	state.ledger.record(at)
	state.ledger.sentTokens.Add(placement.uncachedTokens)
	state.addKV(placement, placement.reservedKV)
	state.ledger.runningCount.Add(1)
	state.pendingTokens[placement.band].Add(placement.uncachedTokens)
}

// addKV adds KV memory to the total for long or for other work.
func (state *state) addKV(placement *placement, memory int64) {
	if placement.band >= bandOf(peridotpath.Long, false) {
		state.ledger.longKV.Add(memory)
		return
	}
	state.ledger.reservedKV.Add(memory)
}

// removeAttempt removes the load of an attempt from the endpoint.
func (state *state) removeAttempt(at int64, placement *placement) {
	state.removePending(placement)
	state.ledger.record(at)
	state.addKV(placement, -placement.reservedKV)
	state.ledger.runningCount.Add(-1)
}

// removePending removes the prompt work of an attempt, which has its first
// token or has ended.
func (state *state) removePending(placement *placement) {
	if placement.hasFirstToken {
		return
	}
	placement.hasFirstToken = true
	state.pendingTokens[placement.band].Add(-placement.uncachedTokens)
}

// atomicFloat is a float64 with atomic loads and stores.
type atomicFloat struct{ bits atomic.Uint64 }

func (float *atomicFloat) load() float64       { return math.Float64frombits(float.bits.Load()) }
func (float *atomicFloat) store(value float64) { float.bits.Store(math.Float64bits(value)) }
