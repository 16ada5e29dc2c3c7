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
	Pace   clock.Pace
	// Confirmed is called after each look that succeeded.
	Confirmed func()
	Log       zerolog.Logger

	read   keyvalue.Version
	failed bool
}

// Run asks the store whenever the routing has not been confirmed for a while,
// until ctx ends. What a peer has confirmed need not be asked again, so that all
// instances together ask hardly more often than one.
//
// It asks whether what it has still holds, and does not wait for changes: a
// wait that hears nothing does not say that nothing has changed.
func (follower *Follower) Run(ctx context.Context) error {
	for follower.Pace.Wait(ctx, follower.State.Age) {
		err := follower.look(ctx)
		if err == nil {
			follower.Confirmed()
			continue
		}
		if ctx.Err() == nil {
			follower.lost(err)
			clock.Pause(ctx, follower.Pace.Retry)
		}
	}
	return ctx.Err()
}

// HearPeer takes in what a peer has read: it confirms what is in force here, or
// says that there is something newer to be read.
func (follower *Follower) HearPeer(version peridotpath.RoutingVersion, confirmed time.Duration) {
	table := follower.State.Current()
	switch {
	case table != nil && table.Routing.Version == version:
		follower.State.Confirm(version, confirmed)
	case table == nil && version > 0, table != nil && table.Routing.Version < version:
		follower.Pace.Wake()
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
