package claim

import (
	"bytes"
	"slices"
	"time"

	"peridotpath.example/peridotpath/claim/ledgerpb"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
)

// kind is what an operation does to its key's record.
type kind int

const (
	kindClaim kind = iota
	kindFinish
	kindRelease
	kindUnknown
	kindRenew
)

// operation is one change that waits for its bucket's next write.
type operation struct {
	kind kind
	key  keyID
	body []byte
	// customer is 32 bits of a hash of the customer.
	customer uint32
	// author is the newest attempt, and former are earlier ones that the record
	// may still bear, where the answer to a renewal was lost.
	author author
	former []author
	answer *ledgerpb.Answer

	// sent is the monotonic time before the first write that may have put the
	// claim on the platform.
	sent clock.Instant
	// lost says that an answer to such a write never came.
	lost bool
	// unsettled is the version that the last lost write expected. While the
	// bucket is at that version the write may still take effect.
	unsettled keyvalue.Version

	verdict Verdict
	err     error
	done    chan struct{}
	// waiters counts the callers who wait for the verdict, and taken says that
	// one of them has the claim. The bucket's mutex guards both.
	waiters int
	taken   bool
}

// rules are what decisions on a bucket need to know.
type rules struct {
	self       author
	stamp      int64
	cut        time.Time
	maxRecords int
	maxSize    int
	retryAfter time.Duration
	// settled returns how long it is until a record's claimer can no longer
	// dispatch; zero when it certainly cannot.
	settled func(author) time.Duration
	// gone reports that a claimer's instance has ended.
	gone func(author) bool
	// young is how much longer the service may lack claims that it lost as it went back.
	young time.Duration
}

// decision is what a batch of operations makes of a state.
type decision struct {
	next     *state
	changed  bool
	verdicts []Verdict
	// stale says that a verdict needs the platform's present state: a cached
	// one may be behind it.
	stale bool
}

// decide applies the batch to the state. It has no side effects, so the caller
// may throw the decision away and decide again on a newer state. Ends come
// first: a claim in the same batch may need what a release frees.
func decide(before *state, batch []*operation, rules rules) decision {
	decision := decision{next: before.clone(), verdicts: make([]Verdict, len(batch)), changed: before.restored}
	decision.next.restored = false
	decision.next.expire(rules.cut)
	for _, operation := range batch {
		if operation.kind.ends() && decision.end(operation, rules) {
			decision.changed = true
		}
	}
	for i, operation := range batch {
		switch operation.kind {
		case kindClaim:
			decision.verdicts[i] = decision.claim(operation, rules)
		case kindRenew:
			decision.verdicts[i] = decision.renew(operation, rules)
		}
	}
	decision.next.shed(rules.maxSize)
	return decision
}

// ends reports that the operation ends a claim.
func (kind kind) ends() bool { return kind != kindClaim && kind != kindRenew }

// wrote reports that the record is of one of the claim's attempts.
func (operation *operation) wrote(record *ledgerpb.Record) bool {
	author := authorOf(record)
	return author == operation.author || slices.Contains(operation.former, author)
}

// renew gives a claim that has grown old a new attempt, and with it a new
// window. A judge who was about to call the old attempt dead starts over; if it
// was first, the renewal is refused and the request must not be dispatched.
func (decision *decision) renew(operation *operation, rules rules) Verdict {
	record := decision.next.records[operation.key]
	if record == nil || !operation.wrote(record) || record.GetState() != ledgerpb.State_STATE_RUNNING {
		decision.stale = true
		return Verdict{Standing: Unknown}
	}
	if authorOf(record) != operation.author {
		decision.next.change(record, func(record *ledgerpb.Record) {
			record.Attempt, record.Stamp = operation.author.attempt, rules.stamp
		})
		decision.changed = true
	}
	return Verdict{Standing: Granted}
}

// end applies the end of a claim of this process.
func (decision *decision) end(operation *operation, rules rules) bool {
	next := decision.next
	record := next.records[operation.key]
	if record == nil || !operation.wrote(record) {
		// A lost write can still take effect as long as the version is the one
		// it expected: the key would then be claimed for good by a request
		// that its caller was told was not run. Writing the bucket as it is
		// moves the version on and settles it.
		return operation.kind == kindRelease && operation.lost && next.version == operation.unsettled
	}
	switch {
	case operation.kind == kindRelease && record.GetState() == ledgerpb.State_STATE_RUNNING:
		next.remove(operation.key)
		return true
	case operation.kind == kindFinish && record.GetState() != ledgerpb.State_STATE_DONE:
		next.change(record, func(record *ledgerpb.Record) {
			record.State, record.Stamp, record.Answer = ledgerpb.State_STATE_DONE, rules.stamp, operation.answer
		})
		return true
	case operation.kind == kindUnknown && record.GetState() == ledgerpb.State_STATE_RUNNING:
		decision.unknown(record, rules)
		return true
	}
	// A release finds "unknown" when another instance took this one for dead.
	// Callers were told that the request never runs again, so the key stays.
	return false
}

func (decision *decision) unknown(record *ledgerpb.Record, rules rules) {
	decision.next.change(record, func(record *ledgerpb.Record) {
		record.State, record.Stamp = ledgerpb.State_STATE_UNKNOWN, rules.stamp
	})
}

// claim decides on a caller who comes with a key.
func (decision *decision) claim(operation *operation, rules rules) Verdict {
	record := decision.next.records[operation.key]
	switch {
	case record == nil:
		return decision.grant(operation, rules)
	case authorOf(record) == operation.author && rules.young > 0:
		// The write crossed the service's return, and replaced what nobody has judged.
		decision.next.remove(operation.key)
		decision.changed = true
		return Verdict{Standing: unsettled, RetryAfter: rules.young}
	case authorOf(record) == operation.author:
		// An earlier write whose answer was lost did take effect. Unknown, if
		// others have judged it meanwhile, is final.
		if record.GetState() == ledgerpb.State_STATE_RUNNING {
			return Verdict{Standing: Granted}
		}
		return Verdict{Standing: Unknown}
	case !bytes.Equal(record.GetBody(), operation.body):
		decision.stale = true
		return Verdict{Standing: KeyReused}
	case record.GetState() == ledgerpb.State_STATE_DONE:
		return done(record)
	case record.GetState() == ledgerpb.State_STATE_UNKNOWN:
		decision.stale = true
		return Verdict{Standing: Unknown}
	}
	return decision.running(record, rules)
}

func done(record *ledgerpb.Record) Verdict {
	verdict := Verdict{Standing: Done}
	if record.GetAnswer() != nil {
		verdict.Answer = fromMessage(record.GetAnswer())
	}
	return verdict
}

func (decision *decision) grant(operation *operation, rules rules) Verdict {
	next := decision.next
	if rules.young > 0 {
		decision.stale = true
		return Verdict{Standing: unsettled, RetryAfter: rules.young}
	}
	refused := Verdict{Standing: full, RetryAfter: rules.retryAfter}
	if !next.hasShare(operation.customer, rules) {
		decision.stale = true
		return refused
	}
	next.put(operation.key, &ledgerpb.Record{
		Key: operation.key[:], Body: operation.body, State: ledgerpb.State_STATE_RUNNING, Stamp: rules.stamp,
		Instance: string(rules.self.instance), Incarnation: uint64(rules.self.incarnation),
		Attempt: operation.author.attempt, Customer: operation.customer,
	})
	next.shed(rules.maxSize)
	// Without a bound a burst of new keys would fill the value up to the
	// service's megabyte, and then no claim could even be ended. Refusing new
	// keys keeps room for ends, which never make a record larger than shed
	// takes care of.
	if len(next.records) > rules.maxRecords || next.size > rules.maxSize {
		next.remove(operation.key)
		decision.stale = true
		return refused
	}
	decision.changed = true
	return Verdict{Standing: Granted}
}

// hasShare reports whether the customer may have one more record.
//
// The load it is made for is one customer who brings new keys all day, by a
// fault perhaps. Alone it would use up the room of all others for a whole
// retention, and their requests would be refused. So once a bucket is half full
// of records, a customer who has half of them gets no more; below that anyone
// may have what is free.
func (state *state) hasShare(customer uint32, rules rules) bool {
	if len(state.records) < rules.maxRecords/2 && state.size-state.answers < rules.maxSize/2 {
		return true
	}
	held := 0
	for _, record := range state.records {
		if record.GetCustomer() == customer {
			held++
		}
	}
	return held < len(state.records)/2
}

// running decides on a record whose claimer may still be at work.
//
// The claimer may be frozen and not dead, thaw, and dispatch after callers
// were told that the outcome is settled. A claim may only be dispatched for a
// while after it was written, so the judge lets that while pass, counted on
// its own monotonic clock from when it first saw the record.
func (decision *decision) running(record *ledgerpb.Record, rules rules) Verdict {
	claimer := authorOf(record)
	if !rules.gone(claimer) {
		decision.stale = true
		return Verdict{Standing: RunningElsewhere, RetryAfter: rules.retryAfter}
	}
	if wait := rules.settled(claimer); wait > 0 {
		decision.stale = true
		return Verdict{Standing: RunningElsewhere, RetryAfter: wait}
	}
	decision.unknown(record, rules)
	decision.changed = true
	return Verdict{Standing: Unknown}
}
