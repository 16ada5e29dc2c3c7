package relay_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
)

const (
	// limitSpan is the span over which an endpoint counts what it gets, limitFactor and
	// limitSlack what it may get beyond what it names.
	limitSpan               = 4 * time.Second
	limitFactor, limitSlack = 1.5, 5
	// limitTime is the time from a first naming within which all instances keep to it.
	limitTime = 3 * time.Second
)

// arrivals returns when an endpoint got requests, as times since the beginning.
func (mortal *mortalEndpoints) arrivals(id peridotpath.EndpointID, began time.Time) []time.Duration {
	mortal.mutex.Lock()
	defer mortal.mutex.Unlock()
	var all []time.Duration
	for _, run := range mortal.runs {
		if run.endpoint == id {
			all = append(all, run.at.Sub(began))
		}
	}
	return all
}

// between counts the times in a span.
func between(times []time.Duration, from, until time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= from && at < until {
			count++
		}
	}
	return count
}

// most returns how many there are in the fullest limitSpan.
func most(times []time.Duration, from, until time.Duration) int {
	most := 0
	for _, at := range times {
		if at >= from && at+limitSpan <= until {
			most = max(most, between(times, at, at+limitSpan))
		}
	}
	return most
}

// Guards against an endpoint in need that gets from all instances together what it gets from each.
func TestEndpointGetsNoMoreThanItNames(t *testing.T) {
	const named, lifted, over = 2 * time.Second, 20 * time.Second, 30 * time.Second
	for _, test := range []struct {
		instances, endpoints int
		lag                  time.Duration
		perSecond            float64
		route                string
		engine               *peridotpath.EngineRates
	}{
		{6, 12, 10 * time.Millisecond, 60, "short", &testRates},
		{6, 12, 10 * time.Millisecond, 60, "save", nil},
		{97, 56, 25 * time.Millisecond, 195, "short", smallBatch()},
		{97, 48, 25 * time.Millisecond, 195, "look", nil},
	} {
		t.Run(fmt.Sprintf("%d instances %s", test.instances, test.route), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(29, 7))
				began := time.Now()
				mortal, endpoints := newMortalEndpoints(test.endpoints, func(string) bool { return false })
				limits := map[peridotpath.EndpointID]peridotpath.Rate{endpoints[0].ID: 2.3, endpoints[1].ID: 1, endpoints[2].ID: 0}
				mortal.limit = func(id peridotpath.EndpointID) *peridotpath.Rate {
					limit, known := limits[id]
					if since := time.Since(began); !known || since < named || since > lifted {
						return nil
					}
					return &limit
				}
				fleet := newFleet(test.instances, test.lag, func(int) *fixture { return newFixture(mortal.send, test.engine, endpoints...) })
				load := storm{}.steady(random, test.route, 0, over, test.perSecond, ownBody)
				outcomes := playStorm(mortal, fleet, random, load)
				good, asked := served(load, outcomes, func(string) bool { return true })
				if good < asked*99/100 {
					t.Errorf("%d of %d served, want all: others have room", good, asked)
				}
				usual := between(mortal.arrivals(endpoints[3].ID, began), lifted+5*time.Second, over)
				for id, limit := range limits {
					times := mortal.arrivals(id, began)
					allowed := int(limitFactor*float64(limit)*limitSpan.Seconds()) + limitSlack
					got, used := most(times, named+limitTime, lifted), between(times, named+limitTime, lifted)
					after := between(times, lifted+5*time.Second, over)
					t.Logf("%s names %v: %d in %v, %d in all; after its end %d, others %d", id, limit, got, limitSpan, used, after, usual)
					if got > allowed {
						t.Errorf("%s names %v: got %d in %v, want %d at most", id, limit, got, limitSpan, allowed)
					}
					if test.engine != nil {
						// Writers are packed: an engine may have none at this load.
						continue
					}
					if least := 0.7 * float64(limit) * (lifted - named - limitTime).Seconds(); float64(used) < least {
						t.Errorf("%s names %v: got %d, want %.0f at least: it takes as many", id, limit, used, least)
					}
					if 2*after < usual {
						t.Errorf("%s gets %d after its limit's end, want half of the %d that another one gets", id, after, usual)
					}
				}
			})
		})
	}
}

// Guards against callers that wait for endpoints all of which are limited, and are told too late.
func TestCallersLearnAtOnceThatAllEndpointsAreLimited(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		const over = 20 * time.Second
		random := rand.New(rand.NewPCG(29, 8))
		began := time.Now()
		mortal, endpoints := newMortalEndpoints(4, func(string) bool { return false })
		limit := peridotpath.Rate(2)
		mortal.limit = func(peridotpath.EndpointID) *peridotpath.Rate { return &limit }
		fleet := newFleet(6, 10*time.Millisecond, func(int) *fixture { return newFixture(mortal.send, nil, endpoints...) })
		load := storm{}.steady(random, "look", 0, over, 40, ownBody)
		outcomes := playStorm(mortal, fleet, random, load)
		for _, endpoint := range endpoints {
			times := mortal.arrivals(endpoint.ID, began)
			if got := most(times, limitTime, over); got > 17 {
				t.Errorf("%s names 2: got %d in %v, want 17 at most", endpoint.ID, got, limitSpan)
			}
			if got := between(times, limitTime, over); got < 24 {
				t.Errorf("%s names 2: got %d in %v, want 24 at least", endpoint.ID, got, over-limitTime)
			}
		}
		refused := 0
		for i, outcome := range outcomes {
			if outcome.status == http.StatusOK || load[i].at < limitTime {
				continue
			}
			refused++
			if !outcome.result.Code.NotRun() || outcome.result.RetryAfter <= 0 || outcome.took > 50*time.Millisecond {
				t.Errorf("request %d: %v after %v, want a refusal at once with a time to come back", i, outcome.result, outcome.took)
			}
		}
		t.Logf("%d of %d refused", refused, len(load))
	})
}
