package directory

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
)

// addressRetention is how long the address of an endpoint that is no longer listed still counts as
// one: an endpoint that leaves finishes its requests, and memory that is reserved there is
// released.
const addressRetention = time.Minute

// listedAddress is an address at which an endpoint was listed.
type listedAddress struct {
	dataCentre peridotpath.DataCentre
	// at is the time of the last read that lists it.
	at time.Duration
}

// HasListed reports whether an endpoint is listed at the address, or was within addressRetention
// before the last read.
func (directory *Directory) HasListed(address netip.AddrPort) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	_, isListed := directory.addresses[address]
	return isListed
}

// DataCentreOf returns the data centre of the endpoint that was last listed at the address; empty
// if none was.
func (directory *Directory) DataCentreOf(address netip.AddrPort) peridotpath.DataCentre {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.addresses[address].dataCentre
}

// recordAddresses records the addresses of a read that began at the given time.
func (directory *Directory) recordAddresses(endpoints []peridotpath.Endpoint, at time.Duration) {
	if directory.addresses == nil {
		directory.addresses = map[netip.AddrPort]listedAddress{}
	}
	for i := range endpoints {
		directory.addresses[endpoints[i].Address] = listedAddress{dataCentre: endpoints[i].DataCentre, at: at}
	}
	maps.DeleteFunc(directory.addresses, func(_ netip.AddrPort, listed listedAddress) bool { return at-listed.at > addressRetention })
}

// Sample returns up to count endpoints in use, if possible at other addresses than except, and of
// several services and data centres.
func (snapshot *Snapshot) Sample(count int, except netip.AddrPort) []*peridotpath.Endpoint {
	if snapshot == nil {
		return nil
	}
	// Iteration over a map begins at a random element.
	return Spread(slices.Collect(maps.Values(snapshot.byID)), count, except)
}
