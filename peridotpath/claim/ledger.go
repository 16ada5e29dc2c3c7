package claim

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
)

// BucketKeyPrefix precedes the bucket's number in the key of its value in the key-value store.
const BucketKeyPrefix = "claims/"

// clockRateMargin allows for monotonic clocks that run at slightly different rates.
const clockRateMargin = time.Second

// defaultRetryAfter is the time in the Retry-After header of refusals without a better
// estimate.
const defaultRetryAfter = time.Second

// BodyHash is the hash of a request's body and of everything else that must be equal when a
// key is repeated.
type BodyHash [sha256.Size]byte

// Ledger claims idempotency keys for one process. The exported fields must be set before
// Run.
type Ledger struct {
	Store       *keyvalue.Store
	Instance    peridotpath.InstanceID
	Incarnation peridotpath.Incarnation
	Settings    Settings
	// IsAlive reports whether the process with that incarnation of the instance may still be
	// running. Its information may be outdated. If it wrongly returns false, a caller
	// receives an unknown outcome; if it wrongly returns true, callers wait longer. Neither
	// makes a request run twice.
	IsAlive func(peridotpath.InstanceID, peridotpath.Incarnation) bool
	// Clock is the source of time; its zero value reads the machine's clocks.
	Clock clock.Clock
	// Logger receives an event for each failed commit, such as during an outage of the
	// store.
	Logger zerolog.Logger
	// Metrics is where the counters are registered; nil means the default set.
	Metrics *metrics.Set

	once              sync.Once
	buckets           []*bucket
	answerCache       answerCache
	startedAt         clock.Instant
	lastAttemptNumber atomic.Uint64
	openCount         atomic.Int64
	closing           atomic.Bool
	closeRequested    chan struct{}
	runStarted        atomic.Bool
	runEnded          chan struct{}
}

func (ledger *Ledger) initialise() {
	ledger.once.Do(func() {
		ledger.Settings.Defaults()
		if ledger.Metrics == nil {
			ledger.Metrics = metrics.GetDefaultSet()
		}
		ledger.startedAt = ledger.Clock.Read()
		ledger.lastAttemptNumber.Store(rand.Uint64() >> 1)
		ledger.answerCache.maxBytes = int(ledger.Settings.AnswerCacheBytes)
		ledger.closeRequested, ledger.runEnded = make(chan struct{}), make(chan struct{})
		for number := range ledger.Settings.Buckets {
			ledger.buckets = append(ledger.buckets, newBucket(ledger, number))
		}
	})
}

// Run commits claims to the store until ctx ends or Close is called. Claims made before Run
// wait for it.
func (ledger *Ledger) Run(ctx context.Context) error {
	ledger.initialise()
	if ledger.runStarted.Swap(true) {
		return Error.New("run: already running")
	}
	defer close(ledger.runEnded)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, bucket := range ledger.buckets {
		group.Go(func() error { return bucket.run(ctx) })
	}
	group.Go(func() error {
		defer cancel()
		return ledger.waitForOpenClaims(ctx)
	})
	return group.Wait()
}

// waitForOpenClaims returns once Close was called and the end of every claim is recorded in
// the store, or after the drain timeout.
func (ledger *Ledger) waitForOpenClaims(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-ledger.closeRequested:
	}
	const pollInterval = 10 * time.Millisecond
	deadline := time.NewTimer(ledger.Settings.DrainTimeoutMS.Duration())
	defer deadline.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ledger.openCount.Load() > 0 {
		select {
		case <-ticker.C:
		case <-deadline.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// Close refuses new claims, continues to record the ends of granted ones for at most the
// drain timeout, and waits for Run. The error counts the claims whose end is not recorded:
// their outcome becomes unknown to other instances.
func (ledger *Ledger) Close() error {
	ledger.initialise()
	if !ledger.closing.Swap(true) {
		close(ledger.closeRequested)
	}
	if ledger.runStarted.Load() {
		<-ledger.runEnded
	}
	if open := ledger.openCount.Load(); open > 0 {
		return Error.New("close: %d claims without a recorded end", open)
	}
	return nil
}

// Claim claims the right to run the customer's request with that key. It returns within the
// claim timeout. The error is always a *peridotpath.Result; it means that this call caused
// no run and left no claim that could run.
func (ledger *Ledger) Claim(ctx context.Context, customer peridotpath.CustomerID, key string, body BodyHash) (Verdict, error) {
	ledger.initialise()
	ctx, cancel := context.WithTimeout(ctx, ledger.Settings.ClaimTimeoutMS.Duration())
	defer cancel()
	verdict, err := ledger.awaitVerdict(ctx, customer, key, body)
	if err == nil {
		if verdict.Status == ledgerFull || verdict.Status == storeRestored {
			err = verdict.Result()
		}
	}
	if err != nil {
		ledger.count(`claim_refused_total{reason=%q}`, refusalReason(err))
		return Verdict{}, err
	}
	ledger.count(`claim_verdicts_total{standing=%q}`, verdict.Status)
	return verdict, nil
}

func (ledger *Ledger) awaitVerdict(ctx context.Context, customer peridotpath.CustomerID, key string, body BodyHash) (Verdict, error) {
	customerAndKey := string(customer) + "\x00" + key
	sum := sha256.Sum256([]byte(customerAndKey))
	id := keyID(sum[:len(keyID{})])
	bucket := ledger.buckets[xxhash.Sum64String(customerAndKey)%uint64(len(ledger.buckets))]
	operation, err := bucket.joinOrEnqueue(id, uint32(xxhash.Sum64String(string(customer))), body)
	if err != nil {
		return Verdict{}, err
	}
	select {
	case <-operation.done:
		return bucket.receiveVerdict(operation)
	case <-ctx.Done():
		bucket.removeWaiter(operation)
		return Verdict{}, platformDownResult(reasonTimeout, defaultRetryAfter)
	}
}

// OpenCount returns the number of claims of this process whose end is not recorded in the store.
func (ledger *Ledger) OpenCount() int { return int(ledger.openCount.Load()) }

func (ledger *Ledger) count(format string, values ...any) {
	for i, value := range values {
		values[i] = fmt.Sprint(value)
	}
	ledger.Metrics.GetOrCreateCounter("peridotpath_" + fmt.Sprintf(format, values...)).Inc()
}

// wallTimeBounds returns the wall clock's time, and the start time plus the monotonic time
// since then, the earlier of the two first.
//
// Keys expire by the earlier one: a wall clock that steps forward would otherwise expire
// keys that callers may still repeat, and the repeats would run. Records are stamped with
// the later one, so that a step back does not make them look old.
func (ledger *Ledger) wallTimeBounds() (earlier, later time.Time) {
	now := ledger.Clock.Read()
	byMonotonic := ledger.startedAt.Wall.Add(now.Monotonic.Sub(ledger.startedAt.Monotonic))
	if now.Wall.Before(byMonotonic) {
		return now.Wall, byMonotonic
	}
	return byMonotonic, now.Wall
}

// hasEnded reports whether the process that made the attempt has ended or no longer has the
// claim open.
func (ledger *Ledger) hasEnded(attempt attemptID) bool {
	self := attemptID{instance: ledger.Instance, incarnation: ledger.Incarnation}
	if attempt.instance == self.instance && attempt.incarnation <= self.incarnation {
		// The attempt is of an earlier process of this instance, or of this process. A
		// repeat of a key whose claim is open here joins that claim instead.
		return true
	}
	return ledger.IsAlive != nil && !ledger.IsAlive(attempt.instance, attempt.incarnation)
}

// reason says why a claim was refused, in metrics and in the details of results.
type reason string

const (
	reasonTimeout       reason = "claim_timeout"
	reasonCallerGone    reason = "caller_gone"
	reasonPaused        reason = "platform_paused"
	reasonTooManyOpen   reason = "too_many_open_claims"
	reasonNotRecorded   reason = "claim_not_recorded"
	reasonTooOld        reason = "claim_too_old"
	reasonReleased      reason = "claim_released"
	reasonStoreRestored reason = "platform_went_back"
)

func platformDownResult(reason reason, after time.Duration) *peridotpath.Result {
	return &peridotpath.Result{Code: peridotpath.CodePlatformDown, RetryAfter: after, Detail: string(reason)}
}

// refusalReason returns the value of the metric's reason label.
func refusalReason(err error) string {
	var result *peridotpath.Result
	switch {
	case !errors.As(err, &result):
		return "internal"
	case result.Detail != "":
		return result.Detail
	}
	return result.Code.String()
}
