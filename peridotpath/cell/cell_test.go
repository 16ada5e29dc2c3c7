package cell_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/cell"
)

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}), 7000)
}

func key(number int) peridotpath.EndpointKey {
	endpoint := peridotpath.Endpoint{ID: peridotpath.EndpointID(address(number).String()), Incarnation: 3}
	return endpoint.Key()
}

// A fleet within the limit of one cell is not divided: every instance belongs to it and
// uses every endpoint.
func TestSmallFleetIsOneCell(t *testing.T) {
	is := is.New(t)
	for _, fleet := range []int{0, 1, 8, 75, 100} {
		whole := cell.Of(address(1), fleet)
		is.Equal(whole, cell.Cell{})
		is.Equal(whole.Count(), 1)
		is.True(whole.HasInstance(address(2)))
		is.True(whole.HasEndpoint(key(2), 1))
	}
}

// Every instance and every endpoint belongs to exactly one cell, cells have similar sizes,
// and all instances of a cell agree on its members.
func TestLargeFleetIsDivided(t *testing.T) {
	for _, test := range []struct{ fleet, cells int }{{101, 2}, {300, 4}, {530, 8}, {1000, 16}} {
		is := is.New(t)
		endpoints := 10 * test.fleet
		sizes := map[cell.Cell]int{}
		for i := range test.fleet {
			shard := cell.Of(address(i), test.fleet)
			is.Equal(shard.Count(), test.cells)
			is.True(shard.HasInstance(address(i)))
			sizes[shard]++
		}
		is.Equal(len(sizes), test.cells)
		assigned := 0
		for shard, size := range sizes {
			want := test.fleet / test.cells
			is.True(size > want/2 && size < want*2)
			members, engines := 0, 0
			for i := range test.fleet {
				if shard.HasInstance(address(i)) {
					members++
				}
			}
			for i := range endpoints {
				if shard.HasEndpoint(key(i), endpoints) {
					engines++
				}
			}
			is.Equal(members, size)
			is.True(engines > endpoints/test.cells*2/3 && engines < endpoints/test.cells*3/2)
			assigned += engines
		}
		is.Equal(assigned, endpoints)
	}
}

// Several cells share the endpoints of a small service, and every endpoint is used.
func TestSmallServiceIsShared(t *testing.T) {
	is := is.New(t)
	const fleet, endpoints = 1000, 50
	used := map[int]bool{}
	for i := range fleet {
		shard := cell.Of(address(i), fleet)
		count := 0
		for number := range endpoints {
			if shard.HasEndpoint(key(number), endpoints) {
				used[number] = true
				count++
			}
		}
		is.True(count >= endpoints/4)
	}
	is.Equal(len(used), endpoints)
}
