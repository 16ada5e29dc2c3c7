// Package digest holds what one instance publishes to the others and what it
// holds of theirs: for each endpoint that it owns the quantised load, and for
// each customer near its limit the demand. A Digest carries only what changed
// since the receiver's last one.
//
// The package does no input or output and reads no clock.
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
	// Protocol is the protocol that this code speaks.
	Protocol = 1
	// Oldest is the oldest protocol whose speakers can read our messages.
	Oldest = 1
	// MaxEntries bounds one Digest to about 3 kB; what does not fit comes with
	// the next one.
	MaxEntries = 128
)

// Version returns the version that goes with each message.
func Version() *wire.Version {
	return &wire.Version{Protocol: Protocol, ReadableBy: Oldest}
}

// Readable reports whether this code can make use of a message. One without a
// version is not of this protocol.
func Readable(version *wire.Version) bool {
	return version.GetProtocol() > 0 && version.GetReadableBy() <= Protocol
}

// value is what is published of an endpoint or customer, in codes.
type value struct {
	state                             wire.State
	running, waiting, prefill, kvUsed uint32
	kvTokens, prefillPerS, decodePerS uint32
	demand                            uint32
}

// described returns the part of the value that rarely changes.
func (value value) described() [3]uint32 {
	return [3]uint32{value.kvTokens, value.prefillPerS, value.decodePerS}
}

type entry struct {
	index    uint32
	endpoint peridotpath.EndpointID
	customer peridotpath.CustomerID
	value    value
	revision uint64
	asOf     time.Time
	// changed is the sequence of the last change, named that of the last
	// change of what is sent with the name.
	changed, named uint64
}

// Book is what this instance publishes. The zero Book with an Epoch is empty.
type Book struct {
	// Epoch tells this Book from any other, those of earlier runs included.
	Epoch uint64

	mu        sync.Mutex
	sequence  uint64
	endpoints map[peridotpath.EndpointID]*entry
	customers map[peridotpath.CustomerID]*entry
	count     uint32
	urgent    uint64
}

// PutEndpoint publishes an endpoint's report.
func (book *Book) PutEndpoint(id peridotpath.EndpointID, load peridotpath.Load) {
	book.mu.Lock()
	defer book.mu.Unlock()
	next := value{
		running: Quantise(int64(load.Running)), waiting: Quantise(int64(load.Waiting)),
		prefill: Quantise(int64(load.PrefillTokens)), kvUsed: Quantise(int64(load.KVUsed)),
		kvTokens: Quantise(int64(load.KVTokens)), prefillPerS: Quantise(int64(load.PrefillPerS)),
		decodePerS: Quantise(int64(load.DecodePerS)),
	}
	if load.Leaving {
		next.state = wire.State_STATE_LEAVING
	}
	found := book.endpoint(id)
	found.revision, found.asOf = load.Revision, load.AsOf
	book.put(found, next)
}

// Unread publishes that the endpoint's report cannot be read at present, so
// that the others do not take its last one for confirmed. They may then read it
// themselves: the fault can lie between this instance and the endpoint.
func (book *Book) Unread(id peridotpath.EndpointID) {
	book.mu.Lock()
	defer book.mu.Unlock()
	if found := book.endpoints[id]; found != nil && found.value.state == wire.State_STATE_UNSPECIFIED {
		next := found.value
		next.state = wire.State_STATE_UNREAD
		book.put(found, next)
	}
}

// PutCustomer publishes a customer's demand at this instance, in requests per second.
func (book *Book) PutCustomer(id peridotpath.CustomerID, demand float64) {
	book.mu.Lock()
	defer book.mu.Unlock()
	if book.customers == nil {
		book.customers = map[peridotpath.CustomerID]*entry{}
	}
	found := book.customers[id]
	if found == nil {
		found = book.add()
		found.customer = id
		book.customers[id] = found
	}
	book.put(found, value{demand: Quantise(int64(demand * demandScale))})
}

// demandScale turns requests per second into the unit of the wire form.
const demandScale = 1000

// Rounded returns a demand as the other instances see it.
func Rounded(perSecond float64) float64 {
	return float64(Figure(Quantise(int64(perSecond*demandScale)))) / demandScale
}

// KeepEndpoints withdraws the endpoints for which keep says no.
func (book *Book) KeepEndpoints(keep func(peridotpath.EndpointID) bool) {
	book.mu.Lock()
	defer book.mu.Unlock()
	for id, found := range book.endpoints {
		if !keep(id) {
			book.drop(found)
		}
	}
}

// KeepCustomers withdraws the customers for which keep says no.
func (book *Book) KeepCustomers(keep func(peridotpath.CustomerID) bool) {
	book.mu.Lock()
	defer book.mu.Unlock()
	for id, found := range book.customers {
		if !keep(id) {
			book.drop(found)
		}
	}
}

// drop keeps the entry, so that receivers hear of it and its index stays its own.
func (book *Book) drop(found *entry) {
	if found.value.state != wire.State_STATE_DROPPED {
		book.put(found, value{state: wire.State_STATE_DROPPED})
	}
}

func (book *Book) endpoint(id peridotpath.EndpointID) *entry {
	if book.endpoints == nil {
		book.endpoints = map[peridotpath.EndpointID]*entry{}
	}
	found := book.endpoints[id]
	if found == nil {
		found = book.add()
		found.endpoint = id
		book.endpoints[id] = found
	}
	return found
}

func (book *Book) add() *entry {
	book.count++
	return &entry{index: book.count}
}

func (book *Book) put(found *entry, next value) {
	if found.changed > 0 && found.value == next {
		return
	}
	book.sequence++
	// A receiver forgets a dropped entry with its name, so the name is sent again.
	forgotten := found.changed == 0 || found.value.state == wire.State_STATE_DROPPED
	if forgotten || found.value.described() != next.described() {
		found.named = book.sequence
	}
	// That an endpoint leaves may not wait for the next round: in that time
	// every other instance would go on sending it work.
	if next.state == wire.State_STATE_LEAVING && found.value.state != next.state {
		book.urgent = book.sequence
	}
	found.value, found.changed = next, book.sequence
}

// Urgent returns the sequence that every receiver should have without waiting
// for the next round.
func (book *Book) Urgent() uint64 {
	book.mu.Lock()
	defer book.mu.Unlock()
	return book.urgent
}

// Digest returns what changed for a receiver that holds seen of the epoch. It
// leaves empty who sends it and what that holds of the receiver.
func (book *Book) Digest(now time.Time, epoch, seen uint64) *wire.Digest {
	book.mu.Lock()
	defer book.mu.Unlock()
	// A receiver that holds an earlier run's table, or claims more than there
	// is, gets everything.
	if epoch != book.Epoch || seen > book.sequence {
		seen = 0
	}
	changed := book.changed(seen)
	digest := &wire.Digest{Version: Version(), Epoch: book.Epoch, Base: seen, Sequence: book.sequence}
	if len(changed) > MaxEntries {
		changed = changed[:MaxEntries]
		digest.Sequence = changed[MaxEntries-1].changed
	}
	for _, found := range changed {
		book.write(digest, now, found)
	}
	digest.AgeMs = book.age(now)
	return digest
}

// changed returns the entries that changed after seen, oldest change first, so
// that a Digest that is cut short has all changes up to its last one.
func (book *Book) changed(seen uint64) []*entry {
	var changed []*entry
	if seen == book.sequence {
		return nil
	}
	for _, found := range book.endpoints {
		if found.changed > seen {
			changed = append(changed, found)
		}
	}
	for _, found := range book.customers {
		if found.changed > seen {
			changed = append(changed, found)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.changed, b.changed) })
	return changed
}

func (book *Book) write(digest *wire.Digest, now time.Time, found *entry) {
	named := found.named > digest.Base
	if found.endpoint == "" {
		written := &wire.CustomerEntry{Index: found.index, Demand: found.value.demand, State: found.value.state}
		if named {
			written.Customer = string(found.customer)
		}
		digest.Customers = append(digest.Customers, written)
		return
	}
	written := &wire.EndpointEntry{
		Index: found.index, Running: found.value.running, Waiting: found.value.waiting,
		PrefillTokens: found.value.prefill, KvUsed: found.value.kvUsed, State: found.value.state,
		Revision: found.revision, AgeMs: millis(now.Sub(found.asOf)),
	}
	if named {
		written.Endpoint = string(found.endpoint)
		written.KvTokens, written.PrefillPerS, written.DecodePerS = found.value.kvTokens, found.value.prefillPerS, found.value.decodePerS
	}
	digest.Endpoints = append(digest.Endpoints, written)
}

// age returns the age of the oldest report that is being kept up.
func (book *Book) age(now time.Time) uint32 {
	oldest := now
	for _, found := range book.endpoints {
		state := found.value.state
		if state != wire.State_STATE_DROPPED && state != wire.State_STATE_UNREAD && found.asOf.Before(oldest) {
			oldest = found.asOf
		}
	}
	return millis(now.Sub(oldest))
}

func millis(span time.Duration) uint32 {
	return uint32(min(max(span.Milliseconds(), 0), math.MaxInt32))
}
