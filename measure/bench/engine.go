package bench

import (
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
)

// The fake engine's speed. One iteration prefills up to chunk tokens and gives
// each decoding request one token, as engines with continuous batching do.
const (
	chunkTokens   = 2048
	prefillPerS   = 40_000 // within an iteration
	iterationBase = 10 * time.Millisecond
	perDecode     = 50 * time.Microsecond
	perContext    = 10 * time.Nanosecond // per KV token that is held
	engineKV      = 480_000
	cacheTokens   = 200_000
	// rejectWaiting is the length of the engine's own queue at which it refuses.
	rejectWaiting = 256
)

// fullPrefillPerS is the prefill rate of a busy engine, iterations included.
const fullPrefillPerS = float64(chunkTokens) / (float64(chunkTokens)/prefillPerS + 0.010)

// reportedPrefill is what an engine claims of itself, in tokens per second.
var reportedPrefill = fullPrefillPerS

// job is one request on an engine.
type job struct {
	work     *decide.Work
	priority int
	sequence uint64
	prompt   int64 // true tokens
	output   int64
	prefill  int64 // tokens still to be prefilled
	decoded  int64
	held     int64
	gone     bool

	first func()
	ended func(outcome decide.Outcome)
}

// engine is a small fake of a model engine: continuous batching, limited KV
// memory, priorities, a prefix cache.
type engine struct {
	clock    *clock
	id       peridotpath.EndpointID
	slow     float64 // factor on the time of every iteration
	failFast bool
	dead     bool

	waiting   []*job // by priority, then arrival
	running   []*job // by priority, then arrival
	held      int64
	cache     prefixCache
	busy      bool
	arrived   uint64
	lastStep  time.Duration
	prefilled int64 // tokens so far
}

func (engine *engine) before(a, b *job) int {
	if a.priority != b.priority {
		return b.priority - a.priority
	}
	return int(int64(a.sequence) - int64(b.sequence))
}

// submit takes a request in; its result comes through the job's functions.
func (engine *engine) submit(job *job) {
	switch {
	case engine.dead:
		job.ended(decide.NotConnected)
		return
	case engine.failFast:
		job.ended(decide.Failed)
		return
	case job.prompt+job.output > engineKV, len(engine.waiting) >= rejectWaiting:
		job.ended(decide.Rejected)
		return
	}
	engine.arrived++
	job.sequence = engine.arrived
	job.held = job.prompt + job.output
	engine.waiting = engine.insert(engine.waiting, job)
	engine.step()
}

func (engine *engine) insert(jobs []*job, added *job) []*job {
	index, _ := slices.BinarySearchFunc(jobs, added, engine.before)
	return slices.Insert(jobs, index, added)
}

// cancel drops a request and frees its memory.
func (engine *engine) cancel(job *job) {
	if job.gone {
		return
	}
	job.gone = true
	if index := slices.Index(engine.waiting, job); index >= 0 {
		engine.waiting = slices.Delete(engine.waiting, index, index+1)
		return
	}
	engine.release(job)
}

func (engine *engine) release(job *job) {
	if index := slices.Index(engine.running, job); index >= 0 {
		engine.running = slices.Delete(engine.running, index, index+1)
		engine.held -= job.held
	}
}

// die fails everything the engine holds.
func (engine *engine) die() {
	engine.dead = true
	lost := append(slices.Clone(engine.running), engine.waiting...)
	engine.running, engine.waiting, engine.held = nil, nil, 0
	for _, job := range lost {
		job.gone = true
		job.ended(decide.Failed)
	}
}

// step runs one iteration and plans the next.
func (engine *engine) step() {
	if engine.busy || engine.dead {
		return
	}
	engine.admit()
	if len(engine.running) == 0 {
		return
	}
	prefilled, batch := engine.fill()
	decoding := 0
	for _, job := range engine.running {
		if job.prefill == 0 && !slices.Contains(batch, job) {
			decoding++
		}
	}
	took := iterationBase + time.Duration(prefilled)*time.Second/prefillPerS
	took += time.Duration(decoding)*perDecode + time.Duration(engine.held)*perContext
	took = time.Duration(float64(took) * engine.slow)
	engine.busy = true
	engine.lastStep = took
	engine.prefilled += prefilled
	engine.clock.after(took, engine.finish)
}

// admit starts waiting requests while they fit, in order: what does not fit
// holds up what stands behind it.
func (engine *engine) admit() {
	for len(engine.waiting) > 0 {
		job := engine.waiting[0]
		if engine.held+job.held > engineKV {
			return
		}
		engine.waiting = engine.waiting[1:]
		cached := min(engine.cache.find(job.work.Prefixes), job.prompt-1)
		job.prefill = job.prompt - max(cached, 0)
		engine.held += job.held
		engine.running = engine.insert(engine.running, job)
	}
}

// fill takes prefill work for one iteration; it returns the tokens and the
// requests whose prompt will be done.
func (engine *engine) fill() (int64, []*job) {
	left := int64(chunkTokens)
	var batch []*job
	for _, job := range engine.running {
		if job.prefill == 0 {
			continue
		}
		part := min(job.prefill, left)
		job.prefill -= part
		left -= part
		if job.prefill == 0 {
			batch = append(batch, job)
		}
		if left == 0 {
			break
		}
	}
	return chunkTokens - left, batch
}

// finish ends an iteration: each request past its prompt has one more token.
func (engine *engine) finish() {
	engine.busy = false
	if engine.dead {
		return
	}
	for _, job := range slices.Clone(engine.running) {
		if job.prefill > 0 || job.gone {
			continue
		}
		job.decoded++
		if job.decoded == 1 {
			job.first()
		}
		if job.decoded >= job.output {
			job.gone = true
			engine.release(job)
			engine.cache.add(job.work.Prefixes)
			job.ended(decide.Finished)
		}
	}
	engine.step()
}

// load is the engine's report about itself. A slow engine does not know it.
func (engine *engine) load(revision uint64) peridotpath.Load {
	var ahead int64
	for _, job := range engine.running {
		ahead += job.prefill
	}
	for _, job := range engine.waiting {
		ahead += job.prompt
	}
	step := max(engine.lastStep, iterationBase)
	return peridotpath.Load{
		AsOf:          engine.clock.now,
		Running:       len(engine.running),
		Waiting:       len(engine.waiting),
		PrefillTokens: peridotpath.Tokens(ahead),
		KVUsed:        peridotpath.Tokens(engine.held),
		KVTokens:      engineKV,
		PrefillPerS:   peridotpath.Tokens(reportedPrefill),
		DecodePerS:    peridotpath.Tokens(float64(time.Second) / float64(step)),
		Revision:      revision,
	}
}

// prefixCache holds the most recently used prefixes up to cacheTokens.
type prefixCache struct {
	order []uint64 // oldest first
	held  map[uint64]int64
	total int64
}

// find returns the length of the longest prefix that is held.
func (cache *prefixCache) find(prefixes []uint64) int64 {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if _, ok := cache.held[prefixes[i]]; ok {
			cache.touch(prefixes[i])
			return int64(decide.PrefixBlock) << i
		}
	}
	return 0
}

func (cache *prefixCache) touch(hash uint64) {
	index := slices.Index(cache.order, hash)
	cache.order = append(slices.Delete(cache.order, index, index+1), hash)
}

// add holds prefixes; the longer one shares its memory with the shorter.
func (cache *prefixCache) add(prefixes []uint64) {
	if cache.held == nil {
		cache.held = map[uint64]int64{}
	}
	var below int64
	for i, hash := range prefixes {
		length := int64(decide.PrefixBlock) << i
		if _, ok := cache.held[hash]; ok {
			cache.touch(hash)
		} else {
			cache.held[hash] = length - below
			cache.total += length - below
			cache.order = append(cache.order, hash)
		}
		below = length
	}
	for cache.total > cacheTokens && len(cache.order) > 0 {
		oldest := cache.order[0]
		cache.order = cache.order[1:]
		cache.total -= cache.held[oldest]
		delete(cache.held, oldest)
	}
}
