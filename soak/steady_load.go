package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

const (
	// triesPerSecond is the rate of the first tries that steadyLoad sends to each instance.
	triesPerSecond = 120
	// steadyTimeout is how long its clients wait. It is shorter than a cut, so that a request that
	// is held until the end of the cut counts as not served.
	steadyTimeout = 1500 * time.Millisecond
)

// try is a first try of a request at an instance.
type try struct {
	id       peridotpath.RequestID
	instance int
	sentAt   time.Time
	served   bool
	// status is the status of the answer; zero if there was none.
	status int
}

// steadyLoad sends requests of all kinds to each instance at a constant rate and records how they
// ended. None is tried again.
type steadyLoad struct {
	mutex   sync.Mutex
	tries   []try
	running sync.WaitGroup
}

// run sends requests until ctx ends, and waits for those under way.
func (load *steadyLoad) run(ctx context.Context, fleet *fleet) {
	ticker := time.NewTicker(time.Second / triesPerSecond)
	defer ticker.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientCount}}
	defer client.CloseIdleConnections()
	for count := 0; ; count++ {
		select {
		case <-ctx.Done():
			load.running.Wait()
			return
		case <-ticker.C:
			for number := range fleet.instances {
				load.running.Go(func() { load.send(fleet, client, number, count) })
			}
		}
	}
}

func (load *steadyLoad) send(fleet *fleet, client *http.Client, number, count int) {
	id := peridotpath.RequestID(fmt.Sprintf("steady%d-%d", number, count))
	request := standin.Request{ID: id, Key: customerKey(customers[0], 1), Body: "of " + string(id), ClientTimeout: steadyTimeout}
	switch count % 3 {
	case 0:
		request.Route = standin.RouteNonIdempotent
	case 1:
		request.Route = standin.RouteIdempotent
	default:
		request.Route, request.PromptTokens = standin.RouteStream, peridotpath.Tokens(100+count%4000)
		request.Parts = soundParts(id)
	}
	instance, sentAt := fleet.instances[number], time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), steadyTimeout)
	defer cancel()
	reply := fleet.exchange(ctx, client, instance, customers[0], request)
	fleet.checker.recordReply(id, reply)
	result := try{id: id, instance: number, sentAt: sentAt}
	if reply != nil {
		result.served, result.status = reply.Status == http.StatusOK && reply.IsComplete, reply.Status
	}
	load.mutex.Lock()
	defer load.mutex.Unlock()
	load.tries = append(load.tries, result)
}

// between returns the tries that were sent in a span at the instances, and those of them that were
// not served.
func (load *steadyLoad) between(from, to time.Time, isCounted func(instance int) bool) (sent, failed []try) {
	load.mutex.Lock()
	defer load.mutex.Unlock()
	for _, try := range load.tries {
		if !isCounted(try.instance) || try.sentAt.Before(from) || !try.sentAt.Before(to) {
			continue
		}
		sent = append(sent, try)
		if !try.served {
			failed = append(failed, try)
		}
	}
	return sent, failed
}
