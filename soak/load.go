package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

const (
	clientCount = 24
	// thinkTime is the longest pause between two requests of a client.
	thinkTime = 60 * time.Millisecond
	patience  = 4 * time.Second
)

// client asks one request after the other, at the instances that say that they
// are ready, and keeps its connection until the instance closes it or is gone.
func (fleet *fleet) client(ctx context.Context, number int, random *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for count := 0; ctx.Err() == nil; count++ {
		fleet.request(ctx, client, random, peridotpath.RequestID(fmt.Sprintf("c%d-%d", number, count)))
		time.Sleep(time.Duration(random.Int64N(int64(thinkTime))))
	}
}

// probe asks an instance once with a key, and returns the status; zero for no answer.
func (fleet *fleet) probe(ctx context.Context, instance *instance, customer peridotpath.CustomerID, key peridotpath.APIKey) int {
	fleet.probes.Add(1)
	id := peridotpath.RequestID(fmt.Sprintf("probe-%d", fleet.probes.Load()))
	ask := standin.Request{ID: id, Key: key, Body: "of " + string(id), ClientTimeout: patience, Route: standin.RouteIdempotent}
	fleet.checks.ask(question{Request: ask, Customer: customer, Instance: instance, Sent: time.Now()})
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	reply, err := standin.Send(ctx, &http.Client{Transport: transport}, instance.Callers, ask)
	if err != nil {
		return 0
	}
	return reply.Status
}

func (fleet *fleet) request(ctx context.Context, client *http.Client, random *rand.Rand, id peridotpath.RequestID) {
	customer := customers[random.IntN(len(customers))]
	ask := standin.Request{ID: id, Key: keyOf(customer, 1+random.IntN(keysEach)), Body: "of " + string(id), ClientTimeout: patience}
	switch random.IntN(3) {
	case 0:
		ask.Route = standin.RouteNonIdempotent
	case 1:
		ask.Route = standin.RouteIdempotent
	default:
		ask.Route, ask.PromptTokens = standin.RouteStream, peridotpath.Tokens(100+random.IntN(5_000))
		if random.IntN(20) == 0 {
			// More than one engine holds.
			ask.PromptTokens = 150_000
		}
	}
	instance := fleet.instances[random.IntN(len(fleet.instances))]
	fleet.checks.ask(question{Request: ask, Customer: customer, Instance: instance, Sent: time.Now()})
	ctx, cancel := context.WithTimeout(ctx, patience+2*time.Second)
	defer cancel()
	if random.IntN(30) == 0 {
		// The caller leaves.
		time.AfterFunc(time.Duration(random.IntN(80))*time.Millisecond, cancel)
	}
	reply, err := standin.Send(ctx, client, instance.Callers, ask)
	if err != nil {
		reply = nil
	}
	fleet.checks.answered(id, reply)
}
