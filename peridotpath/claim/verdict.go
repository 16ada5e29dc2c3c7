package claim

import (
	"context"
	"net/http"
	"time"

	"peridotpath.example/peridotpath"
)

// Standing is what the ledger holds about a key that a caller comes with.
type Standing int

// The standings.
const (
	// Granted lets the caller dispatch the request, through Verdict.Claim.
	Granted Standing = iota + 1
	// RunningHere says that this process runs the request; Verdict.Run waits
	// for its answer.
	RunningHere
	// RunningElsewhere says that another instance runs it, or that it is too
	// early to tell that the instance has died.
	RunningElsewhere
	// Done says that the request ended; Verdict.Answer holds the answer, or is
	// nil where it is no longer held.
	Done
	// Unknown says that the request may have run and never runs again.
	Unknown
	// KeyReused says that the key came with another body before.
	KeyReused
	// full says that the bucket has no room; callers get it as a Result.
	full
	// unsettled says that the service may have lost what it held about the key; callers get
	// it as a Result.
	unsettled
)

var standingNames = map[Standing]string{
	Granted: "granted", RunningHere: "running_here", RunningElsewhere: "running_elsewhere",
	Done: "done", Unknown: "unknown", KeyReused: "key_reused", full: "ledger_full", unsettled: "unsettled",
}

// String returns the standing's name as metrics write it.
func (standing Standing) String() string { return standingNames[standing] }

// Answer is what a caller of an ended request got, and what repeats get.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// size is the memory that the answer takes, roughly.
func (answer *Answer) size() int {
	size := len(answer.Body)
	for name, values := range answer.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// Verdict is the ledger's reply to a caller who comes with a key.
type Verdict struct {
	Standing Standing
	// Claim is set when Granted.
	Claim *Claim
	// Run is set when RunningHere.
	Run *Run
	// Answer may be set when Done.
	Answer *Answer
	// RetryAfter is set when RunningElsewhere, and where the caller gets a Result.
	RetryAfter time.Duration
}

// Result returns the coded failure that a caller gets for the verdict; nil
// when there is something better to give: a claim, a run or an answer.
func (verdict Verdict) Result() *peridotpath.Result {
	switch verdict.Standing {
	case RunningElsewhere:
		return &peridotpath.Result{Code: peridotpath.CodeKeyRunning, RetryAfter: verdict.RetryAfter}
	case Unknown:
		return &peridotpath.Result{Code: peridotpath.CodeOutcomeUnknown}
	case KeyReused:
		return &peridotpath.Result{Code: peridotpath.CodeKeyReused}
	case full:
		return &peridotpath.Result{Code: peridotpath.CodeLedgerFull, RetryAfter: verdict.RetryAfter}
	case unsettled:
		return platformDown(reasonWentBack, verdict.RetryAfter)
	case Done:
		if verdict.Answer == nil {
			return &peridotpath.Result{Code: peridotpath.CodeAnswerGone}
		}
	}
	return nil
}

// Run is a request that runs in this process, for callers who repeat it.
type Run struct {
	done   chan struct{}
	answer *Answer
	err    error
}

// Wait returns the answer that the first caller got. The error is a Result:
// the first caller's own failure, or CodeDeadline when ctx ends first.
func (run *Run) Wait(ctx context.Context) (*Answer, error) {
	select {
	case <-run.done:
		return run.answer, run.err
	case <-ctx.Done():
		return nil, &peridotpath.Result{Code: peridotpath.CodeDeadline}
	}
}

func (run *Run) end(answer *Answer, err error) {
	run.answer, run.err = answer, err
	close(run.done)
}
