package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

const (
	// leavingRate is the number of requests a second at each instance whose callers leave early.
	leavingRate = 20
	// afterCut is the time after a cut in which what the kernel kept would arrive.
	afterCut = 3 * time.Second
)

// leaveEarly sends requests that may be repeated to each instance until ctx ends, each on a
// connection of its own that its caller closes after a while.
func (fleet *fleet) leaveEarly(ctx context.Context, run *cutOffRun) {
	random := rand.New(rand.NewPCG(58, 0))
	ticker := time.NewTicker(time.Second / leavingRate)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for number, instance := range fleet.instances {
			id := peridotpath.RequestID(fmt.Sprintf("leaving%d-%d", number, count))
			request := standin.Request{ID: id, Key: customerKey(customers[0], 1), Body: "of " + string(id), ClientTimeout: clientTimeout, Route: standin.RouteIdempotent}
			if count%2 == 0 {
				request.Route, request.PromptTokens, request.Parts = standin.RouteStream, 2000, soundParts(id)
			}
			patience := randomPatience(random)
			run.load.running.Go(func() {
				ctx, leave := context.WithTimeout(context.Background(), patience)
				defer leave()
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				fleet.checker.recordReply(id, fleet.exchange(ctx, client, instance, customers[0], request))
			})
		}
	}
}

// Callers leave while the links of their instances are cut. As the links are back, endpoints receive
// their requests, all at once, and work for nobody.
func TestNothingArrivesForCallersThatLeftInACut(t *testing.T) {
	run := startCutOffRun(t)
	// Only callers that leave are needed. More load would keep this process, which tells the times,
	// from running.
	run.stopLoad()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		run.fleet.leaveEarly(ctx, run)
		close(ended)
	}()
	for _, story := range []struct {
		name      string
		instances []int
		spans     []time.Duration
	}{
		{"one of three for 4 s", []int{0}, []time.Duration{4 * time.Second}},
		{"all for 4 s", []int{0, 1, 2}, []time.Duration{4 * time.Second}},
		{"two of three for 1 s, three times", []int{0, 1}, []time.Duration{time.Second, time.Second, time.Second}},
	} {
		before, _, _ := run.fleet.checker.summary()
		for _, span := range story.spans {
			end := run.fleet.cutOff(linkCut, story.instances...)
			time.Sleep(span)
			end()
			time.Sleep(afterCut)
		}
		after, _, _ := run.fleet.checker.summary()
		t.Logf("%s: %d violations, %d callers have left", story.name, len(after)-len(before), run.fleet.checker.leftCount())
	}
	stop()
	<-ended
	run.stopLoad()
	run.checkPromises(t)
	if run.fleet.checker.leftCount() == 0 {
		t.Error("no caller has left")
	}
}

// leftCount returns the number of clients that have left.
func (checker *checker) leftCount() int {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	return len(checker.leftAt)
}
