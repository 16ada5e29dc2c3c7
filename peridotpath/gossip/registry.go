package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
)

// Registry registers this instance's address in the store and reads those of the others.
// Set the exported fields before Run.
type Registry struct {
	Store       *keyvalue.Store
	Instance    peridotpath.InstanceID
	Incarnation peridotpath.Incarnation
	Address     netip.AddrPort
	DataCentre  peridotpath.DataCentre
	// SetPeers is called with the registered instances after each list.
	SetPeers func([]Peer)
	// Eras holds the eras of the store.
	Eras *keyvalue.EraTracker
	Log  zerolog.Logger

	lease keyvalue.LeaseID
	// listedAt is when the list of instances was last read, zero if a read is due now.
	// listedCount is the number of instances in the list.
	listedAt    time.Time
	listedCount int
	// listRequested requests a list before it is due.
	listRequested clock.Signal
	// reregisterRequested requests a new entry, since the store may have lost the current
	// one.
	reregisterRequested clock.Signal
	// peersReady is closed once the list was read, reading it failed, or MarkPeerReady was
	// called.
	peersReady      chan struct{}
	peersReadyInit  sync.Once
	peersReadyClose sync.Once
	storeFailed     atomic.Bool
}

// RegistryPrefix is the key prefix under which instances register. An instance uses
// a new key at each start, so that it need not take over the entry of its earlier start,
// which expires with the lease of that start.
const RegistryPrefix = "peridotpath/instances/"

const (
	// registrationTTL is how long an entry outlives its instance, renewalInterval how often
	// it is renewed. A renewal costs the store a tenth of a call.
	registrationTTL = 20 * time.Second
	renewalInterval = 6 * time.Second
	// storeRetryPause is the pause after the store was unreachable.
	storeRetryPause = 1500 * time.Millisecond
	// gatherDelay is how long an instance that finds no others waits before it lists again,
	// to find those that start at the same moment.
	gatherDelay = 500 * time.Millisecond
	// listIntervalPerInstance is multiplied by the number of instances to give the time
	// between two lists by the same instance. Each list holds an entry for every instance,
	// so that with a fixed interval the volume would grow with the square of the fleet's
	// size.
	listIntervalPerInstance = 250 * time.Millisecond
	// reregisterSpreadPerInstance is multiplied by the number of instances to give the span
	// over which the fleet registers again after the store was restored from an older copy,
	// minReregisterSpread the lower bound of that span.
	reregisterSpreadPerInstance = 10 * time.Millisecond
	minReregisterSpread         = 500 * time.Millisecond
	// requestedListJitter is the span over which requested lists are spread: many instances
	// receive a digest with another number of cells at the same moment.
	requestedListJitter = time.Second
)

// registration is the value of a registry entry.
type registration struct {
	Address    netip.AddrPort         `json:"address"`
	DataCentre peridotpath.DataCentre `json:"data_centre"`
	// Era is the era of the store when the entry was written.
	Era keyvalue.Era `json:"era,omitempty"`
}

// AfterFirstList returns a task that starts once the list of instances was read, reading it
// failed, or MarkPeerReady was called: the first reads of a starting instance depend on which
// peers exist.
func (registry *Registry) AfterFirstList(run func(context.Context) error) func(context.Context) error {
	ready := registry.peersReadyChannel()
	return func(ctx context.Context) error {
		select {
		case <-ready:
			return run(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// peersReadyChannel returns the channel that is closed when the tasks of AfterFirstList may
// start.
func (registry *Registry) peersReadyChannel() chan struct{} {
	registry.peersReadyInit.Do(func() { registry.peersReady = make(chan struct{}) })
	return registry.peersReady
}

// MarkPeerReady reports that a peer holds the snapshot that this instance needs. While the
// store does not answer, a starting instance would otherwise wait for its list before it
// fetches the snapshot from that peer.
func (registry *Registry) MarkPeerReady() { registry.signalPeersReady() }

// signalPeersReady starts the tasks of AfterFirstList.
func (registry *Registry) signalPeersReady() {
	ready := registry.peersReadyChannel()
	registry.peersReadyClose.Do(func() { close(ready) })
}

// Run maintains the entry and the list of instances until ctx ends.
//
// After a power loss of all instances their entries are still in the store. The list is
// read first, so that each instance has its peers before it reads anything else, and fetches
// the routing and the endpoints from them instead of from the store.
func (registry *Registry) Run(ctx context.Context) error {
	err := registry.refreshPeers(ctx, registry.Store.ListStale)
	registry.recordOutcome(ctx, err)
	wait := time.Duration(0)
	if err == nil && registry.listedCount == 0 {
		wait = registry.registerAndGather(ctx)
	}
	registry.signalPeersReady()
	for registry.waitForRound(ctx, wait) {
		wait = registry.finishRound(ctx, registry.runRound(ctx))
	}
	return ctx.Err()
}

// registerAndGather registers this instance, waits for others that start at the same moment
// to register as well, and lists them. It returns the time until the next round.
//
// It matters when hundreds of instances start for the first time at once: each of them
// would find no peers and fetch everything from the store by itself.
func (registry *Registry) registerAndGather(ctx context.Context) time.Duration {
	err := registry.renewOrRegister(ctx)
	if err == nil && clock.SleepContext(ctx, gatherDelay) {
		err = registry.refreshPeers(ctx, registry.Store.List)
	}
	return registry.finishRound(ctx, err)
}

// finishRound records the outcome of a round and returns the time until the next one.
func (registry *Registry) finishRound(ctx context.Context, err error) time.Duration {
	registry.recordOutcome(ctx, err)
	if err != nil {
		return storeRetryPause
	}
	return renewalInterval
}

// RequestReregistration requests a new entry soon, after a random delay that spreads the
// writes of the fleet: the store was restored from an older copy that may lack this entry. It
// never blocks.
func (registry *Registry) RequestReregistration() { registry.reregisterRequested.Raise() }

// RequestList requests a list soon, as a peer reports another number of cells. It never blocks.
func (registry *Registry) RequestList() { registry.listRequested.Raise() }

// waitForRound waits for the given time until the next round, and lists the instances if a
// list is requested meanwhile. It returns true early if a new entry is requested, and false
// if ctx ended first.
func (registry *Registry) waitForRound(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-registry.reregisterRequested.C():
			spread := max(minReregisterSpread, time.Duration(registry.listedCount)*reregisterSpreadPerInstance)
			return clock.SleepContext(ctx, rand.N(spread))
		case <-registry.listRequested.C():
		}
		if registry.lease.IsUnset() || time.Since(registry.listedAt) < renewalInterval {
			// The next round lists them, or they were listed a moment ago.
			continue
		}
		if !clock.SleepContext(ctx, rand.N(requestedListJitter)) {
			return false
		}
		registry.recordOutcome(ctx, registry.refreshPeers(ctx, registry.Store.List))
	}
}

// IsFailing reports whether the last access to the store failed.
func (registry *Registry) IsFailing() bool { return registry.storeFailed.Load() }

// recordOutcome records whether an access to the store failed, and logs its error.
func (registry *Registry) recordOutcome(ctx context.Context, err error) {
	registry.storeFailed.Store(err != nil)
	if err != nil && ctx.Err() == nil {
		registry.Log.Warn().Err(err).Msg("registry_unreachable")
	}
}

// runRound renews or creates the entry, and lists the instances if a list is due.
func (registry *Registry) runRound(ctx context.Context) error {
	if err := registry.renewOrRegister(ctx); err != nil {
		return err
	}
	switch {
	case registry.listedAt.IsZero():
		// Of two instances that start at the same moment, the one that registers later
		// finds the other in a consistent list and sends it a digest. In a stale list
		// neither would find the other.
		return registry.refreshPeers(ctx, registry.Store.List)
	case time.Since(registry.listedAt) >= time.Duration(registry.listedCount)*listIntervalPerInstance:
		return registry.refreshPeers(ctx, registry.Store.ListStale)
	}
	return nil
}

// refreshPeers reads all entries and sets the peers.
func (registry *Registry) refreshPeers(ctx context.Context, read func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error)) error {
	entries, _, err := read(keyvalue.WithPurpose(ctx, keyvalue.PurposeInstances), RegistryPrefix)
	if err != nil {
		return err
	}
	peers := make([]Peer, 0, len(entries))
	for _, entry := range entries {
		var registration registration
		if err := json.Unmarshal(entry.Value, &registration); err != nil {
			registry.Log.Warn().Err(err).Str("key", entry.Key).Msg("registration_unread")
			continue
		}
		peers = append(peers, Peer{Address: registration.Address, DataCentre: registration.DataCentre})
		if registration.Era < registry.Eras.Current() {
			// Entries expire within seconds, so one of an earlier era shows that the current
			// era began recently.
			registry.Eras.AssumeRecentRestore()
		}
	}
	registry.listedAt, registry.listedCount = time.Now(), len(peers)
	registry.SetPeers(peers)
	return nil
}

// renewOrRegister renews the entry, or creates one. A new entry makes a list due, unless
// the entry was replaced only because the store was restored from an older copy: the other
// instances are listed already.
func (registry *Registry) renewOrRegister(ctx context.Context) error {
	ctx = keyvalue.WithPurpose(ctx, keyvalue.PurposeRegistration)
	before := registry.lease
	if !before.IsUnset() {
		err := registry.Store.Renew(ctx, before)
		if !keyvalue.ErrLeaseExpired.Has(err) {
			return err
		}
		registry.lease = keyvalue.LeaseID{}
	}
	lease, err := registry.Store.Grant(ctx, registrationTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(registration{Address: registry.Address, DataCentre: registry.DataCentre, Era: lease.Era})
	if err != nil {
		return Error.Wrap(err)
	}
	key := fmt.Sprintf("%s%s/%d-%d-%d", RegistryPrefix, registry.Instance, registry.Incarnation, lease.Era, lease.Number)
	if _, err := registry.Store.Swap(ctx, key, 0, value, lease); err != nil {
		return err
	}
	registry.lease = lease
	if before.IsUnset() || before.Era == lease.Era {
		registry.listedAt = time.Time{}
	}
	return nil
}
