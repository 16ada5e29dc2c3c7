// Package fleet computes the state and load of all endpoints from the membership list,
// operators' drains, endpoints' load reports and their refusals. Each instance polls the
// reports of the endpoints that it owns within a byte budget and receives the others from
// their owners; it polls a few endpoints itself when their owner is silent.
package fleet

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
)

const (
	// unlistedRetention is how long an endpoint is kept as leaving after it was removed from
	// the membership list. Otherwise a flapping list would make the scheduler discard the
	// requests that it counts for the endpoint.
	unlistedRetention = 30 * time.Second
	// minReportLag is how much newer than a refusal a report must be to override it. The time
	// of a report is accurate only to the network delay of the messages that carried it.
	minReportLag = time.Second
)

// View holds the state of the endpoints as known to this instance. Set the exported fields
// before the first call of a method. Its methods are safe for concurrent use.
type View struct {
	Log zerolog.Logger
	// IsDrained reports whether an operator has drained the endpoint; nil means that none is.
	// Call Republish when the result changes.
	IsDrained func(id peridotpath.EndpointID) bool
	// OnChange is called with all endpoints after each change.
	OnChange func(now time.Time, endpoints []peridotpath.Endpoint)
	// OnLoad is called with each load report that is newer than the endpoint's last one.
	OnLoad func(now time.Time, id peridotpath.EndpointID, load peridotpath.Load)

	mu      sync.Mutex
	members map[peridotpath.EndpointID]*member
	order   []peridotpath.EndpointID
}

type member struct {
	endpoint peridotpath.Endpoint
	// unlistedSince is when the endpoint was removed from the membership list; zero while it
	// is listed.
	unlistedSince time.Time
	// newestReportAt is the time of the newest report, or the time when the endpoint was
	// first listed.
	newestReportAt time.Time
	// leavingAsOf is the time of the last report or refusal by which the endpoint accepts no
	// new work; zero if a later report overrides it.
	leavingAsOf time.Time
}

// SetMembers applies a new membership list.
//
// An empty list after one with endpoints is ignored. A membership service that has just
// restarted returns one, and without endpoints every request would be refused. Endpoints that
// were indeed removed are detected by their refusals.
func (view *View) SetMembers(now time.Time, endpoints []peridotpath.Endpoint) {
	view.mu.Lock()
	defer view.mu.Unlock()
	if len(endpoints) == 0 && len(view.order) > 0 {
		metrics.GetOrCreateCounter(`peridotpath_members_refused_total{reason="empty"}`).Inc()
		return
	}
	if view.members == nil {
		view.members = map[peridotpath.EndpointID]*member{}
	}
	listed := make(map[peridotpath.EndpointID]bool, len(endpoints))
	view.order = view.order[:0]
	for _, endpoint := range endpoints {
		if listed[endpoint.ID] {
			continue
		}
		listed[endpoint.ID] = true
		view.order = append(view.order, endpoint.ID)
		view.addListed(now, endpoint)
	}
	view.retainUnlisted(now, listed)
	view.publish(now)
}

// addListed adds or updates an endpoint of the membership list.
func (view *View) addListed(now time.Time, endpoint peridotpath.Endpoint) {
	found := view.members[endpoint.ID]
	// A new address means a new process, to which earlier reports and refusals do not apply.
	if found == nil || found.endpoint.Address != endpoint.Address {
		found = &member{newestReportAt: now}
		view.members[endpoint.ID] = found
	}
	found.endpoint = endpoint
	found.unlistedSince = time.Time{}
	// A plain service sends no load reports that could override its refusal, so the refusal
	// expires. The membership list is up to date by then.
	if endpoint.Kind == peridotpath.KindPlain && now.Sub(found.leavingAsOf) >= unlistedRetention {
		found.leavingAsOf = time.Time{}
	}
}

// retainUnlisted keeps endpoints that are no longer listed for unlistedRetention.
func (view *View) retainUnlisted(now time.Time, listed map[peridotpath.EndpointID]bool) {
	for id, found := range view.members {
		if listed[id] {
			continue
		}
		if found.unlistedSince.IsZero() {
			found.unlistedSince = now
		}
		if now.Sub(found.unlistedSince) >= unlistedRetention {
			delete(view.members, id)
			continue
		}
		view.order = append(view.order, id)
	}
}

// Republish publishes the endpoints again, after a change of IsDrained.
func (view *View) Republish(now time.Time) {
	view.mu.Lock()
	defer view.mu.Unlock()
	view.publish(now)
}

// publish calls the callback with the endpoints and their states. The caller holds view.mu, so
// that the calls are in the order of the changes.
func (view *View) publish(now time.Time) {
	endpoints := make([]peridotpath.Endpoint, 0, len(view.order))
	for _, id := range view.order {
		found := view.members[id]
		endpoint := found.endpoint
		if view.takesNoWork(found) {
			endpoint.State = peridotpath.StateLeaving
		}
		endpoints = append(endpoints, endpoint)
	}
	view.OnChange(now, endpoints)
}

func (view *View) takesNoWork(found *member) bool {
	isDrained := view.IsDrained != nil && view.IsDrained(found.endpoint.ID)
	return isDrained || !found.leavingAsOf.IsZero() || !found.unlistedSince.IsZero()
}

// ApplyReport applies an endpoint's load report, whose AsOf is a time of this instance's clock.
func (view *View) ApplyReport(now time.Time, id peridotpath.EndpointID, load peridotpath.Load) {
	view.mu.Lock()
	defer view.mu.Unlock()
	found := view.members[id]
	if found == nil || !load.AsOf.After(found.newestReportAt) {
		return
	}
	found.newestReportAt = load.AsOf
	view.OnLoad(now, id, load)
	switch {
	case load.Leaving && found.leavingAsOf.IsZero():
		found.leavingAsOf = load.AsOf
		view.Log.Info().Str("event", "endpoint_leaving").Str("endpoint", string(id)).Send()
		view.publish(now)
	case load.Leaving:
		found.leavingAsOf = load.AsOf
	case !found.leavingAsOf.IsZero() && load.AsOf.Sub(found.leavingAsOf) > minReportLag:
		found.leavingAsOf = time.Time{}
		view.Log.Info().Str("event", "endpoint_returned").Str("endpoint", string(id)).Send()
		view.publish(now)
	}
}

// RecordRefusal records that the endpoint refused a request because it is leaving. The
// endpoint is published as leaving until a later load report of its own overrides the refusal.
// The membership list does not override the refusal, since the list lags.
func (view *View) RecordRefusal(now time.Time, id peridotpath.EndpointID) {
	view.mu.Lock()
	defer view.mu.Unlock()
	found := view.members[id]
	if found == nil {
		return
	}
	leavingBefore := found.leavingAsOf
	found.leavingAsOf = now
	if leavingBefore.IsZero() {
		view.Log.Info().Str("event", "endpoint_leaving").Str("endpoint", string(id)).Bool("refusal", true).Send()
		view.publish(now)
	}
}

// ReportAge returns the age of the endpoint's newest report, or the time since it was first
// listed if there is none.
func (view *View) ReportAge(now time.Time, id peridotpath.EndpointID) time.Duration {
	view.mu.Lock()
	defer view.mu.Unlock()
	if found := view.members[id]; found != nil {
		return now.Sub(found.newestReportAt)
	}
	return 0
}

// ListedEngines returns the model engines on the membership list. Leaving engines are included,
// since they still execute requests and may return.
func (view *View) ListedEngines() []peridotpath.Endpoint {
	view.mu.Lock()
	defer view.mu.Unlock()
	engines := make([]peridotpath.Endpoint, 0, len(view.order))
	for _, id := range view.order {
		found := view.members[id]
		if found.endpoint.Kind == peridotpath.KindEngine && found.unlistedSince.IsZero() {
			engines = append(engines, found.endpoint)
		}
	}
	return engines
}
