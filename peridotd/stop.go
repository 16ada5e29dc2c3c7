package main

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// activePoll is how often a stop looks whether requests are still served.
const activePoll = 20 * time.Millisecond

// plannedStop is the order in which an instance ends. It cuts nothing off: it
// takes as long as the requests that run, each of which ends by its deadline.
type plannedStop struct {
	// Notice is what the balancer needs to see that the instance is not ready.
	Notice time.Duration
	// Handover is how long other instances may still ask for what this one knows.
	Handover time.Duration

	TurnNotReady func()
	Active       func() int64
	// CloseCallers accepts nothing more and waits for the connections in use.
	CloseCallers func(ctx context.Context) error
	// CloseClaims waits until the ends of claims are recorded, within a bound.
	CloseClaims func() error
	ClosePeers  func(ctx context.Context) error
}

// run stops. First the balancer must notice, while callers that still come are
// served: closed at once, the instance would refuse connections that another one
// could have taken. Then what runs is finished. Only then are the claims closed:
// a call that ended later would leave its key's outcome unknown. The peers' side
// ends last, since others learn from it until the balancer's callers are theirs.
// An error of one step keeps none of the others from being taken.
func (stop *plannedStop) run(ctx context.Context) error {
	stop.TurnNotReady()
	time.Sleep(stop.Notice)
	err := stop.CloseCallers(ctx)
	for stop.Active() > 0 {
		time.Sleep(activePoll)
	}
	err = errs.Combine(err, stop.CloseClaims())
	time.Sleep(stop.Handover)
	return errs.Combine(err, stop.ClosePeers(ctx))
}
