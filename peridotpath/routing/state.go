package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
)

// State is this instance's active routing and the time of its last confirmation. Set the
// exported fields before use. Reads are lock-free.
type State struct {
	// Now is a clock that advances while the machine is suspended.
	Now func() time.Duration
	// KeyLifetime is how long after the last confirmation a key may be used. A revoked
	// key is refused everywhere within that time, also at an instance that is
	// disconnected, frozen or suspended and does not receive the revocation.
	KeyLifetime time.Duration
	Log         zerolog.Logger

	mutex       sync.Mutex
	table       atomic.Pointer[Table]
	confirmedAt atomic.Int64
}

// Current returns the active table; nil before the first.
func (state *State) Current() *Table { return state.table.Load() }

// Version returns the version of the active routing; zero before the first.
func (state *State) Version() peridotpath.RoutingVersion {
	if table := state.table.Load(); table != nil {
		return table.Routing.Version
	}
	return 0
}

// Apply activates a routing, unless a newer one is active, and confirms it. sentAt is a
// time before the read that returned it was sent.
func (state *State) Apply(routing *peridotpath.Routing, sentAt time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	current := state.table.Load()
	if current != nil && routing.Version < current.Routing.Version {
		// A delayed reply holds an older routing; applying it would restore a
		// revoked key.
		state.Log.Warn().Uint64("version", uint64(routing.Version)).
			Uint64("in_force", uint64(current.Routing.Version)).Msg("older_routing_ignored")
		return
	}
	if current == nil || routing.Version > current.Routing.Version {
		state.table.Store(NewTable(routing))
		state.Log.Info().Uint64("version", uint64(routing.Version)).Int("routes", len(routing.Routes)).
			Int("keys", len(routing.Keys)).Msg("routing_in_force")
	}
	state.confirmAt(sentAt)
}

// Confirm records that the routing of that version was still the newest for a read that
// was sent at the time sentAt.
func (state *State) Confirm(version peridotpath.RoutingVersion, sentAt time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if table := state.table.Load(); table != nil && table.Routing.Version == version {
		state.confirmAt(sentAt)
	}
}

func (state *State) confirmAt(sentAt time.Duration) {
	if int64(sentAt) > state.confirmedAt.Load() {
		state.confirmedAt.Store(int64(sentAt))
	}
}

// Age returns the time since the active routing was last confirmed as the newest. It
// is a year, more than every bound, until the first routing is confirmed.
func (state *State) Age() time.Duration {
	confirmed := state.confirmedAt.Load()
	if confirmed == 0 {
		return neverConfirmedAge
	}
	return state.Now() - time.Duration(confirmed)
}

// AgeForLog returns the age for logs in milliseconds: -1 where there is no routing, to
// distinguish that from a long age.
func (state *State) AgeForLog() int64 {
	if state.confirmedAt.Load() == 0 {
		return -1
	}
	return state.Age().Milliseconds()
}

// neverConfirmedAge is the age of a routing that was never confirmed.
const neverConfirmedAge = 365 * 24 * time.Hour

// KeysUsable reports whether the last confirmation is recent enough for keys to be used.
func (state *State) KeysUsable() bool {
	return state.table.Load() != nil && state.Age() < state.KeyLifetime
}
