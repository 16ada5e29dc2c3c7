package directory_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/directory"
)

// endpointAt returns an endpoint with a number of its own.
func endpointAt(number int, service, dataCentre string) peridotpath.Endpoint {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number / 256), byte(number)}), 80)
	return peridotpath.Endpoint{
		ID: peridotpath.EndpointID(fmt.Sprint(number)), Address: address, State: peridotpath.StateLive,
		Service: peridotpath.Service(service), DataCentre: peridotpath.DataCentre(dataCentre),
	}
}

// A data centre or a service falls silent as a whole: a sample that is all from there says that
// the links are lost.
func TestSampleSpansServicesAndDataCentres(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for trial := range 500 {
		var listing directory.Listing
		services, centres := 1+random.IntN(4), 1+random.IntN(4)
		for number := range 4 + random.IntN(30) {
			// Most are of the first service and in the first data centre.
			service, centre := 0, 0
			if random.IntN(10) == 0 {
				service = random.IntN(services)
			}
			if random.IntN(10) == 0 {
				centre = random.IntN(centres)
			}
			listing.Endpoints = append(listing.Endpoints, endpointAt(number, fmt.Sprint("service", service), fmt.Sprint("centre", centre)))
		}
		suspect := listing.Endpoints[random.IntN(len(listing.Endpoints))].Address
		dir := &directory.Directory{Log: zerolog.Nop()}
		dir.Apply(listing, 1)
		sample := dir.Current().Sample(3, suspect)
		if len(sample) != 3 {
			t.Fatalf("trial %d: %d sampled", trial, len(sample))
		}
		allServices, allCentres := map[peridotpath.Service]bool{}, map[peridotpath.DataCentre]bool{}
		for _, endpoint := range listing.Endpoints {
			if endpoint.Address != suspect {
				allServices[endpoint.Service], allCentres[endpoint.DataCentre] = true, true
			}
		}
		sampledServices, sampledCentres := map[peridotpath.Service]bool{}, map[peridotpath.DataCentre]bool{}
		for _, endpoint := range sample {
			if endpoint.Address == suspect {
				t.Fatalf("trial %d: the suspect is sampled", trial)
			}
			sampledServices[endpoint.Service], sampledCentres[endpoint.DataCentre] = true, true
		}
		if len(sampledServices) < min(2, len(allServices)) || len(sampledCentres) < min(2, len(allCentres)) {
			t.Errorf("trial %d: %d of %d services, %d of %d data centres", trial, len(sampledServices), len(allServices), len(sampledCentres), len(allCentres))
		}
	}
}

// The other endpoints of the suspect's service and data centre are silent for the same reason.
func TestSampleIsUnlikeTheSuspect(t *testing.T) {
	is := is.New(t)
	suspect, alike := endpointAt(1, "engines", "a"), endpointAt(2, "engines", "a")
	elsewhere, other := endpointAt(3, "engines", "b"), endpointAt(4, "plain", "b")
	all := []*peridotpath.Endpoint{&suspect, &alike, &elsewhere, &other}
	is.Equal(directory.Spread(all, 1, suspect.Address), []*peridotpath.Endpoint{&other})
	is.Equal(directory.Spread(all, 2, suspect.Address), []*peridotpath.Endpoint{&other, &alike})
	is.Equal(directory.Spread(all, 3, suspect.Address), []*peridotpath.Endpoint{&other, &alike, &elsewhere})
	is.Equal(directory.Spread(all[:1], 3, suspect.Address), all[:1])
	is.Equal(len(directory.Spread(nil, 3, suspect.Address)), 0)
}
