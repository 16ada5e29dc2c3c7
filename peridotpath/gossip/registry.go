package gossip

import (
	"context"
	"errors"
	"math"
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

// Registry registers this instance in the store and reads which others are registered. Set the
// exported fields before Run.
//
// An instance joins the group of a registrar of its data centre, which registers the group in one
// entry and hands its list of instances on. It becomes a registrar itself only where no other has
// room, so that the calls to the store grow with the number of groups. What an instance tells and
// hears does not depend on its registrar: a list that lacks it only keeps those that start later
// from telling it of themselves first.
type Registry struct {
	Store       *keyvalue.Store
	Instance    peridotpath.InstanceID
	Incarnation peridotpath.Incarnation
	Address     netip.AddrPort
	DataCentre  peridotpath.DataCentre
	// SnapshotPort is the port of RegistrarHandler at this instance.
	SnapshotPort uint16
	// Join asks a registrar to register this instance, such as JoinThrough; nil where each
	// instance registers itself.
	Join func(ctx context.Context, registrar Peer, request JoinRequest) (JoinReply, error)
	// SetPeers is called with the registered instances after each list.
	SetPeers func([]Peer)
	// Eras holds the eras of the store.
	Eras *keyvalue.EraTracker
	Log  zerolog.Logger

	entry entry
	// group is what this instance registers as a registrar.
	group group
	// list is the last list of instances, and listedAt when it was read, zero if a read is due
	// now.
	list     InstanceList
	listedAt time.Time
	// registrar is the registrar that registers this instance; the zero value if none does.
	// failedJoins counts the rounds since then in which none has answered.
	registrar   netip.AddrPort
	failedJoins int
	// registrarBefore is the registrar by whose entry this instance is still listed, from an
	// earlier start; the zero value for none.
	registrarBefore netip.AddrPort
	// refusedAt holds when registrars last did not answer or did not accept this instance.
	refusedAt map[netip.AddrPort]time.Time
	// isGathering holds lists back from SetPeers while a first start of all goes on, and
	// nextInterval is the time to the next round: short at first, since lists are incomplete then.
	isGathering  bool
	nextInterval time.Duration
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

// errUnregistered means that no registrar has answered yet; the store has not failed.
var errUnregistered = errors.New("no registrar has answered")

const (
	// registrationTTL is how long an entry outlives its instance, renewalInterval how often
	// it is renewed, and how often members join again. A renewal costs the store a tenth of a
	// call.
	registrationTTL = 20 * time.Second
	renewalInterval = 6 * time.Second
	// storeRetryPause is the pause after the store was unreachable, and the mean one after no
	// registrar has answered.
	storeRetryPause = 1500 * time.Millisecond
	// gatherDelay is how long an instance that finds no others waits before it lists again,
	// to find those that start at the same moment.
	gatherDelay = 500 * time.Millisecond
	// firstStartSpread bounds the delay of an instance that finds no others before it looks for
	// a registrar again. Few have a short delay: they become registrars, which the others find in
	// a stale list. After firstStartTime all are listed; registrars read that list a little
	// earlier than their members ask for it.
	firstStartSpread = 2 * time.Second
	firstStartTime   = 3500 * time.Millisecond
	firstListLead    = 500 * time.Millisecond
	// firstInterval is the time between a member's first two rounds. It doubles up to
	// renewalInterval.
	firstInterval = time.Second
	// maxRegistrarsTried bounds the registrars that are asked in a round, and maxFailedJoins the
	// rounds without an answer until an instance registers itself: after a power loss of all
	// instances the registrars may start later than their members.
	maxRegistrarsTried = 3
	maxFailedJoins     = 3
	// refusalMemory is how long a registrar that has not accepted this instance is not asked
	// again. Several that wait for one without power would all register themselves meanwhile.
	refusalMemory = time.Second
	// listIntervalPerRegistrar is multiplied by the number of registrars to give the time
	// between two lists by the same one. With a fixed interval, the lists of all of them would
	// grow with their number.
	listIntervalPerRegistrar = 250 * time.Millisecond
	// reregisterSpreadPerInstance is multiplied by the number of instances to give the span
	// over which the fleet registers again after the store was restored from an older copy,
	// minReregisterSpread the lower bound of that span.
	reregisterSpreadPerInstance = 10 * time.Millisecond
	minReregisterSpread         = 500 * time.Millisecond
	// requestedListJitter is the span over which requested lists are spread: many instances
	// receive a digest with another number of cells at the same moment.
	requestedListJitter = time.Second
)

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

// Run keeps this instance registered and the list of instances up to date until ctx ends.
//
// After a power loss of all instances their entries are still in the store. The list is
// read first, so that each instance has its peers before it reads anything else, and fetches
// the routing and the endpoints from them instead of from the store.
func (registry *Registry) Run(ctx context.Context) error {
	err := registry.refreshPeers(ctx, registry.Store.ListStale)
	registry.recordOutcome(ctx, err)
	wait := time.Duration(0)
	if err == nil && len(registry.list.Peers) == 0 {
		wait = registry.startFirst(ctx)
	}
	registry.signalPeersReady()
	for registry.waitForRound(ctx, wait) {
		wait = registry.finishRound(ctx, registry.runRound(ctx))
	}
	return ctx.Err()
}

// startFirst registers an instance that finds no others and returns the time until the next
// round.
//
// It matters when hundreds of instances start for the first time at once: each of them
// would find no peers, register by itself, and fetch everything from the store. Nor may they take
// the lists of that time for the whole fleet: it would seem to be one cell, in which all of them
// send their digests to all.
func (registry *Registry) startFirst(ctx context.Context) time.Duration {
	if registry.Join != nil {
		endsAt := time.Now().Add(firstStartTime)
		registry.isGathering = true
		clock.SleepContext(ctx, time.Duration(math.Cbrt(rand.Float64())*float64(firstStartSpread)))
		err := registry.runRound(ctx)
		registry.recordOutcome(ctx, err)
		if registry.isRegistrar() {
			endsAt = endsAt.Add(-firstListLead)
			err = registry.serveMembers(ctx, endsAt)
		}
		clock.SleepContext(ctx, time.Until(endsAt))
		registry.isGathering = false
		if err == nil {
			err = registry.updateList(ctx)
		}
		registry.SetPeers(registry.list.Peers)
		return registry.finishRound(ctx, err)
	}
	err := registry.renewOrRegister(ctx)
	if err == nil && clock.SleepContext(ctx, gatherDelay) {
		err = registry.refreshPeers(ctx, registry.Store.List)
	}
	return registry.finishRound(ctx, err)
}

// serveMembers lists the members that join until the given time.
func (registry *Registry) serveMembers(ctx context.Context, until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		case <-registry.group.joined.C():
			clock.SleepContext(ctx, joinBatchDelay)
			if err := registry.maintainEntry(ctx); err != nil {
				return err
			}
		}
	}
}

// finishRound records the outcome of a round and returns the time until the next one.
func (registry *Registry) finishRound(ctx context.Context, err error) time.Duration {
	registry.recordOutcome(ctx, err)
	switch {
	case errors.Is(err, errUnregistered):
		return storeRetryPause/2 + rand.N(storeRetryPause)
	case err != nil:
		return storeRetryPause
	}
	if registry.isRegistrar() {
		return renewalInterval
	}
	registry.nextInterval = min(max(2*registry.nextInterval, firstInterval), renewalInterval)
	return registry.nextInterval
}

// RequestReregistration requests a new entry soon, after a random delay that spreads the
// writes of the fleet: the store was restored from an older copy that may lack this entry. It
// never blocks.
func (registry *Registry) RequestReregistration() { registry.reregisterRequested.Raise() }

// RequestList requests a list soon, as a peer reports another number of cells. It never blocks.
func (registry *Registry) RequestList() { registry.listRequested.Raise() }

// waitForRound waits for the given time until the next round, and updates the list of instances if
// that is requested meanwhile. It returns true early if a new entry is requested or members wait to
// be listed, and false if ctx ended first.
func (registry *Registry) waitForRound(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-registry.group.joined.C():
			return clock.SleepContext(ctx, joinBatchDelay)
		case <-registry.reregisterRequested.C():
			if !registry.isRegistrar() {
				continue
			}
			spread := max(minReregisterSpread, time.Duration(len(registry.list.Peers))*reregisterSpreadPerInstance)
			return clock.SleepContext(ctx, rand.N(spread))
		case <-registry.listRequested.C():
		}
		if !registry.isRegistered() || time.Since(registry.listedAt) < renewalInterval {
			// The next round lists them, or they were listed a moment ago.
			continue
		}
		if !clock.SleepContext(ctx, rand.N(requestedListJitter)) {
			return false
		}
		registry.recordOutcome(ctx, registry.updateList(ctx))
	}
}

// updateList reads the list of instances, or receives it from the registrar.
func (registry *Registry) updateList(ctx context.Context) error {
	if registry.isRegistrar() {
		return registry.refreshPeers(ctx, registry.Store.List)
	}
	return registry.join(ctx)
}

// isRegistrar reports whether this instance has an entry of its own.
func (registry *Registry) isRegistrar() bool { return !registry.entry.lease.IsUnset() }

// isRegistered reports whether this instance has an entry of its own or is the member of a group.
func (registry *Registry) isRegistered() bool {
	return registry.isRegistrar() || registry.registrar.IsValid()
}

// IsFailing reports whether the last access to the store failed.
func (registry *Registry) IsFailing() bool { return registry.storeFailed.Load() }

// recordOutcome records whether an access to the store failed, and logs its error.
func (registry *Registry) recordOutcome(ctx context.Context, err error) {
	storeFailed := err != nil && !errors.Is(err, errUnregistered)
	registry.storeFailed.Store(storeFailed)
	if storeFailed && ctx.Err() == nil {
		registry.Log.Warn().Err(err).Msg("registry_unreachable")
	}
}

// runRound keeps this instance registered, by an entry of its own or in a group.
func (registry *Registry) runRound(ctx context.Context) error {
	if registry.Join != nil && !registry.isRegistrar() && !registry.wasRegistrar() {
		return registry.join(ctx)
	}
	return registry.maintainEntry(ctx)
}

// wasRegistrar reports whether an earlier start of this instance was a registrar and may still be
// listed as one. Its members join it again, so it resumes.
func (registry *Registry) wasRegistrar() bool { return registry.list.contains(registry.Address, true) }

// refreshPeers reads all entries and sets the peers.
func (registry *Registry) refreshPeers(ctx context.Context, read func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error)) error {
	entries, _, err := read(keyvalue.WithPurpose(ctx, keyvalue.PurposeInstances), RegistryPrefix)
	if err != nil {
		return err
	}
	list, oldestEra := decodeRegistrations(entries, registry.Log)
	if !registry.isRegistered() {
		registry.registrarBefore = registrarOf(entries, registry.Address)
	}
	if len(list.Peers) > 0 && oldestEra < registry.Eras.Current() {
		// Entries expire within seconds, so one of an earlier era shows that the current
		// era began recently.
		registry.Eras.AssumeRecentRestore()
	}
	// A stale list may lack members that were written since.
	members, _ := registry.group.current(time.Now())
	registry.listedAt = time.Now()
	registry.setList(newInstanceList(append(list.Peers, members...)))
	return nil
}

// setList applies a list of instances.
func (registry *Registry) setList(list InstanceList) {
	registry.list = list
	registry.group.setList(list)
	if !registry.isGathering {
		registry.SetPeers(list.Peers)
	}
}

// HandleJoin registers an instance of this data centre that asks for it, if this one is a
// registrar.
func (registry *Registry) HandleJoin(ctx context.Context, request JoinRequest) JoinReply {
	if request.Instance.DataCentre != registry.DataCentre {
		return JoinReply{}
	}
	return registry.group.join(ctx, request, time.Now())
}
