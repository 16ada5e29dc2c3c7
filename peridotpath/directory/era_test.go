package directory_test

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/readings"
)

// The store is restored from an older copy that lists an endpoint which has left, and lacks
// one which has joined. For a fixed time the former must stay excluded and the latter in
// use.
func TestRestoreFromOlderCopy(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	stays, left, leaving, joined := endpoint("stays", 1), endpoint("left", 2), endpoint("leaving", 3), endpoint("joined", 4)
	inCopy := []peridotpath.Endpoint{stays, left, leaving}
	dir.Apply(directory.Listing{Endpoints: inCopy}, time.Minute)
	leaving.State = peridotpath.StateLeaving
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{stays, leaving, joined}}, time.Minute+time.Second)
	is.Equal(ids(dir), []string{"stays", "joined"})

	restoredAt := time.Minute + 4*time.Second
	dir.MarkStoreReadable(restoredAt - time.Second)
	dir.MarkStoreRestored(restoredAt)
	dir.Apply(directory.Listing{Endpoints: inCopy}, restoredAt+100*time.Millisecond)
	is.Equal(ids(dir), []string{"stays", "joined"})
	// Both exceptions end, at different times, and each makes a read overdue.
	is.Equal(dir.OverdueBy(restoredAt+2*time.Second), time.Duration(0))
	is.True(dir.OverdueBy(restoredAt+2300*time.Millisecond) > 0)
	dir.Apply(directory.Listing{Endpoints: inCopy}, restoredAt+2300*time.Millisecond)
	is.Equal(ids(dir), []string{"stays"})
	is.Equal(dir.OverdueBy(restoredAt+7*time.Second), time.Duration(0))
	is.True(dir.OverdueBy(restoredAt+9*time.Second) > 0)
	dir.Apply(directory.Listing{Endpoints: inCopy}, restoredAt+9*time.Second)
	is.Equal(ids(dir), []string{"stays", "left", "leaving"})
}

// An endpoint that left after the restore and registers again is used.
func TestEndpointRegistersAgainAfterRestore(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	one, two := endpoint("one", 1), endpoint("two", 2)
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{one, two}}, time.Minute)
	dir.MarkStoreRestored(time.Minute)
	dir.MarkStoreReadable(time.Minute + time.Second)
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{one}}, time.Minute+3*time.Second)
	is.Equal(ids(dir), []string{"one"})
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{one, two}}, time.Minute+4*time.Second)
	is.Equal(ids(dir), []string{"one", "two"})
}

// followerFleet is a set of followers of one store that send each other the hashes of their
// reads.
type followerFleet struct {
	mutex     sync.Mutex
	entries   []keyvalue.Entry
	listCount int
	followers []*directory.Follower
}

// list reads the store, and counts the read.
func (fleet *followerFleet) list(context.Context) ([]keyvalue.Entry, keyvalue.Era, error) {
	time.Sleep(4 * time.Millisecond)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.listCount++
	return slices.Clone(fleet.entries), 0, nil
}

// send sends the freshness of one follower to all others.
func (fleet *followerFleet) send(from int) {
	follower := fleet.followers[from]
	content, at := follower.Directory.ContentHash(), follower.Directory.ConfirmedAt()
	for to := range fleet.followers {
		if to != from {
			fleet.followers[to].UpdateFromPeer(readings.Peer{Address: peerAddress(from), InSameDataCentre: true}, content, at)
		}
	}
}

// peerAddress returns the address of the follower with that index.
func peerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 1)
}

// The exceptions after a restore end at the same moment for all instances. One of them must
// read the store and send the result to the others, instead of all reading at once.
func TestEndOfExceptionsCausesNoThunderingHerd(t *testing.T) {
	const count = 60
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		startedAt := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(startedAt) }
		endpointsByName := map[string]peridotpath.Endpoint{"one": endpoint("one", 1), "two": endpoint("two", 2)}
		fleet := &followerFleet{entries: []keyvalue.Entry{{Key: "one"}, {Key: "two"}}}
		for i := range count {
			fleet.followers = append(fleet.followers, &directory.Follower{
				Directory: &directory.Directory{Log: zerolog.Nop()}, Now: now, Log: zerolog.Nop(), Eras: &keyvalue.EraTracker{},
				List: fleet.list, OnConfirmed: func() { time.AfterFunc(10*time.Millisecond, func() { fleet.send(i) }) },
				FetchFromPeer: func(_ context.Context, peer netip.AddrPort, _ readings.EndpointsSnapshot) (readings.EndpointsSnapshot, error) {
					snapshot, ok := fleet.followers[peer.Addr().As4()[3]].Newest()
					if !ok {
						return snapshot, errors.New("nothing read yet")
					}
					return snapshot, nil
				},
				Decode: func(entries []keyvalue.Entry) directory.Listing {
					var listing directory.Listing
					for _, entry := range entries {
						listing.Endpoints = append(listing.Endpoints, endpointsByName[entry.Key])
					}
					return listing
				},
				Schedule: clock.PollSchedule{
					MinAge: 900 * time.Millisecond, MaxDelay: 800 * time.Millisecond, RetryDelay: 250 * time.Millisecond, MinInterval: 60 * time.Millisecond,
					PrecedingPeers: func() int { return min(i, 9) }, HasData: func() bool { return fleet.followers[i].Directory.Current() != nil },
				},
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		for _, follower := range fleet.followers {
			all.Go(func() { _ = follower.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		fleet.mutex.Lock()
		fleet.entries, fleet.listCount = fleet.entries[:1], 0
		fleet.mutex.Unlock()
		for _, follower := range fleet.followers {
			follower.Directory.MarkStoreRestored(now())
		}
		time.Sleep(2 * time.Second)
		for _, follower := range fleet.followers {
			is.Equal(len(ids(follower.Directory)), 2)
		}
		time.Sleep(1500 * time.Millisecond)
		for _, follower := range fleet.followers {
			is.Equal(ids(follower.Directory), []string{"one"})
		}
		cancel()
		all.Wait()
		if fleet.listCount > 6 {
			t.Errorf("%d lists were read from the store by %d instances, want 6 at most", fleet.listCount, count)
		}
	})
}
