package clock

import "sync"

// Signal wakes one waiting goroutine. Signals that are raised before the goroutine wakes
// are merged into one.
type Signal struct {
	once    sync.Once
	pending chan struct{}
}

// C returns the channel that receives the signal.
func (signal *Signal) C() <-chan struct{} { return signal.channel() }

func (signal *Signal) channel() chan struct{} {
	signal.once.Do(func() { signal.pending = make(chan struct{}, 1) })
	return signal.pending
}

// Take reports whether the signal was raised, and clears it.
func (signal *Signal) Take() bool {
	select {
	case <-signal.channel():
		return true
	default:
		return false
	}
}

// Raise raises the signal. It does not block.
func (signal *Signal) Raise() {
	select {
	case signal.channel() <- struct{}{}:
	default:
	}
}
