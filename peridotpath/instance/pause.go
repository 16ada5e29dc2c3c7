package instance

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/clock"
)

const (
	// pauseCheckInterval is the interval at which pauses are detected, minLoggedPause the
	// shortest one that is logged.
	pauseCheckInterval = 200 * time.Millisecond
	minLoggedPause     = 300 * time.Millisecond
)

// pauseDetector logs when the process did not run because it was stopped, its machine was
// suspended, or its CPU quota was used up, so that delays of that time are not attributed to
// a busy instance.
type pauseDetector struct {
	// Now returns the time since boot, which advances while the machine is suspended.
	Now func() time.Duration
	Log zerolog.Logger
}

// Run detects pauses until ctx ends.
func (detector *pauseDetector) Run(ctx context.Context) error {
	last := detector.Now()
	for clock.SleepContext(ctx, pauseCheckInterval) {
		now := detector.Now()
		if paused := now - last - pauseCheckInterval; paused >= minLoggedPause {
			detector.Log.Warn().Dur("span", paused).Msg("paused")
		}
		last = now
	}
	return ctx.Err()
}
