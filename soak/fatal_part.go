package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

const (
	// A request whose body begins with fatalPartPrefix has a part in its prompt that crashes every
	// endpoint which begins to answer it. The body continues with the part and a number.
	fatalPartPrefix = fatalPrefix + "-part "
	// fatalPartInterval is the time between two requests with the same fatal part.
	fatalPartInterval = 250 * time.Millisecond
	// crashesToQuarantinePart is the number of crashes after which instances must quarantine a part.
	crashesToQuarantinePart = 5
	// commonParts is the number of parts that sound prompts share.
	commonParts = 8
)

// partFaults are added to faults by options.fatalParts.
var partFaults = []fault{
	{"fatal_part", func(fleet *fleet, random *rand.Rand) func() {
		return fleet.repeatFatalPart(random, fmt.Sprintf("fa%x", random.Uint32()))
	}},
}

func isFatalPart(body string) bool { return strings.HasPrefix(body, fatalPartPrefix) }

// crashCause returns what crashes endpoints in a request with a fatal body: the part, or all of
// the body.
func crashCause(body string) string {
	if rest, isPart := strings.CutPrefix(body, fatalPartPrefix); isPart {
		part, _, _ := strings.Cut(rest, " ")
		return fatalPartPrefix + part
	}
	return body
}

// soundParts returns the parts of a sound prompt: one that all have, one of commonParts, and one
// of its own.
func soundParts(id peridotpath.RequestID) string {
	hash := fnv.New32()
	_, _ = hash.Write([]byte(id))
	return fmt.Sprintf("c0:100,d%x:50,%x:10", hash.Sum32()%commonParts, hash.Sum32())
}

// repeatFatalPart sends requests with a fatal part, no two alike, each to a random instance,
// until end is called.
func (fleet *fleet) repeatFatalPart(random *rand.Rand, part string) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	began, ended := time.Now(), make(chan struct{})
	customer := customers[random.IntN(len(customers))]
	instanceRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
	go func() {
		defer close(ended)
		for count := 0; ctx.Err() == nil; count++ {
			id := peridotpath.RequestID(fmt.Sprintf("%s-%d", part, count))
			fleet.sendFatalPart(fleet.instances[instanceRandom.IntN(len(fleet.instances))], customer, standin.Request{
				ID: id, Route: standin.RouteStream, Key: customerKey(customer, keysPerCustomer), Body: fmt.Sprintf("%s%s %d", fatalPartPrefix, part, count),
				PromptTokens: peridotpath.Tokens(100 + 37*count), Parts: fmt.Sprintf("c0:100,%s:70,d%x:50,%x:10", part, count%commonParts, count), ClientTimeout: clientTimeout,
			})
			time.Sleep(fatalPartInterval)
		}
	}()
	return func() {
		time.Sleep(minFatalDuration - time.Since(began))
		cancel()
		<-ended
	}
}

func (fleet *fleet) sendFatalPart(instance *instance, customer peridotpath.CustomerID, request standin.Request) {
	fleet.runInBackground(func() {
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
		defer cancel()
		fleet.checker.recordReply(request.ID, fleet.exchange(ctx, &http.Client{Transport: transport}, instance, customer, request))
	})
}
