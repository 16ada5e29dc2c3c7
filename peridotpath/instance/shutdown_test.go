package instance_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/instance"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/relay"
)

// promptIngress returns a handler that reads each body and passes the request to the relay as a prompt
// of that many tokens as its path says.
func promptIngress(dependencies instance.IngressDependencies) http.Handler {
	var number atomic.Int64
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		refuse := func(result peridotpath.Result) { writer.WriteHeader(result.Code.Status()) }
		body, release, failure := dependencies.Bodies.Read(writer, request, time.Time{})
		if failure != nil {
			caller.AnswerUnread(writer, request, func() { refuse(*failure) })
			return
		}
		defer release()
		incoming := &relay.Request{
			ID: peridotpath.RequestID(fmt.Sprint(number.Add(1))), Path: request.URL.Path, Host: peridotpath.NormalHost(request.Host), Body: body,
			ArrivedAt: time.Now(), Timeout: 15 * time.Second, MaxAnswerTokens: 50,
		}
		_, _ = fmt.Sscanf(request.URL.Path, "/%d", &incoming.PromptTokens)
		dependencies.Relay.Serve(request.Context(), incoming, &relay.Caller{
			Refuse: refuse, Answer: func(status int, _ http.Header, _ []byte) { writer.WriteHeader(status) },
			Begin: func(status int, _ http.Header) { writer.WriteHeader(status) }, Event: func([]byte) error { return nil }, End: func() {}, Abort: func() {},
		})
	})
}

// decodeEngineRouting returns a routing whose only service has engines.
func decodeEngineRouting([]byte) (*peridotpath.Routing, error) {
	return &peridotpath.Routing{
		Version: 1,
		Routes: []peridotpath.Route{{
			Name: "r", Host: "127.0.0.1", PathPrefix: "/", Backends: []peridotpath.Backend{{Service: "app", Weight: 1}}, MaxAttempts: 2,
			Streaming: true, TTFTTarget: 3 * time.Second, Timeout: 15 * time.Second,
		}},
		Services: map[peridotpath.Service]peridotpath.ServiceSpec{"app": {Name: "app", Engine: &peridotpath.EngineRates{
			BatchSize: 16, KVTokens: 4_000_000, StepsPerIteration: 46, Chunk: 2048, Step: 925 * time.Microsecond,
			PrefillPerSecond: 256_000, PerMillionPairs: 91_700 * time.Nanosecond,
		}}},
	}, nil
}

// Prompts wait in the queue, one runs at its engine and a body is still being sent when the instance is
// stopped. The process ends while they wait, and their callers get a closed connection.
func TestStopAnswersEveryRequestThatWaits(t *testing.T) {
	const (
		waiting = 4
		grace   = 3 * time.Second
		// lossSlack is the time in which an answer that was written reaches its caller.
		lossSlack = 200 * time.Millisecond
	)
	is := is.New(t)
	running := startAdaptedInstance(t, grace, func(adapter *instance.Adapter) {
		adapter.Ingress, adapter.DecodeRouting = promptIngress, decodeEngineRouting
	})
	defer close(running.release)
	statuses := make(chan int, waiting+2)
	go func() { statuses <- running.status("/400000", running.settings.CallerAddress) }()
	for running.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range waiting {
		go func() { statuses <- running.status("/170000", running.settings.CallerAddress) }()
	}
	go func() {
		body, _ := io.Pipe() // nothing is ever written
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/1000", running.settings.CallerAddress), io.MultiReader(strings.NewReader("half"), body))
		is.NoErr(err)
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			statuses <- 0
			return
		}
		response.Body.Close()
		statuses <- response.StatusCode
	}()
	time.Sleep(100 * time.Millisecond)
	is.Equal(running.calls.Load(), int64(1))
	is.Equal(len(statuses), 0) // all of them wait
	stoppedAt := time.Now()
	running.stop <- os.Interrupt
	is.NoErr(<-running.ended)
	is.True(time.Since(stoppedAt) < grace)
	seen := map[int]int{}
	exited, cancel := context.WithTimeout(t.Context(), lossSlack)
	defer cancel()
	for range waiting + 2 {
		select {
		case status := <-statuses:
			seen[status]++
		case <-exited.Done(): // a process would have ended, and its connections with it
		}
	}
	is.Equal(seen[http.StatusServiceUnavailable], waiting+1) // refused, as not run
	is.Equal(seen[http.StatusBadGateway], 1)                 // it may have run
}

// A task waits for a store that is silent when the instance is stopped. The process would be there until
// it is killed, with what it has not written.
func TestStopDoesNotWaitForSilentStore(t *testing.T) {
	const grace = 2 * time.Second
	is := is.New(t)
	var isSilent atomic.Bool
	goesOn, called := make(chan struct{}), make(chan struct{}, 100)
	defer close(goesOn)
	running := startAdaptedInstance(t, grace, func(adapter *instance.Adapter) {
		adapter.Ingress = relayingIngress
		get := adapter.Store.GetIfChanged
		adapter.Store.GetIfChanged = func(ctx context.Context, key string, expect keyvalue.Version) (keyvalue.Entry, bool, error) {
			if isSilent.Load() {
				called <- struct{}{}
				<-goesOn
			}
			return get(ctx, key, expect)
		}
	})
	isSilent.Store(true)
	<-called
	stoppedAt := time.Now()
	running.stop <- os.Interrupt
	select {
	case err := <-running.ended:
		is.NoErr(err)
		is.True(time.Since(stoppedAt) < grace)
	case <-time.After(2 * grace):
		t.Error("the instance did not exit")
	}
}
