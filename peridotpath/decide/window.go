package decide

import (
	"sync/atomic"
	"time"
)

// window estimates a rate over the recent past from two counters, the current
// and the previous span. Updates take no lock; two that meet at a span's edge
// may lose a count, which shifts an estimate and breaks nothing.
type window struct {
	span     time.Duration
	began    atomic.Int64
	epoch    atomic.Int64
	current  atomic.Int64
	previous atomic.Int64
}

// add counts amount at the time at, in nanoseconds.
func (window *window) add(at, amount int64) {
	window.began.CompareAndSwap(0, at)
	window.roll(at)
	window.current.Add(amount)
}

// perSecond returns the estimated rate at the time at.
func (window *window) perSecond(at int64) float64 {
	window.roll(at)
	span := int64(window.span)
	into := at - window.epoch.Load()*span
	weight := 1 - float64(into)/float64(span)
	count := float64(window.current.Load()) + weight*float64(window.previous.Load())
	return count / window.watched(at).Seconds()
}

// watched is the time that the counts are from: the span, or less while the
// window is new.
func (window *window) watched(at int64) time.Duration {
	age := time.Duration(at - window.began.Load())
	return min(max(age, window.span/10), window.span)
}

func (window *window) roll(at int64) {
	epoch := at / int64(window.span)
	old := window.epoch.Load()
	if epoch <= old || !window.epoch.CompareAndSwap(old, epoch) {
		return
	}
	count := window.current.Swap(0)
	if epoch > old+1 {
		count = 0
	}
	window.previous.Store(count)
}
