package instance

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/clock"
)

const (
	// pauseTick is how often an instance looks whether it stood still, pauseLeast the least
	// time that counts.
	pauseTick  = 200 * time.Millisecond
	pauseLeast = 300 * time.Millisecond
)

// pauses logs when the process did not run: it was stopped, its machine was suspended, or
// its share of the processor was used up. What was late then was held by nobody.
type pauses struct {
	// Now goes on while the machine is suspended.
	Now func() time.Duration
	Log zerolog.Logger
}

// Run looks until ctx ends.
func (pauses *pauses) Run(ctx context.Context) error {
	last := pauses.Now()
	for clock.Pause(ctx, pauseTick) {
		now := pauses.Now()
		if still := now - last - pauseTick; still >= pauseLeast {
			pauses.Log.Warn().Dur("span", still).Msg("paused")
		}
		last = now
	}
	return ctx.Err()
}
