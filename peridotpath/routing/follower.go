package routing

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/readings"
)

// Follower keeps a State up to date with the store. Set the exported fields
// before Run.
type Follower struct {
	State *State
	// Key is where the routing lies, and Decode reads it.
	Key    string
	Decode func(value []byte) (*peridotpath.Routing, error)
	Check  func(ctx context.Context, key string, expect keyvalue.Version) (keyvalue.Entry, bool, error)
	// Ask asks a peer for what it has read.
	Ask  func(ctx context.Context, peer netip.AddrPort) (readings.Routing, error)
	Pace clock.Pace
	// Confirmed is called after each look that succeeded.
	Confirmed func()
	Log       zerolog.Logger

	failed bool
	newer  readings.Newer

	mutex sync.Mutex
	// read and value are what was read last, routing its version.
	read    keyvalue.Version
	value   []byte
	routing peridotpath.RoutingVersion
}

// Run asks the store whenever the routing has not been confirmed for a while,
// until ctx ends. What a peer has confirmed need not be asked again, so that all
// instances together ask hardly more often than one.
//
// It asks whether what it has still holds, and does not wait for changes: a
// wait that hears nothing does not say that nothing has changed.
func (follower *Follower) Run(ctx context.Context) error {
	for follower.Pace.Wait(ctx, follower.State.Age) {
		if follower.askPeer(ctx) {
			continue
		}
		err := follower.look(ctx)
		if err == nil {
			follower.Pace.Found(follower.State.Current() != nil)
			follower.Confirmed()
			continue
		}
		if ctx.Err() == nil {
			follower.lost(err)
			follower.Pace.Rest(ctx)
		}
	}
	return ctx.Err()
}

// HearPeer takes in what a peer has read: it confirms what is in force here, or
// says that there is something newer to be read.
func (follower *Follower) HearPeer(peer netip.AddrPort, version peridotpath.RoutingVersion, confirmed time.Duration) {
	table := follower.State.Current()
	switch {
	case table != nil && table.Routing.Version == version:
		follower.State.Confirm(version, confirmed)
	case table == nil && version > 0, table != nil && table.Routing.Version < version:
		follower.newer.Note(peer)
		follower.Pace.Wake()
	}
}

// Last returns what was read last, for peers; false before the first reading.
func (follower *Follower) Last() (readings.Routing, bool) {
	follower.mutex.Lock()
	reading, version := readings.Routing{Version: follower.read, Value: follower.value}, follower.routing
	follower.mutex.Unlock()
	table := follower.State.Current()
	if table == nil || table.Routing.Version != version {
		return readings.Routing{}, false
	}
	reading.Age = follower.State.Age()
	return reading, true
}

func (follower *Follower) lost(err error) {
	if !follower.failed {
		follower.failed = true
		follower.Log.Warn().Err(err).Int64("routing_age", follower.State.LoggedAge()).Msg("routing_unconfirmed")
	}
}

// askPeer reads from a peer that told of something newer, and reports whether
// that is in force now.
func (follower *Follower) askPeer(ctx context.Context) bool {
	peer, ok := follower.newer.Take()
	if !ok {
		return false
	}
	asked := follower.State.Now()
	reading, err := follower.Ask(ctx, peer)
	if err == nil {
		err = follower.apply(reading.Version, reading.Value, asked-reading.Age)
	}
	if err != nil {
		follower.Log.Info().Err(err).Stringer("peer", peer).Msg("peer_not_read")
	}
	return err == nil
}

// look asks the store once. The time before the question counts: an answer says
// nothing of what happened after the store gave it, however long it was on its way.
func (follower *Follower) look(ctx context.Context) error {
	follower.mutex.Lock()
	read := follower.read
	follower.mutex.Unlock()
	asked := follower.State.Now()
	entry, changed, err := follower.Check(ctx, follower.Key, read)
	if err != nil {
		return err
	}
	if follower.failed {
		follower.failed = false
		follower.Log.Info().Int64("routing_age", follower.State.LoggedAge()).Msg("routing_confirmed_again")
	}
	switch {
	case !changed:
		if table := follower.State.Current(); table != nil {
			follower.State.Confirm(table.Routing.Version, asked)
		}
		return nil
	case entry.Version == 0 || len(entry.Value) == 0:
		// There is none yet, or it was taken away; what is in force stays so,
		// unconfirmed.
		follower.mutex.Lock()
		follower.read = entry.Version
		follower.mutex.Unlock()
		return nil
	}
	return follower.apply(entry.Version, entry.Value, asked)
}

// apply puts a reading in force.
func (follower *Follower) apply(version keyvalue.Version, value []byte, asked time.Duration) error {
	routing, err := follower.Decode(value)
	if err != nil {
		return err
	}
	follower.mutex.Lock()
	if version > follower.read {
		follower.read, follower.value, follower.routing = version, value, routing.Version
	}
	follower.mutex.Unlock()
	follower.State.Apply(routing, asked)
	return nil
}
