package availability_test

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/availability"
	"peridotpath.example/peridotpath/facts"
)

var began = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return began.Add(time.Duration(seconds * float64(time.Second)))
}

func newTracker() *availability.Tracker {
	tracker := &availability.Tracker{Instance: "edge-1", Facts: &facts.Table{}, Log: zerolog.Nop()}
	tracker.Facts.OnReceive = tracker.ReceiveFact
	return tracker
}

var (
	leaving = availability.Announcement{Leaving: true}
	carrier = availability.Carrier{Exchange: "request", Request: "r1", Status: 503}
)

func backoff(span time.Duration) availability.Announcement {
	return availability.Announcement{Backoff: span}
}

// Answers overtake each other: one without the announcement that arrives after it must not
// take it back. Only another incarnation under the same id does not leave.
func TestLeavingEndsOnlyWithAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	tracker := newTracker()
	first := &peridotpath.Endpoint{ID: "app-1", Incarnation: 1}
	second := &peridotpath.Endpoint{ID: "app-1", Incarnation: 2}
	tracker.Record(first, leaving, carrier, at(0))
	tracker.Record(first, availability.Announcement{}, carrier, at(0.1))
	for _, seconds := range []float64{0, 1, 3600, 100_000} {
		state := tracker.Check(first.Key(), at(seconds))
		is.True(state.Leaving)
		is.True(!state.TakesRequests())
	}
	state := tracker.Check(second.Key(), at(1))
	is.True(state.TakesRequests())
}

// One instance hears from an endpoint that it leaves. Its peers must learn it once, also from a
// repetition of the fact that arrives later.
func TestPeersLearnThatAnEndpointLeaves(t *testing.T) {
	is := is.New(t)
	tracker, peer := newTracker(), newTracker()
	endpoint := &peridotpath.Endpoint{ID: "app-1", Incarnation: 1}
	tracker.Record(endpoint, leaving, carrier, at(0))
	for range 2 {
		peer.Facts.Receive(tracker.Facts.TakeDue(at(0), true), false)
	}
	state := peer.Check(endpoint.Key(), at(1))
	is.True(state.Leaving)
	is.Equal(len(peer.Facts.TakeDue(at(1), false)), 0) // a received fact is not gossiped again
}

// A backoff applies to the instance that was asked for it, and to no other.
func TestBackoffIsNotGossiped(t *testing.T) {
	is := is.New(t)
	tracker := newTracker()
	tracker.Record(&peridotpath.Endpoint{ID: "app-1"}, backoff(time.Second), carrier, at(0))
	is.Equal(len(tracker.Facts.TakeDue(at(0), true)), 0)
}

// An endpoint must be used again after its backoff, and no value may keep it out of use for more
// than a minute. A shorter backoff that arrives later does not end a longer one.
func TestBackoffEnds(t *testing.T) {
	endpoint := &peridotpath.Endpoint{ID: "app-1", Incarnation: 1}
	tests := []struct {
		name  string
		spans []time.Duration
		want  time.Duration
	}{
		{"none", nil, 0},
		{"zero", []time.Duration{0}, 0},
		{"negative", []time.Duration{-time.Second}, 0},
		{"one", []time.Duration{3 * time.Second}, 3 * time.Second},
		{"extended", []time.Duration{time.Second, 3 * time.Second}, 3 * time.Second},
		{"crossing answers", []time.Duration{3 * time.Second, time.Second, 0}, 3 * time.Second},
		{"huge", []time.Duration{math.MaxInt64}, time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			tracker := newTracker()
			for _, span := range test.spans {
				tracker.Record(endpoint, backoff(span), carrier, at(0))
			}
			state := tracker.Check(endpoint.Key(), at(0))
			is.Equal(state.Backoff, test.want)
			if test.want > 0 {
				state = tracker.Check(endpoint.Key(), at(0).Add(test.want-1))
				is.Equal(state.Backoff, time.Duration(1))
			}
			state = tracker.Check(endpoint.Key(), at(0).Add(test.want))
			is.True(state.TakesRequests())
		})
	}
}

// Endpoints come and go for ever: what is remembered of them stays bounded, the latest first.
func TestLeavingEndpointsAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := newTracker()
	tracker.Record(&peridotpath.Endpoint{ID: "app-1", Incarnation: 1}, leaving, carrier, at(0))
	for i := range 4096 {
		var subject facts.Subject
		subject[6], subject[7] = byte(i>>8), byte(i)
		tracker.ReceiveFact(facts.Fact{Kind: facts.KindLeaving, Subject: subject, Value: 1, ObservedAt: at(float64(i + 1))})
	}
	first := tracker.Check((&peridotpath.Endpoint{ID: "app-1", Incarnation: 1}).Key(), at(0))
	is.True(first.TakesRequests())
	last := tracker.Check(4095, at(0))
	is.True(last.Leaving)
}

// An operator sees which answer announced what, and when; an endpoint that sheds load must not
// add a line for each request.
func TestAnnouncementsAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	tracker := newTracker()
	tracker.Log = zerolog.New(&log)
	endpoint := &peridotpath.Endpoint{ID: "app-1", Incarnation: 7}
	for i := range 10 {
		tracker.Record(endpoint, availability.Announcement{Leaving: true, Backoff: 3 * time.Second}, carrier, at(float64(i)/200))
	}
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	is.Equal(lines, []string{
		`{"level":"info","endpoint":"app-1","incarnation":7,"by":"request","request":"r1","status":503,"age":0,"message":"endpoint_leaving"}`,
		`{"level":"info","endpoint":"app-1","incarnation":7,"by":"request","request":"r1","status":503,"retry_after":3000,"backoff":3000,"message":"endpoint_backoff"}`,
	})
}
