package caller_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/cursor"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/engine/enginetest"
	"peridotpath.example/peridotpath/keyvalue"
)

const (
	here  = "10.0.0.1:8080"
	there = "10.0.0.2:8080"
)

// pair starts two instances on the network; they share what the platform holds.
func (stack *stack) pair(t *testing.T) {
	t.Helper()
	_, first := stack.instance(t, "i1")
	_, second := stack.instance(t, "i2")
	stack.network.Serve(here, first)
	stack.network.Serve(there, second)
	synctest.Wait()
}

// A volunteer reads a line when her instance dies. Her browser goes on at
// another one after the last event that it has, wherever the break fell. A word
// that came twice would be a false variant reading, one that was left out a
// lost one; both instances know nothing of the stream but the cursor.
func TestResumeElsewhereAtEveryToken(t *testing.T) {
	const tokens = 20
	body := lineBody("leaf 12, line 4", tokens, true)
	want := enginetest.Answer(enginetest.AnswerSeed([]byte(body)), tokens)
	for boundary := 1; ; boundary++ {
		var first, rest *stream
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			stack := newStack()
			defer stack.close(t)
			stack.pair(t)
			response := stack.ask(t.Context(), t, here, apiKey, body, nil)
			first = readStream(response.Body, boundary)
			if first.done {
				response.Body.Close()
				return
			}
			is.Equal(len(first.cursors), boundary) // a cursor with each event
			stack.network.Serve(here, nil)         // it dies
			response.Body.Close()
			response = stack.ask(t.Context(), t, there, apiKey, body, map[string]string{caller.HeaderLastEventID: first.cursors[boundary-1]})
			rest = readStream(response.Body, 0)
			response.Body.Close()
			is.Equal(first.text+rest.text, want) // each token once
			is.True(rest.done)
			is.Equal(stack.engine.Counts().Total.Runs, 1)
		})
		if first.done {
			is.New(t).True(boundary > tokens) // every boundary had its turn
			return
		}
	}
}

// Someone takes a cursor from a log and tries it with their own key, changes
// it, or comes with it when the stream or its time is over. Each must be
// refused with its code: an answer shown to another customer is a passenger's
// claim in a stranger's hands, and a wait without end is no answer.
func TestCursorsThatOpenNothing(t *testing.T) {
	tests := []struct {
		name   string
		change func(stack *stack, text string) string
		key    string
		wait   time.Duration
		code   string
	}{
		{"forged", func(_ *stack, text string) string { return string(text[0]^1) + text[1:] }, apiKey, 0, "1009"},
		{"signed with another secret", func(_ *stack, text string) string {
			other := &cursor.Signer{}
			other.SetSecret([]byte("another fleet's"))
			return string(cursor.Append(nil, other.StreamToken("desk", cursor.Stream{Endpoint: "engine-1", ID: "engine-1"}), 1))
		}, apiKey, 0, "1009"},
		{"another customer's", nil, airlineKey, 0, "1009"},
		{"no offset", func(_ *stack, text string) string { return text[:strings.IndexByte(text, '.')] }, apiKey, 0, "1009"},
		{"negative offset", func(_ *stack, text string) string { return text[:strings.IndexByte(text, '.')] + ".-1" }, apiKey, 0, "1009"},
		{"engine left the fleet", func(stack *stack, text string) string { stack.endpoints = stack.endpoints[1:]; return text }, apiKey, 0, "3005"},
		{"engine forgot the stream", func(stack *stack, text string) string {
			stack.network.Serve(stackEngine, (&enginetest.Engine{Name: "engine"}).Handler())
			return text
		}, apiKey, 0, "3005"},
		{"engine is dead", func(stack *stack, text string) string { stack.network.Serve(stackEngine, nil); return text }, apiKey, 0, "3005"},
		{"cancelled after the resume window", nil, apiKey, 15 * time.Second, "3005"},
		{"past its deadline", nil, apiKey, lineTime + time.Second, "4001"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stack := newStack()
				defer stack.close(t)
				stack.pair(t)
				response := stack.ask(t.Context(), t, here, apiKey, lineBody("leaf 12", 400, true), nil)
				begun := readStream(response.Body, 3)
				is.Equal(len(begun.cursors), 3)
				text := begun.cursors[2]
				response.Body.Close()
				if test.change != nil {
					text = test.change(stack, text)
				}
				time.Sleep(test.wait)
				began := time.Now()
				answer := stack.readAll(t.Context(), t, "http://"+there+engine.PathCompletions, test.key, "", map[string]string{caller.HeaderLastEventID: text})
				is.Equal(codeOf(answer.text), test.code)
				is.True(answer.status >= http.StatusBadRequest) // a refusal, not a stream
				is.True(time.Since(began) <= 2*time.Second)     // at once
			})
		})
	}
}

// Two desks of different airlines number their requests from 1 and use the same
// numbers as idempotency keys. Each must get the answer to its own claim, also
// when both run at the same time and at the same instance.
func TestSameRequestIDOfTwoCustomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stack := newStack()
		stack.service.CallDuration = time.Second
		defer stack.close(t)
		stack.pair(t)
		header := map[string]string{caller.HeaderRequestID: "1", caller.HeaderIdempotencyKey: "1"}
		keys := []string{apiKey, airlineKey}
		type pairOf struct{ line, claim string }
		answers := make([]pairOf, len(keys))
		done := make(chan struct{})
		for i, key := range keys {
			go func() {
				defer func() { done <- struct{}{} }()
				line := stack.readAll(t.Context(), t, "http://"+here+engine.PathCompletions, key, lineBody("claim of "+key, 20, true), header)
				answers[i].line = readStream(strings.NewReader(line.text), 0).text
				claim := stack.readAll(t.Context(), t, "http://"+here+"/services/acknowledge/claims", key, `{"claim":"the same"}`, header)
				answers[i].claim = claim.text + claim.header.Get(caller.HeaderReplayed)
			}()
		}
		for range keys {
			<-done
		}
		for i, key := range keys {
			want := enginetest.Answer(enginetest.AnswerSeed([]byte(lineBody("claim of "+key, 20, true))), 20)
			is.Equal(answers[i].line, want)
			is.True(strings.Contains(answers[i].claim, `"service":"desk-app"`))
			is.True(!strings.HasSuffix(answers[i].claim, "true")) // not the other's answer played back
		}
		is.Equal(stack.service.Counts().Total.Runs, 2) // one for each customer
	})
}

// A volunteer's instance dies during an outage of the key-value service and the
// balancer sends her to one that has just started: it cannot tell a good cursor
// yet. Told "bad cursor" her client would throw the line away; told to come back
// it gets the rest once the outage is over.
func TestResumeDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stack := newStack()
		defer stack.close(t)
		var down atomic.Bool
		stack.platform.Fault = func(context.Context, string, string, bool) error {
			if down.Load() {
				return keyvalue.ErrUnavailable.New("outage")
			}
			return nil
		}
		_, first := stack.instance(t, "i1")
		stack.network.Serve(here, first)
		synctest.Wait()
		body := lineBody("leaf 12", 400, true)
		response := stack.ask(t.Context(), t, here, apiKey, body, nil)
		begun := readStream(response.Body, 3)
		down.Store(true)
		stack.network.Serve(here, nil)
		response.Body.Close()
		_, second := stack.instance(t, "i2")
		stack.network.Serve(there, second)
		header := map[string]string{caller.HeaderLastEventID: begun.cursors[2]}
		refused := stack.readAll(t.Context(), t, "http://"+there+engine.PathCompletions, apiKey, body, header)
		is.Equal(refused.status, http.StatusServiceUnavailable)
		is.True(refused.header.Get("Retry-After") != "")
		down.Store(false)
		time.Sleep(3 * time.Second)
		answer := stack.readAll(t.Context(), t, "http://"+there+engine.PathCompletions, apiKey, body, header)
		rest := readStream(strings.NewReader(answer.text), 0)
		is.Equal(begun.text+rest.text, enginetest.Answer(enginetest.AnswerSeed([]byte(body)), 400))
	})
}
