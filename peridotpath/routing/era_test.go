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

// eraStore is a store that goes back, and one follower's guarded way to it.
type eraStore struct {
	fakeStore
	eras *keyvalue.Eras
	era  keyvalue.Era
}

// write puts a routing in the store under that number, in that era.
func (store *eraStore) write(era keyvalue.Era, number uint64, routing peridotpath.RoutingVersion) {
	store.mutex.Lock()
	store.era = era
	store.mutex.Unlock()
	version, err := keyvalue.VersionOf(era, number)
	if err != nil {
		panic(err)
	}
	store.set(version, routing, nil)
}

// check looks at numbers only, as the service does.
func (store *eraStore) check(ctx context.Context, key string, expect keyvalue.Version) (keyvalue.Entry, bool, error) {
	store.mutex.Lock()
	era, version := store.era, store.version
	store.mutex.Unlock()
	defer store.eras.Met(era)
	if expect.Number() == version.Number() {
		expect = version
	}
	return store.fakeStore.check(ctx, key, expect)
}

// followEras runs a follower before a store that goes back, for as long as work takes.
func followEras(t *testing.T, work func(is *is.I, store *eraStore, follower *routing.Follower)) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &eraStore{}
		follower, state := newFollower(&store.fakeStore)
		store.eras = &keyvalue.Eras{Now: state.Now}
		follower.Eras = store.eras
		follower.Check = store.eras.Guard(&keyvalue.Store{Check: store.check}).Check
		follower.Pace = clock.PollSchedule{MinAge: 500 * time.Millisecond, MaxDelay: 400 * time.Millisecond, RetryDelay: 250 * time.Millisecond, MinInterval: 60 * time.Millisecond}
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

// The next routing is written under the number that a lost one had borne.
func TestRoutingUnderANumberGivenOutAgain(t *testing.T) {
	followEras(t, func(is *is.I, store *eraStore, follower *routing.Follower) {
		store.write(3, 60, 9)
		time.Sleep(time.Second)
		is.Equal(follower.State.Version(), peridotpath.RoutingVersion(9))
		store.write(4, 50, 8) // the copy
		time.Sleep(time.Second)
		is.Equal(follower.State.Version(), peridotpath.RoutingVersion(9)) // never an older one
		last, ok := follower.Last()
		is.True(ok) // and it is still told to those that start
		is.Equal(last.Value, []byte{9})
		store.write(4, 60, 10)
		time.Sleep(time.Second)
		is.Equal(follower.State.Version(), peridotpath.RoutingVersion(10))
		store.write(5, 60, 10) // twice
		time.Sleep(time.Second)
		store.write(5, 61, 11)
		time.Sleep(time.Second)
		is.Equal(follower.State.Version(), peridotpath.RoutingVersion(11))
		is.True(follower.State.Age() < time.Second)
	})
}

// A key is taken away, and the store loses that before any instance has read it. What it
// shows then, unchanged, must not prolong the key.
func TestKeyWhoseEndTheStoreLost(t *testing.T) {
	followEras(t, func(is *is.I, store *eraStore, follower *routing.Follower) {
		state := follower.State
		taken := state.Now()
		store.set(0, 0, errors.New("away"))
		time.Sleep(time.Second)
		store.write(4, 50, 8) // the copy, without the routing that takes the key away
		for state.Now()-taken < 2900*time.Millisecond {
			time.Sleep(100 * time.Millisecond)
			is.True(state.Age() >= state.Now()-taken) // nothing of this confirms it
		}
		store.write(4, 61, 9)
		time.Sleep(time.Second)
		is.Equal(state.Version(), peridotpath.RoutingVersion(9))
	})
}

// Nothing was lost, so that nothing is written again: after a while what stands in the
// store counts.
func TestStoreSettlesByItself(t *testing.T) {
	followEras(t, func(is *is.I, store *eraStore, follower *routing.Follower) {
		store.write(4, 50, 8)
		time.Sleep(keyvalue.Settling + time.Second)
		is.True(follower.State.KeysUsable())
		is.True(follower.State.Age() < 1200*time.Millisecond)
	})
}

// An instance starts while an older routing stands in the store. Its peers have the newer
// one; until they are heard it serves no key by the older one.
func TestStartWhileTheStoreIsOlder(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &eraStore{}
		follower, state := newFollower(&store.fakeStore)
		store.eras = &keyvalue.Eras{Now: state.Now}
		follower.Eras = store.eras
		follower.Check = store.eras.Guard(&keyvalue.Store{Check: store.check}).Check
		newer, err := keyvalue.VersionOf(3, 60)
		is.NoErr(err)
		follower.Ask = func(context.Context, netip.AddrPort, readings.RoutingSnapshot) (readings.RoutingSnapshot, error) {
			return readings.RoutingSnapshot{Version: newer, Value: []byte{9}, Age: 700 * time.Millisecond}, nil
		}
		store.write(4, 50, 8)
		// It finds instances' entries of the era before.
		store.eras.Met(4)
		store.eras.Suspect()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		is.Equal(state.Version(), peridotpath.RoutingVersion(8))
		is.True(!state.KeysUsable())
		follower.HearPeer(peer, 9, state.Now()-700*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		is.Equal(state.Version(), peridotpath.RoutingVersion(9))
		is.True(state.KeysUsable())
		last, ok := follower.Last()
		is.True(ok)
		is.Equal(last.Value, []byte{9})
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
	})
}
