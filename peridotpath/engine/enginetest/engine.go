// Package enginetest simulates a model engine for tests and measurements: continuous
// batching with limited KV memory, a prefix cache, priorities, streams that can be
// detached, resumed and cancelled, orders and injected faults. It advances in coarse
// time steps, on the real clock or that of testing/synctest. docs/STANDIN.md
// describes its HTTP API.
package enginetest

import (
	"context"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	wire "peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/faults"
)

const (
	// timeStep is the time step of a busy engine.
	timeStep = 5 * time.Millisecond
	// finishedRetention is how long a stream can be resumed after it was read to its end.
	finishedRetention = 30 * time.Second
	// defaultSlowFactor is the default factor by which faults.Slow divides the rates.
	defaultSlowFactor = 10
)

// Engine is a simulated engine. Set the exported fields before Run; zero fields get
// their defaults.
type Engine struct {
	// Name is the prefix of the stream ids.
	Name string
	// KVTokens is the size of the KV memory.
	KVTokens peridotpath.Tokens
	// PrefillPerS is the prefill rate of the engine, which serves the prompts in order
	// of priority and arrival.
	PrefillPerS peridotpath.Tokens
	// DecodePerS is the decode rate of a stream while at most MaxFullRateStreams streams decode.
	DecodePerS peridotpath.Tokens
	// MaxFullRateStreams is the maximum number of streams that decode at the full rate. More
	// streams share the total rate of that many.
	MaxFullRateStreams int
	// MaxWaitingPrompts bounds the prompts whose prefill is not complete; more are refused.
	MaxWaitingPrompts int
	// MinLoadReportAge is the minimum age of a load report.
	MinLoadReportAge time.Duration
	// CacheEventDelay delays cache events; CacheEventLossRate is the share that is lost (0 to 1).
	CacheEventDelay    time.Duration
	CacheEventLossRate float64
	// ChecksFencing refuses orders with a lower fencing token than the highest received.
	ChecksFencing bool
	// WeightLoadTime is the time to load weights after an order that changes model,
	// adapter or version.
	WeightLoadTime time.Duration
	// DetachedRetention is how long a stream without a reader is kept; zero keeps it until
	// it is cancelled, so that streams that the system under test leaks stay visible.
	DetachedRetention time.Duration
	// RandomSeed determines which cache events are lost.
	RandomSeed uint64

	// Faults can be changed while the engine runs.
	Faults faults.Faults

	once       sync.Once
	mu         sync.Mutex
	wakeup     chan struct{}
	advancedAt time.Time
	nextID     uint64
	streams    map[string]*stream
	// activeStreams lists the streams that hold memory, oldest first.
	activeStreams []*stream
	// fullyReadStreams lists the streams that were read to their end, in that order.
	fullyReadStreams []*stream
	// privateKV is the memory of the streams outside the cache; the cache may use the rest.
	privateKV peridotpath.Tokens
	cache     cache
	orders    orders
	counts    wire.Counts

	reportRevision uint64
	// report is the report that Load returns if MinLoadReportAge is set. nextReport replaces
	// report once nextReport is at least MinLoadReportAge old.
	report     peridotpath.Load
	nextReport peridotpath.Load
}

// Defaults sets zero fields: 400,000 KV tokens, prefill at 100,000 tokens a second,
// decode at 50 tokens a second for each of 32 streams, 256 waiting prompts.
func (engine *Engine) Defaults() {
	setDefault(&engine.Name, "engine")
	setDefault(&engine.KVTokens, 400_000)
	setDefault(&engine.PrefillPerS, 100_000)
	setDefault(&engine.DecodePerS, 50)
	setDefault(&engine.MaxFullRateStreams, 32)
	setDefault(&engine.MaxWaitingPrompts, 256)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// initialise initialises the engine at the first call of any of its methods.
func (engine *Engine) initialise() {
	engine.once.Do(func() {
		engine.Defaults()
		engine.wakeup = make(chan struct{}, 1)
		engine.streams = map[string]*stream{}
		engine.counts.Requests = map[string]count{}
		engine.cache.initialise(engine.RandomSeed, engine.CacheEventLossRate)
		engine.orders.initialise()
		engine.report = engine.snapshot(time.Now())
		engine.nextReport = engine.report
	})
}

type count = wire.Count

// Run advances the streams until ctx is done.
func (engine *Engine) Run(ctx context.Context) error {
	engine.initialise()
	for {
		if engine.isIdle() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-engine.wakeup:
			}
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(timeStep):
		}
		engine.advance(time.Now())
	}
}

func (engine *Engine) isIdle() bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return len(engine.activeStreams) == 0
}

// admit accepts a prompt, or returns an error for a prompt that is refused and does not run.
func (engine *Engine) admit(sender *sender, prompt *prompt, seed uint64) (*stream, error) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	now := time.Now()
	engine.removeExpired(now)
	blockHashes := prefixHashes(prompt.text)
	sharedBlocks := engine.cache.cachedBlocks(blockHashes)
	need := prompt.promptTokens + prompt.outputTokens - peridotpath.Tokens(sharedBlocks*blockTokens)
	if err := engine.checkAdmission(need, blockHashes[:sharedBlocks], now); err != nil {
		engine.updateCounts(sender.id, func(count *count) { count.Refused++ })
		return nil, err
	}
	engine.nextID++
	admitted := &stream{
		engine: engine, id: engine.Name + "-" + strconv.FormatUint(engine.nextID, 10), sender: *sender,
		prompt: prompt, seed: seed, blockHashes: blockHashes, pinnedBlocks: sharedBlocks, privateKV: need, readers: 1, changed: make(chan struct{}),
	}
	admitted.prefillTokensLeft = float64(max(need-prompt.outputTokens, 1))
	engine.cache.pin(blockHashes[:sharedBlocks])
	engine.privateKV += need
	engine.cache.evictTo(engine.capacity()-engine.privateKV, now)
	if len(engine.activeStreams) == 0 {
		engine.advancedAt = now
	}
	engine.streams[admitted.id] = admitted
	engine.activeStreams = append(engine.activeStreams, admitted)
	engine.updateCounts(sender.id, func(count *count) { count.Runs++ })
	engine.wake()
	return admitted, nil
}

func (engine *Engine) checkAdmission(need peridotpath.Tokens, shared []uint64, now time.Time) error {
	if err := engine.orders.checkServing(now); err != nil {
		return err
	}
	free := engine.capacity() - engine.privateKV - engine.cache.pinnedTokens()
	for _, hash := range shared {
		if engine.cache.blocks[hash].pins == 0 {
			free -= blockTokens
		}
	}
	if need > free {
		return errNoMemory.New("%d tokens wanted, %d of %d free", need, free, engine.capacity())
	}
	if waiting, _ := engine.prefillQueue(); waiting >= engine.MaxWaitingPrompts {
		return errBusy.New("%d prompts wait", waiting)
	}
	return nil
}

// prefillQueue returns the number of prompts whose prefill is not complete, and the tokens
// left to prefill.
func (engine *Engine) prefillQueue() (int, float64) {
	waiting, tokens := 0, 0.0
	for _, stream := range engine.activeStreams {
		if stream.prefillTokensLeft > 0 {
			waiting++
			tokens += stream.prefillTokensLeft
		}
	}
	return waiting, tokens
}

func (engine *Engine) wake() {
	select {
	case engine.wakeup <- struct{}{}:
	default:
	}
}

// advance prefills and decodes for the time since the last step.
func (engine *Engine) advance(now time.Time) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	seconds := now.Sub(engine.advancedAt).Seconds()
	engine.advancedAt = now
	if fault, on := engine.Faults.Peek(faults.Slow); on {
		if fault.Factor <= 0 {
			fault.Factor = defaultSlowFactor
		}
		seconds /= fault.Factor
	}
	engine.decode(seconds)
	engine.prefill(seconds * float64(engine.prefillRate()))
	for _, stream := range slices.Clone(engine.activeStreams) {
		stream.freeUnneeded(now)
	}
}

// prefill spends a budget of tokens on the waiting prompts, by priority, then age: a
// prompt of higher priority preempts a long one, which causes head-of-line blocking
// for those of its own priority.
func (engine *Engine) prefill(budget float64) {
	queue := slices.Clone(engine.activeStreams)
	slices.SortStableFunc(queue, func(a, b *stream) int { return b.sender.priority - a.sender.priority })
	for _, stream := range queue {
		if budget <= 0 {
			return
		}
		if stream.prefillTokensLeft <= 0 {
			continue
		}
		spent := min(budget, stream.prefillTokensLeft)
		stream.prefillTokensLeft -= spent
		budget -= spent
		if stream.prefillTokensLeft <= 0 {
			stream.shareBlocks(engine.advancedAt)
			stream.produce(1)
		}
	}
}

func (engine *Engine) decode(seconds float64) {
	decoding := 0
	for _, stream := range engine.activeStreams {
		if stream.isDecoding() {
			decoding++
		}
	}
	if decoding == 0 {
		return
	}
	tokens := seconds * float64(engine.DecodePerS) * min(1, float64(engine.MaxFullRateStreams)/float64(decoding))
	for _, stream := range engine.activeStreams {
		if stream.isDecoding() {
			stream.produce(tokens)
		}
	}
}

func (engine *Engine) updateCounts(request string, change func(*count)) {
	change(&engine.counts.Total)
	requestCount := engine.counts.Requests[request]
	change(&requestCount)
	engine.counts.Requests[request] = requestCount
}

// Counts returns the counts since the engine's start.
func (engine *Engine) Counts() wire.Counts {
	engine.initialise()
	engine.mu.Lock()
	defer engine.mu.Unlock()
	counts := engine.counts
	counts.Requests = make(map[string]count, len(engine.counts.Requests))
	for id, requestCount := range engine.counts.Requests {
		counts.Requests[id] = requestCount
	}
	return counts
}

// Load returns a load report that is at least MinLoadReportAge old.
func (engine *Engine) Load() peridotpath.Load {
	engine.initialise()
	engine.mu.Lock()
	defer engine.mu.Unlock()
	now := time.Now()
	if engine.MinLoadReportAge == 0 {
		return engine.snapshot(now)
	}
	if now.Sub(engine.nextReport.AsOf) >= engine.MinLoadReportAge {
		engine.report = engine.nextReport
		engine.nextReport = engine.snapshot(now)
	}
	return engine.report
}

func (engine *Engine) snapshot(now time.Time) peridotpath.Load {
	engine.reportRevision++
	_, leaving := engine.Faults.Peek(faults.Drain)
	leaving = leaving || engine.orders.checkServing(now) != nil
	waiting, queuedTokens := engine.prefillQueue()
	return peridotpath.Load{
		AsOf: now, Running: len(engine.activeStreams) - waiting, Waiting: waiting,
		PrefillTokens: peridotpath.Tokens(math.Ceil(queuedTokens)),
		KVUsed:        engine.privateKV + engine.cache.pinnedTokens(), KVTokens: engine.capacity(),
		PrefillPerS: engine.prefillRate(), DecodePerS: engine.DecodePerS,
		Revision: engine.reportRevision, Leaving: leaving,
	}
}
