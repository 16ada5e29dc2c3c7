package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/relay"
	"peridotpath.example/peridotpath/routing"
)

// All instances lost their power and start again; their callers come back at once, and
// only once. They were refused since the routing was still being read, and never
// served. They are held while it is about to come, and refused where it does not.
func TestRequestsOfAStart(t *testing.T) {
	const never = 24 * time.Hour
	tests := map[string]struct {
		known    time.Duration
		over     time.Duration
		patience time.Duration
		status   int
		took     time.Duration
	}{
		"the routing comes":             {known: 400 * time.Millisecond, over: 400 * time.Millisecond, patience: 10 * time.Second, status: http.StatusOK, took: 400 * time.Millisecond},
		"the store is away":             {known: never, over: 50 * time.Millisecond, patience: 10 * time.Second, status: http.StatusServiceUnavailable, took: 50 * time.Millisecond},
		"it takes too long":             {known: never, over: time.Hour, patience: 10 * time.Second, status: http.StatusServiceUnavailable, took: 1500 * time.Millisecond},
		"its caller has to ask another": {known: never, over: time.Hour, patience: time.Second, status: http.StatusServiceUnavailable, took: 400 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				script := &script{steps: []step{answer(http.StatusOK, "done", nil)}}
				fixture := newFixture(script.send, nil, testEndpoint(0))
				fixture.relay.Routing = &routing.State{Now: fixture.routing.Now, KeyLifetime: time.Hour, Log: zerolog.Nop()}
				started := make(chan struct{})
				fixture.relay.Routed, fixture.relay.Started = started, started
				over := time.AfterFunc(test.over, func() {
					if test.known == test.over {
						fixture.relay.Routing.Apply(testRouting(nil), fixture.relay.Routing.Now())
					}
					close(started)
				})
				defer over.Stop()
				began := time.Now()
				outcome := fixture.ask(t.Context(), "look", func(request *relay.Request) { request.Patience = test.patience })
				is.Equal(outcome.status, test.status)
				is.Equal(time.Since(began), test.took)
				if test.status != http.StatusOK {
					is.Equal(outcome.result.Code, peridotpath.CodeNotReady)
					is.True(outcome.result.RetryAfter > 0)
				}
			})
		})
	}
}

// bar notes three endpoints that ended under the request, some time ago.
func (fixture *fixture) bar(target string) {
	content := peridotpath.FingerprintOf("desk", "host", http.MethodPost, target, nil)
	for endpoint := range peridotpath.EndpointKey(3) {
		fixture.relay.Quarantine.RecordCrash(content, endpoint+1, time.Now())
		time.Sleep(time.Second)
	}
}

// An instance starts and hears its peers' routing, but nobody tells it the endpoints. A short
// request is refused while its caller can still be served in time elsewhere; one that is
// barred waits for nothing.
func TestRequestWhileEndpointsAreUnknown(t *testing.T) {
	tests := map[string]struct {
		route  string
		comes  time.Duration
		barred bool
		want   peridotpath.Code
		took   time.Duration
	}{
		"short, in vain":    {route: "look", comes: time.Hour, want: peridotpath.CodeNoEndpoint, took: 300 * time.Millisecond},
		"short, in time":    {route: "look", comes: 200 * time.Millisecond, took: 200 * time.Millisecond},
		"with a longer aim": {route: "long", comes: time.Hour, want: peridotpath.CodeNoEndpoint, took: 1500 * time.Millisecond},
		"barred":            {route: "look", comes: time.Hour, barred: true, want: peridotpath.CodeQuarantined},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				script := &script{steps: []step{answer(http.StatusOK, "done", nil)}}
				fixture := newFixture(script.send, nil, testEndpoint(0))
				routed, started := make(chan struct{}), make(chan struct{})
				close(routed)
				fixture.relay.Routed, fixture.relay.Started = routed, started
				endpoints := fixture.relay.Endpoints
				known := time.Now().Add(test.comes)
				fixture.relay.Endpoints = func() *directory.Snapshot {
					if time.Now().Before(known) {
						return nil
					}
					return endpoints()
				}
				fixture.relay.AllEndpoints = fixture.relay.Endpoints
				over := time.AfterFunc(test.comes, func() { close(started) })
				defer over.Stop()
				if test.barred {
					fixture.bar("/" + test.route + "/x")
				}
				began := time.Now()
				outcome := fixture.ask(t.Context(), test.route, nil)
				is.Equal(outcome.result.Code, test.want)
				is.Equal(time.Since(began), test.took)
			})
		})
	}
}
