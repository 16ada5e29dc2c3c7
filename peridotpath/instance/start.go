package instance

import (
	"context"
	"time"

	"peridotpath.example/peridotpath/clock"
)

// start is the time from the start of an instance until it knows what it needs to
// serve. Set the exported fields before Run.
type start struct {
	// Routed reports whether the routing is known, Known whether all is, Failing that it
	// will not be soon.
	Routed, Known, Failing func() bool

	routed, over chan struct{}
}

func newStart(routed, known, failing func() bool) *start {
	return &start{Routed: routed, Known: known, Failing: failing, routed: make(chan struct{}), over: make(chan struct{})}
}

const (
	// startLimit is how long a start may take; one that takes longer has no end in
	// sight.
	startLimit = 2 * time.Second
	// startPoll is how often it is looked whether the start is over.
	startPoll = 10 * time.Millisecond
)

// Run ends the start when it is over, and waits for ctx's end.
func (start *start) Run(ctx context.Context) error {
	began := time.Now()
	pending := func() bool {
		return !start.Failing() && time.Since(began) < startLimit && clock.Pause(ctx, startPoll)
	}
	for !start.Routed() && pending() {
	}
	close(start.routed)
	for !start.Known() && pending() {
	}
	close(start.over)
	<-ctx.Done()
	return ctx.Err()
}
