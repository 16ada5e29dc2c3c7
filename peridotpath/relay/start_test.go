package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
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
				fixture.relay.Started = started
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
