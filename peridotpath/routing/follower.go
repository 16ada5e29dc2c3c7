package routing

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/readings"
)

// Follower keeps a State up to date from peers and the store. Set the exported fields
// before Run.
type Follower struct {
	State *State
	// Key is the routing's key in the store, and Decode decodes its value.
	Key    string
	Decode func(value []byte) (*peridotpath.Routing, error)
	// GetIfChanged is the store's conditional get.
	GetIfChanged func(ctx context.Context, key string, expect keyvalue.Version) (keyvalue.Entry, bool, error)
	// Eras tracks the store's epoch.
	Eras *keyvalue.EraTracker
	// FetchFromPeer fetches a peer's newest routing, as a delta to have.
	FetchFromPeer func(ctx context.Context, peer netip.AddrPort, have readings.RoutingSnapshot) (readings.RoutingSnapshot, error)
	// ReadingPeer returns a peer of the cell that reads this version's successor from the store
	// first; false for this instance's own cell. It is nil in a fleet of one cell.
	ReadingPeer func(version peridotpath.RoutingVersion) (readings.Peer, bool)
	Schedule    clock.PollSchedule
	// FetchPosition returns this instance's position in the order in which the instances of its
	// data centre fetch that version from a peer in another one.
	FetchPosition func(version peridotpath.RoutingVersion) int
	// OnConfirmed is called after a read from the store or from another data centre, whose
	// result the peers of this data centre may not have.
	OnConfirmed func()
	Log         zerolog.Logger

	isFailing  atomic.Bool
	newerPeers readings.NewerPeers
	// history holds the routings applied last, which are served to peers.
	history readings.RoutingHistory

	mutex sync.Mutex
	// lastReadVersion is the store's version at the last read.
	lastReadVersion keyvalue.Version
	// provenVersion is the newest version that is known to have been written in its era, not
	// carried over by a restore. Only Run uses it.
	provenVersion keyvalue.Version
}

// errStoreNotSettled means that the store was restored from an older copy, so its routing may
// be older than the one last written.
var errStoreNotSettled = errs.New("routing: store was restored from an older copy and its routing is not known to have been written since")

// Run reads the store whenever the routing has not been confirmed for the interval of
// Schedule, until ctx ends. Confirmations by peers postpone the read, so that all instances
// together read little more often than a single one would.
//
// It polls with conditional gets rather than a watch: a watch that returns nothing
// does not confirm that nothing has changed.
func (follower *Follower) Run(ctx context.Context) error {
	for follower.Schedule.WaitUntilDue(ctx, follower.State.Age) {
		if follower.fetchFromPeers(ctx) || follower.fetchFromOtherCell(ctx) {
			continue
		}
		err := follower.readStore(ctx)
		if err == nil {
			follower.Schedule.RecordPoll(follower.State.Current() != nil)
			follower.OnConfirmed()
			continue
		}
		if ctx.Err() == nil {
			follower.reportFailure(err)
			follower.Schedule.WaitAfterFailure(ctx)
		}
	}
	return ctx.Err()
}

// UpdateFromPeer processes a peer's routing version: it confirms the active routing, or notes
// the peer as the source of a newer one.
//
// If the peer is in another data centre, one instance of the local data centre fetches the
// version first, and the next one only if no nearby peer has it after RemoteFetchDelay: with
// simultaneous requests of all instances, the link of the peer that read the version first
// would be saturated for seconds.
func (follower *Follower) UpdateFromPeer(peer readings.Peer, version peridotpath.RoutingVersion, confirmedAt time.Duration) {
	table := follower.State.Current()
	switch {
	case table != nil && table.Routing.Version == version:
		follower.State.Confirm(version, confirmedAt)
	case table == nil && version > 0, table != nil && table.Routing.Version < version:
		follower.newerPeers.Set(peer)
		if peer.InSameDataCentre {
			follower.Schedule.Wake()
		} else {
			time.AfterFunc(time.Duration(follower.FetchPosition(version))*readings.RemoteFetchDelay, follower.Schedule.Wake)
		}
	}
}

// Newest returns the active routing for peers; false before the first.
func (follower *Follower) Newest() (readings.RoutingSnapshot, bool) {
	snapshot, ok := follower.history.Newest()
	table := follower.State.Current()
	if !ok || table == nil || table.Routing.Version != snapshot.RoutingVersion {
		return readings.RoutingSnapshot{}, false
	}
	snapshot.Age = follower.State.Age()
	return snapshot, true
}

// AtVersion returns the routing of that version for peers; false where it is not kept.
func (follower *Follower) AtVersion(version keyvalue.Version) (readings.RoutingSnapshot, bool) {
	return follower.history.ByVersion(version)
}

// IsFailing reports whether the last read of the store failed.
func (follower *Follower) IsFailing() bool { return follower.isFailing.Load() }

func (follower *Follower) reportFailure(err error) {
	if !follower.isFailing.Swap(true) {
		follower.Log.Warn().Err(err).Int64("routing_age", follower.State.AgeForLog()).Msg("routing_unconfirmed")
	}
}

// maxPeersTried is how many peers are tried before the store is read.
const maxPeersTried = 2

// fetchFromPeers fetches the routing from peers that reported a newer version. It reports
// whether the newer version is active, so that the store need not be read.
func (follower *Follower) fetchFromPeers(ctx context.Context) bool {
	for attempt := range maxPeersTried {
		peer, ok := follower.newerPeers.Take()
		if !ok {
			// An earlier fetch may have returned the version that caused this wake-up.
			return attempt == 0 && (follower.Schedule.WokenEarly() || !follower.Schedule.IsDue(follower.State.Age()))
		}
		if follower.fetchFromPeer(ctx, peer) {
			return true
		}
	}
	return false
}

// fetchFromOtherCell fetches the routing from the cell that reads the store first. It reports whether
// that cell has read it recently, so that this one need not.
func (follower *Follower) fetchFromOtherCell(ctx context.Context) bool {
	if follower.ReadingPeer == nil {
		return false
	}
	peer, ok := follower.ReadingPeer(follower.State.Version())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readings.OtherCellTimeout)
	defer cancel()
	if !follower.fetchFromPeer(ctx, peer) || follower.Schedule.IsDue(follower.State.Age()) {
		return false
	}
	follower.OnConfirmed()
	return true
}

// fetchFromPeer fetches the routing from one peer, and reports whether it succeeded.
func (follower *Follower) fetchFromPeer(ctx context.Context, peer readings.Peer) bool {
	sentAt := follower.State.Now()
	have, _ := follower.history.Newest()
	snapshot, err := follower.FetchFromPeer(ctx, peer.Address, have)
	if err == nil {
		follower.Eras.ObservePeer(snapshot.Version.Era(), 0, false)
		err = follower.applyFromPeer(have, snapshot, sentAt-snapshot.Age)
	}
	if err != nil {
		follower.Log.Info().Err(err).Stringer("peer", peer.Address).Bool("near", peer.InSameDataCentre).Msg("peer_not_read")
		return false
	}
	if !peer.InSameDataCentre {
		follower.OnConfirmed()
	}
	return true
}

// applyFromPeer applies a peer's routing, or confirms the one that this instance has if it is the
// same.
func (follower *Follower) applyFromPeer(have, snapshot readings.RoutingSnapshot, confirmedAt time.Duration) error {
	if table := follower.State.Current(); table != nil && snapshot.Version == have.Version && table.Routing.Version == have.RoutingVersion {
		follower.State.Confirm(have.RoutingVersion, confirmedAt)
		return nil
	}
	return follower.apply(snapshot.Version, snapshot.Value, confirmedAt)
}

// readStore reads the store once. The confirmation counts from before the read was sent: a
// reply covers no change made after it was sent, however long it was in transit.
func (follower *Follower) readStore(ctx context.Context) error {
	follower.mutex.Lock()
	readVersion := follower.lastReadVersion
	follower.mutex.Unlock()
	sentAt := follower.State.Now()
	entry, changed, err := follower.GetIfChanged(keyvalue.WithPurpose(ctx, keyvalue.PurposeRouting), follower.Key, readVersion)
	if err != nil {
		return err
	}
	if follower.isFailing.Swap(false) {
		follower.Log.Info().Int64("routing_age", follower.State.AgeForLog()).Msg("routing_confirmed_again")
	}
	switch {
	case !changed:
		return follower.confirmVersion(readVersion, sentAt)
	case entry.Version == 0 || len(entry.Value) == 0:
		// The routing does not exist yet or was deleted. The active one is kept
		// without a confirmation.
		follower.mutex.Lock()
		follower.lastReadVersion = entry.Version
		follower.mutex.Unlock()
		return nil
	case entry.Version.Era() == readVersion.Era():
		// A change between two reads in one era was written in that era.
		follower.provenVersion = entry.Version
	case !follower.Eras.IsUpToDate(entry.Version):
		if err := follower.apply(entry.Version, entry.Value, unconfirmed); err != nil {
			return err
		}
		return errStoreNotSettled
	}
	return follower.apply(entry.Version, entry.Value, sentAt)
}

// confirmVersion records that the active routing was the newest at the time sentAt, because the
// store still had the version read last.
func (follower *Follower) confirmVersion(version keyvalue.Version, sentAt time.Duration) error {
	if version != follower.provenVersion && !follower.Eras.IsUpToDate(version) {
		return errStoreNotSettled
	}
	if table := follower.State.Current(); table != nil {
		follower.State.Confirm(table.Routing.Version, sentAt)
	}
	return nil
}

// unconfirmed is passed to apply as sentAt for a routing that is not known to be the newest.
// It confirms nothing.
const unconfirmed time.Duration = 0

// apply decodes and activates a routing, unless a newer one is active.
func (follower *Follower) apply(version keyvalue.Version, value []byte, sentAt time.Duration) error {
	routing, err := follower.Decode(value)
	if err != nil {
		return err
	}
	follower.mutex.Lock()
	follower.lastReadVersion = max(follower.lastReadVersion, version)
	follower.mutex.Unlock()
	follower.history.Add(readings.RoutingSnapshot{Version: version, RoutingVersion: routing.Version, Value: value})
	follower.State.Apply(routing, sentAt)
	return nil
}
