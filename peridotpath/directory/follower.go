package directory

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
)

// Follower keeps a Directory up to date with the store. Set the exported fields
// before Run.
type Follower struct {
	Directory *Directory
	// List reads every endpoint's entry.
	List     func(ctx context.Context) ([]peridotpath.Endpoint, error)
	Interval time.Duration
	Log      zerolog.Logger

	failed bool
}

// Run reads the store at each interval until ctx ends. When a reading fails the
// last one stays: the store may be away, and endpoints outlive that.
func (follower *Follower) Run(ctx context.Context) error {
	for {
		wait := follower.Interval
		endpoints, err := follower.List(ctx)
		switch {
		case err == nil:
			follower.Directory.Apply(endpoints, time.Now())
			follower.failed = false
		case ctx.Err() == nil:
			wait /= 2
			if !follower.failed {
				follower.failed = true
				follower.Log.Warn().Err(err).Msg("endpoints_unread")
			}
		}
		if !clock.Pause(ctx, wait) {
			return ctx.Err()
		}
	}
}
