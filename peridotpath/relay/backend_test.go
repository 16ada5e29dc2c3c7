package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/availability"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/relay"
	"peridotpath.example/peridotpath/relay/relaytest"
)

// splitRoutes returns a table whose routes all have the backends.
func splitRoutes(version peridotpath.RoutingVersion, backends ...peridotpath.Backend) *peridotpath.Routing {
	table := relaytest.Routing(nil)
	table.Version = version
	for i := range table.Routes {
		table.Routes[i].Backends = backends
	}
	return table
}

// runsByService returns a sender that answers all calls with a success and counts them by service.
func runsByService(runs map[peridotpath.Service]int) relay.Sender {
	return func(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
		runs[call.Endpoint.Service]++
		return answer(200, "done", nil)(ctx, call)
	}
}

// A version takes a service's share away, and the endpoints of the other services end, leave or ask for rest: requests must
// not run at the service without a share.
func TestServiceWithoutShareGetsNoRequests(t *testing.T) {
	older := relaytest.Endpoint(1)
	older.Service = "old"
	newer := relaytest.Endpoint(2)
	losses := map[string]func(*relaytest.Fixture){
		"none": func(*relaytest.Fixture) {},
		"crashed": func(fixture *relaytest.Fixture) {
			fixture.Directory.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{older}}, fixture.Routing.Now())
		},
		"leaving": func(fixture *relaytest.Fixture) { record(fixture, 2, availability.Announcement{Leaving: true}) },
		"rest":    func(fixture *relaytest.Fixture) { record(fixture, 2, availability.Announcement{Backoff: time.Minute}) },
	}
	for loss, lose := range losses {
		for _, route := range []string{"save", "look"} {
			t.Run(loss+" "+route, func(t *testing.T) {
				is := is.New(t)
				const requests = 20
				runs := map[peridotpath.Service]int{}
				fixture := relaytest.NewFixture(runsByService(runs), nil, older, newer)
				fixture.Routing.Apply(splitRoutes(9, peridotpath.Backend{Service: "old", Weight: 0}, peridotpath.Backend{Service: "llm", Weight: 100}), fixture.Routing.Now())
				lose(fixture)
				for range requests {
					outcome := fixture.Send(t.Context(), route, nil)
					if loss == "none" {
						is.Equal(outcome.Status, http.StatusOK)
						continue
					}
					is.Equal(outcome.Status, http.StatusServiceUnavailable)
					is.True(outcome.Result.RetryAfter > 0)
				}
				is.Equal(runs["old"], 0)
			})
		}
	}
}

// A version takes the shares of all services of a route away: its requests are refused at once, and run nowhere.
func TestRouteWithoutSharesRefuses(t *testing.T) {
	for _, backends := range [][]peridotpath.Backend{
		{{Service: "llm", Weight: 0}},
		{{Service: "llm", Weight: 0}, {Service: "other", Weight: 0}},
		{{Service: "llm", Weight: -1}},
	} {
		t.Run(fmt.Sprint(backends), func(t *testing.T) {
			is := is.New(t)
			runs := map[peridotpath.Service]int{}
			fixture := relaytest.NewFixture(runsByService(runs), nil, relaytest.Endpoint(1))
			fixture.Routing.Apply(splitRoutes(9, backends...), fixture.Routing.Now())
			outcome := fixture.Send(t.Context(), "save", nil)
			is.Equal(outcome.Result.Code, peridotpath.CodeNoEndpoint)
			is.True(outcome.Result.RetryAfter > 0)
			is.True(outcome.Took < time.Second/10)
			is.Equal(len(runs), 0)
		})
	}
}
