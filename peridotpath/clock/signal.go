package clock

import "sync"

// Signal wakes one goroutine that waits. Raised again before that was heard, it
// counts once.
type Signal struct {
	once   sync.Once
	raised chan struct{}
}

// C returns the channel on which the signal comes.
func (signal *Signal) C() <-chan struct{} { return signal.channel() }

func (signal *Signal) channel() chan struct{} {
	signal.once.Do(func() { signal.raised = make(chan struct{}, 1) })
	return signal.raised
}

// Take reports whether the signal was given, and forgets it.
func (signal *Signal) Take() bool {
	select {
	case <-signal.channel():
		return true
	default:
		return false
	}
}

// Raise gives the signal. It never waits.
func (signal *Signal) Raise() {
	select {
	case signal.channel() <- struct{}{}:
	default:
	}
}
