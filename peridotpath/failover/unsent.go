package failover

import "time"

// minSilentDial is how long an endpoint must have left a connection unopened to be avoided. Sound
// ones open it within milliseconds, or within a second if a packet is lost.
const minSilentDial = 500 * time.Millisecond

// UnsentAttempt is an attempt that ended before its endpoint received anything.
//
// It matters where many callers leave at once, as in the seconds after all instances have started:
// whatever they wait for at that moment must not count as a failure of sound endpoints, which all
// instances would then avoid.
type UnsentAttempt struct {
	// IsEndedHere reports that the caller left or the deadline passed, as opposed to a connection
	// that failed.
	IsEndedHere bool
	// Waited is how long a connection was awaited.
	Waited time.Duration
}

// BlamesEndpoint reports whether the endpoint is avoided for the attempt.
func (attempt UnsentAttempt) BlamesEndpoint() bool {
	return !attempt.IsEndedHere || attempt.Waited >= minSilentDial
}
