package routing_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/readings"
	"peridotpath.example/peridotpath/routing"
)

func newState(now *time.Duration) *routing.State {
	return &routing.State{
		Now: func() time.Duration { return *now }, KeyLifetime: 4500 * time.Millisecond, Log: zerolog.Nop(),
	}
}

func newRouting(number peridotpath.RoutingVersion) *peridotpath.Routing {
	return &peridotpath.Routing{Version: number, Keys: map[peridotpath.APIKey]peridotpath.KeyHolder{"key": {Customer: "desk"}}}
}

func TestMatch(t *testing.T) {
	table := routing.NewTable(&peridotpath.Routing{Version: 1, Routes: []peridotpath.Route{
		{Name: "wide", Host: "one", PathPrefix: "/a/"},
		{Name: "narrow", Host: "one", PathPrefix: "/a/b/"},
		{Name: "other", Host: "two", PathPrefix: "/a/"},
	}})
	tests := []struct {
		host peridotpath.Host
		path string
		want peridotpath.RouteName
	}{
		{"one", "/a/x", "wide"},
		{"one", "/a/b/x", "narrow"},
		{"one", "/a/b", "wide"},
		{"one", "/a", ""},
		{"two", "/a/b/x", "other"},
		{"three", "/a/x", ""},
		{"one", "/A/x", ""},
	}
	for _, test := range tests {
		have := peridotpath.RouteName("")
		if route := table.Match(test.host, test.path); route != nil {
			have = route.Name
		}
		if have != test.want {
			t.Errorf("Match(%q, %q): have %q, want %q", test.host, test.path, have, test.want)
		}
	}
}

// A customer's key is revoked while an instance is frozen. It resumes with the old routing
// and the reply to a read from before the freeze. The key must be refused until the
// routing is confirmed again, although the monotonic clock stopped during the freeze.
func TestKeyAfterFreeze(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	state := newState(&now)
	state.Apply(newRouting(3), now)
	is.True(state.KeysUsable())
	now += 4 * time.Second
	is.True(state.KeysUsable())
	now += time.Second // frozen or disconnected
	is.True(!state.KeysUsable())
	state.Confirm(3, now-5*time.Second) // the reply to a read from before the freeze
	is.True(!state.KeysUsable())
	state.Confirm(3, now)
	is.True(state.KeysUsable())
}

// A delayed reply with the version before a revocation arrives after the newer version. It
// must not be applied, or the revoked key would be accepted again.
func TestOlderRoutingIsIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	state := newState(&now)
	state.Apply(newRouting(9), now)
	now += 3 * time.Second
	state.Apply(newRouting(4), now)
	is.Equal(state.Current().Routing.Version, peridotpath.RoutingVersion(9))
	is.Equal(state.Age(), 3*time.Second) // it confirms nothing
	state.Confirm(4, now)
	is.Equal(state.Age(), 3*time.Second)
}

// fakeStore holds one key.
type fakeStore struct {
	mutex   sync.Mutex
	version keyvalue.Version
	routing peridotpath.RoutingVersion
	calls   int
	err     error
}

func (store *fakeStore) set(version keyvalue.Version, routing peridotpath.RoutingVersion, err error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.version, store.routing, store.err = version, routing, err
}

func (store *fakeStore) callCount() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls
}

func (store *fakeStore) getIfChanged(_ context.Context, key string, expect keyvalue.Version) (keyvalue.Entry, bool, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.calls++
	if store.err != nil {
		return keyvalue.Entry{}, false, store.err
	}
	if store.version == expect {
		return keyvalue.Entry{}, false, nil
	}
	if store.version == 0 {
		return keyvalue.Entry{Key: key}, true, nil
	}
	return keyvalue.Entry{Key: key, Version: store.version, Value: []byte{byte(store.routing)}}, true, nil
}

var peer = readings.Peer{Address: netip.MustParseAddrPort("10.0.0.1:99"), InSameDataCentre: true}

var errNoPeer = errors.New("no such peer")

func noPeer(context.Context, netip.AddrPort, readings.RoutingSnapshot) (readings.RoutingSnapshot, error) {
	return readings.RoutingSnapshot{}, errNoPeer
}

func decode(value []byte) (*peridotpath.Routing, error) {
	return newRouting(peridotpath.RoutingVersion(value[0])), nil
}

// newFollower returns a follower that has no peer and reads the store once a minute, and
// its state.
func newFollower(store *fakeStore) (*routing.Follower, *routing.State) {
	began := time.Now()
	state := &routing.State{
		Now: func() time.Duration { return time.Hour + time.Since(began) }, KeyLifetime: 4500 * time.Millisecond, Log: zerolog.Nop(),
	}
	return &routing.Follower{
		State: state, Key: "routing", Decode: decode, GetIfChanged: store.getIfChanged, Eras: &keyvalue.EraTracker{}, FetchFromPeer: noPeer, OnConfirmed: func() {}, Log: zerolog.Nop(),
		Schedule: clock.PollSchedule{MinAge: time.Minute, MinInterval: 60 * time.Millisecond},
	}, state
}

// A change is active within the polling interval, and an unchanged routing is confirmed by
// a conditional get without a value.
func TestFollowerTracksStore(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{}
		follower, state := newFollower(store)
		follower.Schedule = clock.PollSchedule{MinAge: 500 * time.Millisecond, MaxDelay: 400 * time.Millisecond, RetryDelay: 250 * time.Millisecond, MinInterval: 60 * time.Millisecond}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(time.Second)
		is.True(state.Current() == nil) // there is none yet
		is.True(store.callCount() < 20) // and the store is not polled without a pause
		store.set(5, 2, nil)
		time.Sleep(time.Second)
		is.Equal(state.Current().Routing.Version, peridotpath.RoutingVersion(2))
		time.Sleep(10 * time.Second)
		is.True(state.KeysUsable())
		store.set(6, 8, nil)
		time.Sleep(time.Second)
		is.Equal(state.Current().Routing.Version, peridotpath.RoutingVersion(8))

		// The store is unreachable: the routing stays active, but keys expire.
		store.set(6, 8, keyvalue.ErrUnavailable.New("store unreachable"))
		time.Sleep(6 * time.Second)
		is.Equal(state.Current().Routing.Version, peridotpath.RoutingVersion(8))
		is.True(!state.KeysUsable())

		// A confirmation by a peer that reaches the store makes keys usable.
		follower.UpdateFromPeer(peer, 8, state.Now()-100*time.Millisecond)
		is.True(state.KeysUsable())
		store.set(6, 8, nil)
		time.Sleep(time.Second)
		is.True(state.KeysUsable())
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
	})
}

// A peer reports a newer version. It is fetched from that peer at once without a call to
// the store, whose load would otherwise grow with the number of instances.
func TestFollowerFetchesFromPeer(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{version: 1, routing: 1}
		follower, state := newFollower(store)
		follower.FetchFromPeer = func(context.Context, netip.AddrPort, readings.RoutingSnapshot) (readings.RoutingSnapshot, error) {
			return readings.RoutingSnapshot{Version: 2, RoutingVersion: 2, Value: []byte{2}, Age: 300 * time.Millisecond}, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(time.Second)
		is.Equal(store.callCount(), 1)
		follower.UpdateFromPeer(peer, 2, state.Now())
		time.Sleep(100 * time.Millisecond)
		is.Equal(state.Current().Routing.Version, peridotpath.RoutingVersion(2))
		is.Equal(store.callCount(), 1)
		is.Equal(state.Age(), 400*time.Millisecond) // the peer's age is carried over
		last, ok := follower.Newest()
		is.True(ok)
		is.Equal(last, readings.RoutingSnapshot{Version: 2, RoutingVersion: 2, Value: []byte{2}, Age: 400 * time.Millisecond})
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
	})
}

// A peer reports a newer version and cannot be reached: the store is read at once.
func TestFollowerFallsBackToStore(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{version: 1, routing: 1}
		follower, state := newFollower(store)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(time.Second)
		store.set(2, 2, nil)
		follower.UpdateFromPeer(peer, 2, state.Now())
		time.Sleep(100 * time.Millisecond)
		is.Equal(state.Current().Routing.Version, peridotpath.RoutingVersion(2))
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
	})
}

// A peer in another data centre reports a change. If all instances of this data centre
// fetched it at once, the link of the peer or of the store would be saturated, although
// one fetch serves all. This instance must fetch it only if no nearby peer has it after
// the delay for its position, and must prefer a nearby peer.
func TestFollowerDelaysFetchFromRemoteDataCentre(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{version: 1, routing: 1}
		remotePeer := readings.Peer{Address: netip.MustParseAddrPort("10.9.0.1:99")}
		fetchedFrom := make(chan netip.AddrPort, 10)
		follower, state := newFollower(store)
		follower.FetchFromPeer = func(_ context.Context, peer netip.AddrPort, have readings.RoutingSnapshot) (readings.RoutingSnapshot, error) {
			fetchedFrom <- peer
			return readings.RoutingSnapshot{Version: have.Version + 1, Value: []byte{byte(have.Version + 1)}}, nil
		}
		follower.FetchPosition = func(peridotpath.RoutingVersion) int { return 2 }
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(time.Second)

		follower.UpdateFromPeer(remotePeer, 2, state.Now())
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(fetchedFrom), 0) // two others are first
		follower.UpdateFromPeer(peer, 2, state.Now())
		time.Sleep(time.Second)
		is.Equal(<-fetchedFrom, peer.Address) // one of them has it

		follower.UpdateFromPeer(remotePeer, 3, state.Now())
		time.Sleep(time.Second)
		is.Equal(<-fetchedFrom, remotePeer.Address) // no nearby peer has it
		is.Equal(len(fetchedFrom), 0)
		is.Equal(state.Current().Routing.Version, peridotpath.RoutingVersion(3))
		is.Equal(store.callCount(), 1) // the store is read at the start only
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
	})
}

// The routing is deleted from the store. The active one is kept without a confirmation, and
// the store does not count as unreachable.
func TestDeletedRoutingStaysActive(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{}
		follower, state := newFollower(store)
		follower.Schedule = clock.PollSchedule{MinAge: 500 * time.Millisecond, MaxDelay: 400 * time.Millisecond, RetryDelay: 250 * time.Millisecond, MinInterval: 60 * time.Millisecond}
		store.set(5, 2, nil)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(time.Second)
		store.set(0, 0, nil)
		time.Sleep(5 * time.Second)
		is.Equal(state.Version(), peridotpath.RoutingVersion(2))
		is.True(!follower.IsFailing())
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
	})
}
