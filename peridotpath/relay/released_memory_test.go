package relay_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/relay"
	"peridotpath.example/peridotpath/relay/relaytest"
	"peridotpath.example/peridotpath/retrybudget"
)

// newSilentFixture returns a fixture without retries whose first call fails its liveness probes, and is
// answered by the first step.
func newSilentFixture(t *testing.T, engines *failingEngines, first step, others ...step) *relaytest.Fixture {
	fixture := newFailingFixture(t, engines)
	fixture.Relay.RetryBudget = &retrybudget.Budget{Window: time.Second, Instances: func() int { return 1 }}
	endpoints := &scriptedEndpoints{steps: append([]step{first}, others...)}
	fixture.Relay.Send = func(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
		engines.mutex.Lock()
		if engines.failed == "" {
			engines.failed = call.Endpoint.ID
		}
		engines.mutex.Unlock()
		return endpoints.send(ctx, call)
	}
	return fixture
}

// promptBeyondOneEngine makes a request one that no engine holds alone.
func promptBeyondOneEngine(request *relay.Request) {
	request.PromptTokens, request.MaxAnswerTokens, request.Timeout = 600_000, 100, 30*time.Second
}

// The primary of a prompt that holds memory at other engines is silent for good, and no other attempt may
// follow. Once that memory is released, the prompt must not count as load at these engines until its
// deadline: all instances would take them for full.
func TestReleasedMemoryIsNoLoad(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := newSilentFixture(t, &failingEngines{}, noAnswer())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			fixture.Send(ctx, "long", promptBeyondOneEngine)
		}()
		time.Sleep(2 * time.Second)
		is.Equal(len(fixture.LoadTracker.LocalInFlight()), 1)
		time.Sleep(2 * time.Second)
		is.Equal(len(fixture.LoadTracker.LocalInFlight()), 0)
		cancel()
		<-ended
	})
}

// A silent primary goes on after the memory at its helpers was released. The prompt must count as load
// again, and none must be left at its end.
func TestPrimaryThatGoesOnIsLoadAgain(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		stream := timedStream(io.EOF, timedPart{3300 * time.Millisecond, events12}, timedPart{4300 * time.Millisecond, events34})
		fixture := newSilentFixture(t, &failingEngines{}, stream)
		var loads atomic.Int64
		time.AfterFunc(3800*time.Millisecond, func() { loads.Store(int64(len(fixture.LoadTracker.LocalInFlight()))) })
		outcome := fixture.Send(t.Context(), "long", promptBeyondOneEngine)
		is.Equal(outcome.Body, events12+events34)
		is.Equal(loads.Load(), int64(1))
		is.Equal(len(fixture.LoadTracker.LocalInFlight()), 0)
	})
}

// A silent primary goes on after the memory at its helpers was released, and refuses with a promise since
// a helper lacks the reservation. The helper must not be ejected: this instance gave the memory back.
func TestReleasedMemoryIsNoFaultOfTheHelper(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		var helper *peridotpath.Endpoint
		refusal := func(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
			helper = call.Helpers[0].Endpoint
			time.Sleep(3300 * time.Millisecond)
			return answer(http.StatusServiceUnavailable, "", func(answer *relay.Answer) {
				answer.NotRun, answer.BlamedHelper = true, string(helper.ID)
			})(ctx, call)
		}
		fixture := newSilentFixture(t, &failingEngines{}, refusal, noAnswer(), noAnswer())
		fixture.Send(t.Context(), "long", promptBeyondOneEngine)
		is.True(helper != nil)
		for _, ejection := range fixture.LoadTracker.LocalEjections(time.Now()) {
			is.True(ejection.Endpoint != helper.Key())
		}
	})
}
