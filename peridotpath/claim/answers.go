package claim

import (
	"container/list"
	"sync"
)

// answerCache caches the latest answers of this process that are too large for the store.
// Beyond maxBytes it evicts the oldest answers first.
type answerCache struct {
	maxBytes int

	mu             sync.Mutex
	usedBytes      int
	insertionOrder list.List
	byKey          map[keyID]*list.Element
}

type cachedAnswer struct {
	key    keyID
	answer *Answer
}

func (answerCache *answerCache) get(key keyID) *Answer {
	answerCache.mu.Lock()
	defer answerCache.mu.Unlock()
	if element := answerCache.byKey[key]; element != nil {
		return element.Value.(cachedAnswer).answer
	}
	return nil
}

func (answerCache *answerCache) put(key keyID, answer *Answer) {
	answerCache.mu.Lock()
	defer answerCache.mu.Unlock()
	if answerCache.byKey == nil {
		answerCache.byKey = map[keyID]*list.Element{}
	}
	if answerCache.byKey[key] != nil || answer.sizeBytes() > answerCache.maxBytes {
		return
	}
	answerCache.byKey[key] = answerCache.insertionOrder.PushBack(cachedAnswer{key, answer})
	answerCache.usedBytes += answer.sizeBytes()
	for answerCache.usedBytes > answerCache.maxBytes {
		oldest := answerCache.insertionOrder.Remove(answerCache.insertionOrder.Front()).(cachedAnswer)
		delete(answerCache.byKey, oldest.key)
		answerCache.usedBytes -= oldest.answer.sizeBytes()
	}
}
