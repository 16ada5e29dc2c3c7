package claim

import (
	"bytes"
	"slices"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim/ledgerpb"
)

// join returns the operation that decides on the key: a new one, or the one
// under way in this process, so that a repeat here never asks the platform.
func (bucket *bucket) join(key keyID, customer uint32, body BodyHash) (*operation, error) {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	if operation := bucket.open[key]; operation != nil {
		if !bytes.Equal(operation.body, body[:hashBytes]) {
			return reused(), nil
		}
		operation.waiters++
		return operation, nil
	}
	if err := bucket.refuse(); err != nil {
		return nil, err
	}
	ledger := bucket.ledger
	operation := &operation{
		kind: kindClaim, key: key, customer: customer, body: body[:hashBytes], done: make(chan struct{}),
		author:  author{ledger.Instance, ledger.Incarnation, ledger.attempts.Add(1)},
		waiters: 1,
	}
	ledger.open.Add(1)
	bucket.open[key] = operation
	bucket.enqueue(operation)
	return operation, nil
}

// reused returns an operation that was decided without the platform: the key
// is in use here with another body.
func reused() *operation {
	operation := &operation{verdict: Verdict{Standing: KeyReused}, done: make(chan struct{})}
	close(operation.done)
	return operation
}

// collect returns the verdict to one of the callers who waited. The first gets
// the claim, the others attach to its run.
func (bucket *bucket) collect(operation *operation) (Verdict, error) {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	operation.waiters--
	verdict := operation.verdict
	switch {
	case operation.err != nil:
		return Verdict{}, operation.err
	case verdict.Standing == Granted && operation.taken:
		return Verdict{Standing: RunningHere, Run: verdict.Claim.run}, nil
	case verdict.Standing == Granted:
		operation.taken = true
	case verdict.Standing == Done && verdict.Answer == nil:
		verdict.Answer = bucket.ledger.answers.get(operation.key)
	}
	return verdict, nil
}

// leave is called by a caller who waits no longer. A claim that was granted
// but that nobody is left to take is released.
func (bucket *bucket) leave(operation *operation) {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	operation.waiters--
	bucket.releaseUntaken(operation)
}

func (bucket *bucket) releaseUntaken(operation *operation) {
	claim := operation.verdict.Claim
	if claim == nil || operation.taken || operation.waiters > 0 || claim.ended.Swap(true) {
		return
	}
	claim.run.end(nil, platformDown(reasonCallerGone, retryAfter))
	bucket.end(claim, kindRelease, nil)
}

// refuse returns why no new claim is taken now.
func (bucket *bucket) refuse() error {
	ledger := bucket.ledger
	if ledger.closing.Load() || bucket.stopped {
		return &peridotpath.Result{Code: peridotpath.CodeStopping}
	}
	// During an outage each claim whose write got no answer has to be released
	// afterwards. Without a bound a long outage would fill the memory; without
	// remembering them all, keys would stay claimed that never ran.
	if ledger.open.Load() >= int64(ledger.Settings.MaxOpen) {
		return platformDown(reasonTooManyOpen, retryAfter)
	}
	if wait := bucket.retryAt.Sub(ledger.Clock.Read().Monotonic); wait > 0 {
		return platformDown(reasonPaused, max(wait, retryAfter))
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

// renew queues an operation that renews a claim under a new attempt. The claim
// knows of the attempt before it is written, so that its end finds the record
// whether or not the renewal takes effect.
func (bucket *bucket) renew(claimed *operation) *operation {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	next := claimed.author
	next.attempt = bucket.ledger.attempts.Add(1)
	claimed.former = append(claimed.former, claimed.author)
	claimed.author = next
	renewal := &operation{
		kind: kindRenew, key: claimed.key, author: next, former: slices.Clone(claimed.former),
		done: make(chan struct{}), waiters: 1,
	}
	bucket.enqueue(renewal)
	return renewal
}

// renewed gives the claim its new window if the renewal stands, and has the
// renewal dropped if it is not even written.
func (bucket *bucket) renewed(claimed, renewal *operation) bool {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	renewal.waiters = 0
	if renewal.verdict.Standing != Granted {
		return false
	}
	claimed.sent = renewal.sent
	return true
}

// end queues an operation that ends a claim.
func (bucket *bucket) end(claim *Claim, kind kind, answer *ledgerpb.Answer) *operation {
	claimed := claim.operation
	end := &operation{
		kind: kind, key: claimed.key, author: claimed.author, former: claimed.former, answer: answer, done: make(chan struct{}),
		lost: claimed.lost, unsettled: claimed.unsettled,
	}
	if kind == kindRelease {
		// The key may be claimed again at once: the release goes first.
		bucket.forget(claimed)
	}
	bucket.enqueue(end)
	return end
}

// forget makes the key of the operation free to be asked for again.
func (bucket *bucket) forget(operation *operation) {
	if held := bucket.open[operation.key]; held != nil && held.author == operation.author {
		delete(bucket.open, operation.key)
	}
}

// drop ends an operation for good.
func (bucket *bucket) drop(operation *operation, err error) {
	if operation.kind != kindRenew {
		bucket.forget(operation)
		bucket.ledger.open.Add(-1)
	}
	operation.err = err
	close(operation.done)
}

// releaseOf returns the operation that releases a claim nobody was granted.
func releaseOf(claimed *operation) *operation {
	return &operation{
		kind: kindRelease, key: claimed.key, author: claimed.author, done: make(chan struct{}),
		lost: true, unsettled: claimed.unsettled,
	}
}

// refuseAll answers what is still queued when the process ends.
func (bucket *bucket) refuseAll() {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.stopped = true
	for _, operation := range bucket.queue {
		if !operation.kind.ends() {
			bucket.drop(operation, &peridotpath.Result{Code: peridotpath.CodeStopping})
		}
	}
	bucket.queue = nil
}
