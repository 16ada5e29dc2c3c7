package routing

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

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
	// Eras are those of the store.
	Eras *keyvalue.Eras
	// Ask asks a peer for what it has read.
	Ask  func(ctx context.Context, peer netip.AddrPort, have readings.RoutingSnapshot) (readings.RoutingSnapshot, error)
	Pace clock.PollSchedule
	// Before returns how many instances nearby are to ask a far one for that version
	// before this one does.
	Before func(version peridotpath.RoutingVersion) int
	// Confirmed is called when this instance knows something that those nearby do not.
	Confirmed func()
	Log       zerolog.Logger

	failed atomic.Bool
	newer  readings.NewerPeers
	// read holds what was put in force.
	read readings.RoutingHistory

	mutex sync.Mutex
	// looked is the store's version at the last look.
	looked keyvalue.Version
	// proven is the newest version that was seen to be written in its era; Run's only.
	proven keyvalue.Version
}

// errUnsettled says that the store came back from a copy, and what was found there may be
// older than what its writer has written.
var errUnsettled = errs.New("routing: the store has gone back, and nothing shows that the routing was written since")

// farTurn is about how long it takes to fetch a change from a peer in another data
// centre and to tell those nearby.
const farTurn = 80 * time.Millisecond

// Run asks the store whenever the routing has not been confirmed for a while,
// until ctx ends. What a peer has confirmed need not be asked again, so that all
// instances together ask hardly more often than one.
//
// It asks whether what it has still holds, and does not wait for changes: a
// wait that hears nothing does not say that nothing has changed.
func (follower *Follower) Run(ctx context.Context) error {
	for follower.Pace.WaitUntilDue(ctx, follower.State.Age) {
		if follower.askPeers(ctx) {
			continue
		}
		err := follower.look(ctx)
		if err == nil {
			follower.Pace.RecordPoll(follower.State.Current() != nil)
			follower.Confirmed()
			continue
		}
		if ctx.Err() == nil {
			follower.lost(err)
			follower.Pace.WaitAfterFailure(ctx)
		}
	}
	return ctx.Err()
}

// HearPeer takes in what a peer has read: it confirms what is in force here, or
// says that there is something newer to be read.
//
// What a far peer has is fetched by one instance of a data centre, and by the next
// one only if nobody nearby has it after a while: when all ask the one that has read
// it first, its link is full for seconds.
func (follower *Follower) HearPeer(peer readings.Peer, version peridotpath.RoutingVersion, confirmed time.Duration) {
	table := follower.State.Current()
	switch {
	case table != nil && table.Routing.Version == version:
		follower.State.Confirm(version, confirmed)
	case table == nil && version > 0, table != nil && table.Routing.Version < version:
		follower.newer.Set(peer)
		if peer.InSameDataCentre {
			follower.Pace.Wake()
		} else {
			time.AfterFunc(time.Duration(follower.Before(version))*farTurn, follower.Pace.Wake)
		}
	}
}

// Last returns what was read last, for peers; false before the first reading.
func (follower *Follower) Last() (readings.RoutingSnapshot, bool) {
	reading, read := follower.read.Newest()
	table := follower.State.Current()
	if !read || table == nil || table.Routing.Version != reading.RoutingVersion {
		return readings.RoutingSnapshot{}, false
	}
	reading.Age = follower.State.Age()
	return reading, true
}

// Of returns the reading of that version, for peers; false where it is not kept.
func (follower *Follower) Of(version keyvalue.Version) (readings.RoutingSnapshot, bool) {
	return follower.read.ByVersion(version)
}

// Failing reports whether the last look at the store failed.
func (follower *Follower) Failing() bool { return follower.failed.Load() }

func (follower *Follower) lost(err error) {
	if !follower.failed.Swap(true) {
		follower.Log.Warn().Err(err).Int64("routing_age", follower.State.LoggedAge()).Msg("routing_unconfirmed")
	}
}

// mostAsked is how many peers are asked one after the other before the store is.
const mostAsked = 2

// askPeers asks those that told of something newer, and reports whether that is in
// force now, or known to be so already: then the store need not be asked.
func (follower *Follower) askPeers(ctx context.Context) bool {
	for asked := range mostAsked {
		peer, noted := follower.newer.Take()
		if !noted {
			// Woken for what another wake has brought already.
			return asked == 0 && (follower.Pace.WokenEarly() || !follower.Pace.IsDue(follower.State.Age()))
		}
		if follower.askPeer(ctx, peer) {
			return true
		}
	}
	return false
}

// askPeer asks one peer, and reports whether what it has is in force now.
func (follower *Follower) askPeer(ctx context.Context, peer readings.Peer) bool {
	asked := follower.State.Now()
	have, _ := follower.read.Newest()
	reading, err := follower.Ask(ctx, peer.Address, have)
	if err == nil {
		follower.Eras.Heard(reading.Version.Era(), 0, false)
		err = follower.apply(reading.Version, reading.Value, asked-reading.Age)
	}
	if err != nil {
		follower.Log.Info().Err(err).Stringer("peer", peer.Address).Bool("near", peer.InSameDataCentre).Msg("peer_not_read")
		return false
	}
	if !peer.InSameDataCentre {
		follower.Confirmed()
	}
	return true
}

// look asks the store once. The time before the question counts: an answer says
// nothing of what happened after the store gave it, however long it was on its way.
func (follower *Follower) look(ctx context.Context) error {
	follower.mutex.Lock()
	read := follower.looked
	follower.mutex.Unlock()
	asked := follower.State.Now()
	entry, changed, err := follower.Check(ctx, follower.Key, read)
	if err != nil {
		return err
	}
	if follower.failed.Swap(false) {
		follower.Log.Info().Int64("routing_age", follower.State.LoggedAge()).Msg("routing_confirmed_again")
	}
	switch {
	case !changed:
		return follower.confirm(read, asked)
	case entry.Version == 0 || len(entry.Value) == 0:
		// There is none yet, or it was taken away; what is in force stays so,
		// unconfirmed.
		follower.mutex.Lock()
		follower.looked = entry.Version
		follower.mutex.Unlock()
		return nil
	case entry.Version.Era() == read.Era():
		// What changed between two looks in one era was written in it.
		follower.proven = entry.Version
	case !follower.Eras.Proves(entry.Version):
		if err := follower.apply(entry.Version, entry.Value, unproven); err != nil {
			return err
		}
		return errUnsettled
	}
	return follower.apply(entry.Version, entry.Value, asked)
}

// confirm says that what is in force was the newest at the time asked, as the store still
// held the version that was looked at last.
func (follower *Follower) confirm(looked keyvalue.Version, asked time.Duration) error {
	if looked != follower.proven && !follower.Eras.Proves(looked) {
		return errUnsettled
	}
	if table := follower.State.Current(); table != nil {
		follower.State.Confirm(table.Routing.Version, asked)
	}
	return nil
}

// unproven is the time asked of a reading that does not show the newest.
const unproven time.Duration = 0

// apply puts a reading in force, unless something newer is.
func (follower *Follower) apply(version keyvalue.Version, value []byte, asked time.Duration) error {
	routing, err := follower.Decode(value)
	if err != nil {
		return err
	}
	follower.mutex.Lock()
	follower.looked = max(follower.looked, version)
	follower.mutex.Unlock()
	follower.read.Add(readings.RoutingSnapshot{Version: version, RoutingVersion: routing.Version, Value: value})
	follower.State.Apply(routing, asked)
	return nil
}
