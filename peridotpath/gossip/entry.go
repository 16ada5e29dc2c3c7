package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"peridotpath.example/peridotpath/keyvalue"
)

// entry is the own entry of a registrar; its zero value is none.
type entry struct {
	lease   keyvalue.LeaseID
	key     string
	version keyvalue.Version
	// renewedAt is when the lease was last known to be valid.
	renewedAt time.Time
}

// maintainEntry renews or creates the own entry, brings the members in it up to date, and lists
// the instances if a list is due.
func (registry *Registry) maintainEntry(ctx context.Context) error {
	if err := registry.renewOrRegister(ctx); err != nil {
		if time.Since(registry.entry.renewedAt) > registrationTTL {
			// Members are not listed any more and must find another registrar.
			registry.group.close()
		}
		return err
	}
	if members, changed := registry.group.current(time.Now()); changed {
		return registry.writeMembers(ctx, members)
	}
	switch {
	case registry.listedAt.IsZero():
		// Of two instances that start at the same moment, the one that registers later
		// finds the other in a consistent list and sends it a digest. In a stale list
		// neither would find the other.
		return registry.refreshPeers(ctx, registry.Store.List)
	case time.Since(registry.listedAt) >= time.Duration(registry.registrarCount())*listIntervalPerRegistrar:
		return registry.refreshPeers(ctx, registry.Store.ListStale)
	}
	return nil
}

func (registry *Registry) registrarCount() int {
	count := 0
	for _, peer := range registry.list.Peers {
		if peer.IsRegistrar {
			count++
		}
	}
	return count
}

// writeMembers writes the members into the own entry, lists the instances and answers the members
// that wait for it.
func (registry *Registry) writeMembers(ctx context.Context, members []Peer) error {
	value, err := registry.entryValue(registry.entry.lease, members)
	if err != nil {
		return err
	}
	version, err := registry.Store.Swap(keyvalue.WithPurpose(ctx, keyvalue.PurposeRegistration), registry.entry.key, registry.entry.version, value, registry.entry.lease)
	if keyvalue.ErrConflict.Has(err) || keyvalue.ErrLeaseExpired.Has(err) {
		// An earlier write whose answer was lost was applied, or the entry has expired. A new
		// entry takes its place.
		registry.entry.lease = keyvalue.LeaseID{}
	}
	if err != nil {
		return err
	}
	registry.entry.version = version
	if err := registry.refreshPeers(ctx, registry.Store.List); err != nil {
		return err
	}
	registry.group.markListed(members)
	return nil
}

// entryValue returns the value of the own entry under a lease.
func (registry *Registry) entryValue(lease keyvalue.LeaseID, members []Peer) ([]byte, error) {
	registered := registration{Address: registry.Address, DataCentre: registry.DataCentre, SnapshotPort: registry.SnapshotPort, Era: lease.Era}
	for _, peer := range members {
		registered.Members = append(registered.Members, member{Address: peer.Address, SnapshotPort: peer.SnapshotPort})
	}
	value, err := json.Marshal(registered)
	return value, Error.Wrap(err)
}

// renewOrRegister renews the entry, or creates one. A new entry makes a list due, unless
// the entry was replaced only because the store was restored from an older copy: the other
// instances are listed already.
func (registry *Registry) renewOrRegister(ctx context.Context) error {
	ctx = keyvalue.WithPurpose(ctx, keyvalue.PurposeRegistration)
	before := registry.entry.lease
	if !before.IsUnset() {
		err := registry.Store.Renew(ctx, before)
		if !keyvalue.ErrLeaseExpired.Has(err) {
			if err == nil {
				registry.entry.renewedAt = time.Now()
			}
			return err
		}
		registry.entry.lease = keyvalue.LeaseID{}
	}
	lease, err := registry.Store.Grant(ctx, registrationTTL)
	if err != nil {
		return err
	}
	members, _ := registry.group.current(time.Now())
	value, err := registry.entryValue(lease, members)
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s%s/%d-%d-%d", RegistryPrefix, registry.Instance, registry.Incarnation, lease.Era, lease.Number)
	version, err := registry.Store.Swap(ctx, key, 0, value, lease)
	if err != nil {
		return err
	}
	registry.entry = entry{lease: lease, key: key, version: version, renewedAt: time.Now()}
	registry.registrar, registry.failedJoins, registry.refusedAt = netip.AddrPort{}, 0, nil
	registry.group.open()
	registry.Log.Info().Str("key", key).Int("members", len(members)).Int("instances", len(registry.list.Peers)).Msg("entry_written")
	if before.IsUnset() || before.Era == lease.Era {
		registry.listedAt = time.Time{}
	}
	return nil
}
