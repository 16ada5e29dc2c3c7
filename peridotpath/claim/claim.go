package claim

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim/ledgerpb"
)

// Claim is the exclusive right to run the request of one idempotency key. Exactly one of
// Finish, Release and MarkUnknown ends it; later calls do nothing and return an error.
type Claim struct {
	bucket    *bucket
	operation *operation
	inFlight  *InFlight
	ended     atomic.Bool
	// dispatched is set once a call of BeginDispatch has succeeded.
	dispatched atomic.Bool
}

// BeginDispatch must be called right before each time the request is sent to an endpoint.
// If the claim's dispatch window has passed, for example because the request was queued,
// BeginDispatch first renews the claim, which takes a store call and at most the claim
// timeout. An error means that the request must not be sent, because other callers may
// already have received a final outcome for the key. The error is a *peridotpath.Result
// that means "not run". The caller must then call Release, or MarkUnknown if an earlier
// send may have run.
//
// A process that freezes between this check and its send can still send late.
// docs/CLAIMS.md describes the effects.
func (claim *Claim) BeginDispatch() error {
	if !claim.ended.Load() && !claim.windowPassed() {
		claim.dispatched.Store(true)
		return nil
	}
	ledger := claim.bucket.ledger
	if claim.ended.Load() || !claim.renew() || claim.windowPassed() {
		ledger.count(`claim_dispatch_late_total`)
		return platformDownResult(reasonTooOld, defaultRetryAfter)
	}
	ledger.count(`claim_renewals_total`)
	claim.dispatched.Store(true)
	return nil
}

// windowPassed reports whether the claim's dispatch window has passed.
func (claim *Claim) windowPassed() bool {
	ledger := claim.bucket.ledger
	claim.bucket.mu.Lock()
	sentAt := claim.operation.sentAt
	claim.bucket.mu.Unlock()
	return sentAt.Elapsed(ledger.Clock.Read()) >= ledger.Settings.DispatchWindowMS.Duration()
}

// renew writes the claim again under a new attempt id, and reports whether it is still
// valid.
func (claim *Claim) renew() bool {
	bucket := claim.bucket
	renewal := bucket.enqueueRenewal(claim.operation)
	timer := time.NewTimer(bucket.ledger.Settings.ClaimTimeoutMS.Duration())
	defer timer.Stop()
	select {
	case <-renewal.done:
	case <-timer.C:
	case <-bucket.ledger.runEnded:
	}
	return bucket.finishRenewal(claim.operation, renewal)
}

// HasDispatched reports whether a call of BeginDispatch has succeeded. If none has, the
// request certainly did not run, whatever the failure's code is, and its claim may be
// released.
func (claim *Claim) HasDispatched() bool { return claim.dispatched.Load() }

// Finish records that the request ended, with the answer that repeats receive; the answer
// is nil when it was not kept. It returns once the end is recorded in the store; if ctx
// ends first, recording continues in the background. The answer can be sent to the caller
// without waiting for it.
func (claim *Claim) Finish(ctx context.Context, answer *Answer) error {
	if claim.ended.Swap(true) {
		return Error.New("finish: claim has ended")
	}
	if answer == nil {
		claim.inFlight.end(nil, &peridotpath.Result{Code: peridotpath.CodeAnswerGone})
		return claim.recordEnd(ctx, kindFinish, nil)
	}
	kept := &Answer{Status: answer.Status, Header: claim.keptHeaders(answer.Header), Body: answer.Body}
	claim.inFlight.end(kept, nil)
	return claim.recordEnd(ctx, kindFinish, claim.storedAnswer(kept))
}

// storedAnswer returns the answer in the form that is stored. For an answer that
// is too large for the store it returns nil, and caches the answer in this process.
func (claim *Claim) storedAnswer(answer *Answer) *ledgerpb.Answer {
	ledger := claim.bucket.ledger
	if answer.sizeBytes() <= int(ledger.Settings.MaxStoredAnswerBytes) {
		return toProto(answer)
	}
	ledger.answerCache.put(claim.operation.key, answer)
	return nil
}

func (claim *Claim) keptHeaders(header http.Header) http.Header {
	kept := http.Header{}
	for _, name := range claim.bucket.ledger.Settings.StoredHeaders {
		if values := header.Values(name); len(values) > 0 {
			kept[http.CanonicalHeaderKey(name)] = values
		}
	}
	return kept
}

// Release records that the request certainly did not run, so that the key can be claimed
// again. Callers that wait for the request's answer receive the result instead.
func (claim *Claim) Release(ctx context.Context, result *peridotpath.Result) error {
	if claim.ended.Swap(true) {
		return Error.New("release: claim has ended")
	}
	if result == nil {
		result = platformDownResult(reasonReleased, defaultRetryAfter)
	}
	claim.inFlight.end(nil, result)
	return claim.recordEnd(ctx, kindRelease, nil)
}

// MarkUnknown records that the request may have run, so that the key is never granted again
// while its record is kept.
func (claim *Claim) MarkUnknown(ctx context.Context) error {
	if claim.ended.Swap(true) {
		return Error.New("mark unknown: claim has ended")
	}
	claim.inFlight.end(nil, &peridotpath.Result{Code: peridotpath.CodeOutcomeUnknown})
	return claim.recordEnd(ctx, kindUnknown, nil)
}

func (claim *Claim) recordEnd(ctx context.Context, kind kind, answer *ledgerpb.Answer) error {
	claim.bucket.mu.Lock()
	operation := claim.bucket.enqueueEnd(claim, kind, answer)
	claim.bucket.mu.Unlock()
	select {
	case <-operation.done:
		return nil
	case <-ctx.Done():
		return Error.New("record: %w", ctx.Err())
	case <-claim.bucket.ledger.runEnded:
		return Error.New("record: ledger has stopped")
	}
}
