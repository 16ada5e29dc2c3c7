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

// KeyPrefix comes before a bucket's number in the key-value service.
const KeyPrefix = "claims/"

// settleMargin allows for monotonic clocks that run at slightly different rates.
const settleMargin = time.Second

// retryAfter is what callers are told when nothing better is known.
const retryAfter = time.Second

// BodyHash is the hash of a request's body, and of what else must be the same
// when a key is repeated.
type BodyHash [sha256.Size]byte

// Ledger claims idempotency keys for one process. Set the exported fields
// before Run.
type Ledger struct {
	Store       *keyvalue.Store
	Instance    peridotpath.InstanceID
	Incarnation peridotpath.Incarnation
	Settings    Settings
	// Alive reports whether that run of that instance may still be at work. It
	// may lag. An answer that is wrongly "no" costs a caller the outcome; a
	// wrong "yes" costs time. Neither runs a request twice.
	Alive func(peridotpath.InstanceID, peridotpath.Incarnation) bool
	// Clock is the machine's; the zero value reads it.
	Clock clock.Clock
	// Logger gets a line for each outage and each claim that cannot be ended.
	Logger zerolog.Logger
	// Metrics takes the counters; nil stands for the default set.
	Metrics *metrics.Set

	once     sync.Once
	buckets  []*bucket
	answers  answerMemory
	start    clock.Instant
	attempts atomic.Uint64
	open     atomic.Int64
	closing  atomic.Bool
	stop     chan struct{}
	running  atomic.Bool
	ended    chan struct{}
}

func (ledger *Ledger) setUp() {
	ledger.once.Do(func() {
		ledger.Settings.Defaults()
		if ledger.Metrics == nil {
			ledger.Metrics = metrics.GetDefaultSet()
		}
		ledger.start = ledger.Clock.Read()
		ledger.attempts.Store(rand.Uint64() >> 1)
		ledger.answers.limit = int(ledger.Settings.AnswerMemory)
		ledger.stop, ledger.ended = make(chan struct{}), make(chan struct{})
		for number := range ledger.Settings.Buckets {
			ledger.buckets = append(ledger.buckets, newBucket(ledger, number))
		}
	})
}

// Run writes claims to the platform until ctx ends or Close is called. Claims
// made before Run wait for it.
func (ledger *Ledger) Run(ctx context.Context) error {
	ledger.setUp()
	if ledger.running.Swap(true) {
		return Error.New("run: already running")
	}
	defer close(ledger.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, bucket := range ledger.buckets {
		group.Go(func() error { return bucket.run(ctx) })
	}
	group.Go(func() error {
		defer cancel()
		return ledger.drain(ctx)
	})
	return group.Wait()
}

// drain returns once Close was called and every claim has ended on the
// platform, or the time for that is up.
func (ledger *Ledger) drain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-ledger.stop:
	}
	const poll = 10 * time.Millisecond
	deadline := time.NewTimer(ledger.Settings.DrainMS.Duration())
	defer deadline.Stop()
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for ledger.open.Load() > 0 {
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

// Close refuses new claims, goes on recording how the granted ones ended, for
// a bounded time, and waits for Run. It returns an error that counts the
// claims whose end is not on the platform: to other instances their outcome
// becomes unknown.
func (ledger *Ledger) Close() error {
	ledger.setUp()
	if !ledger.closing.Swap(true) {
		close(ledger.stop)
	}
	if ledger.running.Load() {
		<-ledger.ended
	}
	if open := ledger.open.Load(); open > 0 {
		return Error.New("close: %d claims without a recorded end", open)
	}
	return nil
}

// Claim asks for the right to run the customer's request with that key. It
// returns within the claim timeout. The error is always a *peridotpath.Result
// and says that this call caused no run and left no claim that could.
func (ledger *Ledger) Claim(ctx context.Context, customer peridotpath.CustomerID, key string, body BodyHash) (Verdict, error) {
	ledger.setUp()
	ctx, cancel := context.WithTimeout(ctx, ledger.Settings.ClaimTimeoutMS.Duration())
	defer cancel()
	verdict, err := ledger.claim(ctx, customer, key, body)
	if err == nil {
		if verdict.Standing == full || verdict.Standing == unsettled {
			err = verdict.Result()
		}
	}
	if err != nil {
		ledger.count(`claim_refused_total{reason=%q}`, refusal(err))
		return Verdict{}, err
	}
	ledger.count(`claim_verdicts_total{standing=%q}`, verdict.Standing)
	return verdict, nil
}

func (ledger *Ledger) claim(ctx context.Context, customer peridotpath.CustomerID, key string, body BodyHash) (Verdict, error) {
	full := string(customer) + "\x00" + key
	sum := sha256.Sum256([]byte(full))
	id := keyID(sum[:len(keyID{})])
	bucket := ledger.buckets[xxhash.Sum64String(full)%uint64(len(ledger.buckets))]
	operation, err := bucket.join(id, uint32(xxhash.Sum64String(string(customer))), body)
	if err != nil {
		return Verdict{}, err
	}
	select {
	case <-operation.done:
		return bucket.collect(operation)
	case <-ctx.Done():
		bucket.leave(operation)
		return Verdict{}, platformDown(reasonTimeout, retryAfter)
	}
}

// Open returns how many claims of this process have not ended on the platform.
func (ledger *Ledger) Open() int { return int(ledger.open.Load()) }

func (ledger *Ledger) count(format string, values ...any) {
	for i, value := range values {
		values[i] = fmt.Sprint(value)
	}
	ledger.Metrics.GetOrCreateCounter("peridotpath_" + fmt.Sprintf(format, values...)).Inc()
}

// wallTimes returns the wall clock's time and what it would be by the
// monotonic clock since the start, the earlier of the two first.
//
// Keys expire by the earlier: a wall clock that steps forward would otherwise
// drop keys that callers may still repeat, and the repeats would run. Records
// are stamped with the later, so that a step back does not make them look old.
func (ledger *Ledger) wallTimes() (earlier, later time.Time) {
	now := ledger.Clock.Read()
	counted := ledger.start.Wall.Add(now.Monotonic.Sub(ledger.start.Monotonic))
	if now.Wall.Before(counted) {
		return now.Wall, counted
	}
	return counted, now.Wall
}

func (ledger *Ledger) gone(claimer author) bool {
	self := author{instance: ledger.Instance, incarnation: ledger.Incarnation}
	if claimer.instance == self.instance && claimer.incarnation <= self.incarnation {
		// An earlier run of this instance, or a claim of this run that it no
		// longer knows.
		return true
	}
	return ledger.Alive != nil && !ledger.Alive(claimer.instance, claimer.incarnation)
}

// reason tells apart, in metrics and details, why a claim was refused.
type reason string

const (
	reasonTimeout     reason = "claim_timeout"
	reasonCallerGone  reason = "caller_gone"
	reasonPaused      reason = "platform_paused"
	reasonTooManyOpen reason = "too_many_open_claims"
	reasonNotRecorded reason = "claim_not_recorded"
	reasonTooOld      reason = "claim_too_old"
	reasonReleased    reason = "claim_released"
	reasonWentBack    reason = "platform_went_back"
)

func platformDown(reason reason, after time.Duration) *peridotpath.Result {
	return &peridotpath.Result{Code: peridotpath.CodePlatformDown, RetryAfter: after, Detail: string(reason)}
}

// refusal returns the reason that the metrics count.
func refusal(err error) string {
	var result *peridotpath.Result
	switch {
	case !errors.As(err, &result):
		return "internal"
	case result.Detail != "":
		return result.Detail
	}
	return result.Code.String()
}
