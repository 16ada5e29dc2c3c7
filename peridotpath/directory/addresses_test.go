package directory_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/directory"
)

// Memory that is reserved at an endpoint that leaves stays reserved, since its address counts as
// that of no endpoint; or connections to anything are carried.
func TestAddressesOfLeavingEndpointsAreKnown(t *testing.T) {
	is := is.New(t)
	staying, leaving := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	listing := func(addresses ...netip.AddrPort) directory.Listing {
		var listing directory.Listing
		for _, address := range addresses {
			listing.Endpoints = append(listing.Endpoints, peridotpath.Endpoint{ID: peridotpath.EndpointID(address.String()), Address: address, DataCentre: "a", State: peridotpath.StateLive})
		}
		return listing
	}
	dir := &directory.Directory{Log: zerolog.Nop()}
	is.True(!dir.HasListed(staying))
	dir.Apply(listing(staying, leaving), time.Hour)
	is.Equal(dir.DataCentreOf(leaving), peridotpath.DataCentre("a"))
	dir.Apply(listing(staying), time.Hour+30*time.Second)
	is.True(dir.HasListed(leaving))
	dir.Apply(listing(staying), time.Hour+2*time.Minute)
	is.True(!dir.HasListed(leaving))
	is.Equal(dir.DataCentreOf(leaving), peridotpath.DataCentre(""))
	is.True(dir.HasListed(staying))
}

// The endpoint that does not answer is asked whether the links are down.
func TestSampleLeavesOutTheSuspect(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	is.Equal(len(dir.Current().Sample(3, netip.AddrPort{})), 0)
	var listing directory.Listing
	for number := range byte(6) {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 80)
		listing.Endpoints = append(listing.Endpoints, peridotpath.Endpoint{ID: peridotpath.EndpointID(address.String()), Address: address, State: peridotpath.StateLive})
	}
	dir.Apply(listing, time.Hour)
	suspect := listing.Endpoints[0].Address
	for range 50 {
		sample := dir.Current().Sample(3, suspect)
		is.Equal(len(sample), 3)
		for _, endpoint := range sample {
			is.True(endpoint.Address != suspect)
		}
	}
	listing.Endpoints = listing.Endpoints[:1]
	dir.Apply(listing, time.Hour+time.Second)
	is.Equal(len(dir.Current().Sample(3, suspect)), 1)
}
