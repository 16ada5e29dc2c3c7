package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/relay"
	"peridotpath.example/peridotpath/relay/relaytest"
	"peridotpath.example/peridotpath/shortqueue"
	"peridotpath.example/peridotpath/shutdown"
	"peridotpath.example/peridotpath/telemetry"
)

// exitIn announces that the process of a fixture answers for a time.
func exitIn(fixture *relaytest.Fixture, left time.Duration) {
	fixture.Relay.ExitNotice = &shutdown.Notice{}
	fixture.Relay.ExitNotice.Begin(time.Now().Add(left))
}

// Prompts wait for engines when their instance is told to stop, and still wait when the process ends:
// their callers get a closed connection. What can end before the exit is served, the rest is refused
// as soon as that is known. Those that can meet their target elsewhere keep their place there.
func TestExitRefusesPromptsThatCannotEndInTime(t *testing.T) {
	const (
		prompts  = 6
		untilEnd = 4900 * time.Millisecond
	)
	for _, target := range []time.Duration{3 * time.Second, 12 * time.Second} {
		t.Run(target.String(), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				// A refusal within an eighth of the target costs its caller nothing.
				soon := target / 8
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				engines, endpoints := relaytest.NewEngines(ctx, &relaytest.Rates, 2)
				fixture := relaytest.NewFixture(engines.Send, &relaytest.Rates, endpoints...)
				setTarget(fixture, target)
				exitIn(fixture, untilEnd)
				outcomes := make([]*relaytest.Outcome, prompts)
				var callers sync.WaitGroup
				for i := range prompts {
					callers.Go(func() {
						outcomes[i] = fixture.Send(t.Context(), "long", func(request *relay.Request) {
							request.ID, request.Body = peridotpath.RequestID(fmt.Sprint(i)), []byte(fmt.Sprint(i))
							request.PromptTokens, request.MaxAnswerTokens, request.Timeout = 170_000, 400, 15*time.Second
						})
					})
				}
				callers.Wait()
				served, refused, kept := 0, 0, 0
				for _, outcome := range outcomes {
					if outcome.Ended {
						served++
						is.True(outcome.Took <= untilEnd)
						continue
					}
					refused++
					is.Equal(outcome.Result.Code, peridotpath.CodeStopping)
					is.True(outcome.Took < soon)
					is.True(outcome.Result.RetryAfter > 0)
					if outcome.Result.RetryAfter <= 150*time.Millisecond {
						kept++
					}
				}
				t.Logf("%d served, %d refused, %d of them keep their place", served, refused, kept)
				is.True(served > 0)
				is.True(refused > 0)
				is.True(target < 12*time.Second || kept == refused)
				stop()
			})
		})
	}
}

// setTarget sets the target of all routes of a fixture.
func setTarget(fixture *relaytest.Fixture, target time.Duration) {
	routing := relaytest.Routing(&relaytest.Rates)
	for i := range routing.Routes {
		routing.Routes[i].TTFTTarget = target
	}
	routing.Version++
	fixture.Routing.Apply(routing, fixture.Routing.Now())
}

// An instance is told to stop and every engine is free: a stop must not refuse what it can serve.
func TestExitServesPromptsThatEndInTime(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		engines, endpoints := relaytest.NewEngines(ctx, &relaytest.Rates, 2)
		fixture := relaytest.NewFixture(engines.Send, &relaytest.Rates, endpoints...)
		fixture.Relay.ShortQueue = &shortqueue.Queue{LogSampler: &telemetry.LogSampler{PerSecond: 5}}
		exitIn(fixture, 4900*time.Millisecond)
		for _, tokens := range []peridotpath.Tokens{1_000, 20_000, 170_000} {
			outcome := fixture.Send(t.Context(), "long", func(request *relay.Request) {
				request.PromptTokens, request.MaxAnswerTokens = tokens, 100
			})
			is.True(outcome.Ended)
		}
		stop()
	})
}

// A request is sent whose answer can't be whole before the exit: it runs for nobody, and its caller can't
// tell whether it has run.
func TestExitKeepsLateRequestsFromEndpoints(t *testing.T) {
	const left = 250 * time.Millisecond
	requests := []struct {
		name, route string
		prompt      peridotpath.Tokens
		isPlain     bool
	}{
		{"long prompt", "long", 170_000, false},
		{"short prompt with a long answer", "short", 1_000, false},
		{"call", "save", 0, true},
		{"idempotent call", "look", 0, true},
	}
	for _, request := range requests {
		t.Run(request.name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				endpoints := &scriptedEndpoints{steps: []step{answer(http.StatusOK, events12, nil)}}
				rates := &relaytest.Rates
				if request.isPlain {
					rates = nil
				}
				fixture := relaytest.NewFixture(endpoints.send, rates, relaytest.Endpoint(1), relaytest.Endpoint(2))
				exitIn(fixture, left)
				outcome := fixture.Send(t.Context(), request.route, func(sent *relay.Request) {
					sent.PromptTokens, sent.MaxAnswerTokens = request.prompt, 4_000
				})
				is.Equal(outcome.Result.Code, peridotpath.CodeStopping)
				is.True(outcome.Took < left/2)
				is.Equal(len(endpoints.called()), 0)
			})
		})
	}
}

// The process ends while a request waits, in whatever way: its caller gets a closed connection. Each
// one is ended when answers are no longer written: as not run where it was not sent, as failed where
// it may have run, and by aborting a stream that has begun.
func TestExitEndsEveryWait(t *testing.T) {
	const left = 3 * time.Second
	stream := timedStream(io.EOF, timedPart{300 * time.Millisecond, events12}, timedPart{time.Minute, events34})
	waits := []struct {
		name, route string
		isPlain     bool
		steps       []step
		change      func(fixture *relaytest.Fixture)
		code        peridotpath.Code
		aborted     bool
	}{
		{name: "call at an endpoint", route: "save", isPlain: true, steps: []step{noAnswer()}, code: peridotpath.CodeEndpointFailed},
		{name: "second call after a failure", route: "look", isPlain: true, steps: []step{lostAnswer(), noAnswer(), noAnswer()}, code: peridotpath.CodeEndpointFailed},
		{name: "stream without an event", route: "long", steps: []step{noAnswer(), noAnswer(), noAnswer()}, code: peridotpath.CodeEndpointFailed},
		{name: "stream that has begun", route: "long", steps: []step{stream, noAnswer(), noAnswer()}, aborted: true},
		{name: "reservations", route: "reserved", steps: []step{answer(http.StatusOK, events12, nil)}, change: func(fixture *relaytest.Fixture) {
			silentReservations(fixture, time.Hour)
		}, code: peridotpath.CodeStopping},
	}
	for _, wait := range waits {
		t.Run(wait.name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				endpoints := &scriptedEndpoints{steps: wait.steps}
				rates := &relaytest.Rates
				if wait.isPlain {
					rates = nil
				}
				fixture := relaytest.NewFixture(endpoints.send, rates, relaytest.Endpoint(1), relaytest.Endpoint(2), relaytest.Endpoint(3), relaytest.Endpoint(4), relaytest.Endpoint(5))
				if wait.change != nil {
					wait.change(fixture)
				}
				fixture.Relay.ExitNotice = &shutdown.Notice{}
				began := time.Now()
				time.AfterFunc(50*time.Millisecond, func() { fixture.Relay.ExitNotice.Begin(began.Add(left)) })
				var outcome *relaytest.Outcome
				if wait.route == "reserved" {
					outcome = sendBeyondOneEngine(t, fixture)
				} else {
					outcome = fixture.Send(t.Context(), wait.route, func(request *relay.Request) {
						request.Timeout = 15 * time.Second
						if !wait.isPlain {
							request.PromptTokens, request.MaxAnswerTokens = 1_000, 50
						}
					})
				}
				t.Logf("code %v after %v, aborted: %v", outcome.Result.Code, outcome.Took, outcome.Aborted)
				is.True(outcome.Took <= left)
				is.Equal(outcome.Result.Code, wait.code)
				is.Equal(outcome.Aborted, wait.aborted)
			})
		})
	}
}
