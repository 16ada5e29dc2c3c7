package directory

import (
	"net/netip"

	"peridotpath.example/peridotpath"
)

// Spread returns up to count of the endpoints, as unlike each other and the one at the suspect's
// address as possible: first in service and data centre together. Among equals it takes the first.
// The suspect is returned only if there is no endpoint at another address.
//
// It matters when a service, a data centre or a release falls silent at once. A sample that is all
// from there looks like the loss of this instance's own links.
func Spread(endpoints []*peridotpath.Endpoint, count int, suspect netip.AddrPort) []*peridotpath.Endpoint {
	var others, sample []*peridotpath.Endpoint
	var suspected *peridotpath.Endpoint
	for _, endpoint := range endpoints {
		if endpoint.Address == suspect {
			suspected = endpoint
		} else {
			others = append(others, endpoint)
		}
	}
	if len(others) == 0 && suspected != nil {
		return []*peridotpath.Endpoint{suspected}
	}
	isTaken := map[*peridotpath.Endpoint]bool{}
	for len(sample) < min(count, len(others)) {
		var best *peridotpath.Endpoint
		least := 0
		for _, endpoint := range others {
			if isTaken[endpoint] {
				continue
			}
			if alike := likeness(endpoint, sample, suspected); best == nil || alike < least {
				best, least = endpoint, alike
			}
		}
		isTaken[best] = true
		sample = append(sample, best)
	}
	return sample
}

// likeness returns how much an endpoint has in common with those of a sample and, which counts
// half, with the suspect.
func likeness(endpoint *peridotpath.Endpoint, sample []*peridotpath.Endpoint, suspect *peridotpath.Endpoint) int {
	alike := 0
	for _, taken := range sample {
		alike += 2 * commonTraits(endpoint, taken)
	}
	if suspect != nil {
		alike += commonTraits(endpoint, suspect)
	}
	return alike
}

// commonTraits counts what two endpoints have in common of what falls silent together.
func commonTraits(one, other *peridotpath.Endpoint) int {
	count := 0
	if one.Service == other.Service {
		count++
	}
	if one.DataCentre == other.DataCentre {
		count++
	}
	return count
}
