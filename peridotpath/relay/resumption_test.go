package relay_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/relay"
	"peridotpath.example/peridotpath/relay/relaytest"
)

// An engine sends the last event and ends before the end of the stream. The stream is resumed after
// that event and has no event more: its end must reach the caller, if it is marked as such.
func TestStreamWhoseEngineEndsAfterTheLastEventIsWhole(t *testing.T) {
	for _, test := range []struct {
		name   string
		hasEnd bool
	}{{"marked", true}, {"connection closed", false}} {
		t.Run(test.name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				empty := answer(http.StatusOK, "", func(answer *relay.Answer) { answer.HasEnd = test.hasEnd })
				endpoints := &scriptedEndpoints{steps: []step{cutAnswer(events12), empty, empty, empty}}
				fixture := relaytest.NewFixture(endpoints.send, &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2), relaytest.Endpoint(3))
				outcome := fixture.Send(t.Context(), "short", nil)
				is.Equal(outcome.Body, events12)
				is.Equal(outcome.Ended, test.hasEnd)
				is.Equal(outcome.Aborted, !test.hasEnd)
			})
		})
	}
}

// A stream is silent after its first events, and another engine resumes it with no event more. Which of
// the two is right is not known: the stream must go on.
func TestResumptionWithoutEventsEndsNoStreamThatGoesOn(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := timedStream(io.EOF, timedPart{300 * time.Millisecond, events12}, timedPart{2700 * time.Millisecond, events34})
		empty := answer(http.StatusOK, "", func(answer *relay.Answer) { answer.HasEnd = true })
		endpoints := &scriptedEndpoints{steps: []step{first, empty, empty, empty}}
		fixture := relaytest.NewFixture(endpoints.send, &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2), relaytest.Endpoint(3))
		outcome := fixture.Send(t.Context(), "short", nil)
		is.Equal(outcome.Body, events12+events34)
		is.True(outcome.Ended)
	})
}

// An empty stream that is no resumption is no answer, however it ends.
func TestEmptyStreamIsNoAnswer(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		empty := answer(http.StatusOK, "", func(answer *relay.Answer) { answer.HasEnd = true })
		endpoints := &scriptedEndpoints{steps: []step{empty, answer(http.StatusOK, events12, nil)}}
		fixture := relaytest.NewFixture(endpoints.send, &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2))
		is.Equal(fixture.Send(t.Context(), "short", nil).Body, events12)
	})
}

// An engine sends the last event and loses its power, or is silent and breaks off. Another engine resumes
// the stream beside it and has no event more, and no third attempt is allowed. The end must reach the
// caller, not a cut at the deadline.
func TestResumptionWithoutEventsEndsStreamOfLostEngine(t *testing.T) {
	for _, test := range []struct {
		name      string
		end       time.Duration
		losePower bool
	}{{"power lost", time.Hour, true}, {"broken off", 4 * time.Second, false}} {
		t.Run(test.name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				first := timedStream(relaytest.ErrReset, timedPart{100 * time.Millisecond, events12}, timedPart{test.end, ""})
				empty := answer(http.StatusOK, "", func(answer *relay.Answer) { answer.HasEnd = true })
				endpoints := &scriptedEndpoints{steps: []step{first, empty, empty, empty}}
				fixture := relaytest.NewFixture(endpoints.send, &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2), relaytest.Endpoint(3))
				if test.losePower {
					fixture.Relay.Check = func(ctx context.Context, _ *peridotpath.Endpoint) error {
						<-ctx.Done()
						return ctx.Err()
					}
				}
				outcome := fixture.Send(t.Context(), "short", nil)
				t.Logf("ended %v after %v", outcome.Ended, outcome.Took)
				is.Equal(outcome.Body, events12)
				is.True(outcome.Ended)
				is.True(outcome.Took < 5*time.Second)
			})
		})
	}
}

// An engine breaks off within an event, and others resume the stream with no event more. The stream is
// known to go on, and must not be ended as if it were whole.
func TestResumptionWithoutEventsEndsNoStreamCutWithinAnEvent(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		empty := answer(http.StatusOK, "", func(answer *relay.Answer) { answer.HasEnd = true })
		endpoints := &scriptedEndpoints{steps: []step{cutAnswer(events12 + "id: 3\nda"), empty, empty, empty}}
		fixture := relaytest.NewFixture(endpoints.send, &relaytest.Rates, relaytest.Endpoint(1), relaytest.Endpoint(2), relaytest.Endpoint(3))
		outcome := fixture.Send(t.Context(), "short", nil)
		is.Equal(outcome.Body, events12)
		is.True(!outcome.Ended)
		is.True(outcome.Aborted)
	})
}
