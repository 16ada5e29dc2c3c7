package claim

import (
	"bytes"
	"slices"
	"time"

	"peridotpath.example/peridotpath/claim/ledgerpb"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
)

// kind is the change that an operation makes to its key's record.
type kind int

const (
	kindClaim kind = iota
	kindFinish
	kindRelease
	kindUnknown
	kindRenew
)

// operation is one change that is queued for its bucket's next write.
type operation struct {
	kind kind
	key  keyID
	body []byte
	// customer is 32 bits of a hash of the customer.
	customer uint32
	// attempt is the newest attempt id. earlierAttempts are the ids before it; the
	// record may still have one of them if the reply to a renewal was lost.
	attempt         attemptID
	earlierAttempts []attemptID
	answer          *ledgerpb.Answer

	// sentAt is the time before the first write that may have recorded the claim in the
	// store.
	sentAt clock.Instant
	// writeUncertain reports that a write of this operation got no reply, so that it may
	// have taken effect.
	writeUncertain bool
	// uncertainVersion is the version that the last such write expected. While the bucket
	// has this version, the write may still take effect.
	uncertainVersion keyvalue.Version

	verdict Verdict
	err     error
	done    chan struct{}
	// waiters counts the callers that wait for the verdict; claimTaken reports that one of
	// them received the claim. The bucket's mutex guards both.
	waiters    int
	claimTaken bool
}

// rules holds the inputs of decide other than the state and the batch.
type rules struct {
	self         attemptID
	now          int64
	expireBefore time.Time
	maxRecords   int
	maxBytes     int
	retryAfter   time.Duration
	// dispatchWindowLeft returns how long a record's claimer may still dispatch; zero or less
	// once its dispatch window has certainly passed.
	dispatchWindowLeft func(attemptID) time.Duration
	// hasEnded reports whether the claimer's process has ended.
	hasEnded func(attemptID) bool
	// restoreWindowLeft is how much longer the store may lack claims that it lost in a
	// restore.
	restoreWindowLeft time.Duration
}

// decision is the result of applying a batch of operations to a state.
type decision struct {
	next     *state
	changed  bool
	verdicts []Verdict
	// needsCurrentState reports that a verdict depends on the store's current state, which
	// may be newer than a cached one.
	needsCurrentState bool
}

// decide applies the batch to the state. It has no side effects, so the caller may discard
// the decision and decide again on a newer state. Ends of claims are applied first, because
// a claim in the same batch may need the room or the key that a release frees.
func decide(before *state, batch []*operation, rules rules) decision {
	decision := decision{next: before.clone(), verdicts: make([]Verdict, len(batch)), changed: before.hasRestoredRecords}
	decision.next.hasRestoredRecords = false
	decision.next.expire(rules.expireBefore)
	for _, operation := range batch {
		if operation.kind.isEnd() && decision.applyEnd(operation, rules) {
			decision.changed = true
		}
	}
	for i, operation := range batch {
		switch operation.kind {
		case kindClaim:
			decision.verdicts[i] = decision.decideClaim(operation, rules)
		case kindRenew:
			decision.verdicts[i] = decision.decideRenewal(operation, rules)
		}
	}
	decision.next.evictAnswers(rules.maxBytes)
	return decision
}

// isEnd reports whether the operation ends a claim.
func (kind kind) isEnd() bool { return kind != kindClaim && kind != kindRenew }

// ownsRecord reports whether the record was written by one of the claim's attempts.
func (operation *operation) ownsRecord(record *ledgerpb.Record) bool {
	attempt := attemptIDOf(record)
	return attempt == operation.attempt || slices.Contains(operation.earlierAttempts, attempt)
}

// decideRenewal gives a claim whose dispatch window has passed a new attempt id, and with
// it a new window. An instance that was about to mark the old attempt unknown has to wait
// for the new window. If the record is already marked unknown, the renewal is refused and
// the request must not be dispatched.
func (decision *decision) decideRenewal(operation *operation, rules rules) Verdict {
	record := decision.next.records[operation.key]
	if record == nil || !operation.ownsRecord(record) || record.GetState() != ledgerpb.State_STATE_RUNNING {
		decision.needsCurrentState = true
		return Verdict{Status: OutcomeUnknown}
	}
	if attemptIDOf(record) != operation.attempt {
		decision.next.update(record, func(record *ledgerpb.Record) {
			record.Attempt, record.Stamp = operation.attempt.number, rules.now
		})
		decision.changed = true
	}
	return Verdict{Status: Granted}
}

// applyEnd applies the end of a claim of this process. It reports whether a write is
// needed.
func (decision *decision) applyEnd(operation *operation, rules rules) bool {
	next := decision.next
	record := next.records[operation.key]
	if record == nil || !operation.ownsRecord(record) {
		// A write without a reply can still take effect while the bucket has the version
		// that the write expected. The late write would claim the key for the whole
		// retention time, although the caller received "not run". Writing the unchanged
		// bucket advances the version, so that the late write conflicts.
		return operation.kind == kindRelease && operation.writeUncertain && next.version == operation.uncertainVersion
	}
	switch {
	case operation.kind == kindRelease && record.GetState() == ledgerpb.State_STATE_RUNNING:
		next.remove(operation.key)
		return true
	case operation.kind == kindFinish && record.GetState() != ledgerpb.State_STATE_DONE:
		next.update(record, func(record *ledgerpb.Record) {
			record.State, record.Stamp, record.Answer = ledgerpb.State_STATE_DONE, rules.now, operation.answer
		})
		return true
	case operation.kind == kindUnknown && record.GetState() == ledgerpb.State_STATE_RUNNING:
		decision.markUnknown(record, rules)
		return true
	}
	// A release finds an unknown outcome when another instance treated this one as dead.
	// Callers have received the unknown outcome, so the request must never run and the
	// record stays.
	return false
}

func (decision *decision) markUnknown(record *ledgerpb.Record, rules rules) {
	decision.next.update(record, func(record *ledgerpb.Record) {
		record.State, record.Stamp = ledgerpb.State_STATE_UNKNOWN, rules.now
	})
}

// decideClaim decides on a caller's claim of a key.
func (decision *decision) decideClaim(operation *operation, rules rules) Verdict {
	record := decision.next.records[operation.key]
	switch {
	case record == nil:
		return decision.decideNewKey(operation, rules)
	case attemptIDOf(record) == operation.attempt && rules.restoreWindowLeft > 0:
		// The claim was written after the store was restored, to a value that lacks the lost
		// claims. Another instance may still write back a lost claim of this key.
		decision.next.remove(operation.key)
		decision.changed = true
		return Verdict{Status: storeRestored, RetryAfter: rules.restoreWindowLeft}
	case attemptIDOf(record) == operation.attempt:
		// An earlier write without a reply did take effect. If other instances have marked
		// the outcome unknown meanwhile, that is final.
		if record.GetState() == ledgerpb.State_STATE_RUNNING {
			return Verdict{Status: Granted}
		}
		return Verdict{Status: OutcomeUnknown}
	case !bytes.Equal(record.GetBody(), operation.body):
		decision.needsCurrentState = true
		return Verdict{Status: KeyReused}
	case record.GetState() == ledgerpb.State_STATE_DONE:
		return doneVerdict(record)
	case record.GetState() == ledgerpb.State_STATE_UNKNOWN:
		decision.needsCurrentState = true
		return Verdict{Status: OutcomeUnknown}
	}
	return decision.decideRunning(record, rules)
}

func doneVerdict(record *ledgerpb.Record) Verdict {
	verdict := Verdict{Status: Done}
	if record.GetAnswer() != nil {
		verdict.Answer = fromProto(record.GetAnswer())
	}
	return verdict
}

func (decision *decision) decideNewKey(operation *operation, rules rules) Verdict {
	next := decision.next
	if rules.restoreWindowLeft > 0 {
		decision.needsCurrentState = true
		return Verdict{Status: storeRestored, RetryAfter: rules.restoreWindowLeft}
	}
	refused := Verdict{Status: ledgerFull, RetryAfter: rules.retryAfter}
	if !next.mayAddRecord(operation.customer, rules) {
		decision.needsCurrentState = true
		return refused
	}
	next.put(operation.key, &ledgerpb.Record{
		Key: operation.key[:], Body: operation.body, State: ledgerpb.State_STATE_RUNNING, Stamp: rules.now,
		Instance: string(rules.self.instance), Incarnation: uint64(rules.self.incarnation),
		Attempt: operation.attempt.number, Customer: operation.customer,
	})
	next.evictAnswers(rules.maxBytes)
	// Without a bound, a burst of new keys would fill the value up to the store's limit of
	// one megabyte, and then not even the end of a claim could be recorded. Refusing new
	// keys reserves room for ends, which enlarge a record by no more than evictAnswers can
	// free.
	if len(next.records) > rules.maxRecords || next.sizeBytes > rules.maxBytes {
		next.remove(operation.key)
		decision.needsCurrentState = true
		return refused
	}
	decision.changed = true
	return Verdict{Status: Granted}
}

// mayAddRecord reports whether the customer may add a record.
//
// It protects against one customer that sends new keys all day, perhaps by a fault. That
// customer would fill the bucket for a whole retention time, and the requests of all others
// would be refused. Once a bucket is half full of records, a customer that owns half of
// them may add no more; below that level anyone may use the free room.
func (state *state) mayAddRecord(customer uint32, rules rules) bool {
	if len(state.records) < rules.maxRecords/2 && state.sizeBytes-state.answerBytes < rules.maxBytes/2 {
		return true
	}
	recordCount := 0
	for _, record := range state.records {
		if record.GetCustomer() == customer {
			recordCount++
		}
	}
	return recordCount < len(state.records)/2
}

// decideRunning decides on a record whose claimer may still be running the request.
//
// A claimer that seems dead may only be frozen: it could resume and dispatch after callers
// received a final outcome. A claim may be dispatched only for a limited time after it was
// written, so the outcome is marked unknown only after that time has passed, on this
// instance's monotonic clock, since this instance first saw the record.
func (decision *decision) decideRunning(record *ledgerpb.Record, rules rules) Verdict {
	attempt := attemptIDOf(record)
	if !rules.hasEnded(attempt) {
		decision.needsCurrentState = true
		return Verdict{Status: RunningElsewhere, RetryAfter: rules.retryAfter}
	}
	if wait := rules.dispatchWindowLeft(attempt); wait > 0 {
		decision.needsCurrentState = true
		return Verdict{Status: RunningElsewhere, RetryAfter: wait}
	}
	decision.markUnknown(record, rules)
	decision.changed = true
	return Verdict{Status: OutcomeUnknown}
}
