package caller

import (
	"math"
	"sync"
	"sync/atomic"

	"peridotpath.example/peridotpath"
)

const (
	// startBytesPerToken is the estimate until an engine has told a prompt's length.
	startBytesPerToken = 4.0
	// leastBytesPerToken and mostBytesPerToken bound what an engine can tell: a
	// wrong usage must not make every prompt look a hundred times its length.
	leastBytesPerToken = 1.0
	mostBytesPerToken  = 16.0
	// estimateStep weighs one observation.
	estimateStep = 0.05
	// leastObserved is the shortest prompt, in bytes, whose usage counts: in
	// shorter ones the form of the request outweighs its text.
	leastObserved = 2_000
)

// estimator turns the bytes of prompts into tokens, by service, and learns from
// the usage that engines report. Text in Bengali script takes three bytes a
// letter; with a fixed ratio for English its prompts would be placed, queued
// and refused by a length that they do not have.
type estimator struct {
	ratios sync.Map // peridotpath.Service to *atomic.Uint64, the bits of bytes per token
}

func (estimator *estimator) ratio(service peridotpath.Service) *atomic.Uint64 {
	if found, ok := estimator.ratios.Load(service); ok {
		return found.(*atomic.Uint64)
	}
	fresh := &atomic.Uint64{}
	fresh.Store(math.Float64bits(startBytesPerToken))
	found, _ := estimator.ratios.LoadOrStore(service, fresh)
	return found.(*atomic.Uint64)
}

// tokens estimates the length of a prompt; it is at least one.
func (estimator *estimator) tokens(service peridotpath.Service, bytes int) peridotpath.Tokens {
	ratio := math.Float64frombits(estimator.ratio(service).Load())
	return peridotpath.Tokens(float64(bytes)/ratio) + 1
}

// observe takes in what an engine counted. Of two at the same moment one may
// be lost, which changes nothing.
func (estimator *estimator) observe(service peridotpath.Service, bytes int, tokens peridotpath.Tokens) {
	if bytes < leastObserved || tokens <= 0 {
		return
	}
	ratio := estimator.ratio(service)
	old := ratio.Load()
	before := math.Float64frombits(old)
	seen := min(max(float64(bytes)/float64(tokens), leastBytesPerToken), mostBytesPerToken)
	ratio.CompareAndSwap(old, math.Float64bits(before+estimateStep*(seen-before)))
}
