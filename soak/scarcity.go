package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

// scarcityFaults are added to faults by options.isScarce.
var scarcityFaults = []fault{
	{"flood", func(fleet *fleet, random *rand.Rand) func() {
		return fleet.flood(random.IntN(len(fleet.instances)), customers[random.IntN(len(customers))])
	}},
	{"slow_engine", func(fleet *fleet, random *rand.Rand) func() {
		endpoint := fleet.endpoints[random.IntN(engineCount)]
		endpoint.SetSlowdown(2 + random.IntN(6))
		return func() { endpoint.SetSlowdown(1) }
	}},
}

const (
	// floodStreams is the number of concurrent streams of a flood, more than the engines run.
	floodStreams = 96
	// steadyStreams is the number of concurrent streams of the customer beside it.
	steadyStreams = 4
	// minFloodSample is the smallest number of requests of each customer by which they are
	// compared, and minShareOfFlood the smallest share served of the steady customer's, as a part
	// of that of the flooding one.
	minFloodSample  = 40
	minShareOfFlood = 0.5
)

// floodCount counts the streams of one customer.
type floodCount struct {
	mutex            sync.Mutex
	requests, served int
}

func (count *floodCount) record(served bool) {
	count.mutex.Lock()
	defer count.mutex.Unlock()
	count.requests++
	if served {
		count.served++
	}
}

func (count *floodCount) share() float64 {
	return float64(count.served) / float64(max(count.requests, 1))
}

// flood makes one customer send many concurrent streams to an instance, beside a few of another
// customer, until end is called. It then checks that the other one was not served much less often.
func (fleet *fleet) flood(number int, flooding peridotpath.CustomerID) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	began := time.Now()
	var flood, steady floodCount
	var streams sync.WaitGroup
	for i := range floodStreams {
		streams.Go(func() {
			fleet.repeatStream(ctx, number, flooding, fmt.Sprintf("flood-%d-%d", began.UnixNano(), i), &flood)
		})
	}
	for i := range steadyStreams {
		streams.Go(func() {
			fleet.repeatStream(ctx, number, otherCustomer(flooding), fmt.Sprintf("steady-%d-%d", began.UnixNano(), i), &steady)
		})
	}
	return func() {
		cancel()
		streams.Wait()
		if flood.requests < minFloodSample || steady.requests < minFloodSample || steady.share() >= minShareOfFlood*flood.share() {
			return
		}
		fleet.checker.mutex.Lock()
		defer fleet.checker.mutex.Unlock()
		fleet.checker.addViolation("beside a flood at %s %d of %d streams of the other customer were served, and %d of %d of the flood",
			fleet.instances[number].ID, steady.served, steady.requests, flood.served, flood.requests)
	}
}

func otherCustomer(customer peridotpath.CustomerID) peridotpath.CustomerID {
	if customer == customers[0] {
		return customers[1]
	}
	return customers[0]
}

// repeatStream sends one short stream after the other to an instance until ctx ends.
func (fleet *fleet) repeatStream(ctx context.Context, number int, customer peridotpath.CustomerID, prefix string, count *floodCount) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for i := 0; ctx.Err() == nil; i++ {
		id := peridotpath.RequestID(fmt.Sprintf("%s-%d", prefix, i))
		request := standin.Request{
			ID: id, Key: customerKey(customer, keysPerCustomer), Body: "of " + string(id), ClientTimeout: clientTimeout,
			Route: standin.RouteStream, PromptTokens: 1000, Parts: soundParts(id),
		}
		reply := fleet.exchange(ctx, client, fleet.instances[number], customer, request)
		if ctx.Err() != nil {
			return
		}
		fleet.checker.recordReply(id, reply)
		count.record(reply != nil && reply.Status == http.StatusOK && reply.IsComplete)
		if reply == nil || reply.Status != http.StatusOK {
			// A client that repeats at once and often still takes a moment.
			time.Sleep(20 * time.Millisecond)
		}
	}
}
