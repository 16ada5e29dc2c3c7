package memory

import (
	"maps"

	"peridotpath.example/peridotpath/keyvalue"
)

// Copy is the service's state at one moment.
type Copy struct {
	entries map[string]keyvalue.Entry
	leases  map[uint64]lease
	version keyvalue.Version
	nextID  uint64
}

// Copy returns a copy of the state.
func (memory *Memory) Copy() Copy {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	leases := map[uint64]lease{}
	for id, held := range memory.leases {
		leases[id] = *held
	}
	return Copy{entries: maps.Clone(memory.entries), leases: leases, version: memory.version, nextID: memory.nextID}
}

// GoBack puts the copy in the state's place, in a new era: what was acknowledged since is
// gone, and its numbers are given out again.
func (memory *Memory) GoBack(to Copy) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.era++
	memory.entries, memory.deleted = maps.Clone(to.entries), map[string]keyvalue.Entry{}
	memory.leases = map[uint64]*lease{}
	for id, held := range to.leases {
		memory.leases[id] = &held
	}
	memory.version, memory.nextID = to.version, to.nextID
	if memory.changed != nil {
		memory.wake()
	}
}

// Era returns how often the service went back.
func (memory *Memory) Era() keyvalue.Era {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	return memory.era
}

// stamp adds the era to a version that the service gives out.
func (memory *Memory) stamp(version keyvalue.Version) keyvalue.Version {
	if version == 0 {
		return 0
	}
	stamped, err := keyvalue.VersionOf(memory.era, version.Number())
	if err != nil {
		panic(err)
	}
	return stamped
}

// told is an entry as the service gives it out.
func (memory *Memory) told(entry keyvalue.Entry) keyvalue.Entry {
	entry.Version = memory.stamp(entry.Version)
	if !entry.Lease.None() {
		entry.Lease.Era = memory.era
	}
	return entry
}
