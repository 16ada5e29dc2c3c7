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
	now time.Time
	// contenders is the number of requests that peers send before an instance hears of them.
	contenders float64
	tables     []*facts.Table
	throttles  []*throttle.Throttle
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
	return sender.TimeUntilAllowed(limitedEndpoint.Key(), fleet.contenders, fleet.now) == 0 && sender.TakeTokens([]peridotpath.EndpointKey{limitedEndpoint.Key()}, fleet.now)
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

// A data centre's endpoints return cold, and all instances want to use each of them. In no second
// may an endpoint receive more than its cold rate by half and five, or it crashes; where there is
// demand it must receive nine tenths of the rate.
func TestColdEndpointsReceiveTheirColdRate(t *testing.T) {
	for _, rate := range []peridotpath.Rate{14, 3} {
		is := is.New(t)
		const instances, span, step, lag = 20, 6 * time.Second, 10 * time.Millisecond, 30 * time.Millisecond
		fleet := newFleet(instances)
		fleet.contenders = float64(instances * lag / step)
		for _, sender := range fleet.throttles {
			sender.HasCold = func() bool { return true }
			sender.ColdRate = func(endpoint peridotpath.EndpointKey) (peridotpath.Rate, bool) {
				return rate, endpoint == limitedEndpoint.Key()
			}
		}
		var sentAt []time.Time
		began := fleet.now
		for fleet.now.Sub(began) < span {
			fleet.now = fleet.now.Add(step)
			// Several instances send before any of them hears of the others.
			for i := range instances {
				if fleet.trySend(i) {
					sentAt = append(sentAt, fleet.now)
				}
			}
			if fleet.now.Sub(began)%lag == 0 {
				fleet.gossip()
			}
		}
		for i, first := range sentAt {
			within := 0
			for _, other := range sentAt[i:] {
				if other.Sub(first) < time.Second {
					within++
				}
			}
			if most := int(1.5*float64(rate)) + 5; first.Sub(began) > time.Second && within > most {
				t.Errorf("rate %v: %d requests in a second at %s, want %d at most", rate, within, first.Sub(began), most)
			}
		}
		is.True(float64(len(sentAt)) >= 0.9*float64(rate)*span.Seconds())
		is.True(fleet.throttles[0].TimeUntilAllowed((&peridotpath.Endpoint{ID: "i-8"}).Key(), 0, fleet.now) == 0) // not cold
	}
}

// A cold endpoint gets few requests while the fleet is busy elsewhere. With tokens for the request
// and all its contenders it must be admitted, or most of the cold rate goes unused.
func TestFullBucketAdmitsRequestAmongContenders(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(1)
	fleet.contenders = 5
	fleet.throttles[0].HasCold = func() bool { return true }
	fleet.throttles[0].ColdRate = func(peridotpath.EndpointKey) (peridotpath.Rate, bool) { return 14, true }
	admitted := 0
	for range 100 {
		fleet.now = fleet.now.Add(200 * time.Millisecond)
		if fleet.trySend(0) {
			admitted++
		}
	}
	is.True(admitted >= 95)
}
