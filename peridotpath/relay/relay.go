package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/quarantine"
	"peridotpath.example/peridotpath/reservation"
	"peridotpath.example/peridotpath/routing"
	"peridotpath.example/peridotpath/telemetry"
	"peridotpath.example/peridotpath/throttle"
)

// Relay serves requests. Set the exported fields before use.
type Relay struct {
	Instance   peridotpath.InstanceID
	DataCentre peridotpath.DataCentre
	Log        zerolog.Logger
	Routing    *routing.State
	// Endpoints returns those that requests go to, AllEndpoints also those that take
	// requests only when none of Endpoints may.
	Endpoints, AllEndpoints func() *directory.Snapshot
	Book                    *placement.LoadTracker
	Budget                  *Budget
	Send                    Sender
	Check                   Checker
	Keeper                  *reservation.Manager
	// Quarantine keeps requests off the endpoints that end what runs them.
	Quarantine *quarantine.Quarantine
	// Doubt, when set, is told of engines at which a first event is overdue.
	Doubt func(endpoints ...*peridotpath.Endpoint)
	// Throttle keeps endpoints to what they have named.
	Throttle *throttle.Throttle
	// Served bounds the log lines of requests that went well.
	Served *telemetry.Sampler
	// Routed is closed once the instance knows its routing, Started once it knows all that
	// it needs to serve, both once it will not soon; nil for one that does.
	Routed, Started <-chan struct{}
	// Stall is how long an engine's work stands still when an engine that it
	// depends on is gone; after that it goes on or is cut off by itself.
	Stall time.Duration

	inquiries singleflight.Group
}

const (
	// staleAfter is the age of the routing from which an unknown route or key may
	// have been added since: a few readings of the store must have failed.
	staleAfter = 1500 * time.Millisecond
	// defaultPatience bounds a request whose caller and route name no time.
	defaultPatience = 60 * time.Second
	// shortReturn is when a caller may come back after a refusal that another
	// instance or the next moment need not repeat.
	shortReturn = 300 * time.Millisecond
	// longReturn is when it may after one that lasts until the store is back.
	longReturn = time.Second
)

// Serve answers the request through caller. It returns when the answer is out.
func (relay *Relay) Serve(ctx context.Context, request *Request, caller *Caller) {
	relay.awaitRouting(ctx, request)
	exchange, refusal := relay.admit(request, caller)
	if refusal != nil {
		telemetry.Result(refusal.Code)
		relay.Log.Info().Str("request", string(request.ID)).Str("host", string(request.Host)).
			Str("path", request.Path).Int64("routing_age", relay.Routing.LoggedAge()).
			Int("code", int(refusal.Code)).Str("result", refusal.Code.String()).Msg("refused")
		caller.Refuse(*refusal)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, exchange.deadline)
	defer cancel()
	exchange.run(ctx)
}

// admit checks the request against the routing in force.
func (relay *Relay) admit(request *Request, caller *Caller) (*exchange, *peridotpath.Result) {
	table := relay.Routing.Current()
	if table == nil {
		return nil, &peridotpath.Result{Code: peridotpath.CodeNotReady, RetryAfter: longReturn}
	}
	route := table.Match(request.Host, request.Path)
	if route == nil {
		return nil, relay.unknown(peridotpath.CodeNotFound)
	}
	exchange := &exchange{relay: relay, request: request, caller: caller, route: route, priority: route.Priority}
	exchange.afterEvent = request.AfterEvent
	if table.NeedsKey(route) {
		holder, known := table.Holder(request.Key)
		if !known {
			return nil, relay.unknown(peridotpath.CodeUnauthorized)
		}
		if !relay.Routing.KeysUsable() {
			return nil, &peridotpath.Result{Code: peridotpath.CodePlatformDown, RetryAfter: longReturn}
		}
		exchange.customer = holder.Customer
		if holder.HasPriority {
			exchange.priority = holder.Priority
		}
	}
	exchange.service = relay.pickService(route)
	exchange.spec = table.Service(exchange.service)
	exchange.deadline = request.Arrived.Add(patience(request, route))
	return exchange, nil
}

// Limits returns the longest headers and the longest body that the routing in
// force allows; zero for any.
func (relay *Relay) Limits() (header, body peridotpath.Bytes) {
	if table := relay.Routing.Current(); table != nil {
		return table.Routing.MaxHeader, table.Routing.MaxBody
	}
	return 0, 0
}

// unknown refuses what the routing does not know. One that may be old does not
// say that something is not there: it may have been added since.
func (relay *Relay) unknown(code peridotpath.Code) *peridotpath.Result {
	if relay.Routing.Age() > staleAfter {
		return &peridotpath.Result{Code: peridotpath.CodeNotReady, RetryAfter: shortReturn}
	}
	return &peridotpath.Result{Code: code}
}

// patience is how long the request may take: what its caller says, at most what
// the route allows.
func patience(request *Request, route *peridotpath.Route) time.Duration {
	limit := defaultPatience
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	if request.Patience > 0 {
		limit = min(limit, request.Patience)
	}
	return limit
}

// pickService picks one of the route's services by weight, among those that have
// an endpoint; any of them where none has.
func (relay *Relay) pickService(route *peridotpath.Route) peridotpath.Service {
	snapshot := relay.Endpoints()
	total := 0
	for _, backend := range route.Backends {
		if len(snapshot.ForService(backend.Service)) > 0 {
			total += backend.Weight
		}
	}
	if total == 0 {
		return route.Backends[0].Service
	}
	pick := rand.IntN(total)
	for _, backend := range route.Backends {
		if len(snapshot.ForService(backend.Service)) == 0 {
			continue
		}
		if pick < backend.Weight {
			return backend.Service
		}
		pick -= backend.Weight
	}
	return route.Backends[0].Service
}
