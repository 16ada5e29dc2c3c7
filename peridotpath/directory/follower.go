package directory

import (
	"context"
	"math"
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
	List func(ctx context.Context) ([]peridotpath.Endpoint, error)
	// Now goes on while the machine is suspended.
	Now  func() time.Duration
	Pace clock.Pace
	// Confirmed is called after each reading that succeeded.
	Confirmed func()
	Log       zerolog.Logger

	failed bool
}

// Run reads the store whenever the last reading, here or at a peer that read the
// same, is old, until ctx ends. When a reading fails the last one stays: the
// store may be away, and endpoints outlive that.
func (follower *Follower) Run(ctx context.Context) error {
	for follower.Pace.Wait(ctx, follower.due) {
		asked := follower.Now()
		endpoints, err := follower.List(ctx)
		if err == nil {
			follower.Directory.Apply(endpoints, asked)
			follower.Confirmed()
			follower.failed = false
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if !follower.failed {
			follower.failed = true
			follower.Log.Warn().Err(err).Dur("age", follower.Age()).Msg("endpoints_unread")
		}
		clock.Pause(ctx, follower.Pace.Retry)
	}
	return ctx.Err()
}

// due is the age that decides about the next reading.
func (follower *Follower) due() time.Duration {
	if follower.Directory.Overdue(follower.Now()) {
		return math.MaxInt64
	}
	return follower.Age()
}

// Age returns how long ago the last reading was known to be the newest.
func (follower *Follower) Age() time.Duration { return follower.Now() - follower.Directory.ReadAt() }

// HearPeer takes in what a peer has read: it confirms what was read here, or
// says that there is something newer.
func (follower *Follower) HearPeer(content uint64, confirmed time.Duration) {
	if content == 0 {
		return
	}
	follower.Directory.Seen(confirmed)
	switch {
	case content == follower.Directory.Content():
		follower.Directory.Confirm(content, confirmed)
	case confirmed > follower.Directory.ReadAt():
		follower.Pace.Wake()
	}
}
