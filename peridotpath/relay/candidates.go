package relay

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/placement"
)

// candidates returns the endpoints that are eligible for the request. Fallback endpoints
// are included only if no preferred one is eligible.
func (exchange *exchange) candidates(now time.Time) []placement.Candidate {
	exchange.skipped = skippedEndpoints{}
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
		switch {
		case !exchange.takesRequests(member.Key, now), !withinLimit(member.Key):
		case exchange.excluded[member.Key]:
			exchange.skipped.tried = true
		default:
			candidates = append(candidates, placement.Candidate{Endpoint: member.Endpoint, Key: member.Key, IsEjected: ejected[member.Key]})
		}
	}
	return candidates
}

// skippedEndpoints is why a placement skipped endpoints.
type skippedEndpoints struct {
	// tried reports that an endpoint was skipped only because this request has failed there.
	tried bool
	// leaving reports that an endpoint was skipped because it is leaving.
	leaving bool
	// limitWait is the shortest wait until an endpoint that was skipped for its rate limit
	// takes a request; zero if none was.
	limitWait shortestWait
	// backoffWait is the shortest wait until an endpoint that was skipped for its backoff
	// takes a request; zero if none was.
	backoffWait shortestWait
}

// shortestWait is the shortest of the recorded waits; zero if there is none.
type shortestWait time.Duration

func (shortest *shortestWait) record(wait time.Duration) {
	if *shortest == 0 || wait < time.Duration(*shortest) {
		*shortest = shortestWait(wait)
	}
}

// retryAfter returns the delay after which a caller should return.
func (shortest *shortestWait) retryAfter() time.Duration {
	return max(shortRetryAfter, time.Duration(*shortest))
}

// noEndpointRefusal returns the refusal of a request that no endpoint is eligible for. Its
// Retry-After is when the first endpoint takes another request of the caller.
func (exchange *exchange) noEndpointRefusal() *peridotpath.Result {
	skipped := &exchange.skipped
	switch {
	case skipped.tried:
		return exchange.refusal(peridotpath.CodeNoEndpoint, shortRetryAfter)
	case skipped.backoffWait > 0 && (skipped.limitWait == 0 || skipped.backoffWait < skipped.limitWait):
		return exchange.refusal(peridotpath.CodeUnavailable, skipped.backoffWait.retryAfter())
	case skipped.limitWait > 0:
		return exchange.refusal(peridotpath.CodeLimited, skipped.limitWait.retryAfter())
	case skipped.leaving, exchange.relay.AllEndpoints().HasDrained(exchange.service):
		return exchange.refusal(peridotpath.CodeUnavailable, replacementRetryAfter)
	}
	return exchange.refusal(peridotpath.CodeNoEndpoint, shortRetryAfter)
}

// refusedRetryAfter returns the delay after which the caller of a request that was refused may
// return: a short one if another endpoint takes its requests, else when the first one does.
func (exchange *exchange) refusedRetryAfter(now time.Time) time.Duration {
	if len(exchange.candidates(now)) > 0 {
		return shortRetryAfter
	}
	return exchange.noEndpointRefusal().RetryAfter
}
