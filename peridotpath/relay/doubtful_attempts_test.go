package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/quarantine"
	"peridotpath.example/peridotpath/relay"
	"peridotpath.example/peridotpath/relay/relaytest"
)

// An instance that is cut off gets its calls answered through a peer. The endpoints that were silent
// on its own links must not be ejected, which would be told to the peers that reach them.
func TestEndpointIsNotEjectedForTheOwnLinkAfterCarriedAnswer(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		silent := relaytest.Endpoint(1)
		silentCalls := 0
		send := func(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
			if call.Endpoint.ID == silent.ID {
				silentCalls++
				return noAnswer()(ctx, call)
			}
			outbound.RecordPeer(ctx, netip.MustParseAddrPort("10.0.1.1:90"))
			return answer(http.StatusOK, "found", nil)(ctx, call)
		}
		fixture := relaytest.NewFixture(send, nil, silent, relaytest.Endpoint(2))
		fixture.Relay.IsCutOff = func() bool { return true }
		fixture.Relay.NotifyStalled = func(stalled func()) func() {
			timer := time.AfterFunc(100*time.Millisecond, stalled)
			return func() { timer.Stop() }
		}
		for range 20 {
			is.Equal(fixture.Send(t.Context(), "look", nil).Body, "found")
			if fixture.LoadTracker.EjectedEndpoints(time.Now())[silent.Key()] {
				t.Fatalf("ejected after %d calls on the lost link", silentCalls)
			}
		}
		is.True(silentCalls >= 3)
	})
}

// The answer that wins also shows that the own links carry packets again. The endpoint whose attempt
// was in doubt for the links alone must not be ejected.
func TestEndpointIsNotEjectedWhenLinksAreRestoredByTheWinner(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		var cutOff atomic.Bool
		second := func(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
			// What reach.Tracker.RecordFirstAnswer does when the answer is read.
			cutOff.Store(false)
			return answer(http.StatusOK, events12, nil)(ctx, call)
		}
		endpoints := &scriptedEndpoints{steps: []step{noAnswer(), after(300*time.Millisecond, second)}}
		fixture := relaytest.NewFixture(endpoints.send, &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2))
		fixture.Relay.IsCutOff = cutOff.Load
		isFirst := true
		fixture.Relay.NotifyStalled = func(stalled func()) func() {
			if isFirst {
				isFirst = false
				time.AfterFunc(200*time.Millisecond, func() { cutOff.Store(true); stalled() })
			}
			return func() {}
		}
		outcome := fixture.Send(t.Context(), "short", nil)
		is.True(outcome.Ended)
		is.Equal(len(fixture.LoadTracker.EjectedEndpoints(time.Now())), 0)
	})
}

// The primary of a long prompt loses power without a reset. Its helpers hold parts of the prompt, no
// memory is reserved. The prompt must be sent again without the primary, as soon as after a failure:
// the load of the silent attempt itself must not count against that.
func TestSplitPromptIsSentAgainWhenItsPrimaryIsUnreachable(t *testing.T) {
	for _, tokens := range []peridotpath.Tokens{100_000, 200_000, 300_000, 400_000} {
		t.Run(strconv.Itoa(int(tokens)), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				engines := &failingEngines{}
				fixture := newFailingFixture(t, engines)
				outcome := fixture.Send(t.Context(), "long", func(request *relay.Request) {
					request.PromptTokens, request.MaxAnswerTokens, request.Timeout = tokens, 100, 30*time.Second
				})
				t.Logf("code %v after %v, %d calls, %d reservations", outcome.Result.Code, outcome.Took, engines.calls, len(engines.firstReservations))
				is.True(outcome.Ended)
				is.True(outcome.Took < 5*time.Second)
			})
		})
	}
}

// A call is late while no second endpoint takes it, and its answer begins. It must not be sent to an
// endpoint that becomes free after that.
func TestLateCallWhoseAnswerHasBegunIsNotSentAgain(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		slowBody := timedStream(io.EOF, timedPart{580 * time.Millisecond, "found"})
		endpoints := &scriptedEndpoints{steps: []step{after(320*time.Millisecond, slowBody), answer(http.StatusOK, "other", nil)}}
		fixture := relaytest.NewFixture(endpoints.send, nil, relaytest.Endpoint(1))
		time.AfterFunc(400*time.Millisecond, func() {
			fixture.Directory.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{relaytest.Endpoint(1), relaytest.Endpoint(2)}}, fixture.Routing.Now())
		})
		outcome := fixture.Send(t.Context(), "look", nil)
		is.Equal(outcome.Body, "found")
		is.Equal(len(endpoints.called()), 1)
	})
}

// Links are taken for lost and the stream goes on. It occupies its engine and must count as load
// again, or the engine gets more requests than it has room for.
func TestStreamThatGoesOnAfterLinkDoubtCountsAsLoad(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := timedStream(io.EOF, timedPart{300 * time.Millisecond, events12}, timedPart{1200 * time.Millisecond, events34}, timedPart{2 * time.Second, "id: 5\ndata: e\n\n"})
		endpoints := &scriptedEndpoints{steps: []step{first}}
		fixture := relaytest.NewFixture(endpoints.send, &relaytest.Rates, relaytest.Endpoint(1))
		fixture.Relay.NotifyStalled = func(stalled func()) func() {
			time.AfterFunc(900*time.Millisecond, stalled)
			return func() {}
		}
		var inFlight atomic.Int64
		time.AfterFunc(1500*time.Millisecond, func() { inFlight.Store(int64(len(fixture.LoadTracker.LocalInFlight()))) })
		outcome := fixture.Send(t.Context(), "short", nil)
		is.True(outcome.Ended)
		is.Equal(inFlight.Load(), int64(1))
	})
}

// A request is suspected by chance since it ran on two endpoints that crashed. Its engine loses
// power without a reset. It must be served by another one, as a request that is suspected before its
// first attempt is.
func TestSuspectedStreamIsServedElsewhereWhenItsEngineIsDead(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		endpoints := &scriptedEndpoints{steps: []step{noAnswer(), answer(http.StatusOK, events12, nil)}}
		fixture := relaytest.NewFixture(endpoints.send, &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2), relaytest.Endpoint(3))
		content := peridotpath.FingerprintOf("desk", "host", http.MethodPost, "/short/x", nil)
		time.AfterFunc(500*time.Millisecond, func() {
			for number := range 2 {
				endpoint := relaytest.Endpoint(7 + number)
				fixture.Relay.Quarantine.RecordCrash(quarantine.Request{Content: content}, quarantine.Crash{Endpoint: endpoint.Key(), At: time.Now(), Age: time.Millisecond, IsContentSuspect: true})
			}
			t.Log(fixture.Relay.Quarantine.Judge(quarantine.Request{Content: content}, time.Now()).State)
		})
		outcome := fixture.Send(t.Context(), "short", nil)
		t.Logf("code %v after %v, %d calls", outcome.Result.Code, outcome.Took, len(endpoints.called()))
		is.True(outcome.Ended)
	})
}

// All endpoints are silent and the callers leave. None has been slower than another, so that none
// is to be ejected, at this instance or at its peers.
func TestCallersThatLeaveSilentEndpointsEjectNone(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := relaytest.NewFixture(noAnswer(), &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2), relaytest.Endpoint(3))
		ctx, leave := context.WithTimeout(t.Context(), time.Hour)
		time.AfterFunc(3*time.Second, leave)
		outcome := fixture.Send(ctx, "short", nil)
		is.Equal(outcome.Result.Code, peridotpath.CodeCallerGone)
		is.Equal(len(fixture.LoadTracker.EjectedEndpoints(time.Now())), 0)
	})
}
