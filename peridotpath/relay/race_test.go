package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/relay"
	"peridotpath.example/peridotpath/relay/relaytest"
	"peridotpath.example/peridotpath/retrybudget"
)

// A begun stream is silent for a while and another endpoint answers its resumption with a status
// below 500. That answer cannot be relayed, and the first attempt must not be ended for it.
func TestUnusableAnswerDoesNotEndBegunStream(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusGone, http.StatusNoContent, http.StatusInternalServerError} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				first := timedStream(io.EOF, timedPart{300 * time.Millisecond, events12}, timedPart{2700 * time.Millisecond, events34})
				other := answer(status, "cannot resume", nil)
				endpoints := &scriptedEndpoints{steps: []step{first, other, other, other}}
				fixture := relaytest.NewFixture(endpoints.send, &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2), relaytest.Endpoint(3))
				outcome := fixture.Send(t.Context(), "short", nil)
				is.Equal(outcome.Body, events12+events34)
				is.True(!outcome.Aborted)
			})
		})
	}
}

// An engine sends an event and loses its power. Its next event is overdue before its probes have
// failed. The memory reserved at its helpers must be released all the same, though no other attempt
// may follow.
func TestReservationsOfBegunStreamAreReleasedWhenPrimaryIsUnreachable(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := &failingEngines{}
		fixture := newFailingFixture(t, engines)
		fixture.Relay.RetryBudget = &retrybudget.Budget{Window: time.Second, Instances: func() int { return 1 }}
		fixture.Relay.Send = func(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
			engines.mutex.Lock()
			engines.recordFirst(call)
			engines.mutex.Unlock()
			return timedStream(errors.New("not reached"), timedPart{100 * time.Millisecond, events12}, timedPart{time.Hour, ""})(ctx, call)
		}
		began := time.Now()
		outcome := fixture.Send(t.Context(), "long", func(request *relay.Request) {
			request.PromptTokens, request.MaxAnswerTokens, request.Timeout = 600_000, 100, 30*time.Second
		})
		time.Sleep(200 * time.Millisecond)
		engines.mutex.Lock()
		defer engines.mutex.Unlock()
		t.Logf("events %d, took %v, released after %v", outcome.Events, outcome.Took, engines.firstReleasedAt.Sub(began))
		is.True(len(engines.firstReservations) > 0)
		is.True(engines.firstReleasedAt.Sub(began) < 4*time.Second)
	})
}

// The primary of a prompt that holds memory at other engines is silent for longer than its probes are
// waited for, and goes on. No other attempt may follow. The memory must be released as if the primary
// had lost its power, and the answer must still be relayed, of a begun stream too.
func TestSilentPrimaryKeepsItsRequestWithoutItsMemory(t *testing.T) {
	for _, test := range []struct {
		name  string
		parts []timedPart
		want  string
	}{
		{"before its first event", []timedPart{{3300 * time.Millisecond, events12 + events34}}, events12 + events34},
		{"within its stream", []timedPart{{100 * time.Millisecond, events12}, {3300 * time.Millisecond, events34}}, events12 + events34},
	} {
		t.Run(test.name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				engines := &failingEngines{}
				fixture := newFailingFixture(t, engines)
				fixture.Relay.RetryBudget = &retrybudget.Budget{Window: time.Second, Instances: func() int { return 1 }}
				fixture.Relay.Send = func(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
					engines.mutex.Lock()
					engines.calls++
					engines.recordFirst(call)
					engines.mutex.Unlock()
					return timedStream(io.EOF, test.parts...)(ctx, call)
				}
				began := time.Now()
				outcome := fixture.Send(t.Context(), "long", func(request *relay.Request) {
					request.PromptTokens, request.MaxAnswerTokens, request.Timeout = 600_000, 100, 30*time.Second
				})
				engines.mutex.Lock()
				defer engines.mutex.Unlock()
				t.Logf("code %v, %d events after %v, released after %v", outcome.Result.Code, outcome.Events, outcome.Took, engines.firstReleasedAt.Sub(began))
				is.Equal(outcome.Body, test.want)
				is.True(outcome.Ended)
				is.Equal(engines.calls, 1)
				is.True(len(engines.firstReservations) > 0)
				is.True(engines.firstReleasedAt.Sub(began) < 3*time.Second) // as where the primary has lost its power
			})
		})
	}
}

// A stream is silent, another attempt joins it and breaks off, and the stream goes on. The probe that
// tells whether the other endpoint has crashed must not keep its next event from the caller.
func TestProbeOfBrokenEndpointDelaysNoOtherStream(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := timedStream(io.EOF, timedPart{300 * time.Millisecond, events12}, timedPart{3050 * time.Millisecond, events34})
		second := timedStream(errors.New("connection reset"), timedPart{time.Second, "id:"})
		endpoints := &scriptedEndpoints{steps: []step{first, second}}
		fixture := relaytest.NewFixture(endpoints.send, &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2))
		fixture.Relay.Check = func(ctx context.Context, _ *peridotpath.Endpoint) error {
			<-ctx.Done()
			return ctx.Err()
		}
		outcome := fixture.Send(t.Context(), "short", nil)
		t.Logf("ended after %v, %d calls", outcome.Took, len(endpoints.called()))
		is.Equal(len(endpoints.called()), 2)
		is.Equal(outcome.Body, events12+events34)
		is.True(outcome.Took < 3100*time.Millisecond)
		time.Sleep(200 * time.Millisecond) // the probe has ended
	})
}
