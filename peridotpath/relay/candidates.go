package relay

import (
	"time"

	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/placement"
)

// candidates returns the endpoints that are eligible for the request. Fallback endpoints
// are included only if no preferred one is eligible.
func (exchange *exchange) candidates(now time.Time) []placement.Candidate {
	exchange.rateLimitWait = 0
	members := exchange.relay.Endpoints().ForService(exchange.service)
	exchange.engineCount = len(members)
	candidates := exchange.filterCandidates(members, now)
	if len(candidates) == 0 {
		candidates = exchange.filterCandidates(exchange.relay.AllEndpoints().ForService(exchange.service), now)
	}
	return candidates
}

func (exchange *exchange) filterCandidates(members []directory.Member, now time.Time) []placement.Candidate {
	candidates := make([]placement.Candidate, 0, len(members))
	ejected := exchange.relay.LoadTracker.EjectedEndpoints(now)
	withinLimit := exchange.rateLimitFilter(now)
	for _, member := range members {
		if exchange.excluded[member.Key] || !withinLimit(member.Key) {
			continue
		}
		candidates = append(candidates, placement.Candidate{Endpoint: member.Endpoint, Key: member.Key, IsEjected: ejected[member.Key]})
	}
	return candidates
}
