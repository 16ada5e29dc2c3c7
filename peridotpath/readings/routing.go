package readings

import (
	"cmp"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/delta"
	"peridotpath.example/peridotpath/keyvalue"
)

// RoutingSnapshot is a snapshot of the routing document in the store.
type RoutingSnapshot struct {
	// Version is the store's version of the document.
	Version keyvalue.Version
	// RoutingVersion is the version that operators gave the document. It takes precedence
	// over the store's: a store that was restored from an older copy may briefly return an
	// earlier document than before.
	RoutingVersion peridotpath.RoutingVersion
	Value          []byte
	// Age is the time since the snapshot was last confirmed to be the newest.
	Age time.Duration
}

// maxRoutingSnapshots covers the changes of several seconds when operators make many at
// once, so that peers can be sent only the difference.
const maxRoutingSnapshots = 8

// RoutingHistory holds the last snapshots of the routing, newest last. A whole routing is
// hundreds of kilobytes. If every instance of a large fleet fetched it whole after each
// change, the links of the serving instances would be saturated for seconds, and the
// gossip of load reports would queue behind the transfers.
type RoutingHistory struct{ snapshots snapshots[RoutingSnapshot] }

// Add appends a snapshot unless the same or a newer one is kept.
func (routingHistory *RoutingHistory) Add(snapshot RoutingSnapshot) {
	routingHistory.snapshots.add(snapshot, maxRoutingSnapshots, func(newest *RoutingSnapshot) bool {
		return cmp.Or(cmp.Compare(newest.RoutingVersion, snapshot.RoutingVersion), cmp.Compare(newest.Version, snapshot.Version)) >= 0
	})
}

// Newest returns the newest snapshot; false if there is none.
func (routingHistory *RoutingHistory) Newest() (RoutingSnapshot, bool) {
	return routingHistory.snapshots.newest()
}

// ByVersion returns the snapshot with this store version; false if it is not kept.
func (routingHistory *RoutingHistory) ByVersion(version keyvalue.Version) (RoutingSnapshot, bool) {
	return routingHistory.snapshots.find(func(snapshot *RoutingSnapshot) bool { return snapshot.Version == version })
}

// packedRoutings caches the newest routing, packed whole and as a difference to earlier ones.
// Peers fetch at about the same time, and most of them have the same version.
type packedRoutings struct {
	mutex   sync.Mutex
	version keyvalue.Version
	byBase  map[keyvalue.Version][]byte
}

// pack returns the snapshot, packed as a difference to base.
func (packed *packedRoutings) pack(snapshot, base RoutingSnapshot) ([]byte, error) {
	packed.mutex.Lock()
	defer packed.mutex.Unlock()
	if packed.version != snapshot.Version {
		packed.version, packed.byBase = snapshot.Version, map[keyvalue.Version][]byte{}
	}
	if cached, ok := packed.byBase[base.Version]; ok {
		return cached, nil
	}
	difference, err := delta.Compute(snapshot.Value, base.Value)
	if err == nil {
		packed.byBase[base.Version] = difference
	}
	return difference, err
}
