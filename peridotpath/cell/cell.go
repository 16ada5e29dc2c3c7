// Package cell divides a large fleet into cells that place requests side by
// side: the instances of a cell tell each other what they send, and send it to
// the cell's endpoints.
//
// The load that it is made for is a fleet of hundreds of instances. Each of them
// would hear every request of all others, and all long prompts would stand in
// one line, though they go to different endpoints. In cells, what an instance
// hears and goes through stays that of a small fleet, however large the whole is.
package cell

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"peridotpath.example/peridotpath"
)

const (
	// maxInstances is how many instances a cell has at most, on average: each hears
	// every request of its cell.
	maxInstances = 100
	// leastEndpoints is how many endpoints of a service a cell has at least, on
	// average; cells share a service that has fewer. Prompts are spread over up to
	// 17 engines.
	leastEndpoints = 24
)

// Cell is one part of a fleet. The zero value is the whole.
type Cell struct {
	// parts is the number of cells less one, a mask of hashes; index is this one.
	parts, index uint64
}

// Of returns the cell of an instance in a fleet of so many. The number of cells
// is a power of two: when it doubles, each cell becomes two and nothing else moves.
func Of(instance netip.AddrPort, fleet int) Cell {
	count := 1
	for fleet > count*maxInstances {
		count *= 2
	}
	parts := uint64(count - 1)
	return Cell{parts: parts, index: hash(instance) & parts}
}

// Count returns the number of cells.
func (cell Cell) Count() int { return int(cell.parts) + 1 }

// HasInstance reports whether the instance belongs to the cell.
func (cell Cell) HasInstance(instance netip.AddrPort) bool {
	return cell.parts == 0 || hash(instance)&cell.parts == cell.index
}

// IndexOf returns which of the cells the instance belongs to, from 0 to Count less one.
func (cell Cell) IndexOf(instance netip.AddrPort) int { return int(hash(instance) & cell.parts) }

// HasEndpoint reports whether an endpoint of a service that has so many is used
// in the cell. Several cells share what is too few for one each.
func (cell Cell) HasEndpoint(key peridotpath.EndpointKey, ofService int) bool {
	groups := cell.parts + 1
	for groups > 1 && uint64(ofService) < groups*leastEndpoints {
		groups /= 2
	}
	return uint64(key)&(groups-1) == cell.index&(groups-1)
}

// hash is that of the address, which an instance keeps when it starts again.
func hash(instance netip.AddrPort) uint64 {
	return xxhash.Sum64String(instance.String())
}
