package directory

import (
	"maps"
	"net/netip"
	"time"

	"peridotpath.example/peridotpath"
)

// addressRetention is how long the address of an endpoint that is no longer listed still counts as
// one: an endpoint that leaves finishes its requests, and memory that is reserved there is
// released.
const addressRetention = time.Minute

// HasListed reports whether an endpoint is listed at the address, or was within addressRetention
// before the last read.
func (directory *Directory) HasListed(address netip.AddrPort) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	_, isListed := directory.addressListedAt[address]
	return isListed
}

// recordAddresses records the addresses of a read that began at the given time.
func (directory *Directory) recordAddresses(endpoints []peridotpath.Endpoint, at time.Duration) {
	if directory.addressListedAt == nil {
		directory.addressListedAt = map[netip.AddrPort]time.Duration{}
	}
	for i := range endpoints {
		directory.addressListedAt[endpoints[i].Address] = at
	}
	maps.DeleteFunc(directory.addressListedAt, func(_ netip.AddrPort, listedAt time.Duration) bool { return at-listedAt > addressRetention })
}

// Sample returns up to count endpoints in use, if possible at other addresses than except.
func (snapshot *Snapshot) Sample(count int, except netip.AddrPort) []*peridotpath.Endpoint {
	if snapshot == nil {
		return nil
	}
	var sample []*peridotpath.Endpoint
	var excepted *peridotpath.Endpoint
	// Iteration over a map begins at a random element.
	for _, endpoint := range snapshot.byID {
		if endpoint.Address == except {
			excepted = endpoint
			continue
		}
		if sample = append(sample, endpoint); len(sample) == count {
			return sample
		}
	}
	if len(sample) == 0 && excepted != nil {
		return []*peridotpath.Endpoint{excepted}
	}
	return sample
}
