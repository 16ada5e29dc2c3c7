package gossip

import (
	"context"
	"encoding/json"
	"fmt"
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
	Log         zerolog.Logger

	lease keyvalue.LeaseID
	// first is closed once the others were read, or could not be.
	first     chan struct{}
	firstOnce sync.Once
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
	// firstLooks is how long after the start the list is read more often:
	// instances that start together are not all registered at once. Later
	// starters announce themselves to those that they read of.
	firstLooks = 6 * time.Second
	firstPause = 1500 * time.Millisecond
)

// registration is the value of an entry.
type registration struct {
	Address    netip.AddrPort         `json:"address"`
	DataCentre peridotpath.DataCentre `json:"data_centre"`
}

// AfterFirst returns a task that begins once the others were read, or could not
// be: what an instance that starts does first depends on who else is there.
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

// Run keeps the entry and the list until ctx ends.
//
// After a loss of all instances their entries are still there, and each has to know
// the others before it reads anything else; so the list comes first.
func (registry *Registry) Run(ctx context.Context) error {
	began := time.Now()
	if others, err := registry.list(ctx); err == nil && others == 0 {
		// All start for the first time, or this one is alone.
		registry.report(ctx, registry.round(ctx))
	} else {
		registry.report(ctx, err)
	}
	close(registry.firstRead())
	for {
		registry.report(ctx, registry.round(ctx))
		wait := firstPause
		if time.Since(began) > firstLooks && registry.lease != 0 {
			wait = renewal
		}
		if !clock.Pause(ctx, wait) {
			return ctx.Err()
		}
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

// round renews or makes the entry, and reads the others'.
func (registry *Registry) round(ctx context.Context) error {
	if err := registry.register(ctx); err != nil {
		return err
	}
	_, err := registry.list(ctx)
	return err
}

// list reads all entries and returns how many there are.
func (registry *Registry) list(ctx context.Context) (int, error) {
	entries, _, err := registry.Store.ListStale(ctx, RegistryPrefix)
	if err != nil {
		return 0, err
	}
	peers := make([]Peer, 0, len(entries))
	for _, entry := range entries {
		var registration registration
		if err := json.Unmarshal(entry.Value, &registration); err != nil {
			registry.Log.Warn().Err(err).Str("key", entry.Key).Msg("registration_unread")
			continue
		}
		peers = append(peers, Peer(registration))
	}
	registry.SetPeers(peers)
	return len(peers), nil
}

func (registry *Registry) register(ctx context.Context) error {
	if registry.lease != 0 {
		err := registry.Store.Renew(ctx, registry.lease)
		if !keyvalue.ErrLeaseGone.Has(err) {
			return err
		}
		registry.lease = 0
	}
	lease, err := registry.Store.Grant(ctx, registryTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(registration{Address: registry.Address, DataCentre: registry.DataCentre})
	if err != nil {
		return Error.Wrap(err)
	}
	key := fmt.Sprintf("%s%s/%d-%d", RegistryPrefix, registry.Instance, registry.Incarnation, lease)
	if _, err := registry.Store.Swap(ctx, key, 0, value, lease); err != nil {
		return err
	}
	registry.lease = lease
	return nil
}
