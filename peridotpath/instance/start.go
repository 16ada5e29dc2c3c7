package instance

import (
	"context"
	"time"

	"peridotpath.example/peridotpath/clock"
)

// start is the time from the start of an instance until it knows what it needs to
// serve. Set the exported fields before Run.
type start struct {
	// Known reports whether all of it is known, Failing that it will not be soon.
	Known, Failing func() bool

	over chan struct{}
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
	for !start.Known() && !start.Failing() && time.Since(began) < startLimit && clock.Pause(ctx, startPoll) {
	}
	close(start.over)
	<-ctx.Done()
	return ctx.Err()
}
