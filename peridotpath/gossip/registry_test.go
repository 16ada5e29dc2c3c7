package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/gossip"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/keyvalue"
)

// After a power loss of all instances their entries are still in the store. The list of
// instances is read before anything else starts, or every instance reads everything from
// the store by itself.
func TestPeersAreListedFirst(t *testing.T) {
	other := keyvalue.Entry{Key: gossip.RegistryPrefix + "other/1-1", Value: []byte(`{"address":"10.0.0.2:9","data_centre":"a"}`)}
	tests := map[string]struct {
		listed []keyvalue.Entry
		err    error
		want   string
	}{
		"other instances":   {[]keyvalue.Entry{other}, nil, "[stale peers grant task swap list peers]"},
		"no other instance": {nil, nil, "[stale peers grant swap list peers task]"},
		"store unavailable": {nil, keyvalue.ErrUnavailable.New("store unreachable"), "[stale grant task]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				var mutex sync.Mutex
				var calls []string
				record := func(name string) {
					mutex.Lock()
					defer mutex.Unlock()
					calls = append(calls, name)
				}
				call := func(name string) error {
					record(name)
					time.Sleep(4 * time.Millisecond)
					return test.err
				}
				registry := &gossip.Registry{
					Store: &keyvalue.Store{
						ListStale: func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) {
							return test.listed, 1, call("stale")
						},
						List: func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) {
							return test.listed, 1, call("list")
						},
						Grant: func(context.Context, time.Duration) (keyvalue.LeaseID, error) {
							return keyvalue.LeaseID{Number: 5}, call("grant")
						},
						Renew: func(context.Context, keyvalue.LeaseID) error { return nil },
						Swap: func(context.Context, string, keyvalue.Version, []byte, keyvalue.LeaseID) (keyvalue.Version, error) {
							return 1, call("swap")
						},
					},
					Instance: "one", Incarnation: 1, Address: netip.MustParseAddrPort("10.0.0.1:9"), DataCentre: "a",
					SetPeers: func([]gossip.Peer) { record("peers") }, Eras: &keyvalue.EraTracker{}, Log: zerolog.Nop(),
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				task := registry.AfterFirstList(func(context.Context) error {
					time.Sleep(time.Millisecond)
					record("task")
					return nil
				})
				ended := make(chan error, 2)
				go func() { ended <- registry.Run(ctx) }()
				go func() { ended <- task(ctx) }()
				is.NoErr(<-ended)
				is.True(errors.Is(<-ended, context.DeadlineExceeded))
				mutex.Lock()
				defer mutex.Unlock()
				is.Equal(fmt.Sprint(calls), test.want)
			})
		})
	}
}

// laggingStore holds registrations; its stale lists lack those of the last staleListLag.
type laggingStore struct {
	mutex     sync.Mutex
	entries   []keyvalue.Entry
	createdAt []time.Time
	// readCount is the number of lists that were read.
	readCount int
}

const staleListLag = 3 * time.Second

// read returns the entries that are at least lag old.
func (laggingStore *laggingStore) read(lag time.Duration) ([]keyvalue.Entry, keyvalue.Version, error) {
	time.Sleep(4 * time.Millisecond)
	laggingStore.mutex.Lock()
	defer laggingStore.mutex.Unlock()
	laggingStore.readCount++
	var entries []keyvalue.Entry
	for i, entry := range laggingStore.entries {
		if time.Since(laggingStore.createdAt[i]) >= lag {
			entries = append(entries, entry)
		}
	}
	return entries, 1, nil
}

// listCount returns the number of lists that were read so far.
func (laggingStore *laggingStore) listCount() int {
	laggingStore.mutex.Lock()
	defer laggingStore.mutex.Unlock()
	return laggingStore.readCount
}

func (laggingStore *laggingStore) client() *keyvalue.Store {
	return &keyvalue.Store{
		ListStale: func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) {
			return laggingStore.read(staleListLag)
		},
		List: func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) { return laggingStore.read(0) },
		Grant: func(context.Context, time.Duration) (keyvalue.LeaseID, error) {
			return keyvalue.LeaseID{Number: 5}, nil
		},
		Renew: func(context.Context, keyvalue.LeaseID) error { return nil },
		Swap: func(_ context.Context, key string, _ keyvalue.Version, value []byte, _ keyvalue.LeaseID) (keyvalue.Version, error) {
			time.Sleep(4 * time.Millisecond)
			laggingStore.mutex.Lock()
			defer laggingStore.mutex.Unlock()
			laggingStore.entries = append(laggingStore.entries, keyvalue.Entry{Key: key, Value: value})
			laggingStore.createdAt = append(laggingStore.createdAt, time.Now())
			return 1, nil
		},
	}
}

// listingInstance is an instance under test with the peers that it has listed.
type listingInstance struct {
	registry *gossip.Registry
	mutex    sync.Mutex
	peers    map[netip.AddrPort]bool
}

func newListingInstance(number int, store *keyvalue.Store) *listingInstance {
	instance := &listingInstance{peers: map[netip.AddrPort]bool{}}
	instance.registry = &gossip.Registry{
		Store: store, Instance: peridotpath.InstanceID(fmt.Sprintf("edge-%d", number)), Incarnation: 1,
		Address: instanceAddress(number), DataCentre: "a", Eras: &keyvalue.EraTracker{}, Log: zerolog.Nop(),
		SetPeers: func(peers []gossip.Peer) {
			instance.mutex.Lock()
			defer instance.mutex.Unlock()
			for _, peer := range peers {
				instance.peers[peer.Address] = true
			}
		},
	}
	return instance
}

func instanceAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 9)
}

func (listingInstance *listingInstance) hasPeer(number int) bool {
	listingInstance.mutex.Lock()
	defer listingInstance.mutex.Unlock()
	return listingInstance.peers[instanceAddress(number)]
}

// Sixty instances start within 100 ms, and stale lists lag by seconds. Of any two, one must
// find the other soon, or neither receives the digests of the other. The lists must also
// stay few: with one every few seconds from each instance, they made up most of the traffic
// between the data centres of a large fleet.
func TestInstanceListsAreCompleteAndFew(t *testing.T) {
	const count, span = 60, 60 * time.Second
	virtual.Test(t, func(t *testing.T) {
		store := &laggingStore{}
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		ended := make(chan error, count)
		var all []*listingInstance
		for i := range count {
			instance := newListingInstance(i, store.client())
			all = append(all, instance)
			go func() {
				time.Sleep(time.Duration(i*37%100) * time.Millisecond)
				ended <- instance.registry.Run(ctx)
			}()
		}
		time.Sleep(2 * time.Second)
		for i := range count {
			for j := range i {
				if !all[i].hasPeer(j) && !all[j].hasPeer(i) {
					t.Errorf("after 2 s neither %d nor %d has the other", i, j)
				}
			}
		}
		for range count {
			if err := <-ended; !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("Run: %v", err)
			}
		}
		// Two lists for each instance at its start, and four a second for the fleet.
		if got, want := store.listCount(), 2*count+4*int(span.Seconds()); got > want {
			t.Errorf("%d lists were read, want %d at most", got, want)
		}
	})
}

// A peer reports another number of cells. An instance whose next list is due only in most
// of a minute would keep to its old cell, send requests to engines that other instances use,
// and receive nothing of their load. It must list the instances soon after the report.
func TestListIsReadWhenCellCountDiffers(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &laggingStore{}
		for i := range 200 {
			value := fmt.Appendf(nil, `{"address":"10.0.1.%d:9","data_centre":"a"}`, i+1)
			store.entries = append(store.entries, keyvalue.Entry{Key: "k", Value: value})
			store.createdAt = append(store.createdAt, time.Now().Add(-time.Duration(i)*time.Hour))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		instance := newListingInstance(1, store.client())
		ended := make(chan error, 1)
		go func() { ended <- instance.registry.Run(ctx) }()
		time.Sleep(10 * time.Second)
		is.Equal(store.listCount(), 2) // both at its start
		_, err := store.client().Swap(ctx, "new", 0, []byte(`{"address":"10.0.0.7:9","data_centre":"a"}`), keyvalue.LeaseID{Number: 5})
		is.NoErr(err)
		instance.registry.RequestList()
		instance.registry.RequestList()
		time.Sleep(1500 * time.Millisecond)
		is.True(instance.hasPeer(7))
		is.Equal(store.listCount(), 3)
		instance.registry.RequestList() // no effect: a list was read a moment ago
		is.True(errors.Is(<-ended, context.DeadlineExceeded))
		is.Equal(store.listCount(), 3)
	})
}

// The store does not answer while an instance starts, and a peer holds the snapshot that the
// instance needs. The instance must fetch it at once, and not only after the list of
// instances timed out, more than a second later.
func TestSnapshotIsFetchedWhileStoreDoesNotAnswer(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := &keyvalue.Store{
			ListStale: func(ctx context.Context, _ string) ([]keyvalue.Entry, keyvalue.Version, error) {
				<-ctx.Done()
				return nil, 0, ctx.Err()
			},
			Grant: func(ctx context.Context, _ time.Duration) (keyvalue.LeaseID, error) {
				<-ctx.Done()
				return keyvalue.LeaseID{}, ctx.Err()
			},
		}
		instance := newListingInstance(1, store)
		ended, startedAt, fetchedAfter := make(chan error, 2), time.Now(), make(chan time.Duration, 1)
		task := instance.registry.AfterFirstList(func(context.Context) error {
			fetchedAfter <- time.Since(startedAt)
			return nil
		})
		go func() { ended <- instance.registry.Run(ctx) }()
		go func() { ended <- task(ctx) }()
		time.Sleep(30 * time.Millisecond)
		instance.registry.MarkPeerReady()
		instance.registry.MarkPeerReady()
		is.Equal(<-fetchedAfter, 30*time.Millisecond)
		is.NoErr(<-ended)
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
	})
}
