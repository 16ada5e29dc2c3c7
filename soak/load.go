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
	// maxThinkTime bounds the pause between two requests of a client.
	maxThinkTime  = 60 * time.Millisecond
	clientTimeout = 4 * time.Second
)

// runClient sends requests one after the other, each to a random instance, and keeps its
// connections until the instance closes them.
func (fleet *fleet) runClient(ctx context.Context, number int, random *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for count := 0; ctx.Err() == nil; count++ {
		fleet.sendRequest(ctx, client, random, peridotpath.RequestID(fmt.Sprintf("c%d-%d", number, count)))
		time.Sleep(time.Duration(random.Int64N(int64(maxThinkTime))))
	}
}

// sendProbe sends one request with a key to an instance, and returns the status, or zero
// if there was no answer.
func (fleet *fleet) sendProbe(ctx context.Context, instance *instance, customer peridotpath.CustomerID, key peridotpath.APIKey) int {
	fleet.probeCount.Add(1)
	id := peridotpath.RequestID(fmt.Sprintf("probe-%d", fleet.probeCount.Load()))
	request := standin.Request{ID: id, Key: key, Body: "of " + string(id), ClientTimeout: clientTimeout, Route: standin.RouteIdempotent}
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	reply := fleet.exchange(ctx, &http.Client{Transport: transport}, instance, customer, request)
	if reply == nil {
		return 0
	}
	return reply.Status
}

func (fleet *fleet) sendRequest(ctx context.Context, client *http.Client, random *rand.Rand, id peridotpath.RequestID) {
	customer := customers[random.IntN(len(customers))]
	request := standin.Request{ID: id, Key: customerKey(customer, 1+random.IntN(keysPerCustomer)), Body: "of " + string(id), ClientTimeout: clientTimeout}
	switch random.IntN(3) {
	case 0:
		request.Route = standin.RouteNonIdempotent
	case 1:
		request.Route = standin.RouteIdempotent
	default:
		request.Route, request.PromptTokens = standin.RouteStream, peridotpath.Tokens(100+random.IntN(5_000))
		request.Parts = soundParts(id)
		if random.IntN(20) == 0 {
			// This prompt exceeds the KV memory of one engine.
			request.PromptTokens = 150_000
		}
	}
	instance := fleet.instances[random.IntN(len(fleet.instances))]
	ctx, cancel := context.WithTimeout(ctx, clientTimeout+2*time.Second)
	defer cancel()
	if random.IntN(30) == 0 {
		// The client disconnects.
		time.AfterFunc(time.Duration(random.IntN(80))*time.Millisecond, cancel)
	}
	if fleet.callersLeave && random.IntN(2) == 0 {
		defer time.AfterFunc(randomPatience(random), cancel).Stop()
	}
	fleet.checker.recordReply(id, fleet.exchange(ctx, client, instance, customer, request))
}
