package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

const limitedID peridotpath.EndpointID = "i-0"

// limitFixture is an endpoint with a rate limit that a settled instance sends requests to.
type limitFixture struct {
	checker *checker
	sent    sentRequest
	setAt   time.Time
}

func newLimitFixture(limit peridotpath.Rate) *limitFixture {
	fixture := &limitFixture{checker: newChecker(&standin.Store{}), setAt: time.Now(), sent: sentRequest{Instance: &instance{ID: "edge-0"}}}
	fixture.checker.limits[limitedID] = &limitedEndpoint{limit: limit, setAt: fixture.setAt}
	return fixture
}

// name makes the endpoint name a limit at a time since it was set.
func (fixture *limitFixture) name(limit string, since time.Duration) {
	fixture.checker.recordNamedLimit(limitedID, limit, fixture.setAt.Add(since))
}

// receive makes the endpoint receive requests at a time since the limit was set.
func (fixture *limitFixture) receive(count int, since time.Duration) {
	fixture.checker.mutex.Lock()
	defer fixture.checker.mutex.Unlock()
	for range count {
		fixture.checker.recordLimitedArrival(limitedID, &fixture.sent, fixture.setAt.Add(since))
	}
}

func (fixture *limitFixture) isReported() bool {
	violations, _, _ := fixture.checker.summary()
	return len(violations) > 0
}

// A check that counts requests from before an endpoint has named its limit finds a fault where no
// instance could know it; one that excuses more passes over instances that send despite it.
func TestRequestsBeyondALimitAreReported(t *testing.T) {
	const known, named = 4 * time.Second, 10 * time.Millisecond
	tests := []struct {
		name    string
		want    bool
		receive func(fixture *limitFixture)
	}{
		{"as many as allowed", false, func(fixture *limitFixture) {
			fixture.name("0", named)
			fixture.receive(limitExtraRequests, known)
		}},
		{"one more", true, func(fixture *limitFixture) {
			fixture.name("0", named)
			fixture.receive(limitExtraRequests+1, known)
		}},
		{"one more within the window", true, func(fixture *limitFixture) {
			fixture.name("0", named)
			fixture.receive(limitExtraRequests, known)
			fixture.receive(1, known+limitWindow)
		}},
		{"one more after the window", false, func(fixture *limitFixture) {
			fixture.name("0", named)
			fixture.receive(limitExtraRequests, known)
			fixture.receive(1, known+limitWindow+time.Millisecond)
		}},
		{"just after the limit was set", false, func(fixture *limitFixture) {
			fixture.name("0", named)
			fixture.receive(20, settleTime)
		}},
		{"from an instance that was disturbed", false, func(fixture *limitFixture) {
			fixture.name("0", named)
			fixture.sent.Instance.setDisturbedUntil(fixture.setAt.Add(known))
			fixture.receive(20, known)
		}},
		{"at an endpoint that is silent all the time", false, func(fixture *limitFixture) {
			fixture.receive(20, known)
		}},
		{"before the end of a silence", false, func(fixture *limitFixture) {
			fixture.receive(20, known)
			fixture.name("0", known+time.Millisecond)
			fixture.receive(limitExtraRequests, known+time.Second)
		}},
		{"one more after the end of a silence", true, func(fixture *limitFixture) {
			fixture.name("0", known)
			fixture.receive(limitExtraRequests+1, known+limitNoticeTime)
		}},
		{"at an endpoint that is silent once it has named the limit", true, func(fixture *limitFixture) {
			fixture.name("0", known-limitNoticeTime)
			fixture.receive(limitExtraRequests+1, known)
		}},
		{"named again", true, func(fixture *limitFixture) {
			fixture.name("0", named)
			fixture.name("0", known)
			fixture.receive(limitExtraRequests+1, known)
		}},
		{"an earlier limit was named", false, func(fixture *limitFixture) {
			fixture.name("2.3", named)
			fixture.receive(20, known)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newLimitFixture(0)
			test.receive(fixture)
			is.Equal(fixture.isReported(), test.want)
		})
	}
}

// The endpoints of a fleet must tell the check when they name a limit; otherwise it excuses everything.
func TestFleetRecordsWhenALimitIsNamed(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	store := &standin.Store{}
	fleet := &fleet{checker: newChecker(store), store: store}
	defer func() {
		cancel()
		fleet.background.Wait()
	}()
	is.NoErr(fleet.addEndpoint(ctx, limitedID, plainService, dataCentres[0]))
	endpoint := fleet.endpoints[0]
	fleet.setLimit(rand.New(rand.NewPCG(1, 1)))
	namedAt := func() time.Time {
		fleet.checker.mutex.Lock()
		defer fleet.checker.mutex.Unlock()
		return fleet.checker.limits[limitedID].namedAt
	}
	const silence = 200 * time.Millisecond
	endpoint.SetSilent(true)
	time.AfterFunc(silence, func() {
		is.True(namedAt().IsZero())
		endpoint.SetSilent(false)
	})
	began := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint.address.String()+"/look/x", http.NoBody)
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	response.Body.Close()
	is.True(namedAt().Sub(began) >= silence)
}
