package claim

import (
	"context"
	"net/http"
	"time"

	"peridotpath.example/peridotpath"
)

// KeyStatus is the status of an idempotency key from the view of a caller that claims it.
type KeyStatus int

// Statuses of a key.
const (
	// Granted means that the caller may dispatch the request, using Verdict.Claim.
	Granted KeyStatus = iota + 1
	// RunningHere means that this process runs the request; Verdict.InFlight waits for its
	// answer.
	RunningHere
	// RunningElsewhere means that another instance runs the request, or that the instance
	// that claimed the key seems dead but could still dispatch it.
	RunningElsewhere
	// Done means that the request ended. Verdict.Answer is its answer, or nil if that is no
	// longer kept.
	Done
	// OutcomeUnknown means that the request may have run and never runs again.
	OutcomeUnknown
	// KeyReused means that the key was used before with another body.
	KeyReused
	// ledgerFull means that the bucket has no room; callers receive it as a Result.
	ledgerFull
	// storeRestored means that the store may have lost the key's record in a restore;
	// callers receive it as a Result.
	storeRestored
)

var statusNames = map[KeyStatus]string{
	Granted: "granted", RunningHere: "running_here", RunningElsewhere: "running_elsewhere",
	Done: "done", OutcomeUnknown: "unknown", KeyReused: "key_reused", ledgerFull: "ledger_full", storeRestored: "unsettled",
}

// String returns the name that metrics use.
func (keyStatus KeyStatus) String() string { return statusNames[keyStatus] }

// Answer is the answer to a request, which repeats receive too.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// sizeBytes is the approximate memory that the answer takes, in bytes.
func (answer *Answer) sizeBytes() int {
	size := len(answer.Body)
	for name, values := range answer.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// Verdict is the ledger's decision on a claim.
type Verdict struct {
	Status KeyStatus
	// Claim is set for Granted.
	Claim *Claim
	// InFlight is set for RunningHere.
	InFlight *InFlight
	// Answer may be set for Done.
	Answer *Answer
	// RetryAfter is set for RunningElsewhere, and for verdicts that callers receive as a
	// Result.
	RetryAfter time.Duration
}

// Result returns the result code for the verdict, or nil when the verdict has a claim,
// an in-flight request or an answer.
func (verdict Verdict) Result() *peridotpath.Result {
	switch verdict.Status {
	case RunningElsewhere:
		return &peridotpath.Result{Code: peridotpath.CodeKeyRunning, RetryAfter: verdict.RetryAfter}
	case OutcomeUnknown:
		return &peridotpath.Result{Code: peridotpath.CodeOutcomeUnknown}
	case KeyReused:
		return &peridotpath.Result{Code: peridotpath.CodeKeyReused}
	case ledgerFull:
		return &peridotpath.Result{Code: peridotpath.CodeLedgerFull, RetryAfter: verdict.RetryAfter}
	case storeRestored:
		return platformDownResult(reasonStoreRestored, verdict.RetryAfter)
	case Done:
		if verdict.Answer == nil {
			return &peridotpath.Result{Code: peridotpath.CodeAnswerGone}
		}
	}
	return nil
}

// InFlight is a request in progress in this process, for callers that repeat it.
type InFlight struct {
	done   chan struct{}
	answer *Answer
	err    error
}

// Wait returns the answer that the first caller received. The error is a Result: the first
// caller's own failure, or CodeDeadline when ctx ends first.
func (inFlight *InFlight) Wait(ctx context.Context) (*Answer, error) {
	select {
	case <-inFlight.done:
		return inFlight.answer, inFlight.err
	case <-ctx.Done():
		return nil, &peridotpath.Result{Code: peridotpath.CodeDeadline}
	}
}

func (inFlight *InFlight) end(answer *Answer, err error) {
	inFlight.answer, inFlight.err = answer, err
	close(inFlight.done)
}
