package routing_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/readings"
	"peridotpath.example/peridotpath/routing"
)

// restorableStore is a store that can be restored from an older copy, with the eras that one
// follower has seen.
type restorableStore struct {
	fakeStore
	eras *keyvalue.EraTracker
	era  keyvalue.Era
}

// write stores a routing with that version number in that era.
func (store *restorableStore) write(era keyvalue.Era, number uint64, routing peridotpath.RoutingVersion) {
	store.mutex.Lock()
	store.era = era
	store.mutex.Unlock()
	version, err := keyvalue.NewVersion(era, number)
	if err != nil {
		panic(err)
	}
	store.set(version, routing, nil)
}

// getIfChanged compares version numbers only, as the service does.
func (store *restorableStore) getIfChanged(ctx context.Context, key string, expect keyvalue.Version) (keyvalue.Entry, bool, error) {
	store.mutex.Lock()
	era, version := store.era, store.version
	store.mutex.Unlock()
	defer store.eras.Observe(era)
	if expect.Number() == version.Number() {
		expect = version
	}
	return store.fakeStore.getIfChanged(ctx, key, expect)
}

// runWithRestores runs a follower of a restorableStore until work returns.
func runWithRestores(t *testing.T, work func(is *is.I, store *restorableStore, follower *routing.Follower)) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &restorableStore{}
		follower, state := newFollower(&store.fakeStore)
		store.eras = &keyvalue.EraTracker{Now: state.Now}
		follower.Eras = store.eras
		follower.GetIfChanged = store.eras.Guard(&keyvalue.Store{GetIfChanged: store.getIfChanged}).GetIfChanged
		follower.Schedule = clock.PollSchedule{MinAge: 500 * time.Millisecond, MaxDelay: 400 * time.Millisecond, RetryDelay: 250 * time.Millisecond, MinInterval: 60 * time.Millisecond}
		store.write(3, 50, 8)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(2 * time.Second)
		is.True(state.KeysUsable())
		work(is, store, follower)
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
	})
}

// After a restore the next routing is written with the version number of a lost one. The
// follower must not mistake it for that one.
func TestRoutingWithReusedVersionNumber(t *testing.T) {
	runWithRestores(t, func(is *is.I, store *restorableStore, follower *routing.Follower) {
		store.write(3, 60, 9)
		time.Sleep(time.Second)
		is.Equal(follower.State.Version(), peridotpath.RoutingVersion(9))
		store.write(4, 50, 8) // the copy
		time.Sleep(time.Second)
		is.Equal(follower.State.Version(), peridotpath.RoutingVersion(9)) // never an older one
		last, ok := follower.Newest()
		is.True(ok) // it is still served to peers that start
		is.Equal(last.Value, []byte{9})
		store.write(4, 60, 10)
		time.Sleep(time.Second)
		is.Equal(follower.State.Version(), peridotpath.RoutingVersion(10))
		store.write(5, 60, 10) // a second restore
		time.Sleep(time.Second)
		store.write(5, 61, 11)
		time.Sleep(time.Second)
		is.Equal(follower.State.Version(), peridotpath.RoutingVersion(11))
		is.True(follower.State.Age() < time.Second)
	})
}

// A key is revoked, and a restore loses the revocation before any instance has read it.
// The restored routing must not extend the key's lifetime.
func TestRevocationLostByRestore(t *testing.T) {
	runWithRestores(t, func(is *is.I, store *restorableStore, follower *routing.Follower) {
		state := follower.State
		revokedAt := state.Now()
		store.set(0, 0, errors.New("store unreachable"))
		time.Sleep(time.Second)
		store.write(4, 50, 8) // the copy, without the revocation
		for state.Now()-revokedAt < 2900*time.Millisecond {
			time.Sleep(100 * time.Millisecond)
			is.True(state.Age() >= state.Now()-revokedAt) // no read confirms it
		}
		store.write(4, 61, 9)
		time.Sleep(time.Second)
		is.Equal(state.Version(), peridotpath.RoutingVersion(9))
	})
}

// The restore lost no write, so no writer rewrites the routing. After SettleTime the routing
// in the store must count as the newest.
func TestRestoredStoreSettles(t *testing.T) {
	runWithRestores(t, func(is *is.I, store *restorableStore, follower *routing.Follower) {
		store.write(4, 50, 8)
		time.Sleep(keyvalue.SettleTime + time.Second)
		is.True(follower.State.KeysUsable())
		is.True(follower.State.Age() < 1200*time.Millisecond)
	})
}

// An instance starts while a restored store holds an older routing and its peers have the
// newer one. Until a peer reports, it must accept no key of the older one.
func TestStartWithOlderStore(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &restorableStore{}
		follower, state := newFollower(&store.fakeStore)
		store.eras = &keyvalue.EraTracker{Now: state.Now}
		follower.Eras = store.eras
		follower.GetIfChanged = store.eras.Guard(&keyvalue.Store{GetIfChanged: store.getIfChanged}).GetIfChanged
		newer, err := keyvalue.NewVersion(3, 60)
		is.NoErr(err)
		follower.FetchFromPeer = func(context.Context, netip.AddrPort, readings.RoutingSnapshot) (readings.RoutingSnapshot, error) {
			return readings.RoutingSnapshot{Version: newer, Value: []byte{9}, Age: 700 * time.Millisecond}, nil
		}
		store.write(4, 50, 8)
		// The store still has instance entries of the previous era.
		store.eras.Observe(4)
		store.eras.AssumeRecentRestore()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		is.Equal(state.Version(), peridotpath.RoutingVersion(8))
		is.True(!state.KeysUsable())
		follower.UpdateFromPeer(peer, 9, state.Now()-700*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		is.Equal(state.Version(), peridotpath.RoutingVersion(9))
		is.True(state.KeysUsable())
		last, ok := follower.Newest()
		is.True(ok)
		is.Equal(last.Value, []byte{9})
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
	})
}
