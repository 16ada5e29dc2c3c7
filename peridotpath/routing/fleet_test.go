package routing_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/delta"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/readings"
	"peridotpath.example/peridotpath/routing"
)

const (
	// linkPerSecond is a small instance's link, in bytes.
	linkPerSecond = 20e6 / 8
	// wayOfDigest is the time from a change until peers have heard of it.
	wayOfDigest = 10 * time.Millisecond
	heartbeat   = 250 * time.Millisecond
	bigRoutes   = 1100
)

// manyFollowers is a fleet of followers before one store. Peers hear of each other
// by digests, and send what they have over links that take one answer at a time.
type manyFollowers struct {
	store     *bigStore
	followers []*routing.Follower
	links     []link
	mutex     sync.Mutex
	// sent is how many bytes each has sent to peers.
	sent []int
	// packed holds the bytes of an answer by the versions asked for and had.
	packed map[[2]keyvalue.Version]int
}

// bigStore holds a document of many routes; versions differ in two of them.
type bigStore struct {
	mutex   sync.Mutex
	version uint64
	calls   int
	link    link
	// documents are those made so far, by version.
	documents map[uint64][]byte
}

// link carries one answer at a time.
type link chan struct{}

func (link link) carry(span time.Duration) {
	link <- struct{}{}
	time.Sleep(span)
	<-link
}

func (store *bigStore) set(version uint64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.version = version
}

func (store *bigStore) called() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls
}

func bigDocument(version uint64) []byte {
	text := fmt.Appendf(nil, "%d ", version)
	for i := range uint64(bigRoutes) {
		target := i * 2654435761
		if i == version%bigRoutes || i == 7*version%bigRoutes {
			target = version
		}
		text = fmt.Appendf(text, `{"name":"r%08x","hostname":"h%06x.example","path_prefix":"/p%05x/","service":"s%x","timeout_ms":10000,"retries":2},`,
			i*40503, i*9176, i*7919, target)
	}
	return text
}

func decodeBig(value []byte) (*peridotpath.Routing, error) {
	routing := &peridotpath.Routing{}
	_, err := fmt.Sscanf(string(value[:20]), "%d ", &routing.Version)
	return routing, err
}

func (store *bigStore) check(ctx context.Context, key string, expect keyvalue.Version) (keyvalue.Entry, bool, error) {
	store.mutex.Lock()
	store.calls++
	version := store.version
	store.mutex.Unlock()
	time.Sleep(4 * time.Millisecond)
	if uint64(expect) == version {
		return keyvalue.Entry{}, false, nil
	}
	store.mutex.Lock()
	if store.documents[version] == nil {
		store.documents[version] = bigDocument(version)
	}
	value := store.documents[version]
	store.mutex.Unlock()
	// Base64 over the asker's own link; the store's is fifty times as wide.
	span := time.Duration(float64(len(value)) * 4 / 3 / linkPerSecond * float64(time.Second))
	store.link.carry(span / 50)
	time.Sleep(span)
	return keyvalue.Entry{Key: key, Version: keyvalue.Version(version), Value: value}, true, ctx.Err()
}

func newManyFollowers(count, dataCentres int) *manyFollowers {
	fleet := &manyFollowers{store: &bigStore{link: make(link, 1), documents: map[uint64][]byte{}}, sent: make([]int, count), packed: map[[2]keyvalue.Version]int{}}
	began := time.Now()
	for i := range count {
		fleet.links = append(fleet.links, make(link, 1))
		state := &routing.State{
			Now: func() time.Duration { return time.Hour + time.Since(began) }, KeyLifetime: 4500 * time.Millisecond, Log: zerolog.Nop(),
		}
		// Those of a data centre stand one after the other in the fleet.
		behind := i / dataCentres
		fleet.followers = append(fleet.followers, &routing.Follower{
			State: state, Key: "routing", Decode: decodeBig, Check: fleet.store.check, Eras: &keyvalue.Eras{}, Log: zerolog.Nop(),
			Ask: func(ctx context.Context, peer netip.AddrPort, have readings.RoutingSnapshot) (readings.RoutingSnapshot, error) {
				return fleet.ask(ctx, peer, have)
			},
			Confirmed: func() { fleet.tell(i, dataCentres) },
			Before: func(version peridotpath.RoutingVersion) int {
				return (behind + int(version)) % (count / dataCentres)
			},
			Pace: clock.PollSchedule{
				MinAge: 1400 * time.Millisecond, MaxDelay: time.Second, RetryDelay: 250 * time.Millisecond, MinInterval: 60 * time.Millisecond,
				PeerCount: func() int { return count - 1 },
				HasData:   func() bool { return state.Current() != nil }, PrecedingPeers: func() int { return min(behind, 9) },
			},
		})
	}
	return fleet
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}

// tell lets all others hear what one has read.
func (fleet *manyFollowers) tell(from, dataCentres int) {
	table := fleet.followers[from].State.Current()
	if table == nil {
		return
	}
	version, asked := table.Routing.Version, fleet.followers[from].State.Now()-fleet.followers[from].State.Age()
	time.AfterFunc(wayOfDigest, func() {
		for i, follower := range fleet.followers {
			if i != from {
				near := i%dataCentres == from%dataCentres
				follower.HearPeer(readings.Peer{Address: addressOf(from), InSameDataCentre: near}, version, asked)
			}
		}
	})
}

// ask lets a peer answer over its link, within the time that an asker waits.
func (fleet *manyFollowers) ask(ctx context.Context, peer netip.AddrPort, have readings.RoutingSnapshot) (readings.RoutingSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
	defer cancel()
	bytes := peer.Addr().As4()
	number := int(bytes[2])<<8 | int(bytes[3])
	reading, ok := fleet.followers[number].Last()
	if !ok {
		return reading, errNoPeer
	}
	base, _ := fleet.followers[number].Of(have.Version)
	length, err := fleet.pack(reading, base)
	if err != nil {
		return reading, err
	}
	fleet.mutex.Lock()
	fleet.sent[number] += length
	fleet.mutex.Unlock()
	fleet.links[number].carry(time.Duration(float64(length) / linkPerSecond * float64(time.Second)))
	return reading, ctx.Err()
}

// pack returns the length of a reading packed for whoever has base.
func (fleet *manyFollowers) pack(reading, base readings.RoutingSnapshot) (int, error) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	key := [2]keyvalue.Version{reading.Version, base.Version}
	if length, known := fleet.packed[key]; known {
		return length, nil
	}
	packed, err := delta.Pack(reading.Value, base.Value)
	fleet.packed[key] = len(packed)
	return len(packed), err
}

// run lets all follow until the test's work is done.
func (fleet *manyFollowers) run(t *testing.T, dataCentres int, work func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	for i, follower := range fleet.followers {
		all.Go(func() { _ = follower.Run(ctx) })
		all.Go(func() {
			for clock.Sleep(ctx, heartbeat) {
				fleet.tell(i, dataCentres)
			}
		})
	}
	work()
	cancel()
	all.Wait()
	time.Sleep(time.Second)
}

// total is how many bytes all have sent to peers.
func (fleet *manyFollowers) total() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	total := 0
	for _, sent := range fleet.sent {
		total += sent
	}
	return total
}

// have counts the instances that have that version.
func (fleet *manyFollowers) have(version peridotpath.RoutingVersion) int {
	count := 0
	for _, follower := range fleet.followers {
		if table := follower.State.Current(); table != nil && table.Routing.Version == version {
			count++
		}
	}
	return count
}

// All instances lost their power and start at one moment, and the routing has 1,100
// routes. Each read the whole of the store, whose link was full, and callers were
// told for seconds that nobody was ready. One in each data centre reads it and tells
// the others.
func TestStartOfAll(t *testing.T) {
	for _, count := range []int{40, 100} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				fleet := newManyFollowers(count, 5)
				fleet.store.set(3)
				fleet.run(t, 5, func() {
					time.Sleep(time.Second)
					if have := fleet.have(3); have != count {
						t.Errorf("after a second %d of %d have the routing", have, count)
					}
					if calls := fleet.store.called(); calls > 10 {
						t.Errorf("%d calls to the store, want 10: two in each data centre", calls)
					}
				})
			})
		})
	}
}

// Operators change a routing of 1,100 routes 25 times within two seconds. Each
// instance fetched the whole for each version from whoever had it first, whose link
// was full for seconds; asked again, then asked the store. What changed is all that
// travels, once into each data centre.
func TestStormOfChanges(t *testing.T) {
	whole := len(bigDocument(1))
	for _, count := range []int{40, 100} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				fleet := newManyFollowers(count, 5)
				fleet.store.set(1)
				fleet.run(t, 5, func() {
					time.Sleep(5 * time.Second)
					calls := fleet.store.called()
					fleet.mutex.Lock()
					clear(fleet.sent)
					fleet.mutex.Unlock()
					for version := uint64(2); version <= 26; version++ {
						fleet.store.set(version)
						time.Sleep(80 * time.Millisecond)
					}
					time.Sleep(3 * time.Second)
					if have := fleet.have(26); have != count {
						t.Errorf("3 s after the last change %d of %d have it", have, count)
					}
					calls = fleet.store.called() - calls
					total := fleet.total()
					t.Logf("%d instances: %d calls to the store, %d bytes between instances, %d each", count, calls, total, total/count)
					if total/count > whole/4 {
						t.Errorf("%d bytes an instance, want at most a quarter of one routing, %d", total/count, whole/4)
					}
					// The store is looked at again after 1.4 s, four times in 5 s, and twice by
					// each data centre at most, however many instances there are.
					if calls > 40 {
						t.Errorf("%d calls to the store in 5 s, want at most 40", calls)
					}
				})
			})
		})
	}
}

// The store comes back from a copy, and a hundred instances have to read it anew. All of
// them at once would fill its link.
func TestStoreBackFromACopy(t *testing.T) {
	const count, dataCentres = 100, 5
	virtual.Test(t, func(t *testing.T) {
		fleet := newManyFollowers(count, dataCentres)
		var era atomic.Uint64
		began := time.Now()
		var stores []*keyvalue.Store
		for _, follower := range fleet.followers {
			eras := &keyvalue.Eras{Now: func() time.Duration { return time.Hour + time.Since(began) }}
			follower.Eras = eras
			follower.Pace.HasData = func() bool { return follower.State.Current() != nil && eras.Settled() }
			list := func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) {
				version, err := keyvalue.VersionOf(keyvalue.Era(era.Load()), 3)
				return nil, version, err
			}
			store := eras.Guard(&keyvalue.Store{List: list, Check: func(ctx context.Context, key string, expect keyvalue.Version) (keyvalue.Entry, bool, error) {
				entry, changed, err := fleet.store.check(ctx, key, keyvalue.Version(expect.Number()))
				now := keyvalue.Era(era.Load())
				eras.Met(now)
				if entry.Version != 0 {
					entry.Version, _ = keyvalue.VersionOf(now, entry.Version.Number())
				}
				return entry, changed, err
			}})
			follower.Check = store.Check
			stores = append(stores, store)
		}
		fleet.store.set(3)
		fleet.run(t, dataCentres, func() {
			time.Sleep(5 * time.Second)
			calls := fleet.store.called()
			era.Store(1)
			for _, follower := range fleet.followers {
				// Digests tell of the era within milliseconds.
				follower.Eras.Heard(1, 0, true)
			}
			for _, store := range stores {
				// Each makes its entry anew, at its own moment.
				time.Sleep(time.Second / count)
				if _, _, err := store.List(t.Context(), ""); err != nil {
					t.Error(err)
				}
			}
			fleet.store.set(4)
			time.Sleep(2 * time.Second)
			if have := fleet.have(4); have != count {
				t.Errorf("2 s after a change %d of %d have it", have, count)
			}
			// Unread, all look as often as when the store is away.
			if calls = fleet.store.called() - calls; calls > 60 {
				t.Errorf("%d calls to the store in 3 s, want 60 at most", calls)
			}
		})
	})
}
