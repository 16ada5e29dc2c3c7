package memory

import (
	"maps"

	"peridotpath.example/peridotpath/keyvalue"
)

// Snapshot is a point-in-time copy of the service's state.
type Snapshot struct {
	entries     map[string]keyvalue.Entry
	leases      map[uint64]lease
	version     keyvalue.Version
	lastLeaseID uint64
}

// Snapshot returns a copy of the current state.
func (memory *Memory) Snapshot() Snapshot {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	leases := map[uint64]lease{}
	for id, active := range memory.leases {
		leases[id] = *active
	}
	return Snapshot{entries: maps.Clone(memory.entries), leases: leases, version: memory.version, lastLeaseID: memory.lastLeaseID}
}

// Restore replaces the state by an earlier snapshot and starts a new era: writes
// acknowledged since the snapshot are lost, and their numbers are reused.
func (memory *Memory) Restore(snapshot Snapshot) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.era++
	memory.entries, memory.tombstones = maps.Clone(snapshot.entries), map[string]keyvalue.Entry{}
	memory.leases = map[uint64]*lease{}
	for id, active := range snapshot.leases {
		memory.leases[id] = &active
	}
	memory.version, memory.lastLeaseID = snapshot.version, snapshot.lastLeaseID
	if memory.changed != nil {
		memory.notifyWatchers()
	}
}

// Era returns how often the service was restored.
func (memory *Memory) Era() keyvalue.Era {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	return memory.era
}

// versionInEra returns the version with the current era.
func (memory *Memory) versionInEra(version keyvalue.Version) keyvalue.Version {
	if version == 0 {
		return 0
	}
	withEra, err := keyvalue.NewVersion(memory.era, version.Number())
	if err != nil {
		panic(err)
	}
	return withEra
}

// entryInEra returns the entry with the current era in its version and lease.
func (memory *Memory) entryInEra(entry keyvalue.Entry) keyvalue.Entry {
	entry.Version = memory.versionInEra(entry.Version)
	if !entry.Lease.IsUnset() {
		entry.Lease.Era = memory.era
	}
	return entry
}
