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
	firstAddress  = "10.0.0.1:8080"
	secondAddress = "10.0.0.2:8080"
)

// startPair starts two instances on the network that share one platform.
func (testStack *testStack) startPair(t *testing.T) {
	t.Helper()
	_, first := testStack.instance(t, "i1")
	_, second := testStack.instance(t, "i2")
	testStack.network.Serve(firstAddress, first)
	testStack.network.Serve(secondAddress, second)
	synctest.Wait()
}

// An instance dies in the middle of a stream, and the client resumes at another
// instance after its last event, at every possible position. No token may be
// repeated or lost. The instances share no state of the stream but the cursor.
func TestResumeAtAnotherInstanceAfterEveryToken(t *testing.T) {
	const tokens = 20
	body := completionBody("leaf 12, line 4", tokens, true)
	want := enginetest.Answer(enginetest.AnswerSeed([]byte(body)), tokens)
	for boundary := 1; ; boundary++ {
		var first, rest *receivedStream
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			stack := newTestStack()
			defer stack.stop(t)
			stack.startPair(t)
			response := stack.sendCompletion(t.Context(), t, firstAddress, apiKey, body, nil)
			first = readStream(response.Body, boundary)
			if first.done {
				response.Body.Close()
				return
			}
			is.Equal(len(first.cursors), boundary) // a cursor with each event
			stack.network.Serve(firstAddress, nil) // the instance dies
			response.Body.Close()
			response = stack.sendCompletion(t.Context(), t, secondAddress, apiKey, body, map[string]string{caller.HeaderLastEventID: first.cursors[boundary-1]})
			rest = readStream(response.Body, 0)
			response.Body.Close()
			is.Equal(first.text+rest.text, want) // each token once
			is.True(rest.done)
			is.Equal(stack.engine.Counts().Total.Runs, 1)
		})
		if first.done {
			is.New(t).True(boundary > tokens) // every boundary was tested
			return
		}
	}
}

// A cursor is used with another customer's key, modified, or used after the stream
// or its deadline has ended. Each must be refused with its code, at once: otherwise
// one customer could read another's answer, or a caller would wait without limit.
func TestUnusableCursors(t *testing.T) {
	tests := []struct {
		name   string
		change func(stack *testStack, text string) string
		key    string
		wait   time.Duration
		code   string
	}{
		{"forged", func(_ *testStack, text string) string { return string(text[0]^1) + text[1:] }, apiKey, 0, "1009"},
		{"signed with another secret", func(_ *testStack, text string) string {
			other := &cursor.Signer{}
			other.SetSecret([]byte("another fleet's"))
			return string(cursor.Append(nil, other.StreamToken("desk", cursor.Stream{Endpoint: "engine-1", ID: "engine-1"}), 1))
		}, apiKey, 0, "1009"},
		{"another customer's", nil, airlineKey, 0, "1009"},
		{"no offset", func(_ *testStack, text string) string { return text[:strings.IndexByte(text, '.')] }, apiKey, 0, "1009"},
		{"negative offset", func(_ *testStack, text string) string { return text[:strings.IndexByte(text, '.')] + ".-1" }, apiKey, 0, "1009"},
		{"engine left the fleet", func(stack *testStack, text string) string { stack.endpoints = stack.endpoints[1:]; return text }, apiKey, 0, "3005"},
		{"engine no longer has the stream", func(stack *testStack, text string) string {
			stack.network.Serve(engineAddress, (&enginetest.Engine{Name: "engine"}).Handler())
			return text
		}, apiKey, 0, "3005"},
		{"engine is unreachable", func(stack *testStack, text string) string { stack.network.Serve(engineAddress, nil); return text }, apiKey, 0, "3005"},
		{"cancelled after the resume window", nil, apiKey, 15 * time.Second, "3005"},
		{"past its deadline", nil, apiKey, lineDeadline + time.Second, "4001"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stack := newTestStack()
				defer stack.stop(t)
				stack.startPair(t)
				response := stack.sendCompletion(t.Context(), t, firstAddress, apiKey, completionBody("leaf 12", 400, true), nil)
				partial := readStream(response.Body, 3)
				is.Equal(len(partial.cursors), 3)
				text := partial.cursors[2]
				response.Body.Close()
				if test.change != nil {
					text = test.change(stack, text)
				}
				time.Sleep(test.wait)
				startedAt := time.Now()
				answer := stack.requestAll(t.Context(), t, "http://"+secondAddress+engine.PathCompletions, test.key, "", map[string]string{caller.HeaderLastEventID: text})
				is.Equal(failureCode(answer.text), test.code)
				is.True(answer.status >= http.StatusBadRequest) // a refusal, not a stream
				is.True(time.Since(startedAt) <= 2*time.Second) // at once
			})
		})
	}
}

// Two customers use the same request ids and idempotency keys. Each must get the
// answer to its own request, also when both run at the same time and at the same
// instance.
func TestSameRequestIDOfTwoCustomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stack := newTestStack()
		stack.service.CallDuration = time.Second
		defer stack.stop(t)
		stack.startPair(t)
		header := map[string]string{caller.HeaderRequestID: "1", caller.HeaderIdempotencyKey: "1"}
		keys := []string{apiKey, airlineKey}
		type answerPair struct{ line, claim string }
		answers := make([]answerPair, len(keys))
		done := make(chan struct{})
		for i, key := range keys {
			go func() {
				defer func() { done <- struct{}{} }()
				line := stack.requestAll(t.Context(), t, "http://"+firstAddress+engine.PathCompletions, key, completionBody("claim of "+key, 20, true), header)
				answers[i].line = readStream(strings.NewReader(line.text), 0).text
				claim := stack.requestAll(t.Context(), t, "http://"+firstAddress+"/services/acknowledge/claims", key, `{"claim":"the same"}`, header)
				answers[i].claim = claim.text + claim.header.Get(caller.HeaderReplayed)
			}()
		}
		for range keys {
			<-done
		}
		for i, key := range keys {
			want := enginetest.Answer(enginetest.AnswerSeed([]byte(completionBody("claim of "+key, 20, true))), 20)
			is.Equal(answers[i].line, want)
			is.True(strings.Contains(answers[i].claim, `"service":"desk-app"`))
			is.True(!strings.HasSuffix(answers[i].claim, "true")) // not a replay of the other customer's answer
		}
		is.Equal(stack.service.Counts().Total.Runs, 2) // one for each customer
	})
}

// An instance dies during an outage of the key-value service, and the client resumes
// at an instance that has just started and cannot verify cursors yet. After a bad_cursor
// failure the client would discard the stream; after a retryable failure it gets the
// rest when the outage is over.
func TestResumeDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stack := newTestStack()
		defer stack.stop(t)
		var down atomic.Bool
		stack.platform.Fault = func(context.Context, string, string, bool) error {
			if down.Load() {
				return keyvalue.ErrUnavailable.New("outage")
			}
			return nil
		}
		_, first := stack.instance(t, "i1")
		stack.network.Serve(firstAddress, first)
		synctest.Wait()
		body := completionBody("leaf 12", 400, true)
		response := stack.sendCompletion(t.Context(), t, firstAddress, apiKey, body, nil)
		partial := readStream(response.Body, 3)
		down.Store(true)
		stack.network.Serve(firstAddress, nil)
		response.Body.Close()
		_, second := stack.instance(t, "i2")
		stack.network.Serve(secondAddress, second)
		header := map[string]string{caller.HeaderLastEventID: partial.cursors[2]}
		refused := stack.requestAll(t.Context(), t, "http://"+secondAddress+engine.PathCompletions, apiKey, body, header)
		is.Equal(refused.status, http.StatusServiceUnavailable)
		is.True(refused.header.Get("Retry-After") != "")
		down.Store(false)
		time.Sleep(3 * time.Second)
		answer := stack.requestAll(t.Context(), t, "http://"+secondAddress+engine.PathCompletions, apiKey, body, header)
		rest := readStream(strings.NewReader(answer.text), 0)
		is.Equal(partial.text+rest.text, enginetest.Answer(enginetest.AnswerSeed([]byte(body)), 400))
	})
}

// The connection to the engine breaks in the middle of a stream, and the engine is out of reach, or
// fails each attempt to resume. The stream goes on there. The caller, whose answer was broken off,
// resumes it by its cursor and gets every token once.
func TestResumeAfterBrokenConnection(t *testing.T) {
	for name, lost := range map[string]func(engine http.Handler) http.Handler{
		"out of reach": func(http.Handler) http.Handler { return nil },
		"fails to resume": func(engine http.Handler) http.Handler {
			return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.Method == http.MethodGet {
					writer.WriteHeader(http.StatusInternalServerError)
					return
				}
				engine.ServeHTTP(writer, request)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stack := newTestStack()
				defer stack.stop(t)
				stack.startPair(t)
				body := completionBody("leaf 12", 400, true)
				response := stack.sendCompletion(t.Context(), t, firstAddress, apiKey, body, nil)
				partial := readStream(response.Body, 3)
				stack.network.Serve(engineAddress, lost(stack.engine.Handler()))
				rest := readStream(response.Body, 0)
				response.Body.Close()
				is.Equal(rest.failureCode, "3005")
				time.Sleep(1300 * time.Millisecond)
				stack.network.Serve(engineAddress, stack.engine.Handler())
				last := partial.cursors[2]
				if count := len(rest.cursors); count > 0 {
					last = rest.cursors[count-1]
				}
				answer := stack.requestAll(t.Context(), t, "http://"+secondAddress+engine.PathCompletions, apiKey, body, map[string]string{caller.HeaderLastEventID: last})
				resumed := readStream(strings.NewReader(answer.text), 0)
				is.Equal(resumed.failureCode, "")
				is.Equal(partial.text+rest.text+resumed.text, enginetest.Answer(enginetest.AnswerSeed([]byte(body)), 400))
				is.Equal(stack.engine.Counts().Total.Runs, 1)
			})
		})
	}
}
