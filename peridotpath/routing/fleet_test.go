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
	// linkBytesPerSecond is the bandwidth of a small instance's link, in bytes per second.
	linkBytesPerSecond = 20e6 / 8
	// digestDelay is the time from a change until peers receive its digest.
	digestDelay    = 10 * time.Millisecond
	digestInterval = 250 * time.Millisecond
	routeCount     = 1100
)

// followerFleet is a fleet of followers of one store. Peers exchange digests, and send
// their routings over links that carry one reply at a time.
type followerFleet struct {
	store     *largeStore
	followers []*routing.Follower
	links     []link
	mutex     sync.Mutex
	// bytesSent counts the bytes that each follower has sent to peers.
	bytesSent []int
	// encodedLengths caches the length of a reply by its version and that of the receiver.
	encodedLengths map[[2]keyvalue.Version]int
}

// largeStore holds a document of many routes; each version changes two of them.
type largeStore struct {
	mutex   sync.Mutex
	version uint64
	calls   int
	link    link
	// documents caches the documents by version.
	documents map[uint64][]byte
}

// link carries one reply at a time.
type link chan struct{}

func (link link) carry(span time.Duration) {
	link <- struct{}{}
	time.Sleep(span)
	<-link
}

func (store *largeStore) set(version uint64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.version = version
}

func (store *largeStore) callCount() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls
}

func largeDocument(version uint64) []byte {
	text := fmt.Appendf(nil, "%d ", version)
	for i := range uint64(routeCount) {
		target := i * 2654435761
		if i == version%routeCount || i == 7*version%routeCount {
			target = version
		}
		text = fmt.Appendf(text, `{"name":"r%08x","hostname":"h%06x.example","path_prefix":"/p%05x/","service":"s%x","timeout_ms":10000,"retries":2},`,
			i*40503, i*9176, i*7919, target)
	}
	return text
}

func decodeLarge(value []byte) (*peridotpath.Routing, error) {
	routing := &peridotpath.Routing{}
	_, err := fmt.Sscanf(string(value[:20]), "%d ", &routing.Version)
	return routing, err
}

func (store *largeStore) getIfChanged(ctx context.Context, key string, expect keyvalue.Version) (keyvalue.Entry, bool, error) {
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
		store.documents[version] = largeDocument(version)
	}
	value := store.documents[version]
	store.mutex.Unlock()
	// The value is sent as base64 over the reader's own link; the store's link has
	// fifty times the bandwidth.
	span := time.Duration(float64(len(value)) * 4 / 3 / linkBytesPerSecond * float64(time.Second))
	store.link.carry(span / 50)
	time.Sleep(span)
	return keyvalue.Entry{Key: key, Version: keyvalue.Version(version), Value: value}, true, ctx.Err()
}

func newFollowerFleet(count, dataCentres int) *followerFleet {
	fleet := &followerFleet{store: &largeStore{link: make(link, 1), documents: map[uint64][]byte{}}, bytesSent: make([]int, count), encodedLengths: map[[2]keyvalue.Version]int{}}
	began := time.Now()
	for i := range count {
		fleet.links = append(fleet.links, make(link, 1))
		state := &routing.State{
			Now: func() time.Duration { return time.Hour + time.Since(began) }, KeyLifetime: 4500 * time.Millisecond, Log: zerolog.Nop(),
		}
		// Instances are assigned to the data centres in turn.
		rankInDataCentre := i / dataCentres
		fleet.followers = append(fleet.followers, &routing.Follower{
			State: state, Key: "routing", Decode: decodeLarge, GetIfChanged: fleet.store.getIfChanged, Eras: &keyvalue.EraTracker{}, Log: zerolog.Nop(),
			FetchFromPeer: func(ctx context.Context, peer netip.AddrPort, have readings.RoutingSnapshot) (readings.RoutingSnapshot, error) {
				return fleet.fetch(ctx, peer, have)
			},
			OnConfirmed: func() { fleet.sendDigest(i, dataCentres) },
			FetchPosition: func(version peridotpath.RoutingVersion) int {
				return (rankInDataCentre + int(version)) % (count / dataCentres)
			},
			Schedule: clock.PollSchedule{
				MinAge: 1400 * time.Millisecond, MaxDelay: time.Second, RetryDelay: 250 * time.Millisecond, MinInterval: 60 * time.Millisecond,
				PeerCount: func() int { return count - 1 },
				HasData:   func() bool { return state.Current() != nil }, PrecedingPeers: func() int { return min(rankInDataCentre, 9) },
			},
		})
	}
	return fleet
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}

// sendDigest sends the version of one follower to all others.
func (fleet *followerFleet) sendDigest(from, dataCentres int) {
	table := fleet.followers[from].State.Current()
	if table == nil {
		return
	}
	version, sentAt := table.Routing.Version, fleet.followers[from].State.Now()-fleet.followers[from].State.Age()
	time.AfterFunc(digestDelay, func() {
		for i, follower := range fleet.followers {
			if i != from {
				near := i%dataCentres == from%dataCentres
				follower.UpdateFromPeer(readings.Peer{Address: addressOf(from), InSameDataCentre: near}, version, sentAt)
			}
		}
	})
}

// fetch fetches a routing from a peer over its link, within the client timeout.
func (fleet *followerFleet) fetch(ctx context.Context, peer netip.AddrPort, have readings.RoutingSnapshot) (readings.RoutingSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
	defer cancel()
	bytes := peer.Addr().As4()
	number := int(bytes[2])<<8 | int(bytes[3])
	snapshot, ok := fleet.followers[number].Newest()
	if !ok {
		return snapshot, errNoPeer
	}
	base, _ := fleet.followers[number].AtVersion(have.Version)
	length, err := fleet.encodedLength(snapshot, base)
	if err != nil {
		return snapshot, err
	}
	fleet.mutex.Lock()
	fleet.bytesSent[number] += length
	fleet.mutex.Unlock()
	fleet.links[number].carry(time.Duration(float64(length) / linkBytesPerSecond * float64(time.Second)))
	return snapshot, ctx.Err()
}

// encodedLength returns the encoded length of a routing as a delta to base.
func (fleet *followerFleet) encodedLength(snapshot, base readings.RoutingSnapshot) (int, error) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	key := [2]keyvalue.Version{snapshot.Version, base.Version}
	if length, ok := fleet.encodedLengths[key]; ok {
		return length, nil
	}
	packed, err := delta.Compute(snapshot.Value, base.Value)
	fleet.encodedLengths[key] = len(packed)
	return len(packed), err
}

// run runs all followers until work returns.
func (fleet *followerFleet) run(t *testing.T, dataCentres int, work func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	for i, follower := range fleet.followers {
		tasks.Go(func() { _ = follower.Run(ctx) })
		tasks.Go(func() {
			for clock.SleepContext(ctx, digestInterval) {
				fleet.sendDigest(i, dataCentres)
			}
		})
	}
	work()
	cancel()
	tasks.Wait()
	time.Sleep(time.Second)
}

// totalSent returns the bytes that all followers have sent to peers.
func (fleet *followerFleet) totalSent() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	total := 0
	for _, sent := range fleet.bytesSent {
		total += sent
	}
	return total
}

// countAt returns the number of instances whose active routing has that version.
func (fleet *followerFleet) countAt(version peridotpath.RoutingVersion) int {
	count := 0
	for _, follower := range fleet.followers {
		if table := follower.State.Current(); table != nil && table.Routing.Version == version {
			count++
		}
	}
	return count
}

// All instances start at once after a power failure, with a routing of 1,100 routes. If
// each read the whole routing from the store, the store's link would be saturated and no
// instance ready for seconds. Only one or two instances in each data centre may read the
// store; the others must fetch the routing from them.
func TestSimultaneousStart(t *testing.T) {
	for _, count := range []int{40, 100} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				fleet := newFollowerFleet(count, 5)
				fleet.store.set(3)
				fleet.run(t, 5, func() {
					time.Sleep(time.Second)
					if have := fleet.countAt(3); have != count {
						t.Errorf("after 1 s %d of %d instances have the routing", have, count)
					}
					if calls := fleet.store.callCount(); calls > 10 {
						t.Errorf("%d calls to the store, want 10: two in each data centre", calls)
					}
				})
			})
		})
	}
}

// Operators change a routing of 1,100 routes 25 times within two seconds. If each instance
// fetched each version whole from the peer that has it first, that peer's link would be
// saturated for seconds, the fetches would time out, and the instances would read the
// store. Only deltas may be sent, once into each data centre.
func TestBurstOfChanges(t *testing.T) {
	whole := len(largeDocument(1))
	for _, count := range []int{40, 100} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				fleet := newFollowerFleet(count, 5)
				fleet.store.set(1)
				fleet.run(t, 5, func() {
					time.Sleep(5 * time.Second)
					calls := fleet.store.callCount()
					fleet.mutex.Lock()
					clear(fleet.bytesSent)
					fleet.mutex.Unlock()
					for version := uint64(2); version <= 26; version++ {
						fleet.store.set(version)
						time.Sleep(80 * time.Millisecond)
					}
					time.Sleep(3 * time.Second)
					if have := fleet.countAt(26); have != count {
						t.Errorf("3 s after the last change %d of %d instances have it", have, count)
					}
					calls = fleet.store.callCount() - calls
					total := fleet.totalSent()
					t.Logf("%d instances: %d calls to the store, %d bytes between instances, %d each", count, calls, total, total/count)
					if total/count > whole/4 {
						t.Errorf("%d bytes an instance, want at most a quarter of one routing, %d", total/count, whole/4)
					}
					// The store is read every 1.4 s, four times in 5 s, at most twice by each
					// data centre, independently of the number of instances.
					if calls > 40 {
						t.Errorf("%d calls to the store in 5 s, want at most 40", calls)
					}
				})
			})
		})
	}
}

// The store is restored from a copy, and a hundred instances have to read it again. If all
// did so at once, the store's link would be saturated.
func TestFleetReadsRestoredStore(t *testing.T) {
	const count, dataCentres = 100, 5
	virtual.Test(t, func(t *testing.T) {
		fleet := newFollowerFleet(count, dataCentres)
		var era atomic.Uint64
		began := time.Now()
		var stores []*keyvalue.Store
		for _, follower := range fleet.followers {
			eras := &keyvalue.EraTracker{Now: func() time.Duration { return time.Hour + time.Since(began) }}
			follower.Eras = eras
			follower.Schedule.HasData = func() bool { return follower.State.Current() != nil && eras.HasSettled() }
			list := func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) {
				version, err := keyvalue.NewVersion(keyvalue.Era(era.Load()), 3)
				return nil, version, err
			}
			store := eras.Guard(&keyvalue.Store{List: list, GetIfChanged: func(ctx context.Context, key string, expect keyvalue.Version) (keyvalue.Entry, bool, error) {
				entry, changed, err := fleet.store.getIfChanged(ctx, key, keyvalue.Version(expect.Number()))
				now := keyvalue.Era(era.Load())
				eras.Observe(now)
				if entry.Version != 0 {
					entry.Version, _ = keyvalue.NewVersion(now, entry.Version.Number())
				}
				return entry, changed, err
			}})
			follower.GetIfChanged = store.GetIfChanged
			stores = append(stores, store)
		}
		fleet.store.set(3)
		fleet.run(t, dataCentres, func() {
			time.Sleep(5 * time.Second)
			calls := fleet.store.callCount()
			era.Store(1)
			for _, follower := range fleet.followers {
				// Digests spread the era within milliseconds.
				follower.Eras.ObservePeer(1, 0, true)
			}
			for _, store := range stores {
				// Instances write their entries again one after another.
				time.Sleep(time.Second / count)
				if _, _, err := store.List(t.Context(), ""); err != nil {
					t.Error(err)
				}
			}
			fleet.store.set(4)
			time.Sleep(2 * time.Second)
			if have := fleet.countAt(4); have != count {
				t.Errorf("2 s after a change %d of %d instances have it", have, count)
			}
			// Without these list calls all instances would poll as often as during an outage
			// of the store.
			if calls = fleet.store.callCount() - calls; calls > 60 {
				t.Errorf("%d calls to the store in 3 s, want 60 at most", calls)
			}
		})
	})
}
