package bench

import (
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
)

// The simulated engine uses continuous batching with chunked prefill: one iteration
// prefills up to maxPrefillChunk tokens and decodes one token of each decoding request.
const (
	maxPrefillChunk      = 2048
	iterationPrefillPerS = 40_000 // within an iteration
	iterationOverhead    = 10 * time.Millisecond
	timePerDecode        = 50 * time.Microsecond
	timePerContextToken  = 10 * time.Nanosecond // per KV token in use
	engineKV             = 480_000
	prefixCacheTokens    = 200_000
	// maxEngineQueue is the length of the engine's queue from which it rejects requests.
	maxEngineQueue = 256
)

// busyPrefillPerS is the prefill rate of a busy engine, including iteration overhead.
const busyPrefillPerS = float64(maxPrefillChunk) / (float64(maxPrefillChunk)/iterationPrefillPerS + 0.010)

// reportedPrefillPerS is the prefill rate that an engine reports, in tokens per second.
var reportedPrefillPerS = busyPrefillPerS

// job is one request on an engine.
type job struct {
	work             *decide.Work
	priority         int
	sequence         uint64
	promptTokens     int64 // actual length, not the estimate
	outputTokens     int64
	remainingPrefill int64 // tokens
	decodedTokens    int64
	reservedKV       int64
	isRemoved        bool

	onFirstToken func()
	onEnd        func(outcome decide.Outcome)
}

// engine simulates a model engine with continuous batching, limited KV memory, priorities
// and a prefix cache.
type engine struct {
	clock      *clock
	id         peridotpath.EndpointID
	slowFactor float64 // multiplies the time of every iteration
	failFast   bool
	isDead     bool

	waiting         []*job // by priority, then arrival
	running         []*job // by priority, then arrival
	usedKV          int64
	cache           prefixCache
	isBusy          bool
	lastSequence    uint64
	lastIteration   time.Duration
	prefilledTokens int64 // since the start
}

func (engine *engine) compareJobs(a, b *job) int {
	if a.priority != b.priority {
		return b.priority - a.priority
	}
	return int(int64(a.sequence) - int64(b.sequence))
}

// submit queues a job. The engine calls the job's functions on the first token and the end.
func (engine *engine) submit(job *job) {
	switch {
	case engine.isDead:
		job.onEnd(decide.NotConnected)
		return
	case engine.failFast:
		job.onEnd(decide.Failed)
		return
	case job.promptTokens+job.outputTokens > engineKV, len(engine.waiting) >= maxEngineQueue:
		job.onEnd(decide.Rejected)
		return
	}
	engine.lastSequence++
	job.sequence = engine.lastSequence
	job.reservedKV = job.promptTokens + job.outputTokens
	engine.waiting = engine.insert(engine.waiting, job)
	engine.startIteration()
}

func (engine *engine) insert(jobs []*job, added *job) []*job {
	index, _ := slices.BinarySearchFunc(jobs, added, engine.compareJobs)
	return slices.Insert(jobs, index, added)
}

// cancel removes a job and frees its memory.
func (engine *engine) cancel(job *job) {
	if job.isRemoved {
		return
	}
	job.isRemoved = true
	if index := slices.Index(engine.waiting, job); index >= 0 {
		engine.waiting = slices.Delete(engine.waiting, index, index+1)
		return
	}
	engine.release(job)
}

func (engine *engine) release(job *job) {
	if index := slices.Index(engine.running, job); index >= 0 {
		engine.running = slices.Delete(engine.running, index, index+1)
		engine.usedKV -= job.reservedKV
	}
}

// die fails all jobs of the engine.
func (engine *engine) die() {
	engine.isDead = true
	failed := append(slices.Clone(engine.running), engine.waiting...)
	engine.running, engine.waiting, engine.usedKV = nil, nil, 0
	for _, job := range failed {
		job.isRemoved = true
		job.onEnd(decide.Failed)
	}
}

// startIteration starts an iteration if the engine is idle, and schedules its end.
func (engine *engine) startIteration() {
	if engine.isBusy || engine.isDead {
		return
	}
	engine.admit()
	if len(engine.running) == 0 {
		return
	}
	prefilled, prefillDone := engine.fillBatch()
	decoding := 0
	for _, job := range engine.running {
		if job.remainingPrefill == 0 && !slices.Contains(prefillDone, job) {
			decoding++
		}
	}
	duration := iterationOverhead + time.Duration(prefilled)*time.Second/iterationPrefillPerS
	duration += time.Duration(decoding)*timePerDecode + time.Duration(engine.usedKV)*timePerContextToken
	duration = time.Duration(float64(duration) * engine.slowFactor)
	engine.isBusy = true
	engine.lastIteration = duration
	engine.prefilledTokens += prefilled
	engine.clock.runAfter(duration, engine.finishIteration)
}

// admit starts waiting jobs in order while their memory fits. A job that does not fit
// blocks those behind it (head-of-line blocking).
func (engine *engine) admit() {
	for len(engine.waiting) > 0 {
		job := engine.waiting[0]
		if engine.usedKV+job.reservedKV > engineKV {
			return
		}
		engine.waiting = engine.waiting[1:]
		cached := min(engine.cache.longestHit(job.work.Prefixes), job.promptTokens-1)
		job.remainingPrefill = job.promptTokens - max(cached, 0)
		engine.usedKV += job.reservedKV
		engine.running = engine.insert(engine.running, job)
	}
}

// fillBatch takes prefill work for one iteration. It returns the number of tokens and the
// jobs whose prefill completes.
func (engine *engine) fillBatch() (int64, []*job) {
	budget := int64(maxPrefillChunk)
	var completed []*job
	for _, job := range engine.running {
		if job.remainingPrefill == 0 {
			continue
		}
		tokens := min(job.remainingPrefill, budget)
		job.remainingPrefill -= tokens
		budget -= tokens
		if job.remainingPrefill == 0 {
			completed = append(completed, job)
		}
		if budget == 0 {
			break
		}
	}
	return maxPrefillChunk - budget, completed
}

// finishIteration ends an iteration: each job whose prefill is complete gets one token.
func (engine *engine) finishIteration() {
	engine.isBusy = false
	if engine.isDead {
		return
	}
	for _, job := range slices.Clone(engine.running) {
		if job.remainingPrefill > 0 || job.isRemoved {
			continue
		}
		job.decodedTokens++
		if job.decodedTokens == 1 {
			job.onFirstToken()
		}
		if job.decodedTokens >= job.outputTokens {
			job.isRemoved = true
			engine.release(job)
			engine.cache.add(job.work.Prefixes)
			job.onEnd(decide.Finished)
		}
	}
	engine.startIteration()
}

// report returns the engine's load report. It does not show slowFactor in the prefill rate.
func (engine *engine) report(revision uint64) peridotpath.Load {
	var backlog int64
	for _, job := range engine.running {
		backlog += job.remainingPrefill
	}
	for _, job := range engine.waiting {
		backlog += job.promptTokens
	}
	iteration := max(engine.lastIteration, iterationOverhead)
	return peridotpath.Load{
		AsOf:          engine.clock.now,
		Running:       len(engine.running),
		Waiting:       len(engine.waiting),
		PrefillTokens: peridotpath.Tokens(backlog),
		KVUsed:        peridotpath.Tokens(engine.usedKV),
		KVTokens:      engineKV,
		PrefillPerS:   peridotpath.Tokens(reportedPrefillPerS),
		DecodePerS:    peridotpath.Tokens(float64(time.Second) / float64(iteration)),
		Revision:      revision,
	}
}

// prefixCache is an LRU cache of prefixes with up to prefixCacheTokens tokens.
type prefixCache struct {
	byLastUse   []uint64 // hashes of prefixes, least recently used first
	tokens      map[uint64]int64
	totalTokens int64
}

// longestHit returns the length in tokens of the longest cached prefix.
func (cache *prefixCache) longestHit(prefixes []uint64) int64 {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if _, ok := cache.tokens[prefixes[i]]; ok {
			cache.touch(prefixes[i])
			return int64(decide.PrefixBlock) << i
		}
	}
	return 0
}

func (cache *prefixCache) touch(hash uint64) {
	index := slices.Index(cache.byLastUse, hash)
	cache.byLastUse = append(slices.Delete(cache.byLastUse, index, index+1), hash)
}

// add caches the prefixes of a prompt, shortest first. Each prefix shares the memory of the
// shorter ones.
func (cache *prefixCache) add(prefixes []uint64) {
	if cache.tokens == nil {
		cache.tokens = map[uint64]int64{}
	}
	var sharedTokens int64
	for i, hash := range prefixes {
		length := int64(decide.PrefixBlock) << i
		if _, ok := cache.tokens[hash]; ok {
			cache.touch(hash)
		} else {
			cache.tokens[hash] = length - sharedTokens
			cache.totalTokens += length - sharedTokens
			cache.byLastUse = append(cache.byLastUse, hash)
		}
		sharedTokens = length
	}
	for cache.totalTokens > prefixCacheTokens && len(cache.byLastUse) > 0 {
		oldest := cache.byLastUse[0]
		cache.byLastUse = cache.byLastUse[1:]
		cache.totalTokens -= cache.tokens[oldest]
		delete(cache.tokens, oldest)
	}
}
