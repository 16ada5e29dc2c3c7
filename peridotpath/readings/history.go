package readings

import (
	"bytes"
	"time"

	"peridotpath.example/peridotpath/keyvalue"
)

// Endpoints is the endpoints' entries as they were read.
type Endpoints struct {
	Entries []keyvalue.Entry
	// Content names what was read.
	Content uint64
	// Era is that of the store when they were read.
	Era keyvalue.Era
	// Age is how long ago it was known to be the newest.
	Age time.Duration
}

// historyLength is how many readings are kept to tell peers only what changed:
// some seconds' worth in a fleet of thousands of endpoints, of which one changes
// each second.
const historyLength = 16

// History holds the last readings of the endpoints, newest last. A peer that has
// one of them is told the changes: the list of a large fleet is long, and every
// instance asks for it after each change.
type History struct{ kept kept[Endpoints] }

// Add notes a reading as the newest.
func (history *History) Add(reading Endpoints) {
	history.kept.add(reading, historyLength, func(last *Endpoints) bool {
		if last.Content != reading.Content {
			return false
		}
		*last = reading
		return true
	})
}

// Last returns the newest reading; false before the first.
func (history *History) Last() (Endpoints, bool) { return history.kept.last() }

// Of returns the reading of that content; false where it is not kept.
func (history *History) Of(content uint64) (Endpoints, bool) {
	return history.kept.find(func(reading *Endpoints) bool { return reading.Content == content })
}

// changes returns the entries of after that before has not, and the keys of
// before that after has not.
func changes(before, after []keyvalue.Entry) (changed []keyvalue.Entry, gone []string) {
	known := make(map[string][]byte, len(before))
	for _, entry := range before {
		known[entry.Key] = entry.Value
	}
	for _, entry := range after {
		if value, ok := known[entry.Key]; !ok || !bytes.Equal(value, entry.Value) {
			changed = append(changed, entry)
		}
		delete(known, entry.Key)
	}
	for key := range known {
		gone = append(gone, key)
	}
	return changed, gone
}

// merge puts the changes into a reading. Entries that changed go last, as new
// ones do.
func merge(before, changed []keyvalue.Entry, gone []string) []keyvalue.Entry {
	dropped := make(map[string]bool, len(changed)+len(gone))
	for _, entry := range changed {
		dropped[entry.Key] = true
	}
	for _, key := range gone {
		dropped[key] = true
	}
	merged := make([]keyvalue.Entry, 0, len(before)+len(changed))
	for _, entry := range before {
		if !dropped[entry.Key] {
			merged = append(merged, entry)
		}
	}
	return append(merged, changed...)
}
