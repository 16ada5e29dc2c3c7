package failover

import "time"

// LateCall is the state of a plain call that decides whether a second endpoint gets it, too.
//
// It matters for an endpoint that takes calls and does not answer, as one whose machine has lost
// its network: 98 idempotent calls waited there until their deadline of 1.5 s. A second attempt
// costs a free slot of another endpoint and one retry of the budget, which bounds the load that
// these attempts add while all endpoints are slow.
type LateCall struct {
	// SinceArrival and SinceSent are the times since the request arrived and since it was sent.
	SinceArrival, SinceSent time.Duration
	Target                  time.Duration
	// AnswerBegun reports that the first endpoint has begun to answer, IsGone that it is no
	// longer listed.
	AnswerBegun, IsGone bool
	// Attempts counts all attempts and Sent those that reached an endpoint, the first one included.
	Attempts, MaxAttempts int
	Sent, MaxSent         int
}

// MayJoin reports whether the call may be sent to a second endpoint now. An attempt gets half
// the target for itself: one that is made after a failure is not late from its first moment.
func (call LateCall) MayJoin() bool {
	switch {
	case call.AnswerBegun, call.Attempts >= call.MaxAttempts, call.Sent >= call.MaxSent:
		return false
	case call.IsGone:
		return true
	}
	return call.UntilLate() <= 0
}

// UntilLate returns the time until the first endpoint has exceeded the target.
func (call LateCall) UntilLate() time.Duration {
	return max(call.Target-call.SinceArrival, call.Target/2-call.SinceSent)
}
