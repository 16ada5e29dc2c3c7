package claim

import (
	"container/list"
	"sync"
)

// answerMemory keeps the latest answers of this process that are too large for
// the platform, up to a number of bytes.
type answerMemory struct {
	limit int

	mu    sync.Mutex
	size  int
	order list.List
	byKey map[keyID]*list.Element
}

type heldAnswer struct {
	key    keyID
	answer *Answer
}

func (memory *answerMemory) get(key keyID) *Answer {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if element := memory.byKey[key]; element != nil {
		return element.Value.(heldAnswer).answer
	}
	return nil
}

func (memory *answerMemory) put(key keyID, answer *Answer) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if memory.byKey == nil {
		memory.byKey = map[keyID]*list.Element{}
	}
	if memory.byKey[key] != nil || answer.size() > memory.limit {
		return
	}
	memory.byKey[key] = memory.order.PushBack(heldAnswer{key, answer})
	memory.size += answer.size()
	for memory.size > memory.limit {
		oldest := memory.order.Remove(memory.order.Front()).(heldAnswer)
		delete(memory.byKey, oldest.key)
		memory.size -= oldest.answer.size()
	}
}
