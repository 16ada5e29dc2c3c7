// Package directory holds the endpoints that may be used: those that stand in
// the platform's store, less those that leave or have left.
package directory

import (
	"fmt"
	"maps"
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
	// returnGrace is how long after an outage of the store an entry may still be
	// missing though its endpoint lives: entries lapse meanwhile and are back
	// about two seconds after the store's return.
	returnGrace = 2200 * time.Millisecond
	// outageGap is the time between two readings from which the store counts as
	// having been away: several readings must have failed or been left out.
	outageGap = 2500 * time.Millisecond
	// leftKnown is how long it is remembered that an endpoint has left, leftStands how long
	// after the store came back from a copy that memory goes before what the store says: an
	// entry in the copy of an endpoint that is gone lasts until it lapses.
	leftKnown  = time.Minute
	leftStands = 8 * time.Second
)

// Member is an endpoint with its key, which is reckoned once and not for each
// request: on a fleet of thousands that alone would take a millisecond.
type Member struct {
	*peridotpath.Endpoint
	Key peridotpath.EndpointKey
}

// Snapshot is the endpoints in use at one moment. It is not changed.
type Snapshot struct {
	byService map[peridotpath.Service][]Member
	byID      map[peridotpath.EndpointID]*peridotpath.Endpoint
	byKey     map[peridotpath.EndpointKey]*peridotpath.Endpoint
}

// Of returns the endpoints of a service that take new requests.
func (snapshot *Snapshot) Of(service peridotpath.Service) []Member {
	if snapshot == nil {
		return nil
	}
	return snapshot.byService[service]
}

// Find returns the endpoint of that key; nil where there is none.
func (snapshot *Snapshot) Find(key peridotpath.EndpointKey) *peridotpath.Endpoint {
	if snapshot == nil {
		return nil
	}
	return snapshot.byKey[key]
}

// Narrow returns the endpoints for which keep holds. A service of which none is
// kept keeps all.
func (snapshot *Snapshot) Narrow(keep func(key peridotpath.EndpointKey, ofService int) bool) *Snapshot {
	narrow := &Snapshot{byService: map[peridotpath.Service][]Member{}, byID: snapshot.byID, byKey: snapshot.byKey}
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
		narrow.byService[service] = kept
	}
	return narrow
}

// Directory follows the endpoints. Set the exported fields before use.
type Directory struct {
	Log zerolog.Logger

	current atomic.Pointer[Snapshot]

	mutex sync.Mutex
	// readAt is when what was read last was the newest, seenAt when the store was
	// last readable for any instance, returnedAt when it came back from an outage,
	// on a clock that goes on while the machine is suspended.
	readAt, seenAt, returnedAt time.Duration
	// wentBackAt is when the store was first known to have come back from a copy.
	wentBackAt time.Duration
	// content names what was read last, differsUntil is when the first excuse ends by which
	// what is used differs from it; zero where it does not.
	content      uint64
	differsUntil time.Duration
	// left holds when endpoints left.
	left map[peridotpath.EndpointKey]time.Duration
}

// ReadAt returns when the last reading was known to be the newest.
func (directory *Directory) ReadAt() time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.readAt
}

// Content names what was read last; zero before the first reading.
func (directory *Directory) Content() uint64 {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.content
}

// Confirm says that a reading with that content was the newest at that time.
func (directory *Directory) Confirm(content uint64, at time.Duration) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if content == directory.content {
		directory.readAt = max(directory.readAt, at)
	}
}

// Seen says that the store could be read at that time, by whichever instance: it
// was not away then, even if this instance was cut off from it.
func (directory *Directory) Seen(at time.Duration) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.noteSeen(at)
}

func (directory *Directory) noteSeen(at time.Duration) {
	if directory.seenAt > 0 && at-directory.seenAt > outageGap {
		directory.returnedAt = at
		directory.Log.Info().Dur("gap", at-directory.seenAt).Msg("store_readable_again")
	}
	directory.seenAt = max(directory.seenAt, at)
}

// WentBack says that the store came back from an older copy at that time. Endpoints that
// joined since the copy are missing from it until they are written again, and those that
// left since stand in it again.
func (directory *Directory) WentBack(at time.Duration) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.wentBackAt, directory.returnedAt = at, max(directory.returnedAt, at)
}

// Overdue returns for how long what is used has differed from what was read though nothing
// excuses that any more: the store must be read anew, even if what it held has not changed.
// It returns zero where that is not so.
func (directory *Directory) Overdue(now time.Duration) time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if directory.differsUntil == 0 {
		return 0
	}
	return max(0, now-directory.differsUntil)
}

// Current returns the endpoints in use; nil before the first reading.
func (directory *Directory) Current() *Snapshot { return directory.current.Load() }

// Apply takes a whole reading of the store in, which began at the time given.
func (directory *Directory) Apply(endpoints []peridotpath.Endpoint, at time.Duration) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.noteSeen(at)
	directory.readAt = max(directory.readAt, at)
	directory.differsUntil = 0
	directory.content = contentOf(endpoints)
	before := directory.current.Load()
	snapshot := newSnapshot(endpoints, func(key peridotpath.EndpointKey) bool { return directory.stillGone(key, at) })
	if before != nil {
		directory.keepLapsed(before, snapshot, endpoints, at)
		directory.noteChanges(before, snapshot, at)
	}
	for i := range endpoints {
		if endpoints[i].State != peridotpath.StateLive {
			directory.noteLeft(endpoints[i].Key(), at)
		}
	}
	directory.current.Store(snapshot)
}

// stillGone reports whether the endpoint is known to have left and stands in what was read
// only since the store came back from a copy.
func (directory *Directory) stillGone(key peridotpath.EndpointKey, at time.Duration) bool {
	left, known := directory.left[key]
	if !known || directory.wentBackAt == 0 || left > directory.wentBackAt || at-directory.wentBackAt > leftStands {
		return false
	}
	directory.differ(directory.wentBackAt + leftStands)
	return true
}

func (directory *Directory) differ(until time.Duration) {
	if directory.differsUntil == 0 || until < directory.differsUntil {
		directory.differsUntil = until
	}
}

// contentOf names a reading, whatever the order of its entries.
func contentOf(endpoints []peridotpath.Endpoint) uint64 {
	sum := uint64(len(endpoints)) + 1
	for i := range endpoints {
		endpoint := &endpoints[i]
		entry := fmt.Sprintf("%d %s %s %s", endpoint.Key(), endpoint.Address, endpoint.State, endpoint.Service)
		sum += xxhash.Sum64String(entry)
	}
	return sum
}

func newSnapshot(endpoints []peridotpath.Endpoint, gone func(peridotpath.EndpointKey) bool) *Snapshot {
	snapshot := &Snapshot{
		byService: map[peridotpath.Service][]Member{},
		byID:      map[peridotpath.EndpointID]*peridotpath.Endpoint{},
		byKey:     map[peridotpath.EndpointKey]*peridotpath.Endpoint{},
	}
	for i := range endpoints {
		if endpoints[i].State == peridotpath.StateLive && !gone(endpoints[i].Key()) {
			snapshot.add(&endpoints[i])
		}
	}
	return snapshot
}

func (snapshot *Snapshot) add(endpoint *peridotpath.Endpoint) {
	snapshot.byID[endpoint.ID] = endpoint
	member := Member{Endpoint: endpoint, Key: endpoint.Key()}
	snapshot.byKey[member.Key] = endpoint
	snapshot.byService[endpoint.Service] = append(snapshot.byService[endpoint.Service], member)
}

// keepLapsed keeps endpoints whose entries are missing just after an outage.
// Entries lapse when their endpoints cannot renew them; dropped at once, the
// whole fleet would be gone for the first seconds after an outage.
func (directory *Directory) keepLapsed(before, snapshot *Snapshot, endpoints []peridotpath.Endpoint, at time.Duration) {
	if directory.returnedAt == 0 || at-directory.returnedAt > returnGrace {
		return
	}
	named := map[peridotpath.EndpointID]bool{}
	addresses := map[string]bool{}
	for i := range endpoints {
		named[endpoints[i].ID] = true
		addresses[endpoints[i].Address.String()] = true
	}
	for id, endpoint := range before.byID {
		// An address that another endpoint uses now is no longer this one's.
		if !named[id] && !addresses[endpoint.Address.String()] {
			snapshot.add(endpoint)
			directory.differ(directory.returnedAt + returnGrace)
		}
	}
}

// noteChanges remembers which endpoints left, and logs who came and went.
func (directory *Directory) noteChanges(before, after *Snapshot, at time.Duration) {
	for id, endpoint := range after.byID {
		if known := before.byID[id]; known == nil || known.Incarnation != endpoint.Incarnation {
			directory.Log.Info().Str("endpoint", string(id)).Str("service", string(endpoint.Service)).
				Stringer("address", endpoint.Address).Msg("endpoint_joined")
		}
	}
	for id := range before.byID {
		if after.byID[id] == nil {
			directory.Log.Info().Str("endpoint", string(id)).Msg("endpoint_left")
			directory.noteLeft(before.byID[id].Key(), at)
		}
	}
}

func (directory *Directory) noteLeft(key peridotpath.EndpointKey, at time.Duration) {
	if directory.left == nil {
		directory.left = map[peridotpath.EndpointKey]time.Duration{}
	}
	maps.DeleteFunc(directory.left, func(_ peridotpath.EndpointKey, left time.Duration) bool { return at-left > leftKnown })
	directory.left[key] = at
}
