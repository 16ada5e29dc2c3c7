package directory_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/readings"
)

// cellFleet is a fleet of followers of one store in several cells, which hear only of the snapshots
// of their own cell.
type cellFleet struct {
	followerFleet
	cellCount int
	// cutCell is the cell that cannot reach the store; -1 for none.
	cutCell atomic.Int64
}

// newCellFleet returns a fleet of instances with their numbers modulo the number of cells as cells.
func newCellFleet(cellCount, perCell int) *cellFleet {
	fleet := &cellFleet{cellCount: cellCount}
	fleet.cutCell.Store(-1)
	fleet.entries = []keyvalue.Entry{{Key: "one"}}
	one, startedAt := endpoint("one", 1), time.Now()
	for i := range cellCount * perCell {
		follower := &directory.Follower{
			Directory: &directory.Directory{Log: zerolog.Nop()}, Now: func() time.Duration { return time.Hour + time.Since(startedAt) },
			Log: zerolog.Nop(), Eras: &keyvalue.EraTracker{},
			List: func(ctx context.Context) ([]keyvalue.Entry, keyvalue.Era, error) {
				if int64(i%cellCount) == fleet.cutCell.Load() {
					return nil, 0, errors.New("store unreachable")
				}
				return fleet.list(ctx)
			},
			OnConfirmed: func() { time.AfterFunc(10*time.Millisecond, func() { fleet.sendInCell(i) }) },
			FetchFromPeer: func(_ context.Context, peer netip.AddrPort, _ readings.EndpointsSnapshot) (readings.EndpointsSnapshot, error) {
				time.Sleep(3 * time.Millisecond)
				snapshot, ok := fleet.followers[peer.Addr().As4()[3]].Newest()
				if !ok {
					return snapshot, errors.New("nothing read yet")
				}
				return snapshot, nil
			},
			Decode: func(entries []keyvalue.Entry) directory.Listing {
				return directory.Listing{Endpoints: []peridotpath.Endpoint{one}[:len(entries)]}
			},
		}
		follower.ReadingPeer = func(content uint64) (readings.Peer, bool) {
			first := int(content % uint64(cellCount))
			return readings.Peer{Address: peerAddress(first + cellCount*(i%perCell)), InSameDataCentre: true}, first != i%cellCount
		}
		follower.Schedule = clock.PollSchedule{
			MinAge: 900 * time.Millisecond, MaxDelay: 800 * time.Millisecond, RetryDelay: 250 * time.Millisecond, MinInterval: 60 * time.Millisecond,
			HasData: func() bool { return follower.Directory.Current() != nil },
			PrecedingPeers: func() int {
				rank := i / cellCount
				if first := int(follower.Directory.ContentHash() % uint64(cellCount)); first != i%cellCount {
					rank++
				}
				return min(rank, 9)
			},
		}
		fleet.followers = append(fleet.followers, follower)
	}
	return fleet
}

// sendInCell sends the freshness of one follower to the others of its cell.
func (fleet *cellFleet) sendInCell(from int) {
	follower := fleet.followers[from]
	content, at := follower.Directory.ContentHash(), follower.Directory.ConfirmedAt()
	for to := from % fleet.cellCount; to < len(fleet.followers); to += fleet.cellCount {
		if to != from {
			fleet.followers[to].UpdateFromPeer(readings.Peer{Address: peerAddress(from), InSameDataCentre: true}, content, at)
		}
	}
}

// oldest returns the highest age of a follower's snapshot.
func (fleet *cellFleet) oldest() time.Duration {
	var oldest time.Duration
	for _, follower := range fleet.followers {
		oldest = max(oldest, follower.Age())
	}
	return oldest
}

// Cells hear nothing of each other's snapshots. Without asking each other, each of them would poll
// the store as often as a fleet of one cell does, so that calls grow with the cells. No snapshot may
// get older for it, also while the cell that reads first cannot reach the store.
func TestCellsShareReadingsOfStore(t *testing.T) {
	const span = 20 * time.Second
	for _, cellCount := range []int{1, 4, 16} {
		for _, isReaderCut := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d cells, reader cut off %v", cellCount, isReaderCut), func(t *testing.T) {
				virtual.Test(t, func(t *testing.T) {
					fleet := newCellFleet(cellCount, 12)
					ctx, cancel := context.WithCancel(t.Context())
					var all sync.WaitGroup
					for _, follower := range fleet.followers {
						all.Go(func() { _ = follower.Run(ctx) })
					}
					time.Sleep(8 * time.Second)
					if isReaderCut && cellCount > 1 {
						fleet.cutCell.Store(int64(fleet.followers[0].Directory.ContentHash() % uint64(cellCount)))
					}
					fleet.mutex.Lock()
					fleet.listCount = 0
					fleet.mutex.Unlock()
					var oldest time.Duration
					for range span / (50 * time.Millisecond) {
						time.Sleep(50 * time.Millisecond)
						if !isReaderCut {
							oldest = max(oldest, fleet.oldest())
						}
					}
					cancel()
					all.Wait()
					// One read in MinAge would be the most of a fleet of one cell.
					most := int(span / (900 * time.Millisecond))
					if isReaderCut {
						most *= cellCount
					} else if fleet.listCount > most {
						t.Errorf("%d lists in %s, want %d at most", fleet.listCount, span, most)
					}
					if limit := 1900 * time.Millisecond; oldest > limit {
						t.Errorf("a snapshot was %s old, want %s at most", oldest, limit)
					}
					if isReaderCut && fleet.listCount > most {
						t.Errorf("%d lists in %s, want %d at most", fleet.listCount, span, most)
					}
				})
			})
		}
	}
}

// All instances of a second data centre start, and hear from the first one that it has the list. One
// of them must fetch it from there and the others from it: the list of a large fleet is long, and
// traffic between data centres is metered.
func TestListCrossesDataCentresOnce(t *testing.T) {
	const count = 20 // even numbers are in one data centre, odd ones in the other
	virtual.Test(t, func(t *testing.T) {
		startedAt, entries := time.Now(), []keyvalue.Entry{{Key: "one"}}
		now := func() time.Duration { return time.Hour + time.Since(startedAt) }
		one := endpoint("one", 1)
		var mutex sync.Mutex
		crossings := 0
		var followers []*directory.Follower
		send := func(from int) {
			content, at := followers[from].Directory.ContentHash(), followers[from].Directory.ConfirmedAt()
			for to := range followers {
				if to != from {
					followers[to].UpdateFromPeer(readings.Peer{Address: peerAddress(from), InSameDataCentre: to%2 == from%2}, content, at)
				}
			}
		}
		for i := range count {
			followers = append(followers, &directory.Follower{
				Directory: &directory.Directory{Log: zerolog.Nop()}, Now: now, Log: zerolog.Nop(), Eras: &keyvalue.EraTracker{},
				List: func(context.Context) ([]keyvalue.Entry, keyvalue.Era, error) {
					if i > 0 {
						return nil, 0, errors.New("store unreachable")
					}
					return entries, 0, nil
				},
				FetchPosition: func(uint64) int { return i / 2 },
				OnConfirmed:   func() { time.AfterFunc(5*time.Millisecond, func() { send(i) }) },
				FetchFromPeer: func(_ context.Context, peer netip.AddrPort, _ readings.EndpointsSnapshot) (readings.EndpointsSnapshot, error) {
					from := int(peer.Addr().As4()[3])
					if from%2 != i%2 {
						mutex.Lock()
						crossings++
						mutex.Unlock()
					}
					time.Sleep(20 * time.Millisecond)
					snapshot, _ := followers[from].Newest()
					return snapshot, nil
				},
				Decode: func([]keyvalue.Entry) directory.Listing {
					return directory.Listing{Endpoints: []peridotpath.Endpoint{one}}
				},
				Schedule: clock.PollSchedule{MinAge: time.Second, MaxDelay: time.Second, RetryDelay: 5 * time.Second},
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		for _, follower := range followers {
			all.Go(func() { _ = follower.Run(ctx) })
		}
		time.Sleep(900 * time.Millisecond)
		for i, follower := range followers {
			if len(ids(follower.Directory)) != 1 {
				t.Errorf("%d has no list", i)
			}
		}
		cancel()
		all.Wait()
		if crossings > 2 {
			t.Errorf("the list was fetched from the other data centre %d times, want 2 at most", crossings)
		}
	})
}
