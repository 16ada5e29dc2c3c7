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
	// maxRounds bounds how often one batch is decided anew because another
	// instance wrote meanwhile.
	maxRounds = 8
	// callsToReadAndWrite is what a round takes of the bucket's rate.
	callsToReadAndWrite = 2
	// callTimeout bounds one call, whatever the adapter does.
	callTimeout = 4 * time.Second
)

// commit brings the batch to the platform. Each round decides on the newest
// state known and writes it; a state that was cached is proved by the swap.
//
// An instance that works on its bucket alone never reads. Where others write to
// it too, a swap on the cached state is nearly always refused, and the service
// takes fewer writes than reads; so such a bucket is read first, until a
// reading shows that nobody else wrote.
func (bucket *bucket) commit(ctx context.Context, batch []*operation) {
	read := bucket.cached == nil || bucket.contended
	for range maxRounds {
		if read {
			if err := bucket.read(ctx); err != nil {
				bucket.fail(batch, err)
				return
			}
		}
		decision := decide(bucket.cached, batch, bucket.rules())
		if !decision.changed && decision.stale && !read {
			read = true
			continue
		}
		var err error
		if decision.changed {
			err = bucket.write(ctx, decision, batch, read)
		}
		switch {
		case err == nil:
			bucket.deliver(batch, decision)
			return
		case keyvalue.ErrNotSent.Has(err), keyvalue.ErrInvalid.Has(err):
			bucket.fail(batch, err)
			return
		}
		bucket.contended = keyvalue.ErrConflict.Has(err)
		// Another instance wrote, or the answer was lost. Both are settled by
		// reading: a lost write that took effect shows its attempt.
		read = true
	}
	bucket.fail(batch, Error.New("contended: %d rounds", maxRounds))
}

func (bucket *bucket) rules() rules {
	ledger := bucket.ledger
	settings := &ledger.Settings
	keep := settings.RetentionMS.Duration() + settings.ClockMarginMS.Duration()
	earlier, later := ledger.wallTimes()
	return rules{
		self:  author{instance: ledger.Instance, incarnation: ledger.Incarnation},
		stamp: later.Unix(), cut: earlier.Add(-keep),
		maxRecords: settings.MaxRecords, maxSize: int(settings.MaxBytes),
		retryAfter: retryAfter, settled: bucket.settled, gone: ledger.gone, young: bucket.young(),
	}
}

// settled returns how long the claimer may still dispatch.
func (bucket *bucket) settled(claimer author) time.Duration {
	seen, ok := bucket.seen[claimer]
	window := bucket.ledger.Settings.DispatchMS.Duration() + settleMargin
	if !ok {
		return window
	}
	return window - bucket.ledger.Clock.Read().Monotonic.Sub(seen.Monotonic)
}

// read fetches the bucket.
func (bucket *bucket) read(ctx context.Context) error {
	// Both calls' places are taken at once. A wait between reading and writing
	// is time for others to write, and then the swap is refused again.
	if err := bucket.limiter.WaitN(ctx, callsToReadAndWrite); err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := bucket.ledger.Store.Get(ctx, bucket.name)
	bucket.counted("get", err)
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
	if bucket.held != nil && bucket.held.version.Era() < state.version.Era() {
		bucket.restore(state)
	}
	bucket.adopt(state)
	return nil
}

// write swaps the bucket's value for the decided one. Its place within the rate
// may have been paid for by the read before.
func (bucket *bucket) write(ctx context.Context, decision decision, batch []*operation, paid bool) error {
	value, err := decision.next.encode(bucket.ledger.Settings.Buckets)
	if err != nil {
		return keyvalue.ErrInvalid.Wrap(err)
	}
	if !paid {
		if err := bucket.limiter.Wait(ctx); err != nil {
			return keyvalue.ErrNotSent.Wrap(err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	expect := decision.next.version
	markSent(batch, bucket.ledger.Clock.Read())
	version, err := bucket.ledger.Store.Swap(ctx, bucket.name, expect, value, keyvalue.LeaseID{})
	bucket.counted("swap", err)
	if err != nil {
		markFailed(batch, expect, err)
		return err
	}
	decision.next.version = version
	bucket.adopt(decision.next)
	return nil
}

// markSent notes the time before the first write that may stand.
func markSent(batch []*operation, now clock.Instant) {
	for _, operation := range batch {
		if operation.sent.Monotonic.IsZero() {
			operation.sent = now
		}
	}
}

// markFailed notes whether a failed write may still take effect.
func markFailed(batch []*operation, expect keyvalue.Version, err error) {
	certain := keyvalue.ErrConflict.Has(err) || keyvalue.ErrNotSent.Has(err) || keyvalue.ErrInvalid.Has(err)
	for _, operation := range batch {
		switch {
		case !certain:
			operation.lost, operation.unsettled = true, expect
		case !operation.lost:
			operation.sent = clock.Instant{}
		}
	}
}

// adopt makes the state the newest known.
func (bucket *bucket) adopt(state *state) {
	bucket.cached = state
	if !state.restored {
		bucket.held = state
	}
	now := bucket.ledger.Clock.Read()
	seen := make(map[author]clock.Instant, len(bucket.seen))
	for _, record := range state.records {
		if record.GetState() != ledgerpb.State_STATE_RUNNING {
			continue
		}
		claimer := authorOf(record)
		first, ok := bucket.seen[claimer]
		if !ok {
			first = now
		}
		seen[claimer] = first
	}
	bucket.seen = seen
}

func (bucket *bucket) counted(call string, err error) {
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
