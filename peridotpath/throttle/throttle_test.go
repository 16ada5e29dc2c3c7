package throttle_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/throttle"
)

// limitedEndpoint is the endpoint that reports a limit.
var limitedEndpoint = &peridotpath.Endpoint{ID: "i-7"}

// fleet is a set of instances with a manual clock that exchange facts in gossip.
type fleet struct {
	now       time.Time
	tables    []*facts.Table
	throttles []*throttle.Throttle
}

func newFleet(count int) *fleet {
	fleet := &fleet{now: time.Now()}
	for i := range count {
		table := &facts.Table{}
		fleet.tables = append(fleet.tables, table)
		fleet.throttles = append(fleet.throttles, &throttle.Throttle{SenderID: uint64(i), Facts: table, Log: zerolog.Nop()})
	}
	return fleet
}

// gossip sends every instance's facts to all others.
func (fleet *fleet) gossip() {
	for i, table := range fleet.tables {
		sent := table.TakeDue(fleet.now, true)
		for j, other := range fleet.tables {
			if i != j {
				other.Receive(sent, false)
			}
		}
	}
}

// trySend sends a request from an instance if the limit allows it, and reports whether it
// was sent.
func (fleet *fleet) trySend(instance int) bool {
	sender := fleet.throttles[instance]
	return sender.TimeUntilAllowed(limitedEndpoint.Key(), 0, fleet.now) == 0 && sender.TakeTokens([]peridotpath.EndpointKey{limitedEndpoint.Key()}, fleet.now)
}

// sendFor lets every instance try to send every 50 ms, and returns the number of requests
// sent.
func (fleet *fleet) sendFor(duration time.Duration) int {
	sent := 0
	for range duration / (50 * time.Millisecond) {
		fleet.now = fleet.now.Add(50 * time.Millisecond)
		for i := range fleet.throttles {
			if fleet.trySend(i) {
				sent++
			}
			fleet.gossip()
		}
	}
	return sent
}

func TestEndpointWithoutLimitIsNotThrottled(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(1)
	is.True(fleet.throttles[0].HasNoLimits())
	is.True(fleet.trySend(0))
	is.True(fleet.trySend(0))
}

func TestFleetKeepsToALimit(t *testing.T) {
	tests := []struct {
		limit            peridotpath.Rate
		minSent, maxSent int
	}{
		{2.3, 22, 25},
		{1, 9, 11},
		{0, 3, 5}, // the minimum rate, to detect the end of the limit
		{0.001, 3, 5},
		{1_000_000, 199 * 8, 200 * 8},
	}
	for _, test := range tests {
		is := is.New(t)
		fleet := newFleet(8)
		fleet.throttles[3].RecordLimit(limitedEndpoint, test.limit, fleet.now)
		fleet.gossip()
		sent := fleet.sendFor(10 * time.Second)
		if sent < test.minSent || sent > test.maxSent {
			t.Errorf("limit %v: sent %d in 10 s, want %d to %d", test.limit, sent, test.minSent, test.maxSent)
		}
		is.True(!fleet.throttles[0].HasNoLimits())
	}
}

// All traffic may arrive at one instance, which then uses the whole limit.
func TestOneInstanceMayUseTheWholeLimit(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(8)
	fleet.throttles[0].RecordLimit(limitedEndpoint, 2, fleet.now)
	fleet.gossip()
	sent := 0
	for range 200 {
		fleet.now = fleet.now.Add(50 * time.Millisecond)
		if fleet.trySend(5) {
			sent++
		}
		fleet.gossip()
	}
	is.True(sent >= 19)
	is.True(sent <= 21)
}

// Instances that send at the same time exceed the limit. The resulting debt in tokens
// delays later requests.
func TestOvershootDelaysLaterRequests(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(4)
	fleet.throttles[0].RecordLimit(limitedEndpoint, 1, fleet.now)
	fleet.gossip()
	for i := range fleet.throttles {
		fleet.throttles[i].TimeUntilAllowed(limitedEndpoint.Key(), 0, fleet.now) // creates the bucket
	}
	fleet.now = fleet.now.Add(time.Second)
	for i := range fleet.throttles {
		is.True(fleet.trySend(i))
	}
	fleet.gossip()
	is.Equal(fleet.throttles[2].TimeUntilAllowed(limitedEndpoint.Key(), 0, fleet.now), 4*time.Second)
}

func TestLimitChangesAndEnds(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(2)
	first, second := fleet.throttles[0], fleet.throttles[1]
	first.RecordLimit(limitedEndpoint, 1, fleet.now)
	fleet.gossip()
	is.True(first.TimeUntilAllowed(limitedEndpoint.Key(), 0, fleet.now) > 0)
	is.True(second.TimeUntilAllowed(limitedEndpoint.Key(), 0, fleet.now) > 0)
	// A request was sent before the limit was reported. The response to it does not end the
	// limit.
	first.RecordNoLimit(limitedEndpoint, fleet.now.Add(-time.Second), fleet.now.Add(time.Second))
	fleet.gossip()
	is.True(second.TimeUntilAllowed(limitedEndpoint.Key(), 0, fleet.now) > 0)

	fleet.now = fleet.now.Add(2 * time.Second)
	second.RecordLimit(limitedEndpoint, 100, fleet.now)
	fleet.gossip()
	fleet.now = fleet.now.Add(100 * time.Millisecond)
	is.Equal(first.TimeUntilAllowed(limitedEndpoint.Key(), 0, fleet.now), time.Duration(0))

	second.RecordNoLimit(limitedEndpoint, fleet.now, fleet.now.Add(50*time.Millisecond))
	fleet.now = fleet.now.Add(100 * time.Millisecond)
	fleet.gossip()
	for range 50 {
		is.True(fleet.trySend(0))
	}
	is.True(fleet.trySend(1))
	fleet.now = fleet.now.Add(time.Second)
	first.RecordLimit(limitedEndpoint, 1, fleet.now) // a new limit
	fleet.gossip()
	is.True(second.TimeUntilAllowed(limitedEndpoint.Key(), 0, fleet.now) > 0)
}

// A limit does not apply to another incarnation of the endpoint.
func TestOtherEndpointsAreNotLimited(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(1)
	fleet.throttles[0].RecordLimit(limitedEndpoint, 0, fleet.now)
	is.Equal(fleet.throttles[0].TimeUntilAllowed(limitedEndpoint.Key()+1, 0, fleet.now), time.Duration(0))
	is.True(fleet.throttles[0].TakeTokens([]peridotpath.EndpointKey{limitedEndpoint.Key() + 1}, fleet.now))
}

// Prefill that an endpoint does as a helper counts against its limit.
func TestHelperRequestsCount(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(1)
	instance := fleet.throttles[0]
	instance.RecordLimit(limitedEndpoint, 1, fleet.now)
	is.True(instance.TimeUntilAllowed(limitedEndpoint.Key(), 0, fleet.now) > 0)
	fleet.now = fleet.now.Add(time.Second)
	is.True(instance.TakeTokens([]peridotpath.EndpointKey{limitedEndpoint.Key() + 1, limitedEndpoint.Key()}, fleet.now))
	is.True(instance.TimeUntilAllowed(limitedEndpoint.Key(), 0, fleet.now) > 0)
}

// A limit expires when no response from the endpoint confirms it.
func TestUnconfirmedLimitExpires(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(1)
	fleet.throttles[0].RecordLimit(limitedEndpoint, 0, fleet.now)
	fleet.now = fleet.now.Add(2 * time.Minute)
	is.Equal(fleet.throttles[0].TimeUntilAllowed(limitedEndpoint.Key(), 0, fleet.now), time.Duration(0))
}
