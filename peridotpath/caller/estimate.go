package caller

import (
	"math"
	"sync"
	"sync/atomic"

	"peridotpath.example/peridotpath"
)

const (
	// initialBytesPerToken is the estimate before the first usage report of an engine.
	initialBytesPerToken = 4.0
	// minBytesPerToken and maxBytesPerToken bound an observed ratio: with a wrong
	// usage report every prompt could be estimated at a hundred times its length.
	minBytesPerToken = 1.0
	maxBytesPerToken = 16.0
	// observationWeight is the weight of one observation in the moving average.
	observationWeight = 0.05
	// minObservedBytes is the minimum length, in bytes, of a prompt whose usage is
	// observed: in shorter ones the request's JSON outweighs the text.
	minObservedBytes = 2_000
)

// tokenEstimator estimates the tokens of a prompt from its bytes. The ratio of a service
// is an exponential moving average over the usage that its engines report. Bengali
// script has three bytes a letter: with a fixed ratio for English, its prompts would
// be placed, queued and refused by a wrong length.
type tokenEstimator struct {
	ratios sync.Map // peridotpath.Service to *atomic.Uint64, the float64 bits of bytes per token
}

func (tokenEstimator *tokenEstimator) bytesPerToken(service peridotpath.Service) *atomic.Uint64 {
	if found, ok := tokenEstimator.ratios.Load(service); ok {
		return found.(*atomic.Uint64)
	}
	fresh := &atomic.Uint64{}
	fresh.Store(math.Float64bits(initialBytesPerToken))
	found, _ := tokenEstimator.ratios.LoadOrStore(service, fresh)
	return found.(*atomic.Uint64)
}

// estimate estimates the length of a prompt; it is at least one.
func (tokenEstimator *tokenEstimator) estimate(service peridotpath.Service, bytes int) peridotpath.Tokens {
	ratio := math.Float64frombits(tokenEstimator.bytesPerToken(service).Load())
	return peridotpath.Tokens(float64(bytes)/ratio) + 1
}

// observe updates the ratio with an engine's token count. One of two concurrent
// updates may be lost, which is harmless to the average.
func (tokenEstimator *tokenEstimator) observe(service peridotpath.Service, bytes int, tokens peridotpath.Tokens) {
	if bytes < minObservedBytes || tokens <= 0 {
		return
	}
	ratio := tokenEstimator.bytesPerToken(service)
	oldBits := ratio.Load()
	oldRatio := math.Float64frombits(oldBits)
	observed := min(max(float64(bytes)/float64(tokens), minBytesPerToken), maxBytesPerToken)
	ratio.CompareAndSwap(oldBits, math.Float64bits(oldRatio+observationWeight*(observed-oldRatio)))
}
