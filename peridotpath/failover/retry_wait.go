package failover

import "time"

// RetryWait is the state of a request that decides how long it may wait for a retry that other
// instances lend.
type RetryWait struct {
	// Longest is the longest wait of any request, TimeLeft the time until the deadline.
	Longest, TimeLeft time.Duration
	// HasBegun reports that a stream has begun, which is continued after its deadline.
	HasBegun bool
	// ClientIdleTimeout is the time after which the client leaves if no event arrives, zero where
	// it has none, and SinceHeard the time since it has heard of its request.
	ClientIdleTimeout, SinceHeard time.Duration
}

// Limit returns the longest wait: until the deadline, or until the client leaves. It is negative where
// that time is over.
func (wait RetryWait) Limit() time.Duration {
	limit := wait.Longest
	if !wait.HasBegun {
		limit = min(limit, wait.TimeLeft)
	}
	if wait.ClientIdleTimeout > 0 {
		limit = min(limit, wait.ClientIdleTimeout-wait.SinceHeard)
	}
	return limit
}
