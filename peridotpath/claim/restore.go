package claim

import (
	"context"
	"time"

	"peridotpath.example/peridotpath/claim/ledgerpb"
)

const (
	// restoreJitter is the time over which the instances' reads of a bucket are spread
	// after the store was restored.
	restoreJitter = 2 * time.Second
	// restoreWindow is the time after a restore within which every live instance writes back
	// the records that the store lost. Until it has passed, the request of a key without a
	// record may have run.
	restoreWindow = 4 * time.Second
	// maxLostAge is the maximum age of records that are written back. Copies of the store
	// are some seconds old.
	maxLostAge = 2 * time.Minute
)

// MarkStoreRestored must be called when the store was restored from an older copy, which
// lacks the claims made after the copy. It does not block.
func (ledger *Ledger) MarkStoreRestored() {
	ledger.initialise()
	for _, bucket := range ledger.buckets {
		bucket.storeRestored.Raise()
	}
}

// restoreWindowLeft returns how much longer a key without a record may have had one that
// the store lost in a restore; zero or less once the restore window has passed.
func (bucket *bucket) restoreWindowLeft() time.Duration {
	if bucket.ledger.Store.TimeSinceDataLoss == nil {
		return 0
	}
	return restoreWindow - bucket.ledger.Store.TimeSinceDataLoss()
}

// writeLostRecords writes the bucket's lost records back to the store, if there are any.
func (bucket *bucket) writeLostRecords(ctx context.Context) {
	if !bucket.needsRestore {
		return
	}
	bucket.cached = nil
	bucket.commit(ctx, nil)
	if bucket.needsRestore = bucket.cached == nil; bucket.needsRestore {
		// The store call failed; the raised signal makes run try again.
		bucket.storeRestored.Raise()
	}
}

// hasRecentRecords reports whether the last known state has records that are recent enough
// to have been lost in a restore.
func (bucket *bucket) hasRecentRecords() bool {
	if bucket.lastKnown == nil {
		return false
	}
	_, now := bucket.ledger.wallTimeBounds()
	for _, record := range bucket.lastKnown.records {
		if record.GetStamp() >= now.Add(-maxLostAge).Unix() {
			return true
		}
	}
	return false
}

// addLostRecords adds the records that the store lost to a state of a new era: ends of
// claims, and the open claims of this process. The open claims of other instances are
// left to those instances, which may have released them already.
func (bucket *bucket) addLostRecords(state *state) {
	self := attemptID{instance: bucket.ledger.Instance, incarnation: bucket.ledger.Incarnation}
	_, now := bucket.ledger.wallTimeBounds()
	for key, record := range bucket.lastKnown.records {
		running := record.GetState() == ledgerpb.State_STATE_RUNNING
		attempt := attemptIDOf(record)
		ownedBySelf := attempt.instance == self.instance && attempt.incarnation == self.incarnation
		present := state.records[key]
		isRecorded := present != nil && (running || present.GetState() != ledgerpb.State_STATE_RUNNING)
		if isRecorded || running && !ownedBySelf || record.GetStamp() < now.Add(-maxLostAge).Unix() {
			continue
		}
		state.put(key, record)
		state.hasRestoredRecords = true
		bucket.ledger.count(`claim_records_restored_total`)
	}
}
