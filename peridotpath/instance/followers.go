package instance

import (
	"context"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/gossip"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/readings"
	"peridotpath.example/peridotpath/routing"
)

const (
	// minPollAgeShare and pollSpreadShare set the age of a snapshot at which instances read
	// the store again, as shares of the time within which a change must be active: the
	// first instance reads at the lower age, the last one pollSpreadShare later. A change
	// is thus received everywhere after six tenths of that time and two calls, which leaves
	// the rest for a call that fails. The spread keeps two instances from reading at once.
	minPollAgeShare, pollSpreadShare = 0.35, 0.25
	// pollRetryPause is the pause after a failed read.
	pollRetryPause = 250 * time.Millisecond
	// minPollGap is the shortest time between two reads: at the start, when there is no
	// snapshot yet, and when peers report newer ones repeatedly.
	minPollGap = 60 * time.Millisecond
	// maxPollRank bounds how many instances may read before this one, since they may all be
	// cut off from the store.
	maxPollRank = 9
)

// createFollowers creates the followers of the store and connects them to gossip, by which
// peers confirm their snapshots or report newer ones.
func (instance *Instance) createFollowers() {
	settings, adapter := instance.Settings, instance.Adapter
	instance.gossip = &gossip.Gossip{
		Instance: settings.InstanceID, Incarnation: instance.incarnation, Address: settings.PeerAddress,
		DataCentre: settings.DataCentre, SnapshotPort: settings.SnapshotAddress.Port(),
		Loads: instance.loads, Facts: instance.facts, Clock: clock.SinceBoot,
		Carries: instance.carriesForPeers, LocalFreshness: instance.localFreshness, OnPeerFreshness: instance.handlePeerFreshness, Log: instance.Log,
	}
	adapter.Eras.OnEraChange = func(_, _ keyvalue.Era) { instance.handleStoreRestored() }
	instance.loads.OnChange = instance.gossip.RequestDigest
	instance.facts.OnChange = instance.gossip.RequestDigest
	instance.registry = &gossip.Registry{
		Store: adapter.Store, Instance: settings.InstanceID, Incarnation: instance.incarnation, Address: settings.PeerAddress,
		DataCentre: settings.DataCentre, SnapshotPort: settings.SnapshotAddress.Port(), Join: gossip.JoinThrough, SetPeers: instance.gossip.SetPeers, Eras: adapter.Eras, Log: instance.Log,
	}
	instance.gossip.OnCellCountMismatch = instance.registry.RequestList
	instance.routingFollower = &routing.Follower{
		State: instance.routing, Key: adapter.RoutingKey, Decode: adapter.DecodeRouting, GetIfChanged: adapter.Store.GetIfChanged,
		Eras: adapter.Eras, FetchFromPeer: readings.FetchRouting, OnConfirmed: instance.gossip.RequestDigest, Log: instance.Log,
		FetchPosition: func(version peridotpath.RoutingVersion) int { return instance.gossip.Rank(uint64(version)) },
		ReadingPeer: func(version peridotpath.RoutingVersion) (readings.Peer, bool) {
			return instance.gossip.ReadingPeer(uint64(version))
		},
		Schedule: instance.pollSchedule(
			func() bool { return instance.routing.Current() != nil && adapter.Eras.HasSettled() },
			func() uint64 { return uint64(instance.routing.Version()) },
		),
	}
	instance.endpointFollower = &directory.Follower{
		Directory: instance.directory, List: instance.listEndpoints, Decode: instance.decodeListing, Now: clock.SinceBoot,
		Eras: adapter.Eras, FetchFromPeer: readings.FetchEndpoints, ReadingPeer: instance.gossip.ReadingPeer, FetchPosition: instance.gossip.Rank, OnConfirmed: instance.gossip.RequestDigest, Log: instance.Log,
		Schedule: instance.pollSchedule(func() bool { return instance.directory.Current() != nil }, instance.directory.ContentHash),
	}
}

// pollSchedule returns the schedule on which one kind of data is read from the store. The
// order in which instances read depends on the content, so that another instance reads first
// after each change.
func (instance *Instance) pollSchedule(hasSnapshot func() bool, content func() uint64) clock.PollSchedule {
	limit := float64(instance.Settings.MaxPropagationDelay)
	return clock.PollSchedule{
		MinAge: time.Duration(minPollAgeShare * limit), MaxDelay: time.Duration(pollSpreadShare * limit), RetryDelay: pollRetryPause, MinInterval: minPollGap,
		PeerCount: func() int { return instance.loads.LivePeerCount(time.Now()) },
		HasData:   hasSnapshot, PrecedingPeers: func() int { return min(instance.gossip.PollRank(content()), maxPollRank) },
	}
}

// handleStoreRestored reacts to a restore of the store from an older copy. The routing is
// read again on its normal schedule and may then be older than before.
func (instance *Instance) handleStoreRestored() {
	instance.directory.MarkStoreRestored(clock.SinceBoot())
	instance.registry.RequestReregistration()
	instance.gossip.RequestDigest()
}

// localFreshness returns the freshness of this instance's snapshot of the store.
func (instance *Instance) localFreshness() gossip.Freshness {
	eras := instance.Adapter.Eras
	age, ageKnown := eras.Age()
	return gossip.Freshness{
		Era: eras.Current(), EraAge: age, EraAgeKnown: ageKnown,
		RoutingVersion: instance.routing.Version(), RoutingAge: instance.routing.Age(),
		EndpointsHash: instance.directory.ContentHash(), EndpointsAge: instance.endpointFollower.Age(),
	}
}

// handlePeerFreshness applies the freshness of a peer's snapshot of the store, whose ages
// are relative to echo.
func (instance *Instance) handlePeerFreshness(peer readings.Peer, fresh gossip.Freshness, echo time.Duration) {
	instance.Adapter.Eras.ObservePeer(fresh.Era, fresh.EraAge, fresh.EraAgeKnown)
	if fresh.RoutingVersion > 0 && fresh.EndpointsHash != 0 {
		instance.registry.MarkPeerReady()
	}
	instance.routingFollower.UpdateFromPeer(peer, fresh.RoutingVersion, echo-fresh.RoutingAge)
	instance.endpointFollower.UpdateFromPeer(peer, fresh.EndpointsHash, echo-fresh.EndpointsAge)
}

// listEndpoints reads the entries of the endpoints and the drains of data centres from the
// store. They are one reading with one age, so that peers confirm and fetch both at once.
func (instance *Instance) listEndpoints(ctx context.Context) ([]keyvalue.Entry, keyvalue.Era, error) {
	adapter := &instance.Adapter
	entries, version, err := adapter.Store.List(keyvalue.WithPurpose(ctx, keyvalue.PurposeEndpoints), adapter.EndpointPrefix)
	if err != nil {
		return nil, 0, err
	}
	entries = adapter.CompactEndpoints(entries)
	if instance.Settings.DrainTime == 0 {
		return entries, version.Era(), nil
	}
	drains, drainVersion, err := adapter.Store.List(keyvalue.WithPurpose(ctx, keyvalue.PurposeDrains), adapter.DrainPrefix)
	switch {
	case err != nil:
		return nil, 0, err
	case drainVersion.Era() != version.Era():
		return nil, 0, keyvalue.ErrUnavailable.New("store era changed from %d to %d between lists", version.Era(), drainVersion.Era())
	}
	return append(entries, drains...), version.Era(), nil
}

// decodeListing decodes the entries that listEndpoints has read.
func (instance *Instance) decodeListing(entries []keyvalue.Entry) directory.Listing {
	listing := directory.Listing{Endpoints: instance.Adapter.DecodeEndpoints(entries)}
	if instance.Settings.DrainTime > 0 {
		listing.Drained = instance.Adapter.DecodeDrains(entries)
	}
	return listing
}
