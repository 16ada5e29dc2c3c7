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
	// A request whose body begins with fatalPrefix crashes every endpoint that executes it.
	fatalPrefix = "fatal"
	// fatalRequestInterval is the time between two requests with the same fatal body.
	fatalRequestInterval = 150 * time.Millisecond
	// minFatalDuration is the shortest time for which requests with a fatal body are sent.
	// It exceeds the time in which every instance must have quarantined the body.
	minFatalDuration = 10 * time.Second
	// A crashed endpoint is down for minDowntime plus a random part of downtimeSpread;
	// entryTTL is the time after the crash at which its store entry expires.
	minDowntime, downtimeSpread = 400 * time.Millisecond, 1200 * time.Millisecond
	entryTTL                    = time.Second
	// crashesToQuarantine is the number of crashes after which instances must quarantine a
	// body. The check tolerates maxQuarantinedRuns further executions of the body.
	crashesToQuarantine, maxQuarantinedRuns = 3, 3
)

func isFatal(body string) bool { return strings.HasPrefix(body, fatalPrefix) }

// repeatFatalRequest sends requests with the fatal body, each with a new request ID and to
// a random instance, until end is called.
func (fleet *fleet) repeatFatalRequest(random *rand.Rand, body string) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	began, ended := time.Now(), make(chan struct{})
	customer := customers[random.IntN(len(customers))]
	request := standin.Request{Key: customerKey(customer, keysPerCustomer), Body: body, ClientTimeout: clientTimeout}
	request.Route = []peridotpath.RouteName{standin.RouteNonIdempotent, standin.RouteIdempotent, standin.RouteStream}[random.IntN(3)]
	if request.Route == standin.RouteStream {
		request.PromptTokens = peridotpath.Tokens(100 + random.IntN(5_000))
	}
	instanceRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
	go func() {
		defer close(ended)
		for count := 0; ctx.Err() == nil; count++ {
			request := request
			request.ID = peridotpath.RequestID(fmt.Sprintf("%s-%d", strings.ReplaceAll(body, " ", "-"), count))
			instance := fleet.instances[instanceRandom.IntN(len(fleet.instances))]
			fleet.runInBackground(func() {
				ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
				defer cancel()
				fleet.checker.recordReply(request.ID, fleet.exchange(ctx, &http.Client{}, instance, customer, request))
			})
			time.Sleep(fatalRequestInterval)
		}
	}()
	return func() {
		time.Sleep(minFatalDuration - time.Since(began))
		cancel()
		<-ended
	}
}

// crashEndpoint takes an endpoint down and restarts it later under the same ID with a new
// start time. Its store entry expires if the downtime exceeds entryTTL.
func (fleet *fleet) crashEndpoint(ctx context.Context, endpoint *endpoint) {
	if !endpoint.takeDown() {
		return
	}
	downtime := minDowntime + time.Duration(rand.Int64N(int64(downtimeSpread)))
	fleet.runInBackground(func() {
		sleep(ctx, min(downtime, entryTTL))
		if downtime > entryTTL {
			key, _ := endpoint.Entry(endpoint.address, endpoint.startedAt, false)
			fleet.store.Remove(key)
			sleep(ctx, downtime-entryTTL)
		}
		if ctx.Err() != nil {
			return
		}
		fleet.startEndpoint(endpoint)
	})
}

// takeDown stops an endpoint and discards its state; false if it was down already.
func (endpoint *endpoint) takeDown() bool {
	endpoint.mutex.Lock()
	wasDown := endpoint.down
	endpoint.down = true
	endpoint.mutex.Unlock()
	if wasDown {
		return false
	}
	endpoint.proxy.stop()
	endpoint.DiscardState()
	return true
}

// startEndpoint starts an endpoint that is down, under its ID with a new start time.
func (fleet *fleet) startEndpoint(endpoint *endpoint) {
	fleet.checker.forgetAnnouncements(endpoint.ID)
	endpoint.mutex.Lock()
	endpoint.down, endpoint.startedAt = false, time.Now()
	endpoint.mutex.Unlock()
	if err := endpoint.proxy.start(); err != nil {
		panic(err)
	}
	fleet.publishEndpoint(endpoint)
}

func (endpoint *endpoint) isDown() bool {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	return endpoint.down
}

// sleep pauses for the span or until ctx ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// recordCrash records that a request crashes an endpoint, and finds runs that begin after every
// instance had to quarantine its cause.
func (checker *checker) recordCrash(sent sentRequest, execution standin.Execution) {
	cause, maxCrashes := crashCause(execution.Body), crashesToQuarantine
	if isFatalPart(execution.Body) {
		maxCrashes = crashesToQuarantinePart
	}
	crashes := checker.crashes[cause]
	if len(crashes) >= maxCrashes && execution.ReceivedAt.After(crashes[maxCrashes-1].Add(settleTime+schedulingSlack)) && sent.Instance.hasSettled(execution.StartedAt) {
		if checker.quarantinedRuns[cause]++; checker.quarantinedRuns[cause] == maxQuarantinedRuns+1 {
			checker.addViolation("%q runs for the %d. time, %v after the %d. end under it", cause, len(crashes)+1, execution.StartedAt.Sub(crashes[maxCrashes-1]), maxCrashes)
		}
	}
	checker.crashes[cause] = append(crashes, execution.StartedAt)
}
