// Package cell shards a large fleet into cells by hash. The instances of a cell gossip
// their in-flight requests only among themselves and send them only to the cell's
// endpoints.
//
// It matters for fleets of hundreds of instances. Without cells, each instance receives
// the requests of all others, and all long prompts share one prefill queue although they
// use different endpoints. With cells, the gossip and planning work of an instance stays
// that of a small fleet at any fleet size.
package cell

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"peridotpath.example/peridotpath"
)

const (
	// maxInstancesPerCell bounds the mean number of instances in a cell: each instance
	// receives reports of every in-flight request of its cell.
	maxInstancesPerCell = 100
	// minEndpointsPerCell is the minimum mean number of a service's endpoints in a cell.
	// Cells share the endpoints of a smaller service. The prefill of a prompt is split
	// across up to 17 engines.
	minEndpointsPerCell = 24
)

// Cell is one shard of a fleet. The zero value is the whole fleet.
type Cell struct {
	// mask is the number of cells minus one and selects the bits of a hash that are the
	// cell's index.
	mask, index uint64
}

// Of returns the cell of an instance in a fleet of the given size. The number of cells is
// a power of two: when it doubles, each cell splits in two and no member changes otherwise.
func Of(instance netip.AddrPort, fleetSize int) Cell {
	count := 1
	for fleetSize > count*maxInstancesPerCell {
		count *= 2
	}
	mask := uint64(count - 1)
	return Cell{mask: mask, index: hashAddress(instance) & mask}
}

// Count returns the number of cells.
func (cell Cell) Count() int { return int(cell.mask) + 1 }

// HasInstance reports whether the instance belongs to the cell.
func (cell Cell) HasInstance(instance netip.AddrPort) bool {
	return cell.mask == 0 || hashAddress(instance)&cell.mask == cell.index
}

// IndexOf returns the index of the instance's cell, from 0 to the number of cells minus one.
func (cell Cell) IndexOf(instance netip.AddrPort) int { return int(hashAddress(instance) & cell.mask) }

// HasEndpoint reports whether the cell uses an endpoint of a service with the given number
// of endpoints. Several cells share the endpoints of a small service.
func (cell Cell) HasEndpoint(key peridotpath.EndpointKey, serviceEndpoints int) bool {
	groups := cell.mask + 1
	for groups > 1 && uint64(serviceEndpoints) < groups*minEndpointsPerCell {
		groups /= 2
	}
	return uint64(key)&(groups-1) == cell.index&(groups-1)
}

// hashAddress hashes the address, which an instance keeps across restarts.
func hashAddress(instance netip.AddrPort) uint64 {
	return xxhash.Sum64String(instance.String())
}
