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

// The store comes back from a copy in which an endpoint that has left stands as before, and
// one that has joined does not stand.
func TestDirectoryOfAnOlderCopy(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	stays, left, leaving, joined := endpoint("stays", 1), endpoint("left", 2), endpoint("leaving", 3), endpoint("joined", 4)
	inCopy := []peridotpath.Endpoint{stays, left, leaving}
	dir.Apply(inCopy, time.Minute)
	leaving.State = peridotpath.StateLeaving
	dir.Apply([]peridotpath.Endpoint{stays, leaving, joined}, time.Minute+time.Second)
	is.Equal(ids(dir), []string{"stays", "joined"})

	back := time.Minute + 4*time.Second
	dir.Seen(back - time.Second)
	dir.WentBack(back)
	dir.Apply(inCopy, back+100*time.Millisecond)
	is.Equal(ids(dir), []string{"stays", "joined"})
	// Both excuses end, at different times, and each asks for a reading.
	is.Equal(dir.Overdue(back+2*time.Second), time.Duration(0))
	is.True(dir.Overdue(back+2300*time.Millisecond) > 0)
	dir.Apply(inCopy, back+2300*time.Millisecond)
	is.Equal(ids(dir), []string{"stays"})
	is.Equal(dir.Overdue(back+7*time.Second), time.Duration(0))
	is.True(dir.Overdue(back+9*time.Second) > 0)
	dir.Apply(inCopy, back+9*time.Second)
	is.Equal(ids(dir), []string{"stays", "left", "leaving"})
}

// An endpoint that left after the store went back, and comes again, is taken.
func TestEndpointThatComesAgain(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	one, two := endpoint("one", 1), endpoint("two", 2)
	dir.Apply([]peridotpath.Endpoint{one, two}, time.Minute)
	dir.WentBack(time.Minute)
	dir.Seen(time.Minute + time.Second)
	dir.Apply([]peridotpath.Endpoint{one}, time.Minute+3*time.Second)
	is.Equal(ids(dir), []string{"one"})
	dir.Apply([]peridotpath.Endpoint{one, two}, time.Minute+4*time.Second)
	is.Equal(ids(dir), []string{"one", "two"})
}

// fleetOfDirectories is many followers of one store that tell each other what they read.
type fleetOfDirectories struct {
	mutex     sync.Mutex
	entries   []keyvalue.Entry
	lists     int
	followers []*directory.Follower
}

func (fleet *fleetOfDirectories) list(context.Context) ([]keyvalue.Entry, keyvalue.Era, error) {
	time.Sleep(4 * time.Millisecond)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.lists++
	return slices.Clone(fleet.entries), 0, nil
}

func (fleet *fleetOfDirectories) tell(from int) {
	follower := fleet.followers[from]
	content, at := follower.Directory.Content(), follower.Directory.ReadAt()
	for to := range fleet.followers {
		if to != from {
			fleet.followers[to].HearPeer(readings.Peer{Address: numbered(from), Near: true}, content, at)
		}
	}
}

func numbered(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 1)
}

// The excuses after a return of the store end at one moment for all instances. One of them
// reads the store and tells the others.
func TestEndOfExcusesIsNoHerd(t *testing.T) {
	const count = 60
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(began) }
		named := map[string]peridotpath.Endpoint{"one": endpoint("one", 1), "two": endpoint("two", 2)}
		fleet := &fleetOfDirectories{entries: []keyvalue.Entry{{Key: "one"}, {Key: "two"}}}
		for i := range count {
			fleet.followers = append(fleet.followers, &directory.Follower{
				Directory: &directory.Directory{Log: zerolog.Nop()}, Now: now, Log: zerolog.Nop(), Eras: &keyvalue.Eras{},
				List: fleet.list, Confirmed: func() { time.AfterFunc(10*time.Millisecond, func() { fleet.tell(i) }) },
				Ask: func(_ context.Context, peer netip.AddrPort, _ readings.Endpoints) (readings.Endpoints, error) {
					reading, ok := fleet.followers[peer.Addr().As4()[3]].Last()
					if !ok {
						return reading, errors.New("nothing read")
					}
					return reading, nil
				},
				Decode: func(entries []keyvalue.Entry) []peridotpath.Endpoint {
					var endpoints []peridotpath.Endpoint
					for _, entry := range entries {
						endpoints = append(endpoints, named[entry.Key])
					}
					return endpoints
				},
				Pace: clock.Pace{
					Least: 900 * time.Millisecond, Spread: 800 * time.Millisecond, Retry: 250 * time.Millisecond, Gap: 60 * time.Millisecond,
					Before: func() int { return min(i, 9) }, Known: func() bool { return fleet.followers[i].Directory.Current() != nil },
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
		fleet.entries, fleet.lists = fleet.entries[:1], 0
		fleet.mutex.Unlock()
		for _, follower := range fleet.followers {
			follower.Directory.WentBack(now())
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
		if fleet.lists > 6 {
			t.Errorf("%d lists were read of the store by %d instances, want 6 at most", fleet.lists, count)
		}
	})
}
