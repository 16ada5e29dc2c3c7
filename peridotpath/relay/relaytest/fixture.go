package relaytest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/answerbuffer"
	"peridotpath.example/peridotpath/availability"
	"peridotpath.example/peridotpath/booking"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/fairshare"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/quarantine"
	"peridotpath.example/peridotpath/relay"
	"peridotpath.example/peridotpath/reservation"
	"peridotpath.example/peridotpath/retrybudget"
	"peridotpath.example/peridotpath/routing"
	"peridotpath.example/peridotpath/telemetry"
	"peridotpath.example/peridotpath/throttle"
)

// Endpoint returns the live endpoint with that number, of the service "llm".
func Endpoint(number int) peridotpath.Endpoint {
	return peridotpath.Endpoint{
		ID: peridotpath.EndpointID(fmt.Sprintf("i-%d", number)), Service: "llm", DataCentre: "a",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}), 80),
		State:   peridotpath.StateLive, Incarnation: 1, Slots: 6,
	}
}

// Routing returns a table with a route of each type, all to the service "llm".
func Routing(engine *peridotpath.EngineRates) *peridotpath.Routing {
	route := func(name string, change func(*peridotpath.Route)) peridotpath.Route {
		route := peridotpath.Route{
			Name: peridotpath.RouteName(name), Host: "host", PathPrefix: "/" + name + "/", MaxAttempts: 2,
			Backends: []peridotpath.Backend{{Service: "llm", Weight: 1}},
			Timeout:  15 * time.Second, TTFTTarget: 300 * time.Millisecond,
		}
		change(&route)
		return route
	}
	stream := func(ttft, itl time.Duration) func(*peridotpath.Route) {
		return func(route *peridotpath.Route) {
			route.Streaming, route.Resumable, route.TTFTTarget, route.ITLTarget = true, true, ttft, itl
		}
	}
	return &peridotpath.Routing{
		Version: 7,
		Routes: []peridotpath.Route{
			route("short", func(route *peridotpath.Route) {
				stream(300*time.Millisecond, 200*time.Millisecond)(route)
				route.ClientIdleTimeout = 2 * time.Second
			}),
			route("long", stream(3*time.Second, 800*time.Millisecond)),
			route("look", func(route *peridotpath.Route) { route.Idempotent = true }),
			route("save", func(*peridotpath.Route) {}),
			route("open", func(route *peridotpath.Route) { route.Idempotent, route.Public = true, true }),
		},
		Services: map[peridotpath.Service]peridotpath.ServiceSpec{"llm": {Name: "llm", Engine: engine}},
		Keys:     map[peridotpath.APIKey]peridotpath.KeyHolder{"key": {Customer: "desk"}},
	}
}

// Fixture is a relay in front of the test's endpoints.
type Fixture struct {
	Relay       *relay.Relay
	Routing     *routing.State
	Directory   *directory.Directory
	LoadTracker *placement.LoadTracker
	Facts       *facts.Table
	Bookings    *booking.Ledger
	// advanced is what Advance has added to the time since boot, in nanoseconds.
	advanced atomic.Int64
	began    time.Time
}

// NewFixture returns a relay of the instance "edge-1" that sends its calls to send.
func NewFixture(send relay.Sender, engine *peridotpath.EngineRates, endpoints ...peridotpath.Endpoint) *Fixture {
	fixture := &Fixture{Directory: &directory.Directory{Log: zerolog.Nop()}, LoadTracker: &placement.LoadTracker{}, began: time.Now()}
	fixture.Facts = &facts.Table{}
	fixture.advanced.Store(int64(time.Hour))
	fixture.Bookings = &booking.Ledger{Announce: func(booked booking.Return, now time.Time) { fixture.Facts.Observe(booking.FactOf(booked, now)) }}
	tracker := &availability.Tracker{Instance: "edge-1", Facts: fixture.Facts, Log: zerolog.Nop()}
	quarantined := &quarantine.Quarantine{Instance: "edge-1", Facts: fixture.Facts, Log: zerolog.Nop()}
	fixture.Facts.OnReceive = func(fact facts.Fact) {
		tracker.ReceiveFact(fact)
		quarantined.ReceiveFact(fact, time.Now())
		if booked, valid := booking.ReturnOf(fact); valid {
			fixture.Bookings.Receive(booked, time.Now())
		}
	}
	fixture.Routing = &routing.State{
		Now:         func() time.Duration { return time.Duration(fixture.advanced.Load()) + time.Since(fixture.began) },
		KeyLifetime: time.Hour, Log: zerolog.Nop(),
	}
	fixture.Routing.Apply(Routing(engine), fixture.Routing.Now())
	fixture.Directory.Apply(directory.Listing{Endpoints: endpoints}, fixture.Routing.Now())
	fixture.Relay = &relay.Relay{
		AnswerMemory: answerbuffer.NewPool(32<<20, 8<<20),
		Instance:     "edge-1", DataCentre: "a", Log: zerolog.Nop(), Routing: fixture.Routing,
		Endpoints: fixture.Directory.Current, AllEndpoints: fixture.Directory.Current, LoadTracker: fixture.LoadTracker, Send: send, Quarantine: quarantined,
		Throttle:       &throttle.Throttle{SenderID: rand.Uint64(), Facts: fixture.Facts, Log: zerolog.Nop()},
		Check:          func(context.Context, *peridotpath.Endpoint) error { return nil },
		ServedSampler:  &telemetry.LogSampler{PerSecond: 10},
		FailureSampler: &telemetry.KindSampler{PerSecond: 1000},
		DespiteSampler: &telemetry.LogSampler{PerSecond: 10},
		Availability:   tracker,
		RetryBudget:    &retrybudget.Budget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, Instances: func() int { return 1 }},
		Bookings:       fixture.Bookings, AdmissionSampler: &telemetry.LogSampler{PerSecond: 10},
		EngineStallTime: 1500 * time.Millisecond,
		Reservations: &reservation.Manager{
			Instance: "edge-1", Incarnation: 1, Log: zerolog.Nop(),
			Reserve: func(context.Context, *peridotpath.Endpoint, string, peridotpath.Tokens, time.Duration) (bool, error) {
				return true, nil
			},
			Release: func(context.Context, *peridotpath.Endpoint, string) error { return nil },
		},
	}
	fixture.Relay.FairShare = &fairshare.Divider{
		Log: zerolog.Nop(), Sampler: &telemetry.LogSampler{PerSecond: 5}, LoadTracker: fixture.LoadTracker,
		Routing: fixture.Routing, Endpoints: fixture.Directory.Current,
	}
	fixture.LoadTracker.OnPeerWaits = fixture.Relay.FairShare.Update
	return fixture
}

// Advance advances the time since boot.
func (fixture *Fixture) Advance(duration time.Duration) { fixture.advanced.Add(int64(duration)) }

// Outcome is what a caller received.
type Outcome struct {
	Result           peridotpath.Result
	Status           int
	Body             string
	Begun            bool
	Ended            bool
	Aborted          bool
	TimeToFirstEvent time.Duration
	MaxPause         time.Duration
	Events           int
	Took             time.Duration
}

// Caller returns a caller that records in the outcome what it receives.
func (outcome *Outcome) Caller() *relay.Caller {
	began := time.Now()
	last := began
	return &relay.Caller{
		Refuse: func(result peridotpath.Result) { outcome.Result, outcome.Status = result, result.Code.Status() },
		Answer: func(status int, _ http.Header, body []byte) { outcome.Status, outcome.Body = status, string(body) },
		Begin:  func(status int, _ http.Header) { outcome.Begun, outcome.Status = true, status },
		Event: func(raw []byte) error {
			now := time.Now()
			if outcome.Events == 0 {
				outcome.TimeToFirstEvent = now.Sub(began)
			} else {
				outcome.MaxPause = max(outcome.MaxPause, now.Sub(last))
			}
			last = now
			outcome.Events++
			outcome.Body += string(raw)
			return nil
		},
		End:   func() { outcome.Ended = true },
		Abort: func() { outcome.Aborted = true },
	}
}

// Send sends one request to a route and returns what its caller received.
func (fixture *Fixture) Send(ctx context.Context, route string, change func(*relay.Request)) *Outcome {
	request := &relay.Request{
		ID: "r1", Method: http.MethodPost, Target: "/" + route + "/x", Path: "/" + route + "/x", Host: "host",
		Header: http.Header{}, Key: "key", ArrivedAt: time.Now(), Timeout: 10 * time.Second,
	}
	if change != nil {
		change(request)
	}
	outcome := &Outcome{}
	fixture.Relay.Serve(ctx, request, outcome.Caller())
	outcome.Took = time.Since(request.ArrivedAt)
	return outcome
}

// ErrReset is the error of a connection that the endpoint has reset.
var ErrReset = errors.New("connection reset by peer")
