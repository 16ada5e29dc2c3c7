package relay_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/relay"
	"peridotpath.example/peridotpath/relay/relaytest"
	"peridotpath.example/peridotpath/retrybudget"
)

// lateAnswer answers a request that is not streamed after the delay.
func lateAnswer(delay time.Duration, body string) step {
	return func(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
		select {
		case <-time.After(delay):
			return answer(http.StatusOK, body, nil)(ctx, call)
		case <-ctx.Done():
			return noAnswer()(ctx, call)
		}
	}
}

// A sound endpoint is silent for a second or two, its request is ended by this instance, and no
// other attempt can follow: the caller gets a broken stream or a 502 in place of the answer.
func TestSilentEndpointKeepsItsRequestWhenNoOtherTakesIt(t *testing.T) {
	const goesOnAt = 2700 * time.Millisecond
	stream := timedStream(io.EOF, timedPart{300 * time.Millisecond, events12}, timedPart{goesOnAt, events34})
	lateStream := timedStream(io.EOF, timedPart{goesOnAt, events12 + events34})
	requests := []struct {
		name, route, body string
		isPlain           bool
		first             step
	}{
		{"begun stream", "short", events12 + events34, false, stream},
		{"stream before its first event", "short", events12 + events34, false, lateStream},
		{"begun stream of a long prompt", "long", events12 + events34, false, stream},
		{"idempotent call", "look", "found", true, lateAnswer(goesOnAt, "found")},
		{"idempotent call to an engine", "look", "found", false, lateAnswer(goesOnAt, "found")},
	}
	ways := []struct {
		name  string
		shut  func(fixture *relaytest.Fixture)
		other step
	}{
		{name: "no retry is left in the budget", shut: func(fixture *relaytest.Fixture) {
			fixture.Relay.RetryBudget = &retrybudget.Budget{Window: time.Second, Instances: func() int { return 1 }}
		}, other: answer(http.StatusOK, "second", nil)},
		{name: "no other endpoint", shut: func(fixture *relaytest.Fixture) {
			fixture.Directory.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{relaytest.Endpoint(1)}}, fixture.Routing.Now())
		}, other: answer(http.StatusOK, "second", nil)},
		{name: "others cannot be reached", other: unsentCall()},
		{name: "others are full", other: refusedCall()},
		{name: "another breaks off", other: lostAnswer()},
		{name: "others are silent, too", other: noAnswer()},
		{name: "the key expires", shut: func(fixture *relaytest.Fixture) {
			time.AfterFunc(200*time.Millisecond, func() { fixture.Advance(2 * time.Hour) })
		}, other: answer(http.StatusOK, "second", nil)},
	}
	for _, request := range requests {
		for _, way := range ways {
			for _, linkLost := range []bool{false, true} {
				name := request.name + "/" + way.name
				if linkLost {
					name += "/links taken for lost"
				}
				t.Run(name, func(t *testing.T) {
					virtual.Test(t, func(t *testing.T) {
						is := is.New(t)
						endpoints := &scriptedEndpoints{steps: []step{request.first, way.other, way.other, way.other, way.other, way.other}}
						rates := &relaytest.Rates
						if request.isPlain {
							rates = nil
						}
						fixture := relaytest.NewFixture(endpoints.send, rates, relaytest.Endpoint(1), relaytest.Endpoint(2), relaytest.Endpoint(3))
						if way.shut != nil {
							way.shut(fixture)
						}
						fixture.Relay.NotifyStalled = func(stalled func()) func() {
							if linkLost && len(endpoints.called()) == 0 {
								time.AfterFunc(900*time.Millisecond, stalled)
							}
							return func() {}
						}
						outcome := fixture.Send(t.Context(), request.route, func(request *relay.Request) {
							request.PromptTokens, request.MaxAnswerTokens = 2000, 100
						})
						is.Equal(outcome.Result.Code, peridotpath.CodeOK)
						is.Equal(outcome.Body, request.body)
						is.True(!outcome.Aborted)
						is.Equal(len(fixture.LoadTracker.LocalInFlight()), 0)
					})
				})
			}
		}
	}
}

// An engine is silent for longer than its probes are waited for, and goes on: a request without memory
// at other engines must be its own to the end.
func TestUnresponsiveEngineKeepsItsRequest(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		lateStream := timedStream(io.EOF, timedPart{4 * time.Second, events12})
		fixture := relaytest.NewFixture((&scriptedEndpoints{steps: []step{lateStream}}).send, &relaytest.Rates, relaytest.Endpoint(1))
		fixture.Relay.Check = func(ctx context.Context, _ *peridotpath.Endpoint) error {
			<-ctx.Done()
			return ctx.Err()
		}
		outcome := fixture.Send(t.Context(), "short", nil)
		is.Equal(outcome.Body, events12)
		is.True(outcome.Ended)
	})
}
