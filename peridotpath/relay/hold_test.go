package relay_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/relay"
	"peridotpath.example/peridotpath/relay/relaytest"
	"peridotpath.example/peridotpath/shortqueue"
	"peridotpath.example/peridotpath/telemetry"
)

// maxTestHold is the time in targets after which a request that was not sent must be refused.
const maxTestHold = 2

// silentReservations makes the engines of a fixture leave orders to reserve memory unanswered until an
// instant, and counts them.
func silentReservations(fixture *relaytest.Fixture, silence time.Duration) *int {
	calls, began := new(int), time.Now()
	fixture.Relay.Reservations.Reserve = func(ctx context.Context, _ *peridotpath.Endpoint, _ string, _ peridotpath.Tokens, _ time.Duration) (bool, error) {
		if *calls++; time.Since(began) >= silence {
			return true, nil
		}
		<-ctx.Done()
		return false, ctx.Err()
	}
	return calls
}

// sendBeyondOneEngine sends a prompt that no engine holds alone, on a route with a target of 3 s.
func sendBeyondOneEngine(t *testing.T, fixture *relaytest.Fixture) *relaytest.Outcome {
	return fixture.Send(t.Context(), "long", func(request *relay.Request) {
		request.PromptTokens, request.MaxAnswerTokens, request.Timeout = 600_000, 20, 30*time.Second
	})
}

// All engines leave orders to reserve memory unanswered. A prompt beyond one engine must not be held
// until its client gives up: another instance may reach engines that answer.
func TestPromptIsNotHeldBesideUnansweredReservations(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := relaytest.NewFixture(answer(200, events12, nil), &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2), relaytest.Endpoint(3), relaytest.Endpoint(4), relaytest.Endpoint(5))
		calls := silentReservations(fixture, time.Hour)
		outcome := sendBeyondOneEngine(t, fixture)
		t.Logf("code %v after %v, %d reservations", outcome.Result.Code, outcome.Took, *calls)
		is.True(outcome.Took < maxTestHold*3*time.Second)
		is.True(outcome.Result.RetryAfter > 0)
		is.True(outcome.Result.Code != peridotpath.CodeEndpointFailed)
	})
}

// The target of a route is shorter than the timeout of a reservation: the first one must end with the
// limit of holding, too.
func TestFirstReservationEndsWithAShortHold(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := relaytest.NewFixture(answer(200, events12, nil), &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2), relaytest.Endpoint(3))
		silentReservations(fixture, time.Hour)
		routing := relaytest.Routing(&relaytest.Rates)
		for i := range routing.Routes {
			routing.Routes[i].TTFTTarget = 60 * time.Millisecond
		}
		routing.Version++
		fixture.Routing.Apply(routing, fixture.Routing.Now())
		outcome := sendBeyondOneEngine(t, fixture)
		t.Logf("code %v after %v", outcome.Result.Code, outcome.Took)
		is.True(outcome.Took > 0)
		is.True(outcome.Took < maxTestHold*60*time.Millisecond)
	})
}

// Engines answer again while the first reservation is awaited: the prompt must still be sent.
func TestPromptIsSentOnceReservationsAreAnswered(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := relaytest.NewFixture(answer(200, events12, nil), &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2), relaytest.Endpoint(3), relaytest.Endpoint(4), relaytest.Endpoint(5))
		silentReservations(fixture, 350*time.Millisecond)
		outcome := sendBeyondOneEngine(t, fixture)
		t.Logf("code %v after %v", outcome.Result.Code, outcome.Took)
		is.Equal(outcome.Body, events12)
	})
}

// Two endpoints cost most of the time in which a request may be held, since their connections do not
// open. The reservation of the next attempt must not hold it for over twice its target then.
func TestReservationAfterFailuresEndsWithTheHold(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		unsent := func(context.Context, *relay.Call) (*relay.Answer, error) {
			time.Sleep(2850 * time.Millisecond)
			return nil, outbound.ErrNotSent.Wrap(syscall.ECONNREFUSED)
		}
		fixture := relaytest.NewFixture(unsent, &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2), relaytest.Endpoint(3), relaytest.Endpoint(4), relaytest.Endpoint(5))
		calls, reserve := 0, fixture.Relay.Reservations.Reserve
		fixture.Relay.Reservations.Reserve = func(ctx context.Context, endpoint *peridotpath.Endpoint, id string, tokens peridotpath.Tokens, ttl time.Duration) (bool, error) {
			if calls++; calls <= 2 {
				return reserve(ctx, endpoint, id, tokens, ttl)
			}
			<-ctx.Done()
			return false, ctx.Err()
		}
		outcome := sendBeyondOneEngine(t, fixture)
		t.Logf("code %v after %v, %d reservations", outcome.Result.Code, outcome.Took, calls)
		is.True(outcome.Took < maxTestHold*3*time.Second)
	})
}

// Engines are silent until just before the limit of holding, and then answer orders to reserve memory
// after 100 ms. One whose order the limit ends before that must not be ejected as full.
func TestHoldLimitEjectsNoEngine(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := relaytest.NewFixture(answer(200, events12, nil), &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2), relaytest.Endpoint(3), relaytest.Endpoint(4), relaytest.Endpoint(5))
		began := time.Now()
		var answering []peridotpath.EndpointKey
		fixture.Relay.Reservations.Reserve = func(ctx context.Context, endpoint *peridotpath.Endpoint, _ string, _ peridotpath.Tokens, _ time.Duration) (bool, error) {
			var answers <-chan time.Time
			if time.Since(began) > 5*time.Second {
				answers, answering = time.After(100*time.Millisecond), append(answering, endpoint.Key())
			}
			select {
			case <-answers:
				return true, nil
			case <-ctx.Done():
				return false, ctx.Err()
			}
		}
		outcome := sendBeyondOneEngine(t, fixture)
		is.Equal(outcome.Result.Code, peridotpath.CodeCannotFinish) // the limit has ended the last order
		is.True(len(answering) > 0)
		ejected := fixture.LoadTracker.EjectedEndpoints(time.Now())
		for _, key := range answering {
			is.True(!ejected[key])
		}
	})
}

// All slots are taken, and short prompts arrive one after the other on a route whose target is little
// longer than the interval at which waiting prompts check their limit. Each must be refused within
// twice its target: one that yields to later arrivals and checks only at that interval is refused up to
// 40 ms after its limit.
func TestQueuedShortPromptIsRefusedAtItsHoldLimit(t *testing.T) {
	const waiting, interval = 40, 7 * time.Millisecond
	for _, target := range []time.Duration{30 * time.Millisecond, 50 * time.Millisecond, 60 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(fmt.Sprint(target), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				fixture := newFullFixture(target)
				outcomes := make([]*relaytest.Outcome, waiting)
				var all sync.WaitGroup
				for i := range outcomes {
					all.Go(func() {
						time.Sleep(time.Duration(i) * interval)
						outcomes[i] = fixture.Send(t.Context(), "short", func(request *relay.Request) {
							request.ID = peridotpath.RequestID(fmt.Sprint(i))
							request.PromptTokens, request.MaxAnswerTokens, request.Timeout = 1000, 20, 4*time.Second
						})
					})
				}
				all.Wait()
				longest := time.Duration(0)
				for _, outcome := range outcomes {
					is.Equal(outcome.Result.Code, peridotpath.CodeCannotFinish)
					longest = max(longest, outcome.Took)
				}
				t.Logf("longest hold %v", longest)
				is.True(longest > target)             // some waited for a slot until their limit
				is.True(longest < maxTestHold*target) // and none longer
			})
		})
	}
}

// newFullFixture returns a fixture with a queue of short prompts, a route "short" with a target and
// one engine, all slots of which are taken as far as the instance knows.
func newFullFixture(target time.Duration) *relaytest.Fixture {
	engine := relaytest.Endpoint(1)
	fixture := relaytest.NewFixture(answer(200, events12, nil), &relaytest.Rates, engine)
	table := relaytest.Routing(&relaytest.Rates)
	table.Version = 8
	table.Routes[0].TTFTTarget = target
	fixture.Routing.Apply(table, fixture.Routing.Now())
	fixture.Relay.ShortQueue = &shortqueue.Queue{LogSampler: &telemetry.LogSampler{PerSecond: 5}}
	for range relaytest.Rates.BatchSize {
		fixture.LoadTracker.AddInFlight(placement.InFlight{Parts: []placement.PrefillPart{{Endpoint: engine.Key()}}, SentAt: time.Now()})
	}
	return fixture
}
