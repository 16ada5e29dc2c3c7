package readings

import (
	"cmp"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/delta"
	"peridotpath.example/peridotpath/keyvalue"
)

// Routing is the operators' routing as it was read.
type Routing struct {
	Version keyvalue.Version
	// Number is the operators' own. It goes before Version: for a moment after the store
	// came back from a copy, it holds an earlier one than it gave out before.
	Number peridotpath.RoutingVersion
	Value  []byte
	// Age is how long ago it was known to be the newest.
	Age time.Duration
}

// routingsKept is how many readings of the routing are kept to tell peers only
// what changed: the changes of some seconds when operators make many at once.
const routingsKept = 8

// Routings holds the last readings of the routing, newest last. A whole one takes
// hundreds of kilobytes; when each instance of a large fleet asked for that after
// each change, the links of those that were asked were full for seconds, and what
// instances tell each other of their loads stood behind it.
type Routings struct{ kept kept[Routing] }

// Add notes a reading unless a newer one is kept.
func (routings *Routings) Add(reading Routing) {
	routings.kept.add(reading, routingsKept, func(last *Routing) bool {
		return cmp.Or(cmp.Compare(last.Number, reading.Number), cmp.Compare(last.Version, reading.Version)) >= 0
	})
}

// Last returns the newest reading; false before the first.
func (routings *Routings) Last() (Routing, bool) { return routings.kept.last() }

// Of returns the reading of that version; false where it is not kept.
func (routings *Routings) Of(version keyvalue.Version) (Routing, bool) {
	return routings.kept.find(func(reading *Routing) bool { return reading.Version == version })
}

// packedRoutings keeps the newest routing as it was packed for those that have
// each earlier one: peers ask at about the same moment, most of them alike.
type packedRoutings struct {
	mutex   sync.Mutex
	version keyvalue.Version
	since   map[keyvalue.Version][]byte
}

// of returns the reading packed for those that have base.
func (packed *packedRoutings) of(reading, base Routing) ([]byte, error) {
	packed.mutex.Lock()
	defer packed.mutex.Unlock()
	if packed.version != reading.Version {
		packed.version, packed.since = reading.Version, map[keyvalue.Version][]byte{}
	}
	if known, ok := packed.since[base.Version]; ok {
		return known, nil
	}
	text, err := delta.Pack(reading.Value, base.Value)
	if err == nil {
		packed.since[base.Version] = text
	}
	return text, err
}
