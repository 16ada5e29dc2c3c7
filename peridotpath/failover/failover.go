// Package failover decides when a running attempt at a request is joined by another one, and when
// it is given up.
//
// It serves loads in which many endpoints are silent at once: a pause of their processes, a version
// that all of them load, or a link of this instance that is taken for lost. Each of these looks like
// a failure, and ends by itself after a second or so. An attempt that was cancelled can't be had
// back, and the one that replaces it may be impossible: the retry budget is used up, no endpoint
// has room, peers carry nothing. So an attempt in doubt goes on, and another one runs beside it
// where the request allows that; whichever delivers first is the answer.
package failover

// Doubt is why this instance does not expect an answer to an attempt any more.
type Doubt int

const (
	// DoubtNone means that an answer is expected.
	DoubtNone Doubt = iota
	// DoubtOverdue means that the next event is overdue.
	DoubtOverdue
	// DoubtUnresponsive means that the endpoint does not answer liveness probes.
	DoubtUnresponsive
	// DoubtLinkLost means that this instance's own links carry nothing, as far as it knows.
	DoubtLinkLost
	// DoubtLate means that a plain call is not answered by its target, or its endpoint is no longer listed.
	DoubtLate
)

var doubtNames = [...]string{"", "overdue", "unresponsive", "link_lost", "late"}

// String returns the name of the doubt in logs and metrics; empty for none.
func (doubt Doubt) String() string { return doubtNames[doubt] }

// Attempt is the state of one running attempt.
type Attempt struct {
	Doubt Doubt
	// WasSent reports that the endpoint may have received the request.
	WasSent bool
	// HoldsMemory reports that memory is reserved for the attempt at other endpoints.
	HoldsMemory bool
}

// MustEnd reports whether the attempt is ended although it may still be answered, and although
// no other one may follow.
func (attempt Attempt) MustEnd() bool {
	// The endpoint has nothing of the request yet, so that nothing is lost.
	return attempt.Doubt == DoubtLinkLost && !attempt.WasSent
}

// MustReleaseMemory reports whether the memory at other endpoints is given back although the attempt
// may still be answered. Other requests must get it soon after the endpoint has lost its power,
// and the request no longer depends on this attempt alone once another one has joined. An
// endpoint that goes on without that memory answers, or refuses with a promise.
func (attempt Attempt) MustReleaseMemory() bool {
	return attempt.Doubt == DoubtUnresponsive && attempt.HoldsMemory
}

// Request is the state of a request that decides about further attempts.
type Request struct {
	Running []Attempt
	// IsRepeatable reports that the request may run more than once, MayHaveRun that it may have run,
	// or runs.
	IsRepeatable, MayHaveRun bool
	// Attempts counts all attempts, those that run included, and Sent those that may have
	// reached an endpoint.
	Attempts, MaxAttempts int
	Sent, MaxSent         int
}

// Denial is why no further attempt may be made.
type Denial string

// The denials, by their names in logs.
const (
	DeniedNothing       Denial = ""
	DeniedNotRepeatable Denial = "not_repeatable"
	DeniedAttempts      Denial = "attempts"
)

// Denied returns why the request gets no further attempt, whether attempts run or have failed.
func (request Request) Denied() Denial {
	switch {
	case request.MayHaveRun && !request.IsRepeatable:
		return DeniedNotRepeatable
	case request.Attempts >= request.MaxAttempts, request.Sent >= max(request.MaxSent, 1):
		return DeniedAttempts
	}
	return DeniedNothing
}

// MayJoin reports whether another attempt may run beside those that run: all of them are in doubt,
// and the request allows one more.
func (request Request) MayJoin() bool {
	for _, attempt := range request.Running {
		if attempt.Doubt == DoubtNone {
			return false
		}
	}
	return len(request.Running) > 0 && request.Denied() == DeniedNothing
}
