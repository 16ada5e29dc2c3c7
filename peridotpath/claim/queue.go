package claim

import (
	"bytes"
	"slices"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim/ledgerpb"
)

// joinOrEnqueue returns the operation that decides on the key: a new one, or the open one
// of this process, so that a repeat at the same instance needs no store call.
func (bucket *bucket) joinOrEnqueue(key keyID, customer uint32, body BodyHash) (*operation, error) {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	if operation := bucket.openClaims[key]; operation != nil {
		if !bytes.Equal(operation.body, body[:bodyHashBytes]) {
			return newKeyReused(), nil
		}
		operation.waiters++
		return operation, nil
	}
	if err := bucket.admissionError(); err != nil {
		return nil, err
	}
	ledger := bucket.ledger
	operation := &operation{
		kind: kindClaim, key: key, customer: customer, body: body[:bodyHashBytes], done: make(chan struct{}),
		attempt: attemptID{ledger.Instance, ledger.Incarnation, ledger.lastAttemptNumber.Add(1)},
		waiters: 1,
	}
	ledger.openCount.Add(1)
	bucket.openClaims[key] = operation
	bucket.enqueue(operation)
	return operation, nil
}

// newKeyReused returns a completed operation whose verdict is that the key is in use in
// this process with another body.
func newKeyReused() *operation {
	operation := &operation{verdict: Verdict{Status: KeyReused}, done: make(chan struct{})}
	close(operation.done)
	return operation
}

// receiveVerdict returns the verdict to one of the waiting callers. The first receives the
// claim; the others wait for its run.
func (bucket *bucket) receiveVerdict(operation *operation) (Verdict, error) {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	operation.waiters--
	verdict := operation.verdict
	switch {
	case operation.err != nil:
		return Verdict{}, operation.err
	case verdict.Status == Granted && operation.claimTaken:
		return Verdict{Status: RunningHere, InFlight: verdict.Claim.inFlight}, nil
	case verdict.Status == Granted:
		operation.claimTaken = true
	case verdict.Status == Done && verdict.Answer == nil:
		verdict.Answer = bucket.ledger.answerCache.get(operation.key)
	}
	return verdict, nil
}

// removeWaiter removes a caller that stops waiting. A granted claim without a caller is
// released.
func (bucket *bucket) removeWaiter(operation *operation) {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	operation.waiters--
	bucket.releaseIfAbandoned(operation)
}

func (bucket *bucket) releaseIfAbandoned(operation *operation) {
	claim := operation.verdict.Claim
	if claim == nil || operation.claimTaken || operation.waiters > 0 || claim.ended.Swap(true) {
		return
	}
	claim.inFlight.end(nil, platformDownResult(reasonCallerGone, defaultRetryAfter))
	bucket.enqueueEnd(claim, kindRelease, nil)
}

// admissionError returns the error for a new claim that is not admitted now, or nil.
func (bucket *bucket) admissionError() error {
	ledger := bucket.ledger
	if ledger.closing.Load() || bucket.stopped {
		return &peridotpath.Result{Code: peridotpath.CodeStopping}
	}
	// During an outage, each claim whose write got no reply has to be released afterwards.
	// Without a bound, a long outage would fill the memory; if some were forgotten, keys
	// would stay claimed whose request never ran.
	if ledger.openCount.Load() >= int64(ledger.Settings.MaxOpenClaims) {
		return platformDownResult(reasonTooManyOpen, defaultRetryAfter)
	}
	if wait := bucket.retryAt.Sub(ledger.Clock.Read().Monotonic); wait > 0 {
		return platformDownResult(reasonPaused, max(wait, defaultRetryAfter))
	}
	return nil
}

func (bucket *bucket) enqueue(operation *operation) {
	bucket.queue = append(bucket.queue, operation)
	select {
	case bucket.wake <- struct{}{}:
	default:
	}
}

// enqueueRenewal queues an operation that renews a claim under a new attempt id. The claim
// records the id before it is written, so that the end of the claim finds the record
// whether or not the renewal takes effect.
func (bucket *bucket) enqueueRenewal(claimed *operation) *operation {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	attempt := claimed.attempt
	attempt.number = bucket.ledger.lastAttemptNumber.Add(1)
	claimed.earlierAttempts = append(claimed.earlierAttempts, claimed.attempt)
	claimed.attempt = attempt
	renewal := &operation{
		kind: kindRenew, key: claimed.key, attempt: attempt, earlierAttempts: slices.Clone(claimed.earlierAttempts),
		done: make(chan struct{}), waiters: 1,
	}
	bucket.enqueue(renewal)
	return renewal
}

// finishRenewal extends the claim's dispatch window if the renewal was recorded. A renewal
// that is not written yet is cancelled.
func (bucket *bucket) finishRenewal(claimed, renewal *operation) bool {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	renewal.waiters = 0
	if renewal.verdict.Status != Granted {
		return false
	}
	claimed.sentAt = renewal.sentAt
	return true
}

// enqueueEnd queues an operation that ends a claim.
func (bucket *bucket) enqueueEnd(claim *Claim, kind kind, answer *ledgerpb.Answer) *operation {
	claimed := claim.operation
	end := &operation{
		kind: kind, key: claimed.key, attempt: claimed.attempt, earlierAttempts: claimed.earlierAttempts, answer: answer, done: make(chan struct{}),
		writeUncertain: claimed.writeUncertain, uncertainVersion: claimed.uncertainVersion,
	}
	if kind == kindRelease {
		// The key may be claimed again at once: ends are applied before claims.
		bucket.removeOpenClaim(claimed)
	}
	bucket.enqueue(end)
	return end
}

// removeOpenClaim removes the operation from the open claims, so that its key can be
// claimed again.
func (bucket *bucket) removeOpenClaim(operation *operation) {
	if openClaim := bucket.openClaims[operation.key]; openClaim != nil && openClaim.attempt == operation.attempt {
		delete(bucket.openClaims, operation.key)
	}
}

// complete completes an operation and closes its channel.
func (bucket *bucket) complete(operation *operation, err error) {
	if operation.kind != kindRenew {
		bucket.removeOpenClaim(operation)
		bucket.ledger.openCount.Add(-1)
	}
	operation.err = err
	close(operation.done)
}

// newRelease returns an operation that releases a claim that was not granted but whose
// write may have taken effect.
func newRelease(claimed *operation) *operation {
	return &operation{
		kind: kindRelease, key: claimed.key, attempt: claimed.attempt, done: make(chan struct{}),
		writeUncertain: true, uncertainVersion: claimed.uncertainVersion,
	}
}

// refuseQueued refuses the operations that are still queued when Run ends.
func (bucket *bucket) refuseQueued() {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.stopped = true
	for _, operation := range bucket.queue {
		if !operation.kind.isEnd() {
			bucket.complete(operation, &peridotpath.Result{Code: peridotpath.CodeStopping})
		}
	}
	bucket.queue = nil
}
