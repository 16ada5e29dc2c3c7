package decide

import (
	"math"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
)

// band orders work on an endpoint: by length class, and within a class the
// work of customers within their share first.
type band uint8

const bands = 2 * int(peridotpath.Oversize)

func bandOf(class peridotpath.LengthClass, over bool) band {
	class = min(class, peridotpath.Long)
	if over {
		return band(2*class + 1)
	}
	return band(2 * class)
}

// member is an Endpoint of the fleet with what this Instance knows of it. The
// Endpoint is replaced with the fleet; the state stays.
type member struct {
	peridotpath.Endpoint
	*state
}

// reported is a report and the totals of this Instance when it was taken.
type reported struct {
	peridotpath.Load
	asOf   int64
	before totals
}

// state is what this Instance knows of one endpoint over its whole life.
type state struct {
	// current is the live member, nil when the endpoint left the fleet.
	current atomic.Pointer[member]
	load    atomic.Pointer[reported]
	ledger  ledger
	// pending is prompt work sent and not yet answered by a first token.
	pending [bands]atomic.Int64
	health  health
	retries budget
}

const (
	// assumedRate stands in until an engine has reported its prefill rate. Low,
	// so that an unknown endpoint is not flooded.
	assumedRate = 10_000
	// assumedDecode stands in until an engine has reported its decode rate.
	assumedDecode = 20
)

// rate is the prefill rate in tokens per second, as reported and corrected by
// the slowness that was seen.
func (member *member) rate() float64 {
	load := member.load.Load()
	if load == nil || load.PrefillPerS <= 0 {
		return assumedRate
	}
	return float64(load.PrefillPerS) / member.health.slowness()
}

// decodeRate is the answer tokens per second that one request gets: the lower
// of what the endpoint says of this moment and what answers have shown. An idle
// endpoint reports a rate that it keeps only while it is idle.
func (member *member) decodeRate() float64 {
	rate := float64(assumedDecode)
	if load := member.load.Load(); load != nil && load.DecodePerS > 0 {
		rate = float64(load.DecodePerS)
	}
	if seen := member.health.decode.load(); seen > 0 {
		return min(rate, seen)
	}
	return rate
}

// pendingUpTo is this Instance's unanswered prompt work at the band or before it.
func (member *member) pendingUpTo(limit band) int64 {
	var sum int64
	for i := range limit + 1 {
		sum += member.pending[i].Load()
	}
	return sum
}

// prefillAhead predicts the prompt work on the endpoint, in tokens: what it
// reported, less what it has worked off since, plus what was sent since and has
// had no first token. All of our own that has had none is there for certain.
func (member *member) prefillAhead(at int64, sent bool) float64 {
	own := float64(member.pendingUpTo(band(bands - 1)))
	load := member.load.Load()
	if load == nil {
		return own
	}
	ahead := float64(load.PrefillTokens)
	if !sent {
		return ahead
	}
	ahead -= float64(load.PrefillPerS) * time.Duration(at-load.asOf).Seconds()
	since := float64(member.ledger.sent.Load() - load.before.sent)
	return max(max(ahead, 0)+min(since, own), own)
}

// reportAge is how old the newest report is; zero when there is none.
func (member *member) reportAge(at int64) time.Duration {
	load := member.load.Load()
	if load == nil {
		return 0
	}
	return max(time.Duration(at-load.asOf), 0)
}

// memoryUsed predicts the KV memory, in tokens, that is taken for work of a
// class. Long work waits inside the engine until its memory is free, and
// shorter work of higher priority goes first; so only other long work counts
// what long work has yet to get.
func (member *member) memoryUsed(class peridotpath.LengthClass, sent bool) int64 {
	own, long := member.ledger.memory.Load(), member.ledger.long.Load()
	load := member.load.Load()
	if load == nil {
		return own + long
	}
	if !sent {
		return int64(load.KVUsed)
	}
	since := own - load.before.memory
	longSince := long - load.before.long
	if class >= peridotpath.Long {
		return max(own+long, int64(load.KVUsed)+since+longSince)
	}
	return max(own, int64(load.KVUsed)+since+min(longSince, 0))
}

// memoryTotal is the endpoint's KV memory in tokens; zero when unknown.
func (member *member) memoryTotal() int64 {
	if load := member.load.Load(); load != nil && load.KVTokens > 0 {
		return int64(load.KVTokens)
	}
	return int64(member.KVTokens)
}

// inFlight predicts the requests on the endpoint.
func (member *member) inFlight(sent bool) int64 {
	own := member.ledger.running.Load()
	load := member.load.Load()
	if load == nil {
		return own
	}
	count := int64(load.Running + load.Waiting)
	if !sent {
		return count
	}
	return max(own, count+own-load.before.running)
}

// report takes in a report unless a newer one was seen.
func (state *state) report(now time.Time, load peridotpath.Load) {
	old := state.load.Load()
	if old != nil && load.Revision < old.Revision {
		return
	}
	if load.AsOf.IsZero() {
		load.AsOf = now
	}
	asOf := load.AsOf.UnixNano()
	state.load.Store(&reported{Load: load, asOf: asOf, before: state.ledger.before(asOf)})
}

// start charges the endpoint with work.
func (state *state) start(at int64, placement *placement) {
	state.ledger.record(at)
	state.ledger.sent.Add(placement.uncached)
	state.charge(placement, placement.memory)
	state.ledger.running.Add(1)
	state.pending[placement.band].Add(placement.uncached)
}

// charge adds KV memory to the sum that it belongs to.
func (state *state) charge(placement *placement, memory int64) {
	if placement.band >= bandOf(peridotpath.Long, false) {
		state.ledger.long.Add(memory)
		return
	}
	state.ledger.memory.Add(memory)
}

// end takes the charge off again.
func (state *state) end(at int64, placement *placement) {
	state.answer(placement)
	state.ledger.record(at)
	state.charge(placement, -placement.memory)
	state.ledger.running.Add(-1)
}

// answer notes that the prompt work is done.
func (state *state) answer(placement *placement) {
	if placement.started {
		return
	}
	placement.started = true
	state.pending[placement.band].Add(-placement.uncached)
}

// atomicFloat is a float64 that is read and written whole.
type atomicFloat struct{ bits atomic.Uint64 }

func (float *atomicFloat) load() float64       { return math.Float64frombits(float.bits.Load()) }
func (float *atomicFloat) store(value float64) { float.bits.Store(math.Float64bits(value)) }
