package claim

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"peridotpath.example/peridotpath/clock"
)

// After a failed store call the bucket makes no further calls for a backoff time that
// doubles up to a maximum, so that repeated requests do not prolong an outage.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// bodyHashBytes is how much of the hash of a request's body a record stores.
const bodyHashBytes = 16

// bucket queues operations on its keys and commits each batch with one write.
type bucket struct {
	ledger   *Ledger
	storeKey string
	limiter  *rate.Limiter
	wake     chan struct{}

	mu    sync.Mutex
	queue []*operation
	// openClaims holds the claim operation of each key that this process is claiming or has
	// claimed, until the claim ends.
	openClaims map[keyID]*operation
	backoff    time.Duration
	retryAt    time.Time
	stopped    bool

	// storeRestored is raised when the store was restored; the bucket is then read again.
	storeRestored clock.Signal

	// Only run's goroutine uses the fields below.
	cached *state
	// lastKnown is the newest state that this process has read or written, in any era of
	// the store. (An era is the store's epoch; it changes when the store is restored from
	// an older copy.)
	lastKnown *state
	// needsRestore reports that the restored store may lack records of lastKnown.
	needsRestore bool
	// contended reports that another instance also writes to the bucket.
	contended bool
	// firstSeen is when this process first saw each running record.
	firstSeen map[attemptID]clock.Instant
}

func newBucket(ledger *Ledger, number int) *bucket {
	calls := ledger.Settings.BucketCallsPerSecond
	return &bucket{
		ledger: ledger, storeKey: BucketKeyPrefix + strconv.Itoa(number),
		limiter:    rate.NewLimiter(rate.Limit(calls), max(calls, storeCallsPerRound)),
		wake:       make(chan struct{}, 1),
		openClaims: map[keyID]*operation{},
		firstSeen:  map[attemptID]clock.Instant{},
	}
}

// run commits batches until ctx ends.
func (bucket *bucket) run(ctx context.Context) error {
	for bucket.waitForWork(ctx) {
		bucket.writeLostRecords(ctx)
		if batch := bucket.takeBatch(); len(batch) > 0 {
			bucket.commit(ctx, batch)
		}
	}
	bucket.refuseQueued()
	return nil
}

// waitForWork returns when there may be work to do, or false when ctx has ended.
func (bucket *bucket) waitForWork(ctx context.Context) bool {
	var retry <-chan time.Time
	if due, ok := bucket.timeUntilDue(); ok {
		if due <= 0 {
			return ctx.Err() == nil
		}
		timer := time.NewTimer(due)
		defer timer.Stop()
		retry = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-retry:
	case <-bucket.wake:
	case <-bucket.storeRestored.C():
		bucket.needsRestore = bucket.hasRecentRecords()
		return clock.SleepContext(ctx, rand.N(restoreJitter))
	}
	return ctx.Err() == nil
}

// timeUntilDue returns the time until the queue may be committed, or false when the queue
// is empty.
func (bucket *bucket) timeUntilDue() (time.Duration, bool) {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	return bucket.retryAt.Sub(bucket.ledger.Clock.Read().Monotonic), len(bucket.queue) > 0
}

// takeBatch returns the operations to commit now, and none during the backoff. Claims whose
// callers have all left are dropped.
func (bucket *bucket) takeBatch() []*operation {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	if bucket.retryAt.After(bucket.ledger.Clock.Read().Monotonic) {
		return nil
	}
	var batch []*operation
	for _, operation := range bucket.queue {
		if !operation.kind.isEnd() && operation.waiters == 0 {
			bucket.complete(operation, platformDownResult(reasonCallerGone, defaultRetryAfter))
			continue
		}
		batch = append(batch, operation)
	}
	bucket.queue = nil
	return batch
}

// completeBatch completes the operations of a batch that is recorded in the store.
func (bucket *bucket) completeBatch(batch []*operation, decision decision) {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.backoff = 0
	for i, operation := range batch {
		switch {
		case operation.kind.isEnd():
			bucket.complete(operation, nil)
		case operation.kind == kindRenew:
			operation.verdict = decision.verdicts[i]
			bucket.complete(operation, nil)
		case decision.verdicts[i].Status != Granted:
			operation.verdict = decision.verdicts[i]
			bucket.complete(operation, nil)
		default:
			bucket.grant(operation)
		}
	}
}

func (bucket *bucket) grant(operation *operation) {
	claim := &Claim{bucket: bucket, operation: operation, inFlight: &InFlight{done: make(chan struct{})}}
	operation.verdict = Verdict{Status: Granted, Claim: claim}
	close(operation.done)
	bucket.releaseIfAbandoned(operation)
}

// failBatch handles a batch that could not be committed. Its claims are refused with a
// result that means "not run": none of them was granted, so none is dispatched. A claim
// whose write may still have taken effect is released later, and counts as an open claim
// until then.
func (bucket *bucket) failBatch(batch []*operation, err error) {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.cached = nil
	bucket.backoff = min(max(2*bucket.backoff, minBackoff), maxBackoff)
	bucket.retryAt = bucket.ledger.Clock.Read().Monotonic.Add(bucket.backoff)
	bucket.ledger.Logger.Warn().Str("event", "claim_commit_failed").Str("bucket", bucket.storeKey).
		Int("operations", len(batch)).Dur("pause", bucket.backoff).Err(err).Send()
	refusal := platformDownResult(reasonNotRecorded, max(bucket.backoff, defaultRetryAfter))
	for _, operation := range batch {
		switch {
		case operation.kind.isEnd():
			bucket.enqueue(operation)
		case operation.kind == kindClaim && operation.writeUncertain:
			bucket.removeOpenClaim(operation)
			operation.err = refusal
			close(operation.done)
			bucket.enqueue(newRelease(operation))
		default:
			bucket.complete(operation, refusal)
		}
	}
}
