package gossip_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/gossip"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
)

// registeredInstance is an instance with its own link to a store that is restored from older
// copies.
type registeredInstance struct {
	*gossip.Registry
	link  memory.Link
	ended chan error
}

// startRegistered starts an instance that registers in the service.
func startRegistered(ctx context.Context, service *memory.Memory, number int) *registeredInstance {
	startedAt := time.Now()
	instance := &registeredInstance{ended: make(chan error, 1)}
	instance.link.Eras = &keyvalue.EraTracker{Now: func() time.Duration { return time.Hour + time.Since(startedAt) }}
	store := instance.link.Store(service)
	store.ListStale = store.List
	instance.Registry = &gossip.Registry{
		Store: store, Instance: peridotpath.InstanceID(fmt.Sprintf("edge-%d", number)), Incarnation: 1, Eras: instance.link.Eras,
		Address: instanceAddress(number), DataCentre: "a", Log: zerolog.Nop(), SetPeers: func([]gossip.Peer) {},
	}
	instance.link.Eras.OnEraChange = func(_, _ keyvalue.Era) { instance.RequestReregistration() }
	go func() { instance.ended <- instance.Run(ctx) }()
	return instance
}

// registrationCounts returns the number of registrations in the service by instance.
func registrationCounts(t *testing.T, service *memory.Memory) map[string]int {
	t.Helper()
	listed, _, err := service.Store().List(t.Context(), gossip.RegistryPrefix)
	if err != nil {
		t.Fatal(err)
	}
	count := map[string]int{}
	for _, entry := range listed {
		name, _, _ := strings.Cut(strings.TrimPrefix(entry.Key, gossip.RegistryPrefix), "/")
		count[name]++
	}
	return count
}

// The store is restored from a copy without some instances' entries and leases, and grants
// the numbers of those leases to other clients. An instance must not go on renewing a lease
// that is now another client's while it has no entry of its own. An instance cannot find
// out whether the copy holds its entry, so all instances register again, spread over time.
func TestEntriesLostByRestoreAreRecreated(t *testing.T) {
	const early, late = 40, 20
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := &memory.Memory{}
		ctx, cancel := context.WithCancel(t.Context())
		var all []*registeredInstance
		for i := range early {
			all = append(all, startRegistered(ctx, service, i))
		}
		time.Sleep(3 * time.Second)
		before := service.Snapshot()
		for i := range late {
			all = append(all, startRegistered(ctx, service, early+i))
		}
		time.Sleep(10 * time.Second)
		is.Equal(len(registrationCounts(t, service)), early+late)

		service.Restore(before)
		var foreignLeases []keyvalue.LeaseID
		for range late {
			lease, err := service.Store().Grant(ctx, 15*time.Second)
			is.NoErr(err)
			foreignLeases = append(foreignLeases, lease)
		}
		// One instance sees the new era first and gossips it.
		for _, instance := range all {
			instance.link.Eras.ObservePeer(1, 0, true)
		}
		writes := func() int { return service.Calls()[keyvalue.CallSwap] }
		maxBurst, initial := 0, writes()
		for range 20 {
			last := writes()
			time.Sleep(100 * time.Millisecond)
			maxBurst = max(maxBurst, writes()-last)
		}
		is.Equal(len(registrationCounts(t, service)), early+late)
		is.Equal(writes()-initial, early+late) // one each
		if maxBurst > (early+late)/3 {
			t.Errorf("%d of %d entries were made within 100 ms", maxBurst, early+late)
		}
		time.Sleep(20 * time.Second)
		for name, count := range registrationCounts(t, service) {
			if count != 1 {
				t.Errorf("%s has %d entries, want one", name, count)
			}
		}
		for _, lease := range foreignLeases {
			is.True(keyvalue.ErrLeaseExpired.Has(service.Store().Renew(ctx, lease))) // no instance renewed it
		}
		cancel()
		for _, instance := range all {
			is.True(errors.Is(<-instance.ended, context.Canceled))
		}
	})
}

// An instance starts shortly after the store was restored from an older copy. It has not
// seen the change of the era, but entries of the previous era show that it was recent.
func TestStartDetectsRecentEraChange(t *testing.T) {
	for name, test := range map[string]struct {
		era  keyvalue.Era
		want bool
	}{
		"of the previous era": {4, false},
		"of this era":         {5, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			value, err := json.Marshal(map[string]any{"address": netip.MustParseAddrPort("10.0.0.2:9"), "data_centre": "a", "era": test.era})
			is.NoErr(err)
			eras := &keyvalue.EraTracker{Now: func() time.Duration { return time.Hour }}
			registry := &gossip.Registry{
				Store: &keyvalue.Store{
					ListStale: func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) {
						eras.Observe(5)
						return []keyvalue.Entry{{Key: "one", Value: value}}, 1, nil
					},
					Grant: func(context.Context, time.Duration) (keyvalue.LeaseID, error) {
						return keyvalue.LeaseID{}, keyvalue.ErrUnavailable.New("store unreachable")
					},
				},
				Instance: "one", Eras: eras, SetPeers: func([]gossip.Peer) {}, Log: zerolog.Nop(),
			}
			ctx, cancel := context.WithCancel(t.Context())
			var all sync.WaitGroup
			all.Go(func() { _ = registry.Run(ctx) })
			is.NoErr(registry.AfterFirstList(func(context.Context) error { return nil })(ctx))
			is.Equal(eras.HasSettled(), test.want)
			cancel()
			all.Wait()
		})
	}
}
