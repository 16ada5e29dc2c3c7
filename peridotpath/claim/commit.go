package claim

import (
	"context"
	"errors"
	"time"

	"peridotpath.example/peridotpath/claim/ledgerpb"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
)

const (
	// maxCommitRounds bounds the rounds of one commit. A round decides on the batch and
	// writes the result. Another round follows if the decision needs a newer state, the
	// write conflicts or its reply is lost.
	maxCommitRounds = 8
	// storeCallsPerRound is the maximum number of store calls of a round, a read and a write, which both
	// count towards the bucket's limit of calls a second.
	storeCallsPerRound = 2
	// callTimeout bounds one store call, whatever the adapter does.
	callTimeout = 4 * time.Second
)

// commit decides on the batch and writes the result to the store. Each round starts from
// the cached state or from a new read. If the cached state is outdated, the compare-and-swap
// conflicts.
//
// A bucket that only this instance writes to is read only while no state is cached. If
// other instances write to it, a swap on the cached state nearly always conflicts, and the
// store sustains fewer writes than reads. A contended bucket is therefore read first, until
// a read shows no write by another instance.
func (bucket *bucket) commit(ctx context.Context, batch []*operation) {
	mustRead := bucket.cached == nil || bucket.contended
	for range maxCommitRounds {
		if mustRead {
			if err := bucket.read(ctx); err != nil {
				bucket.failBatch(batch, err)
				return
			}
		}
		decision := decide(bucket.cached, batch, bucket.rules())
		if !decision.changed && decision.needsCurrentState && !mustRead {
			mustRead = true
			continue
		}
		var err error
		if decision.changed {
			err = bucket.write(ctx, decision, batch, mustRead)
		}
		switch {
		case err == nil:
			bucket.completeBatch(batch, decision)
			return
		case keyvalue.ErrNotSent.Has(err), keyvalue.ErrInvalid.Has(err):
			bucket.failBatch(batch, err)
			return
		}
		bucket.contended = keyvalue.ErrConflict.Has(err)
		// Either another instance wrote, or the write's reply was lost. A read shows which:
		// if the write took effect, the record has its attempt id.
		mustRead = true
	}
	bucket.failBatch(batch, Error.New("bucket not written in %d rounds of conflicts or lost replies", maxCommitRounds))
}

func (bucket *bucket) rules() rules {
	ledger := bucket.ledger
	settings := &ledger.Settings
	keepFor := settings.RetentionMS.Duration() + settings.ClockMarginMS.Duration()
	earlier, later := ledger.wallTimeBounds()
	return rules{
		self: attemptID{instance: ledger.Instance, incarnation: ledger.Incarnation},
		now:  later.Unix(), expireBefore: earlier.Add(-keepFor),
		maxRecords: settings.MaxBucketRecords, maxBytes: int(settings.MaxBucketBytes),
		retryAfter: defaultRetryAfter, dispatchWindowLeft: bucket.dispatchWindowLeft,
		hasEnded: ledger.hasEnded, restoreWindowLeft: bucket.restoreWindowLeft(),
	}
}

// dispatchWindowLeft returns how long the attempt's claimer may still dispatch, counted from
// when this instance first saw the attempt.
func (bucket *bucket) dispatchWindowLeft(attempt attemptID) time.Duration {
	firstSeen, ok := bucket.firstSeen[attempt]
	window := bucket.ledger.Settings.DispatchWindowMS.Duration() + clockRateMargin
	if !ok {
		return window
	}
	return window - bucket.ledger.Clock.Read().Monotonic.Sub(firstSeen.Monotonic)
}

// read reads the bucket from the store.
func (bucket *bucket) read(ctx context.Context) error {
	// The rate limit is charged for the read and the write at once. If the write waited for
	// the limit after the read, other instances could write meanwhile, and the swap would
	// conflict again.
	if err := bucket.limiter.WaitN(ctx, storeCallsPerRound); err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := bucket.ledger.Store.Get(ctx, bucket.storeKey)
	bucket.countCall("get", err)
	if err != nil {
		return err
	}
	state, err := decode(entry, bucket.ledger.Settings.Buckets)
	if err != nil {
		return err
	}
	if bucket.cached != nil && bucket.cached.version == state.version {
		bucket.contended = false
	}
	if bucket.lastKnown != nil && bucket.lastKnown.version.Era() < state.version.Era() {
		bucket.addLostRecords(state)
	}
	bucket.setState(state)
	return nil
}

// write replaces the bucket's value by the decided state. rateCharged means that the
// preceding read has already charged the rate limit for this write.
func (bucket *bucket) write(ctx context.Context, decision decision, batch []*operation, rateCharged bool) error {
	value, err := decision.next.encode(bucket.ledger.Settings.Buckets)
	if err != nil {
		return keyvalue.ErrInvalid.Wrap(err)
	}
	if !rateCharged {
		if err := bucket.limiter.Wait(ctx); err != nil {
			return keyvalue.ErrNotSent.Wrap(err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	expectedVersion := decision.next.version
	recordSendTime(batch, bucket.ledger.Clock.Read())
	version, err := bucket.ledger.Store.Swap(ctx, bucket.storeKey, expectedVersion, value, keyvalue.LeaseID{})
	bucket.countCall("swap", err)
	if err != nil {
		recordWriteFailure(batch, expectedVersion, err)
		return err
	}
	decision.next.version = version
	bucket.setState(decision.next)
	return nil
}

// recordSendTime sets sentAt to now for operations that have none, before a write is sent.
// recordWriteFailure clears it if no write can have taken effect.
func recordSendTime(batch []*operation, now clock.Instant) {
	for _, operation := range batch {
		if operation.sentAt.Monotonic.IsZero() {
			operation.sentAt = now
		}
	}
}

// recordWriteFailure records for each operation whether the failed write may still take
// effect.
func recordWriteFailure(batch []*operation, expectedVersion keyvalue.Version, err error) {
	notApplied := keyvalue.ErrConflict.Has(err) || keyvalue.ErrNotSent.Has(err) || keyvalue.ErrInvalid.Has(err)
	for _, operation := range batch {
		switch {
		case !notApplied:
			operation.writeUncertain, operation.uncertainVersion = true, expectedVersion
		case !operation.writeUncertain:
			operation.sentAt = clock.Instant{}
		}
	}
}

// setState makes the state the cached one, and records when each running record was first
// seen.
func (bucket *bucket) setState(state *state) {
	bucket.cached = state
	if !state.hasRestoredRecords {
		bucket.lastKnown = state
	}
	now := bucket.ledger.Clock.Read()
	firstSeen := make(map[attemptID]clock.Instant, len(bucket.firstSeen))
	for _, record := range state.records {
		if record.GetState() != ledgerpb.State_STATE_RUNNING {
			continue
		}
		attempt := attemptIDOf(record)
		seenAt, ok := bucket.firstSeen[attempt]
		if !ok {
			seenAt = now
		}
		firstSeen[attempt] = seenAt
	}
	bucket.firstSeen = firstSeen
}

func (bucket *bucket) countCall(call string, err error) {
	bucket.ledger.count(`claim_platform_calls_total{call=%q,result=%q}`, call, callResult(err))
}

func callResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case keyvalue.ErrConflict.Has(err):
		return "conflict"
	case keyvalue.ErrNotSent.Has(err):
		return "not_sent"
	case errors.Is(err, context.Canceled):
		return "canceled"
	}
	return "unavailable"
}
