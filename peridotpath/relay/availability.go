package relay

import (
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/availability"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/telemetry"
)

// recordAnnouncement records what the answer announces about its endpoint.
func (exchange *exchange) recordAnnouncement(answer *Answer) {
	if !answer.isFromEndpoint() {
		return
	}
	carrier := availability.Carrier{Exchange: "request", Request: exchange.request.ID, Status: answer.Status}
	exchange.relay.Availability.Record(exchange.plan.Primary, answer.Announcement, carrier, time.Now())
}

// takesRequests reports whether the endpoint takes requests by what it has announced. If not,
// it records why the endpoint is skipped.
func (exchange *exchange) takesRequests(key peridotpath.EndpointKey, now time.Time) bool {
	state := exchange.relay.Availability.Check(key, now)
	switch {
	case state.Leaving:
		exchange.skipped.leaving = true
	case state.Backoff > 0:
		exchange.skipped.backoffWait.record(state.Backoff)
	default:
		return true
	}
	return false
}

// planTakesRequests reports whether all endpoints of the plan still take requests. Since the
// plan was made, an answer to another request or to a reservation may have announced the
// contrary, or a new list may lack an endpoint, as when its data centre is drained.
func (exchange *exchange) planTakesRequests(now time.Time) bool {
	listed := exchange.relay.AllEndpoints()
	for _, endpoint := range append([]*peridotpath.Endpoint{exchange.plan.Primary}, exchange.plan.Helpers...) {
		key := endpoint.Key()
		if listed.ByKey(key) == nil || !exchange.takesRequests(key, now) {
			return false
		}
	}
	return true
}

// hasTaker reports whether one of the endpoints takes requests by what it has announced.
func (relay *Relay) hasTaker(members []directory.Member, now time.Time) bool {
	return slices.ContainsFunc(members, func(member directory.Member) bool {
		state := relay.Availability.Check(member.Key, now)
		return state.TakesRequests()
	})
}

// logSendsDespiteAnnouncement logs and counts the endpoints of the plan that have announced
// that they take no requests and are sent this one nevertheless.
func (exchange *exchange) logSendsDespiteAnnouncement(now time.Time) {
	if exchange.relay.Availability.IsEmpty() {
		return
	}
	exchange.logSendDespiteAnnouncement(exchange.plan.Primary, "primary", now)
	for _, helper := range exchange.plan.Helpers {
		exchange.logSendDespiteAnnouncement(helper, "helper", now)
	}
}

func (exchange *exchange) logSendDespiteAnnouncement(endpoint *peridotpath.Endpoint, role string, now time.Time) {
	state := exchange.relay.Availability.Check(endpoint.Key(), now)
	if state.TakesRequests() {
		return
	}
	announced := "backoff"
	if state.Leaving {
		announced = "leaving"
	}
	telemetry.CountSendDespiteAnnouncement(announced)
	if !exchange.relay.DespiteSampler.Allow(now) {
		return
	}
	exchange.relay.Log.Info().Str("request", string(exchange.request.ID)).Str("endpoint", string(endpoint.ID)).
		Uint64("incarnation", uint64(endpoint.Incarnation)).Str("role", role).Str("announced", announced).
		Dur("age", now.Sub(state.AnnouncedAt)).Dur("backoff", state.Backoff).Dur("placed", now.Sub(exchange.placedAt)).
		Int("try", exchange.attemptCount).Bool("resumed", exchange.lastEventID != "").
		Dur("held", now.Sub(exchange.request.ArrivedAt)).Msg("sent_despite")
}
