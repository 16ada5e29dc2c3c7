package directory

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/readings"
)

// Follower keeps a Directory up to date with the store. Set the exported fields before Run.
type Follower struct {
	Directory *Directory
	// List reads the entries of all endpoints and of the drained data centres, and returns
	// them with the era of the store they belong to. Decode decodes them.
	List   func(ctx context.Context) ([]keyvalue.Entry, keyvalue.Era, error)
	Decode func(entries []keyvalue.Entry) Listing
	// FetchFromPeer fetches a peer's snapshot of the endpoints; have is the one held here.
	FetchFromPeer func(ctx context.Context, peer netip.AddrPort, have readings.EndpointsSnapshot) (readings.EndpointsSnapshot, error)
	// ReadingPeer returns a peer of the cell that reads the successor of this content from the
	// store first; false for this instance's own cell. It is nil in a fleet of one cell.
	ReadingPeer func(content uint64) (readings.Peer, bool)
	// FetchPosition returns this instance's position in the order in which the instances of its
	// data centre fetch that content from a peer in another one; nil where none comes before it.
	FetchPosition func(content uint64) int
	// Eras holds the eras of the store.
	Eras *keyvalue.EraTracker
	// Now returns the time since boot, which advances while the machine is suspended.
	Now      func() time.Duration
	Schedule clock.PollSchedule
	// OnConfirmed is called after each successful read of the store, and of a peer whose snapshot
	// nearby ones may not have.
	OnConfirmed func()
	Log         zerolog.Logger

	storeFailed atomic.Bool
	newerPeers  readings.NewerPeers

	mutex sync.Mutex
	// history holds the last snapshots.
	history readings.EndpointsHistory
}

// Run reads the store, or fetches the snapshot of a peer, whenever the snapshot held here
// is old and no peer has confirmed it, until ctx ends. If a read fails, the snapshot stays
// in use: endpoints keep running while the store is unreachable.
func (follower *Follower) Run(ctx context.Context) error {
	for follower.Schedule.WaitUntilDue(ctx, follower.effectiveAge) {
		if follower.readFromPeer(ctx) || follower.readFromOtherCell(ctx) {
			continue
		}
		startedAt := follower.Now()
		entries, era, err := follower.List(ctx)
		if err == nil {
			follower.apply(entries, era, startedAt)
			follower.OnConfirmed()
			follower.storeFailed.Store(false)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if !follower.storeFailed.Swap(true) {
			follower.Log.Warn().Err(err).Dur("age", follower.Age()).Msg("endpoints_unread")
		}
		follower.Schedule.WaitAfterFailure(ctx)
	}
	return ctx.Err()
}

// IsFailing reports whether the last read of the store failed.
func (follower *Follower) IsFailing() bool { return follower.storeFailed.Load() }

// effectiveAge returns the age that decides when to read next. An exception of the directory
// ends at the same moment in all instances. From then on the age is raised, but only so far
// that the first instance in the polling order reads at once, and the others receive its
// snapshot before their own read is due.
func (follower *Follower) effectiveAge() time.Duration {
	if overdue := follower.Directory.OverdueBy(follower.Now()); overdue > 0 {
		return max(follower.Age(), follower.Schedule.MinAge+overdue)
	}
	return follower.Age()
}

// Age returns the time since the last read was known to be the newest.
func (follower *Follower) Age() time.Duration {
	return follower.Now() - follower.Directory.ConfirmedAt()
}

// Newest returns the last snapshot, to be served to peers; false before the first read.
func (follower *Follower) Newest() (readings.EndpointsSnapshot, bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	last, ok := follower.history.Newest()
	last.Age = follower.Age()
	return last, ok
}

// ByContentHash returns the snapshot with that content hash, to be served to peers; false if
// it is not in the history.
func (follower *Follower) ByContentHash(content uint64) (readings.EndpointsSnapshot, bool) {
	return follower.history.ByHash(content)
}

// UpdateFromPeer applies the content hash of a peer's snapshot, which was the newest at the
// time confirmedAt. It confirms the snapshot held here, or wakes the follower to fetch a newer
// one.
//
// If the peer is in another data centre, one instance of the local data centre fetches the
// snapshot first, and the next one only if no nearby peer has it after RemoteFetchDelay. Otherwise
// every instance that starts would fetch the whole list across the data centres.
func (follower *Follower) UpdateFromPeer(peer readings.Peer, content uint64, confirmedAt time.Duration) {
	if content == 0 {
		return
	}
	follower.Directory.MarkStoreReadable(confirmedAt)
	switch {
	case content == follower.Directory.ContentHash():
		follower.confirmContent(content, confirmedAt)
	case confirmedAt > follower.Directory.ConfirmedAt(), follower.Directory.ContentHash() == 0:
		follower.newerPeers.Set(peer)
		if peer.InSameDataCentre || follower.FetchPosition == nil {
			follower.Schedule.Wake()
		} else {
			time.AfterFunc(time.Duration(follower.FetchPosition(content))*readings.RemoteFetchDelay, follower.Schedule.Wake)
		}
	}
}

// confirmContent records that the last read was still the newest at the given time. If the
// endpoints in use still differ from that read after their exception has ended, the read is
// applied again.
func (follower *Follower) confirmContent(content uint64, at time.Duration) {
	follower.Directory.Confirm(content, at)
	if follower.Directory.OverdueBy(at) == 0 {
		return
	}
	if last, ok := follower.history.Newest(); ok && last.ContentHash == content {
		follower.apply(last.Entries, last.Era, at)
	}
}

// readFromPeer fetches the snapshot of a peer that reported a newer one. It reports whether
// the store need not be read: that snapshot, or one as new, was applied.
func (follower *Follower) readFromPeer(ctx context.Context) bool {
	peer, ok := follower.newerPeers.Take()
	if !ok {
		// The snapshot that caused this wake-up was fetched after an earlier wake-up.
		return !follower.Schedule.IsDue(follower.effectiveAge())
	}
	return follower.fetchFromPeer(ctx, peer)
}

// readFromOtherCell fetches the snapshot of the cell that reads the store first. It reports whether
// that cell has read it recently, so that this one need not.
func (follower *Follower) readFromOtherCell(ctx context.Context) bool {
	if follower.ReadingPeer == nil {
		return false
	}
	peer, ok := follower.ReadingPeer(follower.Directory.ContentHash())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readings.OtherCellTimeout)
	defer cancel()
	if !follower.fetchFromPeer(ctx, peer) || follower.Schedule.IsDue(follower.effectiveAge()) {
		return false
	}
	follower.OnConfirmed()
	return true
}

// fetchFromPeer fetches the snapshot of a peer. It reports whether that snapshot, or one as new, was
// applied.
func (follower *Follower) fetchFromPeer(ctx context.Context, peer readings.Peer) bool {
	startedAt := follower.Now()
	have, _ := follower.history.Newest()
	snapshot, err := follower.FetchFromPeer(ctx, peer.Address, have)
	if err == nil {
		follower.Eras.ObservePeer(snapshot.Era, 0, false)
		if era := follower.Eras.Current(); snapshot.Era != era {
			err = Error.New("peer snapshot is of store era %d, expected era %d", snapshot.Era, era)
		}
	}
	if err != nil {
		follower.Log.Info().Err(err).Stringer("peer", peer.Address).Msg("peer_not_read")
		return false
	}
	confirmedAt := startedAt - snapshot.Age
	switch {
	case confirmedAt <= follower.Directory.ConfirmedAt():
		return true
	case snapshot.ContentHash != 0 && snapshot.ContentHash == have.ContentHash:
		follower.confirmContent(have.ContentHash, confirmedAt)
		return true
	}
	follower.apply(snapshot.Entries, snapshot.Era, confirmedAt)
	if !peer.InSameDataCentre {
		follower.OnConfirmed()
	}
	return true
}

// apply applies entries of which the read began at the given time.
func (follower *Follower) apply(entries []keyvalue.Entry, era keyvalue.Era, startedAt time.Duration) {
	// Directory and history change under one lock, so that a peer never receives old
	// entries with the age of new ones.
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.Directory.Apply(follower.Decode(entries), startedAt)
	follower.history.Add(readings.EndpointsSnapshot{Entries: entries, ContentHash: follower.Directory.ContentHash(), Era: era})
}
