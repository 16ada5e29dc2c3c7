package claim

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim/ledgerpb"
)

// Claim is the right to run one request. Exactly one of Finish, Release and
// MarkUnknown ends it; later calls do nothing and return an error.
type Claim struct {
	bucket    *bucket
	operation *operation
	run       *Run
	ended     atomic.Bool
	// dispatched is set once a Dispatch has succeeded.
	dispatched atomic.Bool
}

// Dispatch is called right before each time the request is sent to an
// endpoint. A claim that has grown old, in a queue perhaps, is renewed first,
// which takes a call of the platform and at most the claim timeout. An error, a
// *peridotpath.Result that says "not run", means that this failed: others may
// by now have been told that the claim's outcome is settled. After it the
// caller must Release, or MarkUnknown if an earlier sending may have run.
//
// A process that freezes between this check and its send can still send late.
// docs/CLAIMS.md says what that can do.
func (claim *Claim) Dispatch() error {
	if !claim.ended.Load() && !claim.old() {
		claim.dispatched.Store(true)
		return nil
	}
	ledger := claim.bucket.ledger
	if claim.ended.Load() || !claim.renew() || claim.old() {
		ledger.count(`claim_dispatch_late_total`)
		return platformDown(reasonTooOld, retryAfter)
	}
	ledger.count(`claim_renewals_total`)
	claim.dispatched.Store(true)
	return nil
}

// old reports that the claim's window is over.
func (claim *Claim) old() bool {
	ledger := claim.bucket.ledger
	claim.bucket.mu.Lock()
	sent := claim.operation.sent
	claim.bucket.mu.Unlock()
	return sent.Elapsed(ledger.Clock.Read()) >= ledger.Settings.DispatchMS.Duration()
}

// renew writes the claim anew and reports whether it stands.
func (claim *Claim) renew() bool {
	bucket := claim.bucket
	renewal := bucket.renew(claim.operation)
	timer := time.NewTimer(bucket.ledger.Settings.ClaimTimeoutMS.Duration())
	defer timer.Stop()
	select {
	case <-renewal.done:
	case <-timer.C:
	case <-bucket.ledger.ended:
	}
	return bucket.renewed(claim.operation, renewal)
}

// Dispatched reports whether a Dispatch has succeeded. If none has, the request
// certainly did not run, whatever its failure is called, and its claim may be
// released.
func (claim *Claim) Dispatched() bool { return claim.dispatched.Load() }

// Finish records that the request ended, with the answer that repeats get; nil
// when nobody kept it. It returns once that stands on the platform; when ctx
// ends first, recording goes on. The caller's own answer need not wait for it.
func (claim *Claim) Finish(ctx context.Context, answer *Answer) error {
	if claim.ended.Swap(true) {
		return Error.New("finish: claim has ended")
	}
	if answer == nil {
		claim.run.end(nil, &peridotpath.Result{Code: peridotpath.CodeAnswerGone})
		return claim.record(ctx, kindFinish, nil)
	}
	kept := &Answer{Status: answer.Status, Header: claim.headers(answer.Header), Body: answer.Body}
	claim.run.end(kept, nil)
	return claim.record(ctx, kindFinish, claim.keep(kept))
}

// keep returns the answer as the platform is to hold it, or keeps it in this
// process where it is too large for that.
func (claim *Claim) keep(answer *Answer) *ledgerpb.Answer {
	ledger := claim.bucket.ledger
	if answer.size() <= int(ledger.Settings.MaxAnswer) {
		return toMessage(answer)
	}
	ledger.answers.put(claim.operation.key, answer)
	return nil
}

func (claim *Claim) headers(header http.Header) http.Header {
	kept := http.Header{}
	for _, name := range claim.bucket.ledger.Settings.Headers {
		if values := header.Values(name); len(values) > 0 {
			kept[http.CanonicalHeaderKey(name)] = values
		}
	}
	return kept
}

// Release records that the request certainly did not run, so that the key may
// be claimed again. Callers who attached to the run get the result.
func (claim *Claim) Release(ctx context.Context, result *peridotpath.Result) error {
	if claim.ended.Swap(true) {
		return Error.New("release: claim has ended")
	}
	if result == nil {
		result = platformDown(reasonReleased, retryAfter)
	}
	claim.run.end(nil, result)
	return claim.record(ctx, kindRelease, nil)
}

// MarkUnknown records that the request may have run and never runs again.
func (claim *Claim) MarkUnknown(ctx context.Context) error {
	if claim.ended.Swap(true) {
		return Error.New("mark unknown: claim has ended")
	}
	claim.run.end(nil, &peridotpath.Result{Code: peridotpath.CodeOutcomeUnknown})
	return claim.record(ctx, kindUnknown, nil)
}

func (claim *Claim) record(ctx context.Context, kind kind, answer *ledgerpb.Answer) error {
	claim.bucket.mu.Lock()
	operation := claim.bucket.end(claim, kind, answer)
	claim.bucket.mu.Unlock()
	select {
	case <-operation.done:
		return nil
	case <-ctx.Done():
		return Error.New("record: %w", ctx.Err())
	case <-claim.bucket.ledger.ended:
		return Error.New("record: ledger is closed")
	}
}
