package enginetest

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine"
)

const (
	// blockTokens is the unit of the prefix cache.
	blockTokens = 1024
	blockBytes  = blockTokens * bytesPerToken
	// maxCacheEvents bounds the events kept for readers.
	maxCacheEvents = 100_000
)

// cache keeps the blocks of prompts that were processed. Streams share and pin
// the blocks of their prompts; the rest leaves, the least recently used first
// and of one prompt the last block before the first, when memory is wanted.
type cache struct {
	blocks map[uint64]*block
	// idle lists the blocks that no stream pins, most recently used first.
	idle   *list.List
	events []cacheEvent
	last   uint64
	random *rand.Rand
	loss   float64
}

// block is one block of a prompt, named by the hash of the prompt up to its end.
type block struct {
	sum  uint64
	pins int
	// place is the block's place in idle; nil while it is pinned.
	place *list.Element
}

type cacheEvent struct {
	engine.CacheEvent
	at time.Time
}

func (cache *cache) open(seed uint64, loss float64) {
	cache.blocks = map[uint64]*block{}
	cache.idle = list.New()
	cache.random = rand.New(rand.NewPCG(seed, seed))
	cache.loss = loss
}

// tokens returns the memory of all blocks, pinned that of those that can't leave.
func (cache *cache) tokens() peridotpath.Tokens {
	return peridotpath.Tokens(len(cache.blocks) * blockTokens)
}

func (cache *cache) pinned() peridotpath.Tokens {
	return cache.tokens() - peridotpath.Tokens(cache.idle.Len()*blockTokens)
}

// prefixes returns the hash of the text up to the end of each whole block.
func prefixes(text string) []uint64 {
	hash := xxhash.New()
	sums := make([]uint64, 0, len(text)/blockBytes)
	for end := blockBytes; end <= len(text); end += blockBytes {
		_, _ = hash.WriteString(text[end-blockBytes : end])
		sums = append(sums, hash.Sum64())
	}
	return sums
}

// match returns how many blocks of the prompt's beginning are held.
func (cache *cache) match(sums []uint64) int {
	held := 0
	for held < len(sums) && cache.blocks[sums[held]] != nil {
		held++
	}
	return held
}

// pin keeps blocks, which are all held, from leaving.
func (cache *cache) pin(sums []uint64) {
	for _, sum := range sums {
		block := cache.blocks[sum]
		block.pins++
		if block.place != nil {
			cache.idle.Remove(block.place)
			block.place = nil
		}
	}
}

// unpin gives up what pin kept.
func (cache *cache) unpin(sums []uint64) {
	for i := len(sums) - 1; i >= 0; i-- {
		block := cache.blocks[sums[i]]
		block.pins--
		if block.pins == 0 {
			block.place = cache.idle.PushFront(block)
		}
	}
}

// add takes the blocks in that are not held, without a pin.
func (cache *cache) add(sums []uint64, now time.Time) {
	for i := len(sums) - 1; i >= 0; i-- {
		if cache.blocks[sums[i]] != nil {
			continue
		}
		added := &block{sum: sums[i]}
		added.place = cache.idle.PushFront(added)
		cache.blocks[added.sum] = added
		cache.note(engine.CacheEvent{Prefix: added.sum, Tokens: peridotpath.Tokens((i + 1) * blockTokens)}, now)
	}
}

// shrink evicts until the cache takes no more than room, or only what is pinned.
func (cache *cache) shrink(room peridotpath.Tokens, now time.Time) {
	for cache.idle.Len() > 0 && cache.tokens() > room {
		oldest, _ := cache.idle.Remove(cache.idle.Back()).(*block)
		delete(cache.blocks, oldest.sum)
		cache.note(engine.CacheEvent{Prefix: oldest.sum, Evicted: true}, now)
	}
}

// note publishes an event, unless this one is to be lost.
func (cache *cache) note(event engine.CacheEvent, now time.Time) {
	cache.last++
	if cache.random.Float64() < cache.loss {
		return
	}
	event.Sequence = cache.last
	cache.events = append(cache.events, cacheEvent{event, now})
	if len(cache.events) > maxCacheEvents {
		cache.events = cache.events[len(cache.events)-maxCacheEvents/2:]
	}
}

// after returns the events with a higher sequence that happened by until.
func (cache *cache) after(sequence uint64, until time.Time) engine.CacheEvents {
	reading := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: sequence}
	for _, event := range cache.events {
		if event.Sequence > sequence && !event.at.After(until) {
			reading.Events = append(reading.Events, event.CacheEvent)
			reading.Next = event.Sequence
		}
	}
	return reading
}
