package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/relay"
)

// script answers the calls one after the other.
type script struct {
	steps []func(ctx context.Context, call *relay.Call) (*relay.Answer, error)
	calls []relay.Call
}

func (script *script) send(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
	script.calls = append(script.calls, *call)
	if len(script.calls) > len(script.steps) {
		return nil, outbound.ErrNotSent.New("not expected")
	}
	return script.steps[len(script.calls)-1](ctx, call)
}

type step = func(ctx context.Context, call *relay.Call) (*relay.Answer, error)

// broken is a body that ends with an error.
type broken struct{ io.Reader }

func (body broken) Read(into []byte) (int, error) {
	count, err := body.Reader.Read(into)
	if errors.Is(err, io.EOF) {
		err = errReset
	}
	return count, err
}

func (broken) Close() error { return nil }

func answer(status int, text string, change func(*relay.Answer)) step {
	return func(context.Context, *relay.Call) (*relay.Answer, error) {
		answer := &relay.Answer{Status: status, Header: http.Header{}, Genuine: true, Body: io.NopCloser(strings.NewReader(text))}
		if change != nil {
			change(answer)
		}
		return answer, nil
	}
}

func cut(text string) step {
	return answer(http.StatusOK, "", func(answer *relay.Answer) { answer.Body = broken{strings.NewReader(text)} })
}

func refused() step {
	return answer(http.StatusServiceUnavailable, "", func(answer *relay.Answer) { answer.NotRun = true })
}

func lost() step {
	return func(context.Context, *relay.Call) (*relay.Answer, error) { return nil, outbound.ErrLost.Wrap(errReset) }
}

func unsent() step {
	return func(context.Context, *relay.Call) (*relay.Answer, error) {
		return nil, outbound.ErrNotSent.Wrap(errReset)
	}
}

func hang() step {
	return func(ctx context.Context, _ *relay.Call) (*relay.Answer, error) {
		<-ctx.Done()
		return nil, outbound.ErrLost.Wrap(ctx.Err())
	}
}

// pieceAt is a part of a body and when it comes.
type pieceAt struct {
	at   time.Duration
	text string
}

// timed answers with a stream whose parts come at their times, and which ends
// with the error given after the last, or with the call.
func timed(end error, pieces ...pieceAt) step {
	return func(ctx context.Context, _ *relay.Call) (*relay.Answer, error) {
		reader, writer := io.Pipe()
		go func() {
			began := time.Now()
			for _, piece := range pieces {
				select {
				case <-ctx.Done():
					writer.CloseWithError(ctx.Err())
					return
				case <-time.After(piece.at - time.Since(began)):
				}
				_, _ = io.WriteString(writer, piece.text)
			}
			writer.CloseWithError(end)
		}()
		return &relay.Answer{Status: 200, Header: http.Header{}, Genuine: true, Body: reader}, nil
	}
}

const events12, events34 = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"

func TestAttempts(t *testing.T) {
	tests := []struct {
		name   string
		route  string
		steps  []step
		status int
		body   string
		calls  int
		broken bool
	}{
		{name: "whole answer", route: "save", steps: []step{answer(200, "done", nil)}, status: 200, body: "done", calls: 1},
		{name: "endpoint's failure is handed on", route: "save", steps: []step{answer(500, "bad", nil)}, status: 500, body: "bad", calls: 1},
		{name: "refused, then taken", route: "save", steps: []step{refused(), answer(200, "done", nil)}, status: 200, body: "done", calls: 2},
		{name: "refused everywhere", route: "save", steps: []step{refused(), refused()}, status: 503, calls: 2},
		{name: "never sent, then taken", route: "save", steps: []step{unsent(), unsent(), answer(200, "done", nil)}, status: 200, body: "done", calls: 3},
		// A saved correction whose answer was lost may have taken effect.
		{name: "answer lost, not to be repeated", route: "save", steps: []step{lost()}, status: 502, calls: 1},
		{name: "answer cut, not to be repeated", route: "save", steps: []step{cut("do")}, status: 502, calls: 1},
		{name: "answer lost, repeated", route: "look", steps: []step{lost(), answer(200, "found", nil)}, status: 200, body: "found", calls: 2},
		{name: "answer cut, repeated", route: "look", steps: []step{cut("fou"), answer(200, "found", nil)}, status: 200, body: "found", calls: 2},
		{name: "failed, repeated", route: "look", steps: []step{answer(500, "bad", nil), answer(200, "found", nil)}, status: 200, body: "found", calls: 2},
		{name: "failed twice", route: "look", steps: []step{answer(500, "bad", nil), answer(500, "worse", nil)}, status: 500, body: "worse", calls: 2},
		// An answer to another request arrives where this one's is expected.
		{name: "foreign answer", route: "save", steps: []step{answer(200, "other", func(answer *relay.Answer) { answer.Genuine = false })}, status: 502, calls: 1},
		{name: "foreign answer, repeated", route: "look", steps: []step{answer(200, "other", func(answer *relay.Answer) { answer.Genuine = false }), answer(200, "found", nil)}, status: 200, body: "found", calls: 2},
		// Another endpoint has the address now; it ran nothing.
		{name: "elsewhere", route: "save", steps: []step{answer(421, "", func(answer *relay.Answer) { answer.Elsewhere, answer.NotRun = true, true }), answer(200, "done", nil)}, status: 200, body: "done", calls: 2},
		{name: "stream", route: "short", steps: []step{answer(200, events12+events34, nil)}, status: 200, body: events12 + events34, calls: 1},
		// The endpoint dies within an event: that event is dropped, and the stream
		// goes on at another endpoint after the last whole one.
		{name: "stream goes on elsewhere", route: "short", steps: []step{cut(events12 + "id: 3\nda"), answer(200, events34, nil)}, status: 200, body: events12 + events34, calls: 2},
		{name: "stream cut twice", route: "short", steps: []step{cut(events12), cut("")}, status: 200, body: events12, calls: 2, broken: true},
		// The connection ends in good order, but within an event.
		{name: "stream ends within an event", route: "short", steps: []step{answer(200, events12+"id: 3\nda", nil), answer(200, events34, nil)}, status: 200, body: events12 + events34, calls: 2},
		{name: "empty stream is no answer", route: "short", steps: []step{answer(200, "", nil), answer(200, events12, nil)}, status: 200, body: events12, calls: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			script := &script{steps: test.steps}
			rates := &testRates
			if test.route == "save" || test.route == "look" {
				rates = nil
			}
			fixture := newFixture(script.send, rates, testEndpoint(1), testEndpoint(2), testEndpoint(3), testEndpoint(4))
			outcome := fixture.ask(t.Context(), test.route, nil)
			is.Equal(outcome.status, test.status)
			is.Equal(outcome.body, test.body)
			is.Equal(len(script.calls), test.calls)
			is.Equal(outcome.broken, test.broken)
			is.Equal(len(fixture.book.LocalInFlight()), 0) // nothing is left under way
			if test.status == http.StatusServiceUnavailable {
				is.True(outcome.result.RetryAfter > 0)
			}
			for i := 1; i < len(script.calls); i++ {
				is.True(script.calls[i].Endpoint.ID != script.calls[i-1].Endpoint.ID) // each time another endpoint
			}
		})
	}
}

func TestStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	is := is.New(t)
	script := &script{steps: []step{cut(events12 + "id: 3\ndata: c\n"), answer(200, events34, nil)}}
	fixture := newFixture(script.send, &testRates, testEndpoint(1), testEndpoint(2))
	outcome := fixture.ask(t.Context(), "short", nil)
	is.Equal(script.calls[1].AfterEvent, "2")
	is.True(outcome.ended)
}

// A caller comes back after a broken connection with the last id that it has.
func TestCallerResumes(t *testing.T) {
	is := is.New(t)
	script := &script{steps: []step{answer(200, events34, nil)}}
	fixture := newFixture(script.send, &testRates, testEndpoint(1))
	fixture.ask(t.Context(), "short", func(request *relay.Request) { request.AfterEvent = "2" })
	is.Equal(script.calls[0].AfterEvent, "2")
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		route  string
		change func(*fixture, *relay.Request)
		want   peridotpath.Code
	}{
		{"unknown route", "none", nil, peridotpath.CodeNotFound},
		{"unknown key", "save", func(_ *fixture, request *relay.Request) { request.Key = "other" }, peridotpath.CodeUnauthorized},
		{"no key", "save", func(_ *fixture, request *relay.Request) { request.Key = "" }, peridotpath.CodeUnauthorized},
		// The route may have been added since the routing was last known to be the newest.
		{"unknown route, routing old", "none", func(fixture *fixture, _ *relay.Request) { fixture.clock += 2 * time.Second }, peridotpath.CodeNotReady},
		{"unknown key, routing old", "save", func(fixture *fixture, request *relay.Request) {
			fixture.clock += 2 * time.Second
			request.Key = "other"
		}, peridotpath.CodeNotReady},
		// The key may have been taken away meanwhile.
		{"key, routing too old", "save", func(fixture *fixture, _ *relay.Request) { fixture.clock += 2 * time.Hour }, peridotpath.CodePlatformDown},
		{"no endpoint", "save", func(fixture *fixture, _ *relay.Request) {
			fixture.directory.Apply(nil, fixture.routing.Now())
		}, peridotpath.CodeNoEndpoint},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			script := &script{}
			fixture := newFixture(script.send, nil, testEndpoint(1))
			outcome := fixture.ask(t.Context(), test.route, func(request *relay.Request) {
				if test.change != nil {
					test.change(fixture, request)
				}
			})
			is.Equal(outcome.result.Code, test.want)
			is.Equal(len(script.calls), 0)
			is.True(outcome.result.Code.NotRun())
		})
	}
}

// A lookup ran at the one endpoint there is, and its answer was lost. There is no
// other to ask; the caller must not be told that it has not run, though no second
// attempt was made.
func TestNoOtherEndpointAfterALostAnswer(t *testing.T) {
	is := is.New(t)
	script := &script{steps: []step{lost()}}
	fixture := newFixture(script.send, nil, testEndpoint(1))
	outcome := fixture.ask(t.Context(), "look", nil)
	is.Equal(len(script.calls), 1)
	is.Equal(outcome.status, http.StatusBadGateway)
	is.True(!outcome.result.Code.NotRun())
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	is := is.New(t)
	script := &script{steps: []step{answer(200, "page", nil)}}
	fixture := newFixture(script.send, nil, testEndpoint(1))
	fixture.clock += 2 * time.Hour
	outcome := fixture.ask(t.Context(), "open", func(request *relay.Request) { request.Key = "" })
	is.Equal(outcome.status, http.StatusOK)
	is.Equal(script.calls[0].Customer, peridotpath.CustomerID(""))
}

// An instance is frozen between the check of a key and the sending, for longer
// than a key may be used unconfirmed. Nothing may be sent on that check.
func TestFrozenBeforeSending(t *testing.T) {
	is := is.New(t)
	script := &script{steps: []step{unsent(), answer(200, "done", nil)}}
	fixture := newFixture(script.send, nil, testEndpoint(1), testEndpoint(2))
	first := script.steps[0]
	script.steps[0] = func(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
		fixture.clock += 2 * time.Hour
		return first(ctx, call)
	}
	outcome := fixture.ask(t.Context(), "save", nil)
	is.Equal(len(script.calls), 1)
	is.Equal(outcome.status, http.StatusServiceUnavailable)
}

// An endpoint never answers. The caller gets an answer when its time is up, and
// the endpoint's work is cancelled then.
func TestDeadline(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		script := &script{steps: []step{hang()}}
		fixture := newFixture(script.send, nil, testEndpoint(1))
		began := time.Now()
		outcome := fixture.ask(t.Context(), "save", func(request *relay.Request) { request.Patience = 1500 * time.Millisecond })
		is.Equal(time.Since(began), 1500*time.Millisecond)
		is.Equal(outcome.status, http.StatusGatewayTimeout)
		is.Equal(script.calls[0].Left, 1500*time.Millisecond)
	})
}

// The caller leaves: the endpoint's work is cancelled and nothing is sent again.
func TestCallerLeaves(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		script := &script{steps: []step{hang()}}
		fixture := newFixture(script.send, nil, testEndpoint(1), testEndpoint(2))
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, leave)
		outcome := fixture.ask(ctx, "look", nil)
		is.Equal(outcome.result.Code, peridotpath.CodeCallerGone)
		is.Equal(len(script.calls), 1)
	})
}

// An engine that others share prompts with is gone: everything at those engines
// stands still for a second and a half, then goes on. Given up after 1.4 s, the
// streams of a whole fleet were read again elsewhere at the same moment.
func TestStandstillIsWaitedOut(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		script := &script{steps: []step{timed(io.EOF, pieceAt{0, events12}, pieceAt{1550 * time.Millisecond, events34})}}
		fixture := newFixture(script.send, &testRates, testEndpoint(1), testEndpoint(2))
		outcome := fixture.ask(t.Context(), "short", nil)
		is.Equal(len(script.calls), 1)
		is.True(outcome.ended)
	})
}

// A stream is silent for longer than that: it goes on at another endpoint before
// the caller gives up, which it does after two seconds.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		silent := timed(io.EOF, pieceAt{0, events12}, pieceAt{time.Hour, ""})
		script := &script{steps: []step{silent, answer(200, events34, nil)}}
		fixture := newFixture(script.send, &testRates, testEndpoint(1), testEndpoint(2))
		outcome := fixture.ask(t.Context(), "short", nil)
		is.Equal(outcome.body, events12+events34)
		is.True(outcome.maxPause < 2*time.Second)
	})
}

// A stream that has run for half of its time breaks. There is no time to write
// the whole answer anew, but only the rest is left: it must not be broken off.
func TestStreamBreaksLate(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		late := timed(errReset, pieceAt{0, events12}, pieceAt{1200 * time.Millisecond, events34}, pieceAt{1960 * time.Millisecond, ""})
		script := &script{steps: []step{late, answer(200, "id: 5\ndata: e\n\n", nil)}}
		fixture := newFixture(script.send, &testRates, testEndpoint(1), testEndpoint(2))
		outcome := fixture.ask(t.Context(), "short", func(request *relay.Request) {
			request.Patience, request.Answer = 2*time.Second, 40*46
		})
		is.True(outcome.ended)
		is.Equal(outcome.events, 5)
	})
}

// Half of the endpoints fail all that they are sent. Requests sent again stay
// within the share that all instances together may use.
func TestBudget(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	budget := &relay.Budget{Ratio: 0.2, Slack: 40, Window: 10 * time.Second, Instances: func() int { return 4 }}
	for range 100 {
		budget.Note("llm", now)
	}
	spent := 0
	for range 100 {
		if budget.Spend("llm", now) {
			spent++
		}
	}
	is.Equal(spent, 25) // 0.2 of 100, and half of this instance's quarter of 40
	is.True(!budget.Spend("llm", now.Add(9*time.Second)))
	is.True(budget.Spend("llm", now.Add(11*time.Second))) // the slack is there again
}

// Endpoints refuse whatever is sent; callers get the refusal and a time to come
// back, not a flood of attempts.
func TestBudgetIsKeptUnderRefusals(t *testing.T) {
	is := is.New(t)
	calls := 0
	send := func(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
		calls++
		return refused()(ctx, call)
	}
	fixture := newFixture(send, nil, testEndpoint(1), testEndpoint(2), testEndpoint(3))
	for range 400 {
		outcome := fixture.ask(t.Context(), "save", nil)
		is.Equal(outcome.status, http.StatusServiceUnavailable)
		is.True(outcome.result.RetryAfter > 0)
	}
	is.True(calls <= 400+400/5+50)
}

// The operators' rank goes before the length class's own: an airline that paid
// for urgency is admitted before a desk's lookups.
func TestEnginePriority(t *testing.T) {
	tests := []struct {
		route string
		rank  int
		want  int
	}{{"short", 1, 1}, {"short", 0, 0}, {"short", 4, 4}, {"long", 1, 6}, {"long", 0, 5}, {"long", 9, 9}}
	for _, test := range tests {
		script := &script{steps: []step{answer(200, events12, nil)}}
		fixture := newFixture(script.send, &testRates, testEndpoint(1))
		routing := testRouting(&testRates)
		routing.Version++
		routing.Keys["key"] = peridotpath.KeyHolder{Customer: "desk", Priority: test.rank, HasPriority: true}
		fixture.routing.Apply(routing, fixture.routing.Now())
		fixture.ask(t.Context(), test.route, nil)
		if have := script.calls[0].Priority; have != test.want {
			t.Errorf("%s of rank %d: have %d, want %d", test.route, test.rank, have, test.want)
		}
	}
}
