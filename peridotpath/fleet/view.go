// Package fleet merges what is known of the endpoints: the membership list, the
// operators' drains, the endpoints' own reports, read here or handed on by
// their owners, and their refusals. It also reads the reports of the endpoints
// that this instance owns.
package fleet

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
)

const (
	// vanishedHold is how long an endpoint that vanished from the membership
	// list is kept as leaving. A list that flaps would otherwise have the
	// scheduler forget, with each flap, what it sent there.
	vanishedHold = 30 * time.Second
	// refusalHold is how much later than a refusal a report must have been made
	// to contradict it. A report's time is known no better than the delay of
	// the messages that carried it.
	refusalHold = time.Second
)

// View is the fleet as this instance knows it. Set the exported fields before
// the first call. Its methods may be called from any goroutine.
type View struct {
	Log zerolog.Logger
	// Drained reports whether operators took the endpoint out of placement; nil
	// stands for none. Call Refresh when that changes.
	Drained func(id peridotpath.EndpointID) bool
	// Publish takes the endpoints whenever one of them changed.
	Publish func(now time.Time, endpoints []peridotpath.Endpoint)
	// Load takes each report that is newer than the last one.
	Load func(now time.Time, id peridotpath.EndpointID, load peridotpath.Load)

	mu      sync.Mutex
	members map[peridotpath.EndpointID]*member
	order   []peridotpath.EndpointID
}

type member struct {
	endpoint peridotpath.Endpoint
	// vanished is when the list stopped naming the endpoint; zero while it does.
	vanished time.Time
	// asOf is the time of the newest report, or of the first sight of the endpoint.
	asOf time.Time
	// leaving is when the endpoint said last that it takes no new work; zero
	// when it has said otherwise since.
	leaving time.Time
}

// SetMembers takes a reading of the membership list.
//
// An empty reading after one with endpoints is not believed: it is what a
// service says that was just restarted, and acting on it would refuse every
// caller. Endpoints that are really gone are found out by their refusals.
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
		view.join(now, endpoint)
	}
	view.keepVanished(now, listed)
	view.publish(now)
}

func (view *View) join(now time.Time, endpoint peridotpath.Endpoint) {
	found := view.members[endpoint.ID]
	// Another address is another process: what the old one said is void.
	if found == nil || found.endpoint.Address != endpoint.Address {
		found = &member{asOf: now}
		view.members[endpoint.ID] = found
	}
	found.endpoint = endpoint
	found.vanished = time.Time{}
	// A plain service reports no load, so nothing but time takes back what its
	// refusal said; the list has caught up by then.
	if endpoint.Kind == peridotpath.KindPlain && now.Sub(found.leaving) >= vanishedHold {
		found.leaving = time.Time{}
	}
}

func (view *View) keepVanished(now time.Time, listed map[peridotpath.EndpointID]bool) {
	for id, found := range view.members {
		if listed[id] {
			continue
		}
		if found.vanished.IsZero() {
			found.vanished = now
		}
		if now.Sub(found.vanished) >= vanishedHold {
			delete(view.members, id)
			continue
		}
		view.order = append(view.order, id)
	}
}

// Refresh publishes the endpoints anew.
func (view *View) Refresh(now time.Time) {
	view.mu.Lock()
	defer view.mu.Unlock()
	view.publish(now)
}

// publish hands out the endpoints; view.mu is held, so that readings are handed
// out in order.
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
	view.Publish(now, endpoints)
}

func (view *View) takesNoWork(found *member) bool {
	drained := view.Drained != nil && view.Drained(found.endpoint.ID)
	return drained || !found.leaving.IsZero() || !found.vanished.IsZero()
}

// Report takes an endpoint's report, with AsOf on this instance's clock.
func (view *View) Report(now time.Time, id peridotpath.EndpointID, load peridotpath.Load) {
	view.mu.Lock()
	defer view.mu.Unlock()
	found := view.members[id]
	if found == nil || !load.AsOf.After(found.asOf) {
		return
	}
	found.asOf = load.AsOf
	view.Load(now, id, load)
	switch {
	case load.Leaving && found.leaving.IsZero():
		found.leaving = load.AsOf
		view.Log.Info().Str("event", "endpoint_leaving").Str("endpoint", string(id)).Send()
		view.publish(now)
	case load.Leaving:
		found.leaving = load.AsOf
	case !found.leaving.IsZero() && load.AsOf.Sub(found.leaving) > refusalHold:
		found.leaving = time.Time{}
		view.Log.Info().Str("event", "endpoint_returned").Str("endpoint", string(id)).Send()
		view.publish(now)
	}
}

// Refused notes that the endpoint itself turned work away because it leaves.
// It gets no new work until a later report of its own says otherwise, whatever
// the membership list says: the list lags.
func (view *View) Refused(now time.Time, id peridotpath.EndpointID) {
	view.mu.Lock()
	defer view.mu.Unlock()
	found := view.members[id]
	if found == nil {
		return
	}
	before := found.leaving
	found.leaving = now
	if before.IsZero() {
		view.Log.Info().Str("event", "endpoint_leaving").Str("endpoint", string(id)).Bool("refusal", true).Send()
		view.publish(now)
	}
}

// Age returns how old the newest report of the endpoint is.
func (view *View) Age(now time.Time, id peridotpath.EndpointID) time.Duration {
	view.mu.Lock()
	defer view.mu.Unlock()
	if found := view.members[id]; found != nil {
		return now.Sub(found.asOf)
	}
	return 0
}

// Engines returns the model engines that the membership list names, those that
// are leaving included: they still run work and may come back.
func (view *View) Engines() []peridotpath.Endpoint {
	view.mu.Lock()
	defer view.mu.Unlock()
	engines := make([]peridotpath.Endpoint, 0, len(view.order))
	for _, id := range view.order {
		found := view.members[id]
		if found.endpoint.Kind == peridotpath.KindEngine && found.vanished.IsZero() {
			engines = append(engines, found.endpoint)
		}
	}
	return engines
}
