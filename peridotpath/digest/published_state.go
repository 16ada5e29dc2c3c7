// Package digest holds the state that instances exchange about load: for each
// endpoint that an instance owns the quantised load report, and for each customer
// near its rate limit the demand. It keeps the traffic low when a large fleet
// exchanges reports several times a second.
//
// Each instance keeps its own PublishedState and a Mirror of that of each other
// instance. Synchronisation is by anti-entropy with deltas: each change has a
// sequence number, and a Digest contains the entries that changed since the
// sequence that its receiver holds. The next Digest therefore repeats the changes
// of one that was lost or dropped.
//
// The package does no I/O and reads no clock.
package digest

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/peer/wire"
)

const (
	// ProtocolVersion is the version of the protocol that this code implements.
	ProtocolVersion = 1
	// MinReaderProtocol is the oldest protocol version whose implementations can
	// read the messages of this one.
	MinReaderProtocol = 1
	// MaxEntries limits one Digest to about 3 kB. Further entries are sent with
	// the next Digest.
	MaxEntries = 128
)

// Version returns the version that is sent with each message.
func Version() *wire.Version {
	return &wire.Version{Protocol: ProtocolVersion, ReadableBy: MinReaderProtocol}
}

// IsReadable reports whether this code can read a message of the version. A message
// without a version is not of this protocol.
func IsReadable(version *wire.Version) bool {
	return version.GetProtocol() > 0 && version.GetReadableBy() <= ProtocolVersion
}

// value is the published state of an endpoint or customer, quantised.
type value struct {
	state                             wire.State
	running, waiting, prefill, kvUsed uint32
	kvTokens, prefillPerS, decodePerS uint32
	demand                            uint32
}

// rareFields returns the part of the value that rarely changes, and is sent only
// with the name.
func (value value) rareFields() [3]uint32 {
	return [3]uint32{value.kvTokens, value.prefillPerS, value.decodePerS}
}

type entry struct {
	index    uint32
	endpoint peridotpath.EndpointID
	customer peridotpath.CustomerID
	value    value
	revision uint64
	asOf     time.Time
	// changedSequence is the sequence of the last change, and namedSequence
	// that of the last change to the name or to the rareFields, which are sent
	// with the name.
	changedSequence, namedSequence uint64
}

// PublishedState is the state that this instance publishes. The zero value with
// an Epoch is empty.
type PublishedState struct {
	// Epoch identifies this state. It differs between instances and between the
	// runs of one instance.
	Epoch uint64

	mu             sync.Mutex
	sequence       uint64
	endpoints      map[peridotpath.EndpointID]*entry
	customers      map[peridotpath.CustomerID]*entry
	lastIndex      uint32
	urgentSequence uint64
}

// PutEndpoint publishes an endpoint's report.
func (publishedState *PublishedState) PutEndpoint(id peridotpath.EndpointID, load peridotpath.Load) {
	publishedState.mu.Lock()
	defer publishedState.mu.Unlock()
	next := value{
		running: Quantise(int64(load.Running)), waiting: Quantise(int64(load.Waiting)),
		prefill: Quantise(int64(load.PrefillTokens)), kvUsed: Quantise(int64(load.KVUsed)),
		kvTokens: Quantise(int64(load.KVTokens)), prefillPerS: Quantise(int64(load.PrefillPerS)),
		decodePerS: Quantise(int64(load.DecodePerS)),
	}
	if load.Leaving {
		next.state = wire.State_STATE_LEAVING
	}
	found := publishedState.endpointEntry(id)
	found.revision, found.asOf = load.Revision, load.AsOf
	publishedState.setValue(found, next)
}

// MarkUnreadable publishes that this instance cannot read the endpoint's report at
// present, so that the other instances do not treat the last report as confirmed.
// They may then poll the endpoint themselves, since the failure can lie between
// this instance and the endpoint.
func (publishedState *PublishedState) MarkUnreadable(id peridotpath.EndpointID) {
	publishedState.mu.Lock()
	defer publishedState.mu.Unlock()
	if found := publishedState.endpoints[id]; found != nil && found.value.state == wire.State_STATE_UNSPECIFIED {
		next := found.value
		next.state = wire.State_STATE_UNREAD
		publishedState.setValue(found, next)
	}
}

// PutCustomer publishes a customer's demand at this instance, in requests per
// second.
func (publishedState *PublishedState) PutCustomer(id peridotpath.CustomerID, demand float64) {
	publishedState.mu.Lock()
	defer publishedState.mu.Unlock()
	if publishedState.customers == nil {
		publishedState.customers = map[peridotpath.CustomerID]*entry{}
	}
	found := publishedState.customers[id]
	if found == nil {
		found = publishedState.newEntry()
		found.customer = id
		publishedState.customers[id] = found
	}
	publishedState.setValue(found, value{demand: Quantise(int64(demand * demandScale))})
}

// demandScale is the number of units on the wire per request per second.
const demandScale = 1000

// QuantisedDemand returns a demand as the other instances receive it, after
// quantisation.
func QuantisedDemand(perSecond float64) float64 {
	return float64(Dequantise(Quantise(int64(perSecond*demandScale)))) / demandScale
}

// RetainEndpoints withdraws the endpoints for which keep is false.
func (publishedState *PublishedState) RetainEndpoints(keep func(peridotpath.EndpointID) bool) {
	publishedState.mu.Lock()
	defer publishedState.mu.Unlock()
	for id, found := range publishedState.endpoints {
		if !keep(id) {
			publishedState.setDropped(found)
		}
	}
}

// RetainCustomers withdraws the customers for which keep is false.
func (publishedState *PublishedState) RetainCustomers(keep func(peridotpath.CustomerID) bool) {
	publishedState.mu.Lock()
	defer publishedState.mu.Unlock()
	for id, found := range publishedState.customers {
		if !keep(id) {
			publishedState.setDropped(found)
		}
	}
}

// setDropped replaces the value by a tombstone. The entry is kept, so that
// receivers are sent the removal and its index is not reused.
func (publishedState *PublishedState) setDropped(entry *entry) {
	if entry.value.state != wire.State_STATE_DROPPED {
		publishedState.setValue(entry, value{state: wire.State_STATE_DROPPED})
	}
}

func (publishedState *PublishedState) endpointEntry(id peridotpath.EndpointID) *entry {
	if publishedState.endpoints == nil {
		publishedState.endpoints = map[peridotpath.EndpointID]*entry{}
	}
	found := publishedState.endpoints[id]
	if found == nil {
		found = publishedState.newEntry()
		found.endpoint = id
		publishedState.endpoints[id] = found
	}
	return found
}

func (publishedState *PublishedState) newEntry() *entry {
	publishedState.lastIndex++
	return &entry{index: publishedState.lastIndex}
}

func (publishedState *PublishedState) setValue(entry *entry, next value) {
	if entry.changedSequence > 0 && entry.value == next {
		return
	}
	publishedState.sequence++
	// A receiver deletes a dropped entry with its name, so the name is sent
	// again.
	needsName := entry.changedSequence == 0 || entry.value.state == wire.State_STATE_DROPPED
	if needsName || entry.value.rareFields() != next.rareFields() {
		entry.namedSequence = publishedState.sequence
	}
	// That an endpoint is leaving is sent without waiting for the next exchange:
	// until they receive it, the other instances continue to send it work.
	if next.state == wire.State_STATE_LEAVING && entry.value.state != next.state {
		publishedState.urgentSequence = publishedState.sequence
	}
	entry.value, entry.changedSequence = next, publishedState.sequence
}

// UrgentSequence returns the sequence of the last urgent change, which is sent to
// every receiver without waiting for the next exchange.
func (publishedState *PublishedState) UrgentSequence() uint64 {
	publishedState.mu.Lock()
	defer publishedState.mu.Unlock()
	return publishedState.urgentSequence
}

// BuildDigest returns the changes for a receiver that holds the epoch up to the
// sequence seen. The caller adds its own id and its position in the receiver's
// published state, as Instance, SeenEpoch and Seen.
func (publishedState *PublishedState) BuildDigest(now time.Time, epoch, seen uint64) *wire.Digest {
	publishedState.mu.Lock()
	defer publishedState.mu.Unlock()
	// A receiver that holds the state of an earlier run, or reports a sequence
	// that does not exist, is sent everything.
	if epoch != publishedState.Epoch || seen > publishedState.sequence {
		seen = 0
	}
	changed := publishedState.changedSince(seen)
	digest := &wire.Digest{Version: Version(), Epoch: publishedState.Epoch, Base: seen, Sequence: publishedState.sequence}
	if len(changed) > MaxEntries {
		changed = changed[:MaxEntries]
		digest.Sequence = changed[MaxEntries-1].changedSequence
	}
	for _, found := range changed {
		publishedState.appendEntry(digest, now, found)
	}
	digest.AgeMs = publishedState.oldestAge(now)
	return digest
}

// changedSince returns the entries that changed after seen, oldest change
// first, so that a truncated Digest contains all changes up to its last one.
func (publishedState *PublishedState) changedSince(seen uint64) []*entry {
	var changed []*entry
	if seen == publishedState.sequence {
		return nil
	}
	for _, found := range publishedState.endpoints {
		if found.changedSequence > seen {
			changed = append(changed, found)
		}
	}
	for _, found := range publishedState.customers {
		if found.changedSequence > seen {
			changed = append(changed, found)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.changedSequence, b.changedSequence) })
	return changed
}

func (publishedState *PublishedState) appendEntry(digest *wire.Digest, now time.Time, entry *entry) {
	includeName := entry.namedSequence > digest.Base
	if entry.endpoint == "" {
		encoded := &wire.CustomerEntry{Index: entry.index, Demand: entry.value.demand, State: entry.value.state}
		if includeName {
			encoded.Customer = string(entry.customer)
		}
		digest.Customers = append(digest.Customers, encoded)
		return
	}
	encoded := &wire.EndpointEntry{
		Index: entry.index, Running: entry.value.running, Waiting: entry.value.waiting,
		PrefillTokens: entry.value.prefill, KvUsed: entry.value.kvUsed, State: entry.value.state,
		Revision: entry.revision, AgeMs: toMillis(now.Sub(entry.asOf)),
	}
	if includeName {
		encoded.Endpoint = string(entry.endpoint)
		encoded.KvTokens, encoded.PrefillPerS, encoded.DecodePerS = entry.value.kvTokens, entry.value.prefillPerS, entry.value.decodePerS
	}
	digest.Endpoints = append(digest.Endpoints, encoded)
}

// oldestAge returns the age of the oldest report, without those of unreadable and
// of dropped endpoints.
func (publishedState *PublishedState) oldestAge(now time.Time) uint32 {
	oldest := now
	for _, found := range publishedState.endpoints {
		state := found.value.state
		if state != wire.State_STATE_DROPPED && state != wire.State_STATE_UNREAD && found.asOf.Before(oldest) {
			oldest = found.asOf
		}
	}
	return toMillis(now.Sub(oldest))
}

func toMillis(span time.Duration) uint32 {
	return uint32(min(max(span.Milliseconds(), 0), math.MaxInt32))
}
