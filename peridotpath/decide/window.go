package decide

import (
	"sync/atomic"
	"time"
)

// window is a sliding-window rate estimate over two counters, of the current and
// the previous span. Updates take no lock; concurrent updates at a span's boundary
// may lose a count, which only makes the estimate less exact.
type window struct {
	span      time.Duration
	startedAt atomic.Int64
	spanIndex atomic.Int64 // the number of the current span since the Unix epoch
	current   atomic.Int64
	previous  atomic.Int64
}

// add counts amount at the time at, in Unix nanoseconds.
func (window *window) add(at, amount int64) {
	window.startedAt.CompareAndSwap(0, at)
	window.advance(at)
	window.current.Add(amount)
}

// perSecond returns the estimated rate at the time at.
func (window *window) perSecond(at int64) float64 {
	window.advance(at)
	span := int64(window.span)
	elapsed := at - window.spanIndex.Load()*span
	weight := 1 - float64(elapsed)/float64(span)
	count := float64(window.current.Load()) + weight*float64(window.previous.Load())
	return count / window.observedTime(at).Seconds()
}

// observedTime is the time that the counts cover: the span, or less while the
// window is new.
func (window *window) observedTime(at int64) time.Duration {
	age := time.Duration(at - window.startedAt.Load())
	return min(max(age, window.span/10), window.span)
}

func (window *window) advance(at int64) {
	index := at / int64(window.span)
	old := window.spanIndex.Load()
	if index <= old || !window.spanIndex.CompareAndSwap(old, index) {
		return
	}
	count := window.current.Swap(0)
	if index > old+1 {
		count = 0
	}
	window.previous.Store(count)
}
