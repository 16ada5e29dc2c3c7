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

// After a failed call the bucket leaves the platform alone for a while that
// doubles, so that an outage is not made longer by callers who repeat.
const (
	minPause = 200 * time.Millisecond
	maxPause = 5 * time.Second
)

// hashBytes is how much of a body's hash a record keeps.
const hashBytes = 16

// bucket collects operations and commits them, a batch a write.
type bucket struct {
	ledger  *Ledger
	name    string
	limiter *rate.Limiter
	wake    chan struct{}

	mu    sync.Mutex
	queue []*operation
	// open holds the claim of each key that this process has asked for and
	// that has not ended.
	open    map[keyID]*operation
	pause   time.Duration
	retryAt time.Time
	stopped bool

	// wentBack asks for the bucket to be read anew.
	wentBack clock.Signal

	// The rest belongs to run's goroutine.
	cached *state
	// held is the newest state that this process has read or written, of whichever era.
	held *state
	// lost says that the service may lack some of held.
	lost bool
	// contended says that another instance writes to the bucket, too.
	contended bool
	// seen is when this process first saw other instances' running records.
	seen map[author]clock.Instant
}

func newBucket(ledger *Ledger, number int) *bucket {
	calls := ledger.Settings.CallsPerSecond
	return &bucket{
		ledger: ledger, name: KeyPrefix + strconv.Itoa(number),
		limiter: rate.NewLimiter(rate.Limit(calls), max(calls, callsToReadAndWrite)),
		wake:    make(chan struct{}, 1),
		open:    map[keyID]*operation{},
		seen:    map[author]clock.Instant{},
	}
}

// run commits batches until ctx ends.
func (bucket *bucket) run(ctx context.Context) error {
	for bucket.wait(ctx) {
		bucket.rebuild(ctx)
		if batch := bucket.take(); len(batch) > 0 {
			bucket.commit(ctx, batch)
		}
	}
	bucket.refuseAll()
	return nil
}

// wait returns when there may be something to do; false when ctx has ended.
func (bucket *bucket) wait(ctx context.Context) bool {
	var retry <-chan time.Time
	if due, ok := bucket.due(); ok {
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
	case <-bucket.wentBack.C():
		bucket.lost = bucket.lacksRecent()
		return clock.SleepContext(ctx, rand.N(restoreSpread))
	}
	return ctx.Err() == nil
}

// due returns when the queue is to be taken; false when it is empty.
func (bucket *bucket) due() (time.Duration, bool) {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	return bucket.retryAt.Sub(bucket.ledger.Clock.Read().Monotonic), len(bucket.queue) > 0
}

// take returns what is to be committed now; nothing while the platform is
// left alone.
func (bucket *bucket) take() []*operation {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	if bucket.retryAt.After(bucket.ledger.Clock.Read().Monotonic) {
		return nil
	}
	var batch []*operation
	for _, operation := range bucket.queue {
		if !operation.kind.ends() && operation.waiters == 0 {
			bucket.drop(operation, platformDown(reasonCallerGone, retryAfter))
			continue
		}
		batch = append(batch, operation)
	}
	bucket.queue = nil
	return batch
}

// deliver hands out verdicts that stand on the platform.
func (bucket *bucket) deliver(batch []*operation, decision decision) {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.pause = 0
	for i, operation := range batch {
		switch {
		case operation.kind.ends():
			bucket.drop(operation, nil)
		case operation.kind == kindRenew:
			operation.verdict = decision.verdicts[i]
			bucket.drop(operation, nil)
		case decision.verdicts[i].Standing != Granted:
			operation.verdict = decision.verdicts[i]
			bucket.drop(operation, nil)
		default:
			bucket.grant(operation)
		}
	}
}

func (bucket *bucket) grant(operation *operation) {
	claim := &Claim{bucket: bucket, operation: operation, run: &Run{done: make(chan struct{})}}
	operation.verdict = Verdict{Standing: Granted, Claim: claim}
	close(operation.done)
	bucket.releaseUntaken(operation)
}

// fail deals with a batch that could not be committed. Claims are refused as
// not run: none of them was granted, so none is dispatched. One whose write may
// stand is released later; it keeps its place among the open claims until then.
func (bucket *bucket) fail(batch []*operation, err error) {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.cached = nil
	bucket.pause = min(max(2*bucket.pause, minPause), maxPause)
	bucket.retryAt = bucket.ledger.Clock.Read().Monotonic.Add(bucket.pause)
	bucket.ledger.Logger.Warn().Str("event", "claim_commit_failed").Str("bucket", bucket.name).
		Int("operations", len(batch)).Dur("pause", bucket.pause).Err(err).Send()
	refusal := platformDown(reasonNotRecorded, max(bucket.pause, retryAfter))
	for _, operation := range batch {
		switch {
		case operation.kind.ends():
			bucket.enqueue(operation)
		case operation.kind == kindClaim && operation.lost:
			bucket.forget(operation)
			operation.err = refusal
			close(operation.done)
			bucket.enqueue(releaseOf(operation))
		default:
			bucket.drop(operation, refusal)
		}
	}
}
