package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

const (
	// The load is 60 streams, 40 idempotent and 40 other calls a second, at all instances together.
	silenceLoadRate = 140
	// silenceTimeout is how long its clients wait: longer than any silence of these tests by far.
	silenceTimeout = 6 * time.Second
	// shortSilence and longSilence are how long endpoints are silent. An instance takes its links
	// for lost after 0.3 s, and the endpoints are back before any client leaves.
	shortSilence, longSilence = 1200 * time.Millisecond, 1400 * time.Millisecond
)

// routesOfLoad are the routes of the load, in turn.
var routesOfLoad = []peridotpath.RouteName{
	standin.RouteStream, standin.RouteIdempotent, standin.RouteStream, standin.RouteNonIdempotent, standin.RouteStream, standin.RouteIdempotent, standin.RouteNonIdempotent,
}

// endCount counts how the requests of a route ended.
type endCount struct {
	sent, served, badGateway, gatewayTimeout, refused, broken, unanswered int
}

func (count *endCount) add(reply *standin.Reply) {
	count.sent++
	switch {
	case reply == nil:
		count.unanswered++
	case !reply.IsComplete:
		count.broken++
	case reply.Status == http.StatusOK:
		count.served++
	case reply.Status == http.StatusBadGateway:
		count.badGateway++
	case reply.Status == http.StatusGatewayTimeout:
		count.gatewayTimeout++
	default:
		count.refused++
	}
}

func (count *endCount) String() string {
	return fmt.Sprintf("%d sent, %d served, %d at 502, %d at 504, %d refused otherwise, %d broken off, %d without an answer",
		count.sent, count.served, count.badGateway, count.gatewayTimeout, count.refused, count.broken, count.unanswered)
}

// silenceLoad sends requests of all kinds to the instances in turn, at a constant rate and over
// kept connections, and counts how they ended. None is tried again.
type silenceLoad struct {
	name    string
	mutex   sync.Mutex
	counts  map[peridotpath.RouteName]*endCount
	running sync.WaitGroup
}

// run sends requests until ctx ends, and waits for those under way.
func (load *silenceLoad) run(ctx context.Context, fleet *fleet) {
	ticker := time.NewTicker(time.Second / silenceLoadRate)
	defer ticker.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: silenceLoadRate}}
	defer client.CloseIdleConnections()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			load.running.Wait()
			return
		case <-ticker.C:
			load.running.Go(func() { load.send(fleet, client, number) })
		}
	}
}

func (load *silenceLoad) send(fleet *fleet, client *http.Client, number int) {
	id := peridotpath.RequestID(fmt.Sprintf("%s-%d", load.name, number))
	request := standin.Request{
		ID: id, Route: routesOfLoad[number%len(routesOfLoad)], Key: customerKey(customers[0], 1), Body: "of " + string(id), ClientTimeout: silenceTimeout,
	}
	if request.Route == standin.RouteStream {
		request.PromptTokens, request.Parts = peridotpath.Tokens(100+number%4000), soundParts(id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), silenceTimeout+2*time.Second)
	defer cancel()
	reply := fleet.exchange(ctx, client, fleet.instances[number%len(fleet.instances)], customers[0], request)
	fleet.checker.recordReply(id, reply)
	load.mutex.Lock()
	defer load.mutex.Unlock()
	if load.counts[request.Route] == nil {
		load.counts[request.Route] = &endCount{}
	}
	load.counts[request.Route].add(reply)
}

// waves silences groups of endpoints in turn: each for a silence in every interval.
func (fleet *fleet) waves(ctx context.Context, silence, interval time.Duration, groups ...[]*endpoint) {
	for _, group := range groups {
		fleet.silenceFor(ctx, group, silence)
		sleep(ctx, interval-silence)
	}
}

// Sound endpoints answer nothing for a second and go on, beside changes of the configuration: each
// request that has the time for it gets its answer or a refusal. An instance that gives an attempt
// up for the silence of its endpoint, and then finds no other way, breaks streams off and answers
// 502.
func TestSilentEndpoints(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	fleet, err := buildFleet(ctx, buildPeridotd(t), t.TempDir(), dataCentres)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { fleet.close(cancel) })
	if !fleet.eventually(startTimeout, fleet.allReady) {
		t.Fatal("the instances are not ready")
	}
	all := fleet.endpoints
	engines, plain := all[:engineCount], all[engineCount:]
	// The halves are two data centres, all plain endpoints with one engine, and the other engines.
	halves := [][]*endpoint{neighboursOf(all[0], all), slices.Concat(plain, engines[:1]), neighboursOf(all[1], all), engines[1:]}
	tests := []struct {
		name              string
		silence, interval time.Duration
		groups            [][]*endpoint
		beside            func(ctx context.Context)
	}{
		{"all beside reloads", shortSilence, 4 * time.Second, [][]*endpoint{all, all, all}, fleet.repeatReloads},
		{"half beside versions", longSilence, 1700 * time.Millisecond, slices.Repeat(halves, 2), fleet.repeatVersions},
		{"one in turn beside versions", shortSilence, shortSilence, [][]*endpoint{all[:1], all[1:2], all[2:3], all[3:4], all[4:5], all[5:]}, fleet.repeatVersions},
		{"all beside changes of each kind", shortSilence, 3 * time.Second, [][]*endpoint{all, all, all}, fleet.repeatRoutingChanges},
	}
	for number, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fleet.playSilence(t, fmt.Sprintf("silence%d", number), func(ctx context.Context) {
				fleet.waves(ctx, test.silence, test.interval, test.groups...)
			}, test.beside)
		})
	}
}

// playSilence silences endpoints under the load, beside something else that repeats, and checks how
// all requests ended.
func (fleet *fleet) playSilence(t *testing.T, name string, silence, beside func(ctx context.Context)) {
	t.Helper()
	load := &silenceLoad{name: name, counts: map[peridotpath.RouteName]*endCount{}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { load.run(ctx, fleet) })
	sleep(ctx, time.Second)
	running.Go(func() { beside(ctx) })
	silence(ctx)
	cancel()
	running.Wait()
	for route, count := range load.counts {
		t.Logf("%s: %s", route, count)
		if float64(count.served) < minServedShare*float64(count.sent) {
			t.Errorf("%s: %d of %d served, want %.2f at least", route, count.served, count.sent, minServedShare)
		}
	}
	violations := fleet.checker.takeViolations()
	t.Logf("%d requests were dealt with otherwise than promised", len(violations))
	for _, violation := range violations[:min(len(violations), 10)] {
		t.Error(violation)
	}
}

// takeViolations returns the violations since its last call.
func (checker *checker) takeViolations() []string {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	violations := checker.violations
	checker.violations = nil
	return violations
}
