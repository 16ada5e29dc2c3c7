package main

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// activePollInterval is how often the stop checks for requests in flight.
const activePollInterval = 20 * time.Millisecond

// gracefulStop shuts an instance down gracefully. It interrupts no request and takes until
// the last one has ended, which its deadline bounds.
type gracefulStop struct {
	// BalancerNotice is how long the load balancer needs to detect that the instance is not ready.
	BalancerNotice time.Duration
	// PeerHandover is how long peers may still fetch state from this instance.
	PeerHandover time.Duration

	SetNotReady    func()
	ActiveRequests func() int64
	// CloseCallers stops accepting connections and waits for those in use.
	CloseCallers func(ctx context.Context) error
	// CloseClaims waits, for a bounded time, until the outcomes of claims are recorded.
	CloseClaims func() error
	ClosePeers  func(ctx context.Context) error
}

// run executes the steps of the stop in order; a step that fails does not skip the rest.
//
// New connections are served until the load balancer has detected the stop: refused
// ones would have succeeded at another instance. Requests in flight are finished before
// the claims are closed: the outcome of a request that ends later could not be recorded
// under its idempotency key. The peer listener closes last, since peers fetch state from
// it until they have taken over the callers.
func (stop *gracefulStop) run(ctx context.Context) error {
	stop.SetNotReady()
	time.Sleep(stop.BalancerNotice)
	err := stop.CloseCallers(ctx)
	for stop.ActiveRequests() > 0 {
		time.Sleep(activePollInterval)
	}
	err = errs.Combine(err, stop.CloseClaims())
	time.Sleep(stop.PeerHandover)
	return errs.Combine(err, stop.ClosePeers(ctx))
}
