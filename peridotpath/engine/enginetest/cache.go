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

// cache keeps the blocks of prompts that were processed, in memory that no
// stream needs. The least recently used blocks leave first, and of one prompt
// the last block before the first.
type cache struct {
	blocks map[uint64]*list.Element
	recent *list.List
	events []cacheEvent
	last   uint64
	random *rand.Rand
	loss   float64
}

type cacheEvent struct {
	engine.CacheEvent
	at time.Time
}

func (cache *cache) open(seed uint64, loss float64) {
	cache.blocks = map[uint64]*list.Element{}
	cache.recent = list.New()
	cache.random = rand.New(rand.NewPCG(seed, seed))
	cache.loss = loss
}

func (cache *cache) tokens() peridotpath.Tokens {
	return peridotpath.Tokens(len(cache.blocks) * blockTokens)
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

// match returns how many tokens of the prompt's beginning are held, and marks
// them as used.
func (cache *cache) match(sums []uint64) peridotpath.Tokens {
	held := 0
	for held < len(sums) && cache.blocks[sums[held]] != nil {
		held++
	}
	for i := held - 1; i >= 0; i-- {
		cache.recent.MoveToFront(cache.blocks[sums[i]])
	}
	return peridotpath.Tokens(held * blockTokens)
}

// store keeps the prompt's blocks, as many as room allows.
func (cache *cache) store(sums []uint64, room peridotpath.Tokens, now time.Time) {
	sums = sums[:min(len(sums), int(max(room, 0)/blockTokens))]
	for i := len(sums) - 1; i >= 0; i-- {
		if element := cache.blocks[sums[i]]; element != nil {
			cache.recent.MoveToFront(element)
			continue
		}
		cache.blocks[sums[i]] = cache.recent.PushFront(sums[i])
		cache.note(engine.CacheEvent{Prefix: sums[i], Tokens: peridotpath.Tokens((i + 1) * blockTokens)}, now)
	}
	cache.shrink(room, now)
}

// shrink evicts until the cache takes no more than room.
func (cache *cache) shrink(room peridotpath.Tokens, now time.Time) {
	for len(cache.blocks) > 0 && cache.tokens() > room {
		oldest := cache.recent.Back()
		sum, _ := cache.recent.Remove(oldest).(uint64)
		delete(cache.blocks, sum)
		cache.note(engine.CacheEvent{Prefix: sum, Evicted: true}, now)
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
