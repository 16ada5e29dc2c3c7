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
	// blockTokens is the block size of the prefix cache.
	blockTokens = 1024
	blockBytes  = blockTokens * bytesPerToken
	// maxCacheEvents bounds the events stored for polling.
	maxCacheEvents = 100_000
)

// cache is a prefix cache of prompt blocks. Streams share and pin the blocks of their
// prompts. Unpinned blocks are evicted when memory is needed: the least recently used
// first, and of one prompt the last block before the first.
type cache struct {
	blocks map[uint64]*block
	// unpinned lists the unpinned blocks, most recently used first.
	unpinned *list.List
	events   []cacheEvent
	// lastSequence is the sequence of the last event.
	lastSequence uint64
	random       *rand.Rand
	// lossRate is the share of the events that are lost.
	lossRate float64
}

// block is one block of a prompt, identified by the hash of the prompt up to its end.
type block struct {
	hash uint64
	pins int
	// element is the block's element in cache.unpinned; nil while it is pinned.
	element *list.Element
}

type cacheEvent struct {
	engine.CacheEvent
	at time.Time
}

func (cache *cache) initialise(seed uint64, loss float64) {
	cache.blocks = map[uint64]*block{}
	cache.unpinned = list.New()
	cache.random = rand.New(rand.NewPCG(seed, seed))
	cache.lossRate = loss
}

// cachedTokens returns the memory of all blocks.
func (cache *cache) cachedTokens() peridotpath.Tokens {
	return peridotpath.Tokens(len(cache.blocks) * blockTokens)
}

// pinnedTokens returns the memory of the pinned blocks, which cannot be evicted.
func (cache *cache) pinnedTokens() peridotpath.Tokens {
	return cache.cachedTokens() - peridotpath.Tokens(cache.unpinned.Len()*blockTokens)
}

// prefixHashes returns the hashes of the text up to the end of each complete block.
func prefixHashes(text string) []uint64 {
	hash := xxhash.New()
	hashes := make([]uint64, 0, len(text)/blockBytes)
	for end := blockBytes; end <= len(text); end += blockBytes {
		_, _ = hash.WriteString(text[end-blockBytes : end])
		hashes = append(hashes, hash.Sum64())
	}
	return hashes
}

// cachedBlocks returns how many leading blocks of the prompt are cached.
func (cache *cache) cachedBlocks(hashes []uint64) int {
	count := 0
	for count < len(hashes) && cache.blocks[hashes[count]] != nil {
		count++
	}
	return count
}

// pin protects blocks, all of which must be cached, from eviction.
func (cache *cache) pin(hashes []uint64) {
	for _, hash := range hashes {
		block := cache.blocks[hash]
		block.pins++
		if block.element != nil {
			cache.unpinned.Remove(block.element)
			block.element = nil
		}
	}
}

// unpin reverts a pin.
func (cache *cache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		block := cache.blocks[hashes[i]]
		block.pins--
		if block.pins == 0 {
			block.element = cache.unpinned.PushFront(block)
		}
	}
}

// add adds the blocks that are not cached yet, unpinned.
func (cache *cache) add(hashes []uint64, now time.Time) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if cache.blocks[hashes[i]] != nil {
			continue
		}
		added := &block{hash: hashes[i]}
		added.element = cache.unpinned.PushFront(added)
		cache.blocks[added.hash] = added
		cache.publish(engine.CacheEvent{Prefix: added.hash, Tokens: peridotpath.Tokens((i + 1) * blockTokens)}, now)
	}
}

// evictTo evicts blocks until the cache uses no more than room or all are pinned.
func (cache *cache) evictTo(room peridotpath.Tokens, now time.Time) {
	for cache.unpinned.Len() > 0 && cache.cachedTokens() > room {
		oldest, _ := cache.unpinned.Remove(cache.unpinned.Back()).(*block)
		delete(cache.blocks, oldest.hash)
		cache.publish(engine.CacheEvent{Prefix: oldest.hash, Evicted: true}, now)
	}
}

// publish publishes an event, or drops it with probability lossRate.
func (cache *cache) publish(event engine.CacheEvent, now time.Time) {
	cache.lastSequence++
	if cache.random.Float64() < cache.lossRate {
		return
	}
	event.Sequence = cache.lastSequence
	cache.events = append(cache.events, cacheEvent{event, now})
	if len(cache.events) > maxCacheEvents {
		cache.events = cache.events[len(cache.events)-maxCacheEvents/2:]
	}
}

// eventsAfter returns the events with a higher sequence and a time not after until.
func (cache *cache) eventsAfter(sequence uint64, until time.Time) engine.CacheEvents {
	result := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: sequence}
	for _, event := range cache.events {
		if event.Sequence > sequence && !event.at.After(until) {
			result.Events = append(result.Events, event.CacheEvent)
			result.Next = event.Sequence
		}
	}
	return result
}
