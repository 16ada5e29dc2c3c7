package readings

import (
	"bytes"
	"time"

	"peridotpath.example/peridotpath/keyvalue"
)

// EndpointsSnapshot is a snapshot of the endpoints' entries in the store.
type EndpointsSnapshot struct {
	Entries []keyvalue.Entry
	// ContentHash is a hash of the entries. It identifies the snapshot.
	ContentHash uint64
	// Era is the store's epoch at the time of the read. It changes when the store is
	// restored from an older copy.
	Era keyvalue.Era
	// Age is the time since the snapshot was last confirmed to be the newest.
	Age time.Duration
}

// maxEndpointsSnapshots covers several seconds in a fleet of thousands of endpoints of which
// one changes per second, so that peers can be sent only the changes.
const maxEndpointsSnapshots = 16

// EndpointsHistory holds the last snapshots of the endpoints, newest last. A peer that has
// one of them is sent only the changes: the list of a large fleet is long, and every instance
// fetches it after each change.
type EndpointsHistory struct{ snapshots snapshots[EndpointsSnapshot] }

// Add appends a snapshot, or replaces the newest one if its content is the same.
func (endpointsHistory *EndpointsHistory) Add(snapshot EndpointsSnapshot) {
	endpointsHistory.snapshots.add(snapshot, maxEndpointsSnapshots, func(newest *EndpointsSnapshot) bool {
		if newest.ContentHash != snapshot.ContentHash {
			return false
		}
		*newest = snapshot
		return true
	})
}

// Newest returns the newest snapshot; false if there is none.
func (endpointsHistory *EndpointsHistory) Newest() (EndpointsSnapshot, bool) {
	return endpointsHistory.snapshots.newest()
}

// ByHash returns the snapshot with this content hash; false if it is not kept.
func (endpointsHistory *EndpointsHistory) ByHash(content uint64) (EndpointsSnapshot, bool) {
	return endpointsHistory.snapshots.find(func(snapshot *EndpointsSnapshot) bool { return snapshot.ContentHash == content })
}

// diff returns the entries that were added or changed between before and after, and the
// keys that were removed.
func diff(before, after []keyvalue.Entry) (changed []keyvalue.Entry, removed []string) {
	previous := make(map[string][]byte, len(before))
	for _, entry := range before {
		previous[entry.Key] = entry.Value
	}
	for _, entry := range after {
		if value, ok := previous[entry.Key]; !ok || !bytes.Equal(value, entry.Value) {
			changed = append(changed, entry)
		}
		delete(previous, entry.Key)
	}
	for key := range previous {
		removed = append(removed, key)
	}
	return changed, removed
}

// applyDiff applies the changes to a list of entries. Changed entries move to the end, where
// new ones are added.
func applyDiff(before, changed []keyvalue.Entry, removed []string) []keyvalue.Entry {
	isExcluded := make(map[string]bool, len(changed)+len(removed))
	for _, entry := range changed {
		isExcluded[entry.Key] = true
	}
	for _, key := range removed {
		isExcluded[key] = true
	}
	entries := make([]keyvalue.Entry, 0, len(before)+len(changed))
	for _, entry := range before {
		if !isExcluded[entry.Key] {
			entries = append(entries, entry)
		}
	}
	return append(entries, changed...)
}
