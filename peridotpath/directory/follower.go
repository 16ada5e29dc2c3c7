package directory

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/readings"
)

// Follower keeps a Directory up to date with the store. Set the exported fields
// before Run.
type Follower struct {
	Directory *Directory
	// List reads every endpoint's entry, and tells the era of the store that they are of;
	// Decode makes endpoints of them.
	List   func(ctx context.Context) ([]keyvalue.Entry, keyvalue.Era, error)
	Decode func(entries []keyvalue.Entry) []peridotpath.Endpoint
	// Ask asks a peer for what it has read.
	Ask func(ctx context.Context, peer netip.AddrPort, have readings.Endpoints) (readings.Endpoints, error)
	// Eras are those of the store.
	Eras *keyvalue.Eras
	// Now goes on while the machine is suspended.
	Now  func() time.Duration
	Pace clock.Pace
	// Confirmed is called after each reading that succeeded.
	Confirmed func()
	Log       zerolog.Logger

	failed atomic.Bool
	newer  readings.Newer

	mutex sync.Mutex
	// read holds what was read.
	read readings.History
}

// Run reads the store whenever the last reading, here or at a peer that read the
// same, is old, until ctx ends. When a reading fails the last one stays: the
// store may be away, and endpoints outlive that.
func (follower *Follower) Run(ctx context.Context) error {
	for follower.Pace.Wait(ctx, follower.due) {
		if follower.askPeer(ctx) {
			continue
		}
		asked := follower.Now()
		entries, era, err := follower.List(ctx)
		if err == nil {
			follower.apply(entries, era, asked)
			follower.Confirmed()
			follower.failed.Store(false)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if !follower.failed.Swap(true) {
			follower.Log.Warn().Err(err).Dur("age", follower.Age()).Msg("endpoints_unread")
		}
		follower.Pace.Rest(ctx)
	}
	return ctx.Err()
}

// Failing reports whether the last look at the store failed.
func (follower *Follower) Failing() bool { return follower.failed.Load() }

// due is the age that decides about the next reading. What is overdue is about to be read
// by all instances at one moment; it counts as old as makes the first of them look at once,
// and the others hear of it.
func (follower *Follower) due() time.Duration {
	if overdue := follower.Directory.Overdue(follower.Now()); overdue > 0 {
		return max(follower.Age(), follower.Pace.Least+overdue)
	}
	return follower.Age()
}

// Age returns how long ago the last reading was known to be the newest.
func (follower *Follower) Age() time.Duration { return follower.Now() - follower.Directory.ReadAt() }

// Last returns what was read last, for peers; false before the first reading.
func (follower *Follower) Last() (readings.Endpoints, bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	last, ok := follower.read.Last()
	last.Age = follower.Age()
	return last, ok
}

// Of returns what was read with that content, for peers; false where it is not
// kept.
func (follower *Follower) Of(content uint64) (readings.Endpoints, bool) {
	return follower.read.Of(content)
}

// HearPeer takes in what a peer has read: it confirms what was read here, or
// says that there is something newer.
func (follower *Follower) HearPeer(peer readings.Peer, content uint64, confirmed time.Duration) {
	if content == 0 {
		return
	}
	follower.Directory.Seen(confirmed)
	switch {
	case content == follower.Directory.Content():
		follower.confirm(content, confirmed)
	case confirmed > follower.Directory.ReadAt(), follower.Directory.Content() == 0:
		follower.newer.Note(peer)
		follower.Pace.Wake()
	}
}

// confirm says that what was read last was still the newest at that time. Where what is
// used differed from it, and nothing excused that any more by then, it is taken in anew.
func (follower *Follower) confirm(content uint64, at time.Duration) {
	follower.Directory.Confirm(content, at)
	if follower.Directory.Overdue(at) == 0 {
		return
	}
	if last, ok := follower.read.Last(); ok && last.Content == content {
		follower.apply(last.Entries, last.Era, at)
	}
}

// askPeer reads from a peer that told of something newer, and reports whether
// that was taken in, or was already: then the store need not be asked.
func (follower *Follower) askPeer(ctx context.Context) bool {
	peer, noted := follower.newer.Take()
	if !noted {
		// Woken for what another wake has brought already.
		return !follower.Pace.Due(follower.due())
	}
	asked := follower.Now()
	have, _ := follower.read.Last()
	reading, err := follower.Ask(ctx, peer.Address, have)
	if err == nil {
		follower.Eras.Heard(reading.Era, 0, false)
		if era := follower.Eras.Current(); reading.Era != era {
			err = Error.New("reading of era %d of the store in era %d", reading.Era, era)
		}
	}
	if err != nil {
		follower.Log.Info().Err(err).Stringer("peer", peer.Address).Msg("peer_not_read")
		return false
	}
	if asked-reading.Age <= follower.Directory.ReadAt() {
		return true
	}
	follower.apply(reading.Entries, reading.Era, asked-reading.Age)
	return true
}

func (follower *Follower) apply(entries []keyvalue.Entry, era keyvalue.Era, asked time.Duration) {
	// Both change together: a peer that asks in between would take the old
	// entries for as fresh as the new ones.
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.Directory.Apply(follower.Decode(entries), asked)
	follower.read.Add(readings.Endpoints{Entries: entries, Content: follower.Directory.Content(), Era: era})
}
