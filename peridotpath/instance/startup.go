package instance

import (
	"context"
	"time"

	"peridotpath.example/peridotpath/clock"
)

// startup tracks the phase from the start of an instance until it holds the routing and the
// endpoints that it needs to serve requests. Set the exported fields before Run.
type startup struct {
	// HasRouting reports whether the routing was read, HasRoutingAndEndpoints whether both
	// were, and StoreFailing whether the store is unreachable, so that neither is read
	// soon.
	HasRouting, HasRoutingAndEndpoints, StoreFailing func() bool

	// routingReady is closed when the routing was read or startup ended without it,
	// finished when startup ended.
	routingReady, finished chan struct{}
}

func newStartup(hasRouting, hasRoutingAndEndpoints, storeFailing func() bool) *startup {
	return &startup{
		HasRouting: hasRouting, HasRoutingAndEndpoints: hasRoutingAndEndpoints, StoreFailing: storeFailing,
		routingReady: make(chan struct{}), finished: make(chan struct{}),
	}
}

const (
	// maxStartupTime bounds the phase. A longer startup may never end, so requests stop
	// waiting for it.
	maxStartupTime = 2 * time.Second
	// startupPollInterval is the interval at which the state is polled.
	startupPollInterval = 10 * time.Millisecond
)

// Run closes the channels when startup ends, and then waits until ctx ends.
func (startup *startup) Run(ctx context.Context) error {
	startedAt := time.Now()
	waitMore := func() bool {
		return !startup.StoreFailing() && time.Since(startedAt) < maxStartupTime && clock.SleepContext(ctx, startupPollInterval)
	}
	for !startup.HasRouting() && waitMore() {
	}
	close(startup.routingReady)
	for !startup.HasRoutingAndEndpoints() && waitMore() {
	}
	close(startup.finished)
	<-ctx.Done()
	return ctx.Err()
}

// awaitEnd waits until startup has ended, for limit at most.
func (startup *startup) awaitEnd(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-startup.finished:
	case <-ctx.Done():
	}
}
