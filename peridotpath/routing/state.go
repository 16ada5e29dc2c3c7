package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
)

// State is the routing in force at this instance. Set the exported fields before
// use; readers never wait.
type State struct {
	// Now is a clock that goes on while the machine is suspended.
	Now func() time.Duration
	// KeyLifetime is how long after the last confirmation a key may be used.
	// A key that was taken away is refused everywhere within that time, also at
	// an instance that is cut off, frozen or suspended, and so cannot be told.
	KeyLifetime time.Duration
	Log         zerolog.Logger

	mutex     sync.Mutex
	table     atomic.Pointer[Table]
	confirmed atomic.Int64
}

// Current returns the table in force; nil before the first.
func (state *State) Current() *Table { return state.table.Load() }

// Version returns the version of the routing in force; zero before the first.
func (state *State) Version() peridotpath.RoutingVersion {
	if table := state.table.Load(); table != nil {
		return table.Routing.Version
	}
	return 0
}

// Apply puts a routing in force unless a newer one is, and confirms it. Asked is
// the time before which the reading that brought it had not begun.
func (state *State) Apply(routing *peridotpath.Routing, asked time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	current := state.table.Load()
	if current != nil && routing.Version < current.Routing.Version {
		// A late answer brings an older state back; acting on it would put a key
		// in force again that was taken away.
		state.Log.Warn().Uint64("version", uint64(routing.Version)).
			Uint64("in_force", uint64(current.Routing.Version)).Msg("older_routing_ignored")
		return
	}
	if current == nil || routing.Version > current.Routing.Version {
		state.table.Store(NewTable(routing))
		state.Log.Info().Uint64("version", uint64(routing.Version)).Int("routes", len(routing.Routes)).
			Int("keys", len(routing.Keys)).Msg("routing_in_force")
	}
	state.confirm(asked)
}

// Confirm says that the routing of that version was still the newest when a
// reading began at the time asked.
func (state *State) Confirm(version peridotpath.RoutingVersion, asked time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if table := state.table.Load(); table != nil && table.Routing.Version == version {
		state.confirm(asked)
	}
}

func (state *State) confirm(asked time.Duration) {
	if int64(asked) > state.confirmed.Load() {
		state.confirmed.Store(int64(asked))
	}
}

// Age returns how long ago the routing in force was last known to be the newest.
// Without one it is longer than any bound.
func (state *State) Age() time.Duration {
	confirmed := state.confirmed.Load()
	if confirmed == 0 {
		return never
	}
	return state.Now() - time.Duration(confirmed)
}

// LoggedAge returns the age in milliseconds as logs show it: -1 where there is
// no routing, which a long age would hide.
func (state *State) LoggedAge() int64 {
	if state.confirmed.Load() == 0 {
		return -1
	}
	return state.Age().Milliseconds()
}

// never is the age of what was never confirmed.
const never = 365 * 24 * time.Hour

// KeysUsable reports whether keys may be used now.
func (state *State) KeysUsable() bool {
	return state.table.Load() != nil && state.Age() < state.KeyLifetime
}
