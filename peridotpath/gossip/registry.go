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

// Registry tells this instance's address through the store, and learns those of
// others. Set the exported fields before Run.
type Registry struct {
	Store       *keyvalue.Store
	Instance    peridotpath.InstanceID
	Incarnation peridotpath.Incarnation
	Address     netip.AddrPort
	DataCentre  peridotpath.DataCentre
	SetPeers    func([]Peer)
	// Eras are those of the store.
	Eras *keyvalue.Eras
	Log  zerolog.Logger

	lease keyvalue.LeaseID
	// listed is when the others were last read, zero where that is due; others is how
	// many there were.
	listed time.Time
	others int
	// wanted asks for a list that is not due.
	wanted clock.Signal
	// lapsed asks for a new entry, as the store may have lost this one.
	lapsed clock.Signal
	// first is closed once the others were read, or could not be, or one was heard.
	first     chan struct{}
	firstOnce sync.Once
	closeOnce sync.Once
	failed    atomic.Bool
}

// RegistryPrefix comes before the keys under which instances register. Each
// start has a key of its own, so that none has to take over what an earlier
// start left; that lapses with its lease.
const RegistryPrefix = "peridotpath/instances/"

const (
	// registryTTL is how long an entry outlives its instance, and renewal how
	// often it is renewed: a renewal costs a tenth of a call.
	registryTTL = 20 * time.Second
	renewal     = 6 * time.Second
	// retryPause is the wait after the store could not be reached.
	retryPause = 1500 * time.Millisecond
	// gather is how long an instance that finds nobody waits before it looks for
	// those that started at the same moment.
	gather = 500 * time.Millisecond
	// listShare is the time between two lists of all instances together: an entry for
	// each of them is in each list, so that what all of them read would grow with their
	// square.
	listShare = 250 * time.Millisecond
	// renewShare is the time between two entries of all instances together after the
	// store came back from a copy, renewLeast the time that a small fleet takes.
	renewShare = 10 * time.Millisecond
	renewLeast = 500 * time.Millisecond
	// wantedSpread is the time over which instances look that heard of another number
	// of cells at the same moment.
	wantedSpread = time.Second
)

// registration is the value of an entry.
type registration struct {
	Address    netip.AddrPort         `json:"address"`
	DataCentre peridotpath.DataCentre `json:"data_centre"`
	// Era is that of the store when it was written.
	Era keyvalue.Era `json:"era,omitempty"`
}

// AfterFirst returns a task that begins once the others were read, or could not be, or
// PeerReady was called: what an instance that starts does first depends on who else is
// there.
func (registry *Registry) AfterFirst(run func(context.Context) error) func(context.Context) error {
	first := registry.firstRead()
	return func(ctx context.Context) error {
		select {
		case <-first:
			return run(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (registry *Registry) firstRead() chan struct{} {
	registry.firstOnce.Do(func() { registry.first = make(chan struct{}) })
	return registry.first
}

// PeerReady says that another instance has what this one needs. Where the store is silent,
// an instance that starts would wait for it in vain before it asks that one.
func (registry *Registry) PeerReady() { registry.begin() }

// begin lets the tasks of AfterFirst begin.
func (registry *Registry) begin() {
	first := registry.firstRead()
	registry.closeOnce.Do(func() { close(first) })
}

// Run keeps the entry and the list until ctx ends.
//
// After a loss of all instances their entries are still there, and each has to know
// the others before it reads anything else; so the list comes first.
func (registry *Registry) Run(ctx context.Context) error {
	err := registry.list(ctx, registry.Store.ListStale)
	registry.report(ctx, err)
	wait := time.Duration(0)
	if err == nil && registry.others == 0 {
		wait = registry.startTogether(ctx)
	}
	registry.begin()
	for registry.rest(ctx, wait) {
		wait = registry.next(ctx, registry.round(ctx))
	}
	return ctx.Err()
}

// startTogether registers this instance and gives those time to do the same that
// start at the same moment. It returns the wait until the next round.
//
// The load that it is made for is the first start of hundreds of instances. Each of
// them found nobody else, and asked the store for everything by itself.
func (registry *Registry) startTogether(ctx context.Context) time.Duration {
	err := registry.register(ctx)
	if err == nil && clock.Pause(ctx, gather) {
		err = registry.list(ctx, registry.Store.List)
	}
	return registry.next(ctx, err)
}

// next returns the wait until the next round, after one that ended so.
func (registry *Registry) next(ctx context.Context, err error) time.Duration {
	registry.report(ctx, err)
	if err != nil {
		return retryPause
	}
	return renewal
}

// Renew asks for a new entry soon, at another moment than other instances: the store came
// back from a copy in which this one's may not be. It never waits.
func (registry *Registry) Renew() { registry.lapsed.Raise() }

// Look asks for a list soon: a peer knows of another number of cells. It never waits.
func (registry *Registry) Look() { registry.wanted.Raise() }

// rest waits for the given time, and reads the others if that is asked for meanwhile;
// false when ctx ended first.
func (registry *Registry) rest(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-registry.lapsed.C():
			spread := max(renewLeast, time.Duration(registry.others)*renewShare)
			return clock.Pause(ctx, rand.N(spread))
		case <-registry.wanted.C():
		}
		if registry.lease.None() || time.Since(registry.listed) < renewal {
			// The next round reads them, or they were just read.
			continue
		}
		if !clock.Pause(ctx, rand.N(wantedSpread)) {
			return false
		}
		registry.report(ctx, registry.list(ctx, registry.Store.List))
	}
}

// Failing reports whether the store could not be reached the last time.
func (registry *Registry) Failing() bool { return registry.failed.Load() }

func (registry *Registry) report(ctx context.Context, err error) {
	registry.failed.Store(err != nil)
	if err != nil && ctx.Err() == nil {
		registry.Log.Warn().Err(err).Msg("registry_unreachable")
	}
}

// round renews or makes the entry, and reads the others' where that is due.
func (registry *Registry) round(ctx context.Context) error {
	if err := registry.register(ctx); err != nil {
		return err
	}
	switch {
	case registry.listed.IsZero():
		// Of two that start at the same moment, the one that registered later reads of
		// the other and tells it; a list that may be old would leave both unknown.
		return registry.list(ctx, registry.Store.List)
	case time.Since(registry.listed) >= time.Duration(registry.others)*listShare:
		return registry.list(ctx, registry.Store.ListStale)
	}
	return nil
}

// list reads all entries.
func (registry *Registry) list(ctx context.Context, read func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error)) error {
	entries, _, err := read(ctx, RegistryPrefix)
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
			// An entry lasts some seconds; the era began since this one was written.
			registry.Eras.Suspect()
		}
	}
	registry.listed, registry.others = time.Now(), len(peers)
	registry.SetPeers(peers)
	return nil
}

// register renews the entry, or makes one. After that the others are to be read, unless
// they were known and only the store went back.
func (registry *Registry) register(ctx context.Context) error {
	before := registry.lease
	if !before.None() {
		err := registry.Store.Renew(ctx, before)
		if !keyvalue.ErrLeaseGone.Has(err) {
			return err
		}
		registry.lease = keyvalue.LeaseID{}
	}
	lease, err := registry.Store.Grant(ctx, registryTTL)
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
	if before.None() || before.Era == lease.Era {
		registry.listed = time.Time{}
	}
	return nil
}
