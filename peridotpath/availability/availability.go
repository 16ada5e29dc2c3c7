// Package availability tracks what endpoints announce in their answers about taking requests:
// that they are leaving the fleet, and for how long they want none from this instance.
//
// It matters while the store is unreachable or its list of endpoints lags: an endpoint that
// shuts down says so in every answer, seconds before the list shows it, and an endpoint that
// sheds load asks single instances to back off, which the list never shows.
//
// An endpoint leaves for all instances, so they gossip it. A backoff applies only to the
// instance that was asked for it.
package availability

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// maxBackoff caps the backoff that one answer sets, so that an absurd value does not take an
	// endpoint out of use.
	maxBackoff = time.Minute
	// minLoggedExtension is the least time by which an answer must extend a running backoff to
	// be logged: one that sheds load answers many requests at once.
	minLoggedExtension = 100 * time.Millisecond
	// maxLeaving bounds the leaving endpoints that are remembered. Those that said so first are
	// forgotten first: they have long left.
	maxLeaving = 4096
)

// Announcement is what one answer of an endpoint says about taking requests.
type Announcement struct {
	// Leaving reports that the endpoint is leaving the fleet.
	Leaving bool
	// Backoff is how long the endpoint wants no requests from this instance; zero for none.
	Backoff time.Duration
}

// Carrier identifies the answer that carried an announcement, for the log.
type Carrier struct {
	// Exchange is the type of exchange: "request", "reserve", "release" or "report".
	Exchange string
	// Request is the caller's request; empty in other exchanges.
	Request peridotpath.RequestID
	Status  int
}

// Handler receives the announcement of an endpoint's answer.
type Handler func(endpoint *peridotpath.Endpoint, announced Announcement, carrier Carrier, now time.Time)

// Tracker holds the announcements of all endpoints. Set the exported fields before use.
type Tracker struct {
	Instance peridotpath.InstanceID
	Facts    *facts.Table
	// FindEndpoint returns the endpoint with the key; nil if it is not in use.
	FindEndpoint func(endpoint peridotpath.EndpointKey) *peridotpath.Endpoint
	Log          zerolog.Logger

	// current is replaced and never changed, so that requests read it without a lock.
	current atomic.Pointer[state]
	// mutex serialises replacements of current.
	mutex sync.Mutex
}

// state is an immutable set of announcements.
type state struct {
	// leavingSince holds the times at which endpoints announced that they leave. An entry never
	// ends: another incarnation of the endpoint has another key.
	leavingSince map[peridotpath.EndpointKey]time.Time
	backoffs     map[peridotpath.EndpointKey]backoff
}

// backoff is the time for which an endpoint wants no requests.
type backoff struct{ announcedAt, until time.Time }

// Record records the announcement of an endpoint's answer.
func (tracker *Tracker) Record(endpoint *peridotpath.Endpoint, announced Announcement, carrier Carrier, now time.Time) {
	if announced.Leaving {
		tracker.recordLeaving(endpoint, carrier, now)
	}
	if announced.Backoff > 0 {
		tracker.recordBackoff(endpoint, announced.Backoff, carrier, now)
	}
}

func (tracker *Tracker) recordLeaving(endpoint *peridotpath.Endpoint, carrier Carrier, now time.Time) {
	key := endpoint.Key()
	if !tracker.addLeaving(key, now) {
		return
	}
	telemetry.CountLeavingAnnouncement("answer")
	tracker.Log.Info().Str("endpoint", string(endpoint.ID)).Uint64("incarnation", uint64(endpoint.Incarnation)).Str("by", carrier.Exchange).
		Str("request", string(carrier.Request)).Int("status", carrier.Status).Int64("age", 0).Msg("endpoint_leaving")
	tracker.Facts.Observe(facts.Fact{
		Kind: facts.KindLeaving, Subject: facts.EndpointSubject(key), Value: 1, ObservedAt: now, Source: tracker.Instance,
	})
}

// ReceiveFact records a fact of a peer that an endpoint is leaving. It ignores facts of other
// kinds.
func (tracker *Tracker) ReceiveFact(fact facts.Fact) {
	if fact.Kind != facts.KindLeaving {
		return
	}
	key := fact.Subject.Endpoint()
	if !tracker.addLeaving(key, fact.ObservedAt) {
		return
	}
	telemetry.CountLeavingAnnouncement("peer")
	event := tracker.Log.Info()
	if endpoint := tracker.findEndpoint(key); endpoint != nil {
		event = event.Str("endpoint", string(endpoint.ID)).Uint64("incarnation", uint64(endpoint.Incarnation))
	}
	event.Str("by", "peer").Str("peer", string(fact.Source)).Dur("age", time.Since(fact.ObservedAt)).Msg("endpoint_leaving")
}

func (tracker *Tracker) findEndpoint(key peridotpath.EndpointKey) *peridotpath.Endpoint {
	if tracker.FindEndpoint == nil {
		return nil
	}
	return tracker.FindEndpoint(key)
}

// addLeaving adds a leaving endpoint and reports whether it is a new one.
func (tracker *Tracker) addLeaving(key peridotpath.EndpointKey, since time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	before := tracker.snapshot()
	if _, known := before.leavingSince[key]; known {
		return false
	}
	leavingSince := map[peridotpath.EndpointKey]time.Time{key: since}
	maps.Copy(leavingSince, before.leavingSince)
	if len(leavingSince) > maxLeaving {
		delete(leavingSince, oldestOf(leavingSince))
		telemetry.CountDroppedFact(facts.KindLeaving.String())
	}
	tracker.current.Store(&state{leavingSince: leavingSince, backoffs: before.backoffs})
	return true
}

// oldestOf returns the endpoint that has been leaving for longest.
func oldestOf(leavingSince map[peridotpath.EndpointKey]time.Time) peridotpath.EndpointKey {
	var oldest peridotpath.EndpointKey
	var oldestSince time.Time
	for key, since := range leavingSince {
		if oldestSince.IsZero() || since.Before(oldestSince) {
			oldest, oldestSince = key, since
		}
	}
	return oldest
}

// recordBackoff extends an endpoint's backoff. A later answer never shortens it: answers may
// overtake each other.
func (tracker *Tracker) recordBackoff(endpoint *peridotpath.Endpoint, span time.Duration, carrier Carrier, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	before, key := tracker.snapshot(), endpoint.Key()
	previous, until := before.backoffs[key], now.Add(min(span, maxBackoff))
	if !until.After(previous.until) {
		return
	}
	backoffs := map[peridotpath.EndpointKey]backoff{key: {announcedAt: now, until: until}}
	for otherKey, other := range before.backoffs {
		if otherKey != key && other.until.After(now) {
			backoffs[otherKey] = other
		}
	}
	tracker.current.Store(&state{leavingSince: before.leavingSince, backoffs: backoffs})
	telemetry.CountBackoffAnnouncement()
	if until.Sub(previous.until) >= minLoggedExtension {
		tracker.Log.Info().Str("endpoint", string(endpoint.ID)).Uint64("incarnation", uint64(endpoint.Incarnation)).Str("by", carrier.Exchange).
			Str("request", string(carrier.Request)).Int("status", carrier.Status).Dur("retry_after", span).Dur("backoff", until.Sub(now)).Msg("endpoint_backoff")
	}
}

// snapshot returns the current announcements; backoffs in it may have ended.
func (tracker *Tracker) snapshot() *state {
	if current := tracker.current.Load(); current != nil {
		return current
	}
	return &state{}
}

// IsEmpty reports whether no endpoint has announced anything. It is cheap enough for every
// attempt.
func (tracker *Tracker) IsEmpty() bool { return tracker.current.Load() == nil }

// Availability is whether an endpoint takes requests, by its announcements.
type Availability struct {
	// Leaving reports that the endpoint is leaving. It ends only with another incarnation.
	Leaving bool
	// Backoff is the rest of the time for which the endpoint wants no requests; zero for none.
	Backoff time.Duration
	// AnnouncedAt is when the endpoint announced it; zero for an endpoint that takes requests.
	AnnouncedAt time.Time
}

// TakesRequests reports whether the endpoint takes requests now.
func (availability *Availability) TakesRequests() bool {
	return !availability.Leaving && availability.Backoff == 0
}

// Check returns whether an endpoint takes requests at the time now.
func (tracker *Tracker) Check(key peridotpath.EndpointKey, now time.Time) Availability {
	current := tracker.snapshot()
	if since, leaving := current.leavingSince[key]; leaving {
		return Availability{Leaving: true, AnnouncedAt: since}
	}
	if asked, found := current.backoffs[key]; found && asked.until.After(now) {
		return Availability{Backoff: asked.until.Sub(now), AnnouncedAt: asked.announcedAt}
	}
	return Availability{}
}
