// Package enginetest is a small model of a model engine, for tests and trials:
// continuous batching with limited KV memory, a prefix cache, priorities,
// streams that detach, resume and cancel, orders, and faults. It advances in
// coarse steps, on the real clock or on that of testing/synctest.
// docs/STANDIN.md describes its HTTP form.
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
	// step is how often a busy engine advances.
	step = 5 * time.Millisecond
	// finishedHold is how long a stream that was read to its end can be read again.
	finishedHold = 30 * time.Second
	// slowFactor is what Slow divides rates by, unless it says otherwise.
	slowFactor = 10
)

// Engine is one engine. Set the exported fields before Run; those left zero get
// the defaults that Defaults names.
type Engine struct {
	// Name is part of the stream ids.
	Name string
	// KVTokens is the KV memory.
	KVTokens peridotpath.Tokens
	// PrefillPerS is shared by all prompts, in order of priority and arrival.
	PrefillPerS peridotpath.Tokens
	// DecodePerS is the rate of each stream while no more than Batch decode.
	DecodePerS peridotpath.Tokens
	// Batch is how many streams decode at full rate; more share that rate.
	Batch int
	// MaxWaiting bounds the prompts that wait for their prefill; more are refused.
	MaxWaiting int
	// LoadLag is how old a load report is at least.
	LoadLag time.Duration
	// CacheEventLag and CacheEventLoss delay cache events and drop a part (0 to 1).
	CacheEventLag  time.Duration
	CacheEventLoss float64
	// ChecksFencing refuses orders with a lower fencing number than the highest seen.
	ChecksFencing bool
	// WeightLoad is how long an order that changes model, adapter or version takes.
	WeightLoad time.Duration
	// DetachedHold is how long a stream without a reader is kept; zero is until
	// it is cancelled, so that what the product forgets stays visible.
	DetachedHold time.Duration
	// RandomSeed decides which cache events get lost.
	RandomSeed uint64

	// Faults can be switched while the engine runs.
	Faults faults.Faults

	once    sync.Once
	mu      sync.Mutex
	kick    chan struct{}
	last    time.Time
	nextID  uint64
	streams map[string]*stream
	// order lists the streams that hold memory, oldest first.
	order []*stream
	// done lists the streams that were read to their end, oldest first.
	done []*stream
	// used is the memory that streams have for themselves; the cache has the rest.
	used   peridotpath.Tokens
	cache  cache
	orders orders
	counts wire.Counts

	reportRevision uint64
	report         peridotpath.Load
	pending        peridotpath.Load
}

// Defaults sets the fields that were left zero: 400,000 KV tokens, 100,000
// prompt tokens a second, 50 answer tokens a second for each of 32 streams, 256 waiting.
func (engine *Engine) Defaults() {
	setDefault(&engine.Name, "engine")
	setDefault(&engine.KVTokens, 400_000)
	setDefault(&engine.PrefillPerS, 100_000)
	setDefault(&engine.DecodePerS, 50)
	setDefault(&engine.Batch, 32)
	setDefault(&engine.MaxWaiting, 256)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// open prepares the engine, whichever of Run and the first call comes first.
func (engine *Engine) open() {
	engine.once.Do(func() {
		engine.Defaults()
		engine.kick = make(chan struct{}, 1)
		engine.streams = map[string]*stream{}
		engine.counts.Requests = map[string]count{}
		engine.cache.open(engine.RandomSeed, engine.CacheEventLoss)
		engine.orders.open()
		engine.report = engine.snapshot(time.Now())
		engine.pending = engine.report
	})
}

type count = wire.Count

// Run advances the streams until ctx ends.
func (engine *Engine) Run(ctx context.Context) error {
	engine.open()
	for {
		if engine.idle() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-engine.kick:
			}
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(step):
		}
		engine.advance(time.Now())
	}
}

func (engine *Engine) idle() bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return len(engine.order) == 0
}

// admit takes a prompt on, or returns why not; then it certainly did not run.
func (engine *Engine) admit(request *sender, prompt *prompt, seed uint64) (*stream, error) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	now := time.Now()
	engine.forget(now)
	sums := prefixes(prompt.text)
	shared := engine.cache.match(sums)
	need := prompt.tokens + prompt.output - peridotpath.Tokens(shared*blockTokens)
	if err := engine.mayAdmit(need, sums[:shared], now); err != nil {
		engine.count(request.id, func(count *count) { count.Refused++ })
		return nil, err
	}
	engine.nextID++
	admitted := &stream{
		engine: engine, id: engine.Name + "-" + strconv.FormatUint(engine.nextID, 10), sender: *request,
		prompt: prompt, seed: seed, sums: sums, pins: shared, held: need, attached: 1, changed: make(chan struct{}),
	}
	admitted.prefillLeft = float64(max(need-prompt.output, 1))
	engine.cache.pin(sums[:shared])
	engine.used += need
	engine.cache.shrink(engine.capacity()-engine.used, now)
	if len(engine.order) == 0 {
		engine.last = now
	}
	engine.streams[admitted.id] = admitted
	engine.order = append(engine.order, admitted)
	engine.count(request.id, func(count *count) { count.Runs++ })
	engine.wake()
	return admitted, nil
}

func (engine *Engine) mayAdmit(need peridotpath.Tokens, shared []uint64, now time.Time) error {
	if err := engine.orders.mayServe(now); err != nil {
		return err
	}
	free := engine.capacity() - engine.used - engine.cache.pinned()
	for _, sum := range shared {
		if engine.cache.blocks[sum].pins == 0 {
			free -= blockTokens
		}
	}
	if need > free {
		return errNoMemory.New("%d tokens wanted, %d of %d free", need, free, engine.capacity())
	}
	if waiting, _ := engine.waiting(); waiting >= engine.MaxWaiting {
		return errBusy.New("%d prompts wait", waiting)
	}
	return nil
}

// waiting returns how many prompts wait for their prefill and its tokens.
func (engine *Engine) waiting() (int, float64) {
	waiting, tokens := 0, 0.0
	for _, stream := range engine.order {
		if stream.prefillLeft > 0 {
			waiting++
			tokens += stream.prefillLeft
		}
	}
	return waiting, tokens
}

func (engine *Engine) wake() {
	select {
	case engine.kick <- struct{}{}:
	default:
	}
}

// advance gives the streams what the time since the last step was good for.
func (engine *Engine) advance(now time.Time) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	seconds := now.Sub(engine.last).Seconds()
	engine.last = now
	if fault, on := engine.Faults.Peek(faults.Slow); on {
		if fault.Factor <= 0 {
			fault.Factor = slowFactor
		}
		seconds /= fault.Factor
	}
	engine.decode(seconds)
	engine.prefill(seconds * float64(engine.prefillRate()))
	for _, stream := range slices.Clone(engine.order) {
		stream.settle(now)
	}
}

// prefill spends budget on the waiting prompts, highest priority first, then
// the oldest: a long prompt is interrupted by a more urgent one but holds up
// those of its own priority.
func (engine *Engine) prefill(budget float64) {
	queue := slices.Clone(engine.order)
	slices.SortStableFunc(queue, func(a, b *stream) int { return b.sender.priority - a.sender.priority })
	for _, stream := range queue {
		if budget <= 0 {
			return
		}
		if stream.prefillLeft <= 0 {
			continue
		}
		spent := min(budget, stream.prefillLeft)
		stream.prefillLeft -= spent
		budget -= spent
		if stream.prefillLeft <= 0 {
			stream.share(engine.last)
			stream.produce(1)
		}
	}
}

func (engine *Engine) decode(seconds float64) {
	decoding := 0
	for _, stream := range engine.order {
		if stream.decoding() {
			decoding++
		}
	}
	if decoding == 0 {
		return
	}
	tokens := seconds * float64(engine.DecodePerS) * min(1, float64(engine.Batch)/float64(decoding))
	for _, stream := range engine.order {
		if stream.decoding() {
			stream.produce(tokens)
		}
	}
}

func (engine *Engine) count(request string, change func(*count)) {
	change(&engine.counts.Total)
	one := engine.counts.Requests[request]
	change(&one)
	engine.counts.Requests[request] = one
}

// Counts returns what the engine ran so far.
func (engine *Engine) Counts() wire.Counts {
	engine.open()
	engine.mu.Lock()
	defer engine.mu.Unlock()
	counts := engine.counts
	counts.Requests = make(map[string]count, len(engine.counts.Requests))
	for id, one := range engine.counts.Requests {
		counts.Requests[id] = one
	}
	return counts
}

// Load returns the load report, late by LoadLag at least.
func (engine *Engine) Load() peridotpath.Load {
	engine.open()
	engine.mu.Lock()
	defer engine.mu.Unlock()
	now := time.Now()
	if engine.LoadLag == 0 {
		return engine.snapshot(now)
	}
	if now.Sub(engine.pending.AsOf) >= engine.LoadLag {
		engine.report = engine.pending
		engine.pending = engine.snapshot(now)
	}
	return engine.report
}

func (engine *Engine) snapshot(now time.Time) peridotpath.Load {
	engine.reportRevision++
	_, leaving := engine.Faults.Peek(faults.Drain)
	leaving = leaving || engine.orders.mayServe(now) != nil
	waiting, ahead := engine.waiting()
	return peridotpath.Load{
		AsOf: now, Running: len(engine.order) - waiting, Waiting: waiting,
		PrefillTokens: peridotpath.Tokens(math.Ceil(ahead)),
		KVUsed:        engine.used + engine.cache.pinned(), KVTokens: engine.capacity(),
		PrefillPerS: engine.prefillRate(), DecodePerS: engine.DecodePerS,
		Revision: engine.reportRevision, Leaving: leaving,
	}
}
