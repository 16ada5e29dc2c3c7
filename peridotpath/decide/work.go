// Package decide is the request scheduler: admission control, fair queueing, load
// shedding, endpoint selection and retries. It matters when a fleet of model
// engines is saturated, where requests that miss their deadlines and retries
// would otherwise use up the capacity.
//
// Customers are limited by rate and concurrency, and queued by deficit round
// robin over prompt tokens. Endpoints are sampled at random and compared by
// predicted time to first token, from delayed load reports that are corrected by
// the work sent since. Failing endpoints are ejected, and retries are limited by
// budgets. Work that is predicted to miss its deadline is refused early, with a
// retry delay from the rate at which the queue drains.
//
// The package does no I/O and reads no clock: each call is passed the time.
package decide

import (
	"time"

	"peridotpath.example/peridotpath"
)

// PrefixBlock is the length of the shortest prefix that Work.Prefixes covers.
const PrefixBlock peridotpath.Tokens = 1024

// Work is one request to be scheduled. The caller sets the exported fields before
// Submit and does not modify them afterwards.
type Work struct {
	ID       peridotpath.RequestID
	Customer *peridotpath.Customer
	Profile  *peridotpath.Profile
	Class    peridotpath.LengthClass
	// PromptTokens is the estimated length of the prompt; zero for a plain service.
	PromptTokens peridotpath.Tokens
	// MaxOutputTokens is the maximum length of the answer.
	MaxOutputTokens peridotpath.Tokens
	// Prefixes are hashes of the prompt's leading tokens, shortest first:
	// Prefixes[i] covers the first PrefixBlock<<i tokens, so that ten hashes
	// reach half a million tokens. It is empty if the text is unknown.
	Prefixes []uint64
	// ArrivedAt is when the request was received.
	ArrivedAt time.Time
	// Deadline is when the request must have ended.
	Deadline time.Time

	// Attempts is the number of placements so far.
	Attempts int
	// Endpoint is where the current attempt runs; empty while there is none.
	Endpoint peridotpath.EndpointID
	// failedEndpoints lists the endpoints on which an attempt failed.
	failedEndpoints []peridotpath.EndpointID

	customer  *customer
	placement placement
	// outcome is how the latest attempt ended.
	outcome Outcome
	// queuedAt is when the work was queued, in Unix nanoseconds; zero if the
	// work is not queued.
	queuedAt int64
	// sequence orders queued work with equal deadlines by arrival.
	sequence uint64
}

// placement is the load that the current attempt accounts for on its endpoint.
// Times are in Unix nanoseconds.
type placement struct {
	member         *member
	band           band
	uncachedTokens int64
	reservedKV     int64
	placedAt       int64
	predictedTTFT  int64
	firstTokenAt   int64
	isProbe        bool
	hasFirstToken  bool
}

// Verdict is the kind of a Decision.
type Verdict uint8

// The verdicts on Work.
const (
	// Place means that the work is to run on Decision.Endpoint now.
	Place Verdict = iota
	// Wait means that the work is queued until a later Scheduler.DispatchQueued.
	Wait
	// Refuse means that the caller receives Decision.Result at once.
	Refuse
)

// Decision is a Verdict with its endpoint or result.
type Decision struct {
	Work     *Work
	Verdict  Verdict
	Endpoint peridotpath.Endpoint
	// Priority is sent to the engine with the request; higher runs first. It is
	// twice the profile's priority, plus one while the customer is within its fair
	// share, and plus two if the work was placed after half of its time.
	Priority int
	Result   *peridotpath.Result
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Finished means that the answer was complete.
	Finished Outcome = iota
	// Rejected means that the endpoint reported that it did not run the work.
	Rejected
	// NotConnected means that no connection was established.
	NotConnected
	// CutOff means that this instance reached no endpoint. It does not count against the endpoint.
	CutOff
	// Failed means that the attempt failed after the endpoint may have started the
	// work.
	Failed
	// Abandoned means that the caller disconnected or the deadline passed. It
	// counts against the endpoint only if the time far exceeded the prediction.
	Abandoned
	// NeverSent means that the work was never sent; it does not count against the
	// endpoint.
	NeverSent
)

func (work *Work) hasFailedOn(id peridotpath.EndpointID) bool {
	for _, avoided := range work.failedEndpoints {
		if avoided == id {
			return true
		}
	}
	return false
}

// requiredKV is the KV memory, in tokens, that the work holds at its end.
func (work *Work) requiredKV() int64 { return int64(work.PromptTokens + work.MaxOutputTokens) }

// isPlain reports whether the work is for a plain service, which has no tokens.
func (work *Work) isPlain() bool { return work.PromptTokens == 0 }
