package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/answerbuffer"
	"peridotpath.example/peridotpath/availability"
	"peridotpath.example/peridotpath/booking"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/failover"
	"peridotpath.example/peridotpath/fairshare"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/quarantine"
	"peridotpath.example/peridotpath/reservation"
	"peridotpath.example/peridotpath/retrybudget"
	"peridotpath.example/peridotpath/routing"
	"peridotpath.example/peridotpath/shortqueue"
	"peridotpath.example/peridotpath/shutdown"
	"peridotpath.example/peridotpath/telemetry"
	"peridotpath.example/peridotpath/throttle"
)

// Relay serves requests. Set the exported fields before use.
type Relay struct {
	Instance   peridotpath.InstanceID
	DataCentre peridotpath.DataCentre
	Log        zerolog.Logger
	Routing    *routing.State
	// Endpoints returns the preferred endpoints, AllEndpoints also the fallback ones,
	// which receive requests only when none of Endpoints is eligible.
	Endpoints, AllEndpoints func() *directory.Snapshot
	LoadTracker             *placement.LoadTracker
	RetryBudget             *retrybudget.Budget
	Send                    Sender
	// Check probes an endpoint in any way in which it may be reached, CheckDirectly only over this
	// instance's own links.
	Check, CheckDirectly Checker
	// CanReach reports whether endpoints can be reached in any way, IsCutOff whether none can be
	// reached over this instance's own links. Both are nil where that is not known.
	CanReach, IsCutOff func() bool
	// NotifyStalled registers a function that is called when this instance's own links are found to
	// carry nothing any more, also on open connections; nil where that is not known.
	NotifyStalled func(notify func()) (stop func())
	Reservations  *reservation.Manager
	// AnswerMemory bounds the memory of answers that are buffered whole.
	AnswerMemory *answerbuffer.Pool
	// Quarantine refuses requests that crash the endpoints they run on.
	Quarantine *quarantine.Quarantine
	// OnOverdueFirstEvent, when set, is called with the engines of an attempt whose first
	// event is overdue.
	OnOverdueFirstEvent func(endpoints ...*peridotpath.Endpoint)
	// Bookings holds the booked returns of refused long prompts; nil disables them.
	Bookings *booking.Ledger
	// AdmissionSampler samples the log lines about deferred prompts and booked returns.
	AdmissionSampler *telemetry.LogSampler
	// Throttle enforces the rate limits that endpoints announce.
	Throttle *throttle.Throttle
	// ShortQueue holds the short prompts that wait for a free slot; nil sends them at once.
	ShortQueue *shortqueue.Queue
	// Availability holds what endpoints announce about taking requests.
	Availability *availability.Tracker
	// ServedSampler samples the log lines of successful requests, FailureSampler those of refusals
	// and failures, each result by itself.
	ServedSampler  *telemetry.LogSampler
	FailureSampler *telemetry.KindSampler
	// DespiteSampler samples the log lines of requests that are sent to an endpoint although
	// it announced that it takes none.
	DespiteSampler *telemetry.LogSampler
	// RoutingReady is closed once the instance has its routing, StartDone once it has all
	// data that it needs to serve. Both are also closed when the start times out. They
	// are nil where requests need not wait for a start.
	RoutingReady, StartDone <-chan struct{}
	// FairShare divides scarce engine time between customers; nil disables that.
	FairShare *fairshare.Divider
	// EngineStallTime is how long an engine blocks when another engine that prefills a part
	// of the same prompt becomes unreachable. After this time the blocked engine resumes or
	// aborts the request without a cancellation by this instance.
	EngineStallTime time.Duration
	// ExitNotice announces the exit of the process; nil where it never exits.
	ExitNotice *shutdown.Notice

	crashProbes singleflight.Group
	silentCalls failover.SilentCalls
}

const (
	// staleAfter is the age of the routing from which an unknown route or key may
	// have been added since. At this age several polls of the store have failed.
	staleAfter = 1500 * time.Millisecond
	// defaultTimeout bounds a request whose caller and route set no timeout.
	defaultTimeout = 60 * time.Second
	// shortRetryAfter is the retry delay for a refusal that depends on this instance
	// or on a short-lived state.
	shortRetryAfter = 300 * time.Millisecond
	// longRetryAfter is the retry delay for a refusal that lasts until the store is
	// reachable.
	longRetryAfter = time.Second
	// replacementRetryAfter is the retry delay while all endpoints of a service leave or are
	// drained: those that replace them mostly register within seconds.
	replacementRetryAfter = 2 * time.Second
)

// Serve answers the request through caller and returns when the answer is complete.
func (relay *Relay) Serve(ctx context.Context, request *Request, caller *Caller) {
	ending := &ending{}
	defer ending.finish(relay, request, caller)
	caller = ending.track(caller)
	ctx, release := relay.ExitNotice.WithContext(ctx)
	defer release()
	relay.awaitRouting(ctx, request)
	exchange, refusal := relay.admit(request, caller)
	if refusal != nil {
		telemetry.CountResult(refusal.Code)
		relay.logRefusal(request, refusal)
		caller.Refuse(*refusal)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, exchange.deadline)
	defer cancel()
	exchange.run(ctx)
}

// logRefusal logs a request that no route takes.
func (relay *Relay) logRefusal(request *Request, refusal *peridotpath.Result) {
	leftOut, allowed := relay.FailureSampler.Take("refused_"+refusal.Code.String(), time.Now())
	if !allowed {
		return
	}
	event := relay.Log.Info().Str("request", string(request.ID)).Str("host", string(request.Host)).
		Str("path", request.Path).Int64("routing_age", relay.Routing.AgeForLog()).
		Int("code", int(refusal.Code)).Str("result", refusal.Code.String())
	telemetry.AddLeftOut(event, leftOut).Msg("refused")
}

// admit resolves the request's route, service, customer and deadline by the active
// routing, or returns the result that refuses it.
func (relay *Relay) admit(request *Request, caller *Caller) (*exchange, *peridotpath.Result) {
	table := relay.Routing.Current()
	if table == nil {
		return nil, &peridotpath.Result{Code: peridotpath.CodeNotReady, RetryAfter: longRetryAfter}
	}
	route := table.Match(request.Host, request.Path)
	if route == nil {
		return nil, relay.unknownRefusal(peridotpath.CodeNotFound)
	}
	exchange := &exchange{relay: relay, request: request, caller: caller, route: route, priority: route.Priority, attemptState: &attemptState{}}
	exchange.lastEventID = request.LastEventID
	if table.NeedsKey(route) {
		holder, found := table.KeyHolder(request.Key)
		if !found {
			return nil, relay.unknownRefusal(peridotpath.CodeUnauthorized)
		}
		if !relay.Routing.KeysUsable() {
			return nil, &peridotpath.Result{Code: peridotpath.CodePlatformDown, RetryAfter: longRetryAfter}
		}
		exchange.customer = holder.Customer
		if holder.HasPriority {
			exchange.priority = holder.Priority
		}
	}
	service, found := relay.pickService(route)
	if !found {
		return nil, &peridotpath.Result{Code: peridotpath.CodeNoEndpoint, RetryAfter: longRetryAfter, Detail: "no service of the route has a share"}
	}
	exchange.service = service
	exchange.spec = table.ServiceSpec(exchange.service)
	exchange.deadline = request.ArrivedAt.Add(requestTimeout(request, route))
	return exchange, nil
}

// SizeLimits returns the largest headers and the largest body that the active routing
// allows; zero means unlimited.
func (relay *Relay) SizeLimits() (header, body peridotpath.Bytes) {
	if table := relay.Routing.Current(); table != nil {
		return table.Routing.MaxHeader, table.Routing.MaxBody
	}
	return 0, 0
}

// unknownRefusal refuses a request whose route or key is not in the routing. If the routing
// is stale, the route or key may exist, and the refusal is retryable.
func (relay *Relay) unknownRefusal(code peridotpath.Code) *peridotpath.Result {
	if relay.Routing.Age() > staleAfter {
		return &peridotpath.Result{Code: peridotpath.CodeNotReady, RetryAfter: shortRetryAfter}
	}
	return &peridotpath.Result{Code: code}
}

// requestTimeout returns the caller's timeout, at most that of the route.
func requestTimeout(request *Request, route *peridotpath.Route) time.Duration {
	limit := defaultTimeout
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	if request.Timeout > 0 {
		limit = min(limit, request.Timeout)
	}
	return limit
}

// isCutOff reports whether this instance is known to reach no endpoint over its own links.
func (relay *Relay) isCutOff() bool { return relay.IsCutOff != nil && relay.IsCutOff() }
