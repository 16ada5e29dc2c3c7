package relay

import (
	"time"

	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/placement"
)

// candidates returns the endpoints that may take the request.
func (exchange *exchange) candidates(now time.Time) []placement.Candidate {
	exchange.limited = 0
	members := exchange.relay.Endpoints().ForService(exchange.service)
	exchange.engines = len(members)
	candidates := exchange.candidatesOf(members, now)
	if len(candidates) == 0 {
		candidates = exchange.candidatesOf(exchange.relay.AllEndpoints().ForService(exchange.service), now)
	}
	return candidates
}

func (exchange *exchange) candidatesOf(members []directory.Member, now time.Time) []placement.Candidate {
	candidates := make([]placement.Candidate, 0, len(members))
	suspects := exchange.relay.Book.EjectedEndpoints(now)
	withinLimit := exchange.limits(now)
	for _, member := range members {
		if exchange.avoid[member.Key] || !withinLimit(member.Key) {
			continue
		}
		candidates = append(candidates, placement.Candidate{Endpoint: member.Endpoint, Key: member.Key, IsEjected: suspects[member.Key]})
	}
	return candidates
}
