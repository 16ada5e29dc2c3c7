package routing

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
)

// Follower keeps a State up to date with the store. Set the exported fields
// before Run.
type Follower struct {
	State *State
	// Key is where the routing lies, and Decode reads it.
	Key    string
	Decode func(value []byte) (*peridotpath.Routing, error)
	Check  func(ctx context.Context, key string, expect keyvalue.Version) (keyvalue.Entry, bool, error)
	// Interval is the time between two looks at the store.
	Interval time.Duration
	Log      zerolog.Logger

	read   keyvalue.Version
	failed bool
}

// Run asks the store at each interval until ctx ends.
//
// It asks whether what it has still holds, and does not wait for changes: a
// wait that hears nothing does not say that nothing has changed.
func (follower *Follower) Run(ctx context.Context) error {
	for {
		wait := follower.Interval
		if err := follower.look(ctx); err != nil && ctx.Err() == nil {
			// The next look comes sooner, since keys stop working without one.
			wait /= 2
			follower.lost(err)
		}
		if !clock.Pause(ctx, wait) {
			return ctx.Err()
		}
	}
}

func (follower *Follower) lost(err error) {
	if !follower.failed {
		follower.failed = true
		follower.Log.Warn().Err(err).Dur("routing_age", follower.State.Age()).Msg("routing_unconfirmed")
	}
}

// look asks once. The time before the question counts: an answer says nothing
// of what happened after the store gave it, however long it was on its way.
func (follower *Follower) look(ctx context.Context) error {
	asked := follower.State.Now()
	entry, changed, err := follower.Check(ctx, follower.Key, follower.read)
	if err != nil {
		return err
	}
	if follower.failed {
		follower.failed = false
		follower.Log.Info().Dur("routing_age", follower.State.Age()).Msg("routing_confirmed_again")
	}
	if !changed {
		if table := follower.State.Current(); table != nil {
			follower.State.Confirm(table.Routing.Version, asked)
		}
		return nil
	}
	if entry.Version == 0 || len(entry.Value) == 0 {
		// There is none yet, or it was taken away; what is in force stays so,
		// unconfirmed.
		follower.read = entry.Version
		return nil
	}
	routing, err := follower.Decode(entry.Value)
	if err != nil {
		return err
	}
	follower.read = entry.Version
	follower.State.Apply(routing, asked)
	return nil
}
