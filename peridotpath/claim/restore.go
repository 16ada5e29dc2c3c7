package claim

import (
	"context"
	"time"

	"peridotpath.example/peridotpath/claim/ledgerpb"
)

const (
	// restoreSpread is the time over which the buckets of all instances are read after the
	// service came back from a copy.
	restoreSpread = 2 * time.Second
	// restoreWithin is when every instance that lives has written again what the service
	// had lost; until then a key without a record may have run.
	restoreWithin = 4 * time.Second
	// lostMost is how old what the service loses may be: copies are some seconds old.
	lostMost = 2 * time.Minute
)

// WentBack says that the service came back from an older copy, without the claims since.
// It never waits.
func (ledger *Ledger) WentBack() {
	ledger.setUp()
	for _, bucket := range ledger.buckets {
		bucket.wentBack.Raise()
	}
}

// young returns how much longer a key without a record may be one whose claim was lost.
func (bucket *bucket) young() time.Duration {
	if bucket.ledger.Store.TimeSinceDataLoss == nil {
		return 0
	}
	return restoreWithin - bucket.ledger.Store.TimeSinceDataLoss()
}

// rebuild writes what the service has lost of the bucket, if anything.
func (bucket *bucket) rebuild(ctx context.Context) {
	if !bucket.lost {
		return
	}
	bucket.cached = nil
	bucket.commit(ctx, nil)
	if bucket.lost = bucket.cached == nil; bucket.lost {
		// The call failed; what comes next is tried again.
		bucket.wentBack.Raise()
	}
}

// lacksRecent reports whether what is held is young enough to be lost.
func (bucket *bucket) lacksRecent() bool {
	if bucket.held == nil {
		return false
	}
	_, now := bucket.ledger.wallTimes()
	for _, record := range bucket.held.records {
		if record.GetStamp() >= now.Add(-lostMost).Unix() {
			return true
		}
	}
	return false
}

// restore adds to a state of a new era what the service has lost: ends of claims, and the
// claims of this process that have not ended. Those of others are theirs to restore, since
// they may have been released.
func (bucket *bucket) restore(state *state) {
	self := author{instance: bucket.ledger.Instance, incarnation: bucket.ledger.Incarnation}
	_, now := bucket.ledger.wallTimes()
	for key, record := range bucket.held.records {
		running := record.GetState() == ledgerpb.State_STATE_RUNNING
		claimer := authorOf(record)
		own := claimer.instance == self.instance && claimer.incarnation == self.incarnation
		present := state.records[key]
		known := present != nil && (running || present.GetState() != ledgerpb.State_STATE_RUNNING)
		if known || running && !own || record.GetStamp() < now.Add(-lostMost).Unix() {
			continue
		}
		state.put(key, record)
		state.restored = true
		bucket.ledger.count(`claim_records_restored_total`)
	}
}
