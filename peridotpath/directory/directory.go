// Package directory holds the endpoints that may receive requests: those that are
// registered as live in the platform's store. Endpoints that are leaving or have left are
// excluded, and so are those of a data centre that operators drain.
//
// It matters when the store is unreachable for a while or is restored from an older copy.
// Entries then expire although their endpoints run, or reappear although their endpoints
// have left. For a short, fixed time the directory keeps using the former and goes on
// excluding the latter. Such a deviation from the content of the store is called an
// exception.
package directory

import (
	"fmt"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
)

// Error is the class of this package's errors.
var Error = errs.Class("directory")

const (
	// recoveryGrace is how long after an outage of the store an entry may be missing while
	// its endpoint still runs: entries expire during the outage and are registered again
	// about two seconds after it.
	recoveryGrace = 2200 * time.Millisecond
	// minOutageGap is the time between two successful reads from which on the store counts
	// as having been down. It spans several reads that failed or were skipped.
	minOutageGap = 2500 * time.Millisecond
	// departureRetention is how long the departure of an endpoint is remembered. For
	// restoredEntryTimeout after the store was restored from an older copy, the departure
	// takes precedence over the entry in the store: the copy may hold entries of departed
	// endpoints until they expire.
	departureRetention   = time.Minute
	restoredEntryTimeout = 8 * time.Second
)

// Member is an endpoint with its key. The key is precomputed, since hashing it for each
// request takes a millisecond in a fleet of thousands.
type Member struct {
	*peridotpath.Endpoint
	Key peridotpath.EndpointKey
}

// Listing is one read of the platform's store.
type Listing struct {
	Endpoints []peridotpath.Endpoint
	// Drained holds the data centres whose endpoints receive no new requests until the
	// operators take the drain back.
	Drained []peridotpath.DataCentre
}

// Snapshot is an immutable set of the endpoints in use.
type Snapshot struct {
	byService map[peridotpath.Service][]Member
	byID      map[peridotpath.EndpointID]*peridotpath.Endpoint
	byKey     map[peridotpath.EndpointKey]*peridotpath.Endpoint
	// drained holds the drained data centres, drainedServices the services that have live
	// endpoints there.
	drained         map[peridotpath.DataCentre]bool
	drainedServices map[peridotpath.Service]bool
	// hasCold reports whether an endpoint in use is cold.
	hasCold bool
}

// ForService returns the endpoints of a service that accept new requests.
func (snapshot *Snapshot) ForService(service peridotpath.Service) []Member {
	if snapshot == nil {
		return nil
	}
	return snapshot.byService[service]
}

// ByKey returns the endpoint with the key, or nil.
func (snapshot *Snapshot) ByKey(key peridotpath.EndpointKey) *peridotpath.Endpoint {
	if snapshot == nil {
		return nil
	}
	return snapshot.byKey[key]
}

// HasCold reports whether an endpoint in use is cold. It is cheap enough for every request.
func (snapshot *Snapshot) HasCold() bool { return snapshot != nil && snapshot.hasCold }

// Filter returns a snapshot with the endpoints for which keep returns true. A service of
// which no endpoint would be kept retains all of its endpoints. ByKey still finds every
// endpoint.
func (snapshot *Snapshot) Filter(keep func(key peridotpath.EndpointKey, serviceSize int) bool) *Snapshot {
	filtered := *snapshot
	filtered.byService = map[peridotpath.Service][]Member{}
	for service, members := range snapshot.byService {
		var kept []Member
		for _, member := range members {
			if keep(member.Key, len(members)) {
				kept = append(kept, member)
			}
		}
		if len(kept) == 0 {
			kept = members
		}
		filtered.byService[service] = kept
	}
	return &filtered
}

// Directory tracks the endpoints in use. Set the exported fields before use.
type Directory struct {
	Log zerolog.Logger

	current atomic.Pointer[Snapshot]

	mutex sync.Mutex
	// confirmedAt is the latest time at which the last read was known to be the newest,
	// storeReadableAt when any instance last read the store, and storeRecoveredAt when the
	// store was first readable after an outage, on a clock that advances while the machine
	// is suspended.
	confirmedAt, storeReadableAt, storeRecoveredAt time.Duration
	// storeRestoredAt is when the store was first known to have been restored from an older
	// copy.
	storeRestoredAt time.Duration
	// contentHash is the hash of the last read. exceptionEndsAt is the earliest end of an
	// exception by which the endpoints in use differ from that read; zero if there is none.
	contentHash     uint64
	exceptionEndsAt time.Duration
	// departedAt holds the times at which endpoints departed.
	departedAt map[peridotpath.EndpointKey]time.Duration
	// addresses holds the addresses at which endpoints are listed, or were lately.
	addresses map[netip.AddrPort]listedAddress
}

// ConfirmedAt returns the latest time at which the last read was known to be the newest.
func (directory *Directory) ConfirmedAt() time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.confirmedAt
}

// ContentHash returns the hash of the last read; zero before the first one.
func (directory *Directory) ContentHash() uint64 {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.contentHash
}

// Confirm records that a read with that content hash was the newest at the given time.
func (directory *Directory) Confirm(content uint64, at time.Duration) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if content == directory.contentHash {
		directory.confirmedAt = max(directory.confirmedAt, at)
	}
}

// MarkStoreReadable records that an instance could read the store at the given time. The
// store was not down then, even if it was unreachable from this instance.
func (directory *Directory) MarkStoreReadable(at time.Duration) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.recordStoreReadable(at)
}

// recordStoreReadable records a time at which the store was readable, and detects the end
// of an outage.
func (directory *Directory) recordStoreReadable(at time.Duration) {
	if directory.storeReadableAt > 0 && at-directory.storeReadableAt > minOutageGap {
		directory.storeRecoveredAt = at
		directory.Log.Info().Dur("gap", at-directory.storeReadableAt).Msg("store_readable_again")
	}
	directory.storeReadableAt = max(directory.storeReadableAt, at)
}

// MarkStoreRestored records that the store was restored from an older copy at the given time.
// Endpoints that joined after the copy was made are missing until they register again, and
// those that left after it are listed again.
func (directory *Directory) MarkStoreRestored(at time.Duration) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.storeRestoredAt, directory.storeRecoveredAt = at, max(directory.storeRecoveredAt, at)
}

// OverdueBy returns the time since the end of the first exception by which the endpoints in
// use still differ from the last read; zero if none has ended. If it is positive, the store
// must be read again, even if its content has not changed.
func (directory *Directory) OverdueBy(now time.Duration) time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if directory.exceptionEndsAt == 0 {
		return 0
	}
	return max(0, now-directory.exceptionEndsAt)
}

// Current returns the endpoints in use; nil before the first read.
func (directory *Directory) Current() *Snapshot { return directory.current.Load() }

// Apply applies a complete read of the store that began at the given time.
func (directory *Directory) Apply(listing Listing, at time.Duration) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.recordStoreReadable(at)
	directory.confirmedAt = max(directory.confirmedAt, at)
	directory.exceptionEndsAt = 0
	directory.contentHash = listing.hash()
	directory.recordAddresses(listing.Endpoints, at)
	before, endpoints := directory.current.Load(), listing.Endpoints
	drained := directory.drainedDataCentres(before, listing.Drained, at)
	snapshot := newSnapshot(endpoints, drained, func(key peridotpath.EndpointKey) bool { return directory.hasDeparted(key, at) })
	directory.logDrains(before, snapshot)
	if before != nil {
		directory.keepMissing(before, snapshot, endpoints, at)
		directory.recordChanges(before, snapshot, at)
	}
	for i := range endpoints {
		if endpoints[i].State != peridotpath.StateLive {
			directory.recordDeparture(endpoints[i].Key(), at)
		}
	}
	directory.current.Store(snapshot)
}

// hasDeparted reports whether the endpoint is known to have departed and is listed again
// only because the store was restored from an older copy.
func (directory *Directory) hasDeparted(key peridotpath.EndpointKey, at time.Duration) bool {
	departedAt, known := directory.departedAt[key]
	if !known || directory.storeRestoredAt == 0 || departedAt > directory.storeRestoredAt || at-directory.storeRestoredAt > restoredEntryTimeout {
		return false
	}
	directory.addException(directory.storeRestoredAt + restoredEntryTimeout)
	return true
}

// addException records that the endpoints in use differ from the last read until the given
// time.
func (directory *Directory) addException(until time.Duration) {
	if directory.exceptionEndsAt == 0 || until < directory.exceptionEndsAt {
		directory.exceptionEndsAt = until
	}
}

// hash returns a hash of the listing that does not depend on its order.
func (listing *Listing) hash() uint64 {
	sum := uint64(len(listing.Endpoints)) + 1
	for i := range listing.Endpoints {
		endpoint := &listing.Endpoints[i]
		entry := fmt.Sprintf("%d %s %s %s %t", endpoint.Key(), endpoint.Address, endpoint.State, endpoint.Service, endpoint.Cold)
		sum += xxhash.Sum64String(entry)
	}
	for _, dataCentre := range listing.Drained {
		sum += xxhash.Sum64String("drained " + string(dataCentre))
	}
	return sum
}

// newSnapshot returns a snapshot of the live endpoints that are neither excluded nor in a
// drained data centre.
func newSnapshot(endpoints []peridotpath.Endpoint, drained map[peridotpath.DataCentre]bool, excluded func(peridotpath.EndpointKey) bool) *Snapshot {
	snapshot := &Snapshot{
		byService: map[peridotpath.Service][]Member{},
		byID:      map[peridotpath.EndpointID]*peridotpath.Endpoint{},
		byKey:     map[peridotpath.EndpointKey]*peridotpath.Endpoint{},
		drained:   drained, drainedServices: map[peridotpath.Service]bool{},
	}
	for i := range endpoints {
		endpoint := &endpoints[i]
		switch {
		case endpoint.State != peridotpath.StateLive, excluded(endpoint.Key()):
		case drained[endpoint.DataCentre]:
			snapshot.drainedServices[endpoint.Service] = true
		default:
			snapshot.add(endpoint)
		}
	}
	return snapshot
}

func (snapshot *Snapshot) add(endpoint *peridotpath.Endpoint) {
	snapshot.byID[endpoint.ID] = endpoint
	snapshot.hasCold = snapshot.hasCold || endpoint.Cold
	member := Member{Endpoint: endpoint, Key: endpoint.Key()}
	snapshot.byKey[member.Key] = endpoint
	snapshot.byService[endpoint.Service] = append(snapshot.byService[endpoint.Service], member)
}

// keepMissing keeps endpoints whose entries are missing shortly after an outage of the
// store. Endpoints cannot renew their entries during the outage; if they were removed at
// once, the whole fleet would be unusable for the first seconds after it.
func (directory *Directory) keepMissing(before, snapshot *Snapshot, endpoints []peridotpath.Endpoint, at time.Duration) {
	if directory.storeRecoveredAt == 0 || at-directory.storeRecoveredAt > recoveryGrace {
		return
	}
	listed := map[peridotpath.EndpointID]bool{}
	addresses := map[string]bool{}
	for i := range endpoints {
		listed[endpoints[i].ID] = true
		addresses[endpoints[i].Address.String()] = true
	}
	for id, endpoint := range before.byID {
		// The address may belong to another endpoint by now.
		if !listed[id] && !addresses[endpoint.Address.String()] && !snapshot.drained[endpoint.DataCentre] {
			snapshot.add(endpoint)
			directory.addException(directory.storeRecoveredAt + recoveryGrace)
		}
	}
}

// recordChanges records the endpoints that departed, and logs those that joined and left.
func (directory *Directory) recordChanges(before, after *Snapshot, at time.Duration) {
	for id, endpoint := range after.byID {
		if previous := before.byID[id]; previous == nil || previous.Incarnation != endpoint.Incarnation {
			directory.Log.Info().Str("endpoint", string(id)).Uint64("incarnation", uint64(endpoint.Incarnation)).Str("service", string(endpoint.Service)).
				Str("data_centre", string(endpoint.DataCentre)).Stringer("address", endpoint.Address).Msg("endpoint_joined")
		}
	}
	for id, endpoint := range before.byID {
		// A drained endpoint has not departed: it is used again when the drain ends.
		if after.byID[id] == nil && !after.drained[endpoint.DataCentre] {
			directory.Log.Info().Str("endpoint", string(id)).Msg("endpoint_left")
			directory.recordDeparture(endpoint.Key(), at)
		}
	}
}

// recordDeparture records that an endpoint departed, and removes records older than
// departureRetention.
func (directory *Directory) recordDeparture(key peridotpath.EndpointKey, at time.Duration) {
	if directory.departedAt == nil {
		directory.departedAt = map[peridotpath.EndpointKey]time.Duration{}
	}
	maps.DeleteFunc(directory.departedAt, func(_ peridotpath.EndpointKey, departed time.Duration) bool { return at-departed > departureRetention })
	directory.departedAt[key] = at
}
