package fairshare

import "time"

const (
	// peersMemory is how long peers count that have all fallen silent together.
	peersMemory = 30 * time.Second
	// peersSettleTime is how long fewer peers must be live until the others do not count any more.
	// Peers whose digests are lost expire one after the other, within two intervals of heartbeats.
	peersSettleTime = 500 * time.Millisecond
)

// peerCounter counts the peers that share the load with this instance. When most of them fall silent
// together, this instance more probably does not receive their digests than that they have all
// ended, and they count for peersMemory: an instance that took itself for the only one would admit
// the whole share of a flood.
type peerCounter struct {
	count int
	// seenAt is when as many peers as counted were last live, fewerSince since when there are fewer;
	// zero if there are not.
	seenAt, fewerSince time.Time
}

// update records how many peers are live.
func (counter *peerCounter) update(live int, now time.Time) {
	if live >= counter.count {
		counter.count, counter.seenAt, counter.fewerSince = live, now, time.Time{}
		return
	}
	if counter.fewerSince.IsZero() {
		counter.fewerSince = now
	}
	haveMostLeft := 2*live < counter.count
	hasSettled := now.Sub(counter.fewerSince) > peersSettleTime
	if haveMostLeft && now.Sub(counter.seenAt) > peersMemory || !haveMostLeft && hasSettled {
		counter.count, counter.seenAt, counter.fewerSince = live, now, time.Time{}
	}
}
