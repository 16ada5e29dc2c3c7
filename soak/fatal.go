package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

const (
	// fatalBody begins the bodies that no endpoint survives.
	fatalBody = "fatal"
	// repeatPause is the time between two tries of a fatal body.
	repeatPause = 150 * time.Millisecond
	// repeatLeast is how long a body is sent at least: longer than instances may take to
	// keep it off.
	repeatLeast = 10 * time.Second
	// downLeast and downSpread are how long an endpoint that has ended is away, and
	// entryLapse how long its entry stays.
	downLeast, downSpread = 400 * time.Millisecond, 1200 * time.Millisecond
	entryLapse            = time.Second
	// endsForBar is the number of ends after which a body is kept off the endpoints, and
	// spareRuns how often it may still run once all have to know.
	endsForBar, spareRuns = 3, 3
)

func fatal(body string) bool { return strings.HasPrefix(body, fatalBody) }

// repeat sends a body again and again, each time with another id and at an instance by
// chance, until it is ended.
func (fleet *fleet) repeat(random *rand.Rand, body string) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	began, ended := time.Now(), make(chan struct{})
	customer := customers[random.IntN(len(customers))]
	ask := standin.Request{Key: keyOf(customer, keysEach), Body: body, ClientTimeout: patience}
	ask.Route = []peridotpath.RouteName{standin.RouteNonIdempotent, standin.RouteIdempotent, standin.RouteStream}[random.IntN(3)]
	if ask.Route == standin.RouteStream {
		ask.PromptTokens = peridotpath.Tokens(100 + random.IntN(5_000))
	}
	pick := rand.New(rand.NewPCG(random.Uint64(), 0))
	go func() {
		defer close(ended)
		for count := 0; ctx.Err() == nil; count++ {
			ask := ask
			ask.ID = peridotpath.RequestID(fmt.Sprintf("%s-%d", strings.ReplaceAll(body, " ", "-"), count))
			instance := fleet.instances[pick.IntN(len(fleet.instances))]
			fleet.checks.ask(question{Request: ask, Customer: customer, Instance: instance, Sent: time.Now()})
			fleet.task(func() {
				reply, err := standin.Send(context.Background(), &http.Client{Timeout: patience}, instance.Callers, ask)
				if err != nil {
					reply = nil
				}
				fleet.checks.answered(ask.ID, reply)
			})
			time.Sleep(repeatPause)
		}
	}()
	return func() {
		time.Sleep(repeatLeast - time.Since(began))
		cancel()
		<-ended
	}
}

// end ends an endpoint, which is back after a while under its id, as a new start. Its
// entry lapses meanwhile if it is away for long.
func (fleet *fleet) end(ctx context.Context, endpoint *endpoint) {
	endpoint.mutex.Lock()
	if endpoint.down {
		endpoint.mutex.Unlock()
		return
	}
	endpoint.down = true
	endpoint.mutex.Unlock()
	endpoint.proxy.down()
	endpoint.DiscardState()
	away := downLeast + time.Duration(rand.Int64N(int64(downSpread)))
	fleet.task(func() {
		sleep(ctx, min(away, entryLapse))
		if away > entryLapse {
			key, _ := endpoint.Entry(endpoint.at, endpoint.born, false)
			fleet.store.Remove(key)
			sleep(ctx, away-entryLapse)
		}
		if ctx.Err() != nil {
			return
		}
		endpoint.mutex.Lock()
		endpoint.down, endpoint.born = false, time.Now()
		endpoint.mutex.Unlock()
		if err := endpoint.proxy.up(); err != nil {
			panic(err)
		}
		fleet.publish(endpoint)
	})
}

func (endpoint *endpoint) isDown() bool {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	return endpoint.down
}

// sleep pauses until ctx ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// fatalRun notes that an endpoint ends under a fatal body, and finds runs that begin
// though all have to know that it ends endpoints.
func (checks *checks) fatalRun(asked question, seen standin.Execution) {
	ends := checks.ended[seen.Body]
	if len(ends) >= endsForBar && seen.StartedAt.After(ends[endsForBar-1].Add(contact+slack)) && asked.Instance.inTouch(seen.StartedAt) {
		if checks.late[seen.Body]++; checks.late[seen.Body] == spareRuns+1 {
			checks.breaks("%q runs for the %d. time, %v after the third end under it", seen.Body, len(ends)+1, seen.StartedAt.Sub(ends[endsForBar-1]))
		}
	}
	checks.ended[seen.Body] = append(ends, seen.StartedAt)
}
