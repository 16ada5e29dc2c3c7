// Package ownership computes which instance of a data centre looks after what:
// endpoints, claim buckets, and the watch on the platform's configuration. The
// owner of a key is the live instance with the highest rendezvous hash for it,
// so every instance computes the same table from the same membership list and a
// change of the list moves only the keys of the instances that changed.
//
// Ownership is a hint. The membership list lags, so two instances may both
// take themselves for the owner of a key, or none may. Nothing that must be
// right rests on it: that comes from compare-and-swap, from a lease with a
// fencing number, or from the endpoint's own refusal.
package ownership

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"peridotpath.example/peridotpath"
)

// Bucket numbers one of the parts that idempotency keys are spread over.
type Bucket uint32

// Kinds of key, hashed with it so that an instance that owns many endpoints by
// chance does not own many buckets too.
const (
	kindEndpoint = "endpoint/"
	kindBucket   = "bucket/"
	kindReader   = "config-reader/"
)

// Table says who owns what. It is never changed.
type Table struct {
	self      peridotpath.InstanceID
	live      []candidate // by id
	endpoints map[peridotpath.EndpointID]int32
	buckets   []int32
	readers   []peridotpath.Instance
}

// candidate is a live instance with its hash, computed once.
type candidate struct {
	peridotpath.Instance
	hash uint64
}

// Scope says what a Table covers.
type Scope struct {
	Self peridotpath.InstanceID
	// DataCentre limits the Table to one data centre; empty stands for all.
	DataCentre peridotpath.DataCentre
	// Buckets is the number of claim buckets.
	Buckets int
	// Readers is how many instances of the data centre watch the platform.
	Readers int
}

// wholeDomain is the largest number of live instances that make up one domain
// in spite of the data centres that they stand in.
const wholeDomain = 40

// Domain returns the data centre that a Scope covers: none, which stands for
// all of them, while the instances are few, and else one's own.
//
// Two or three instances in each data centre, as the users have today, would
// read each endpoint once for each data centre, and divide customers' limits
// among too few. With many instances everyone's exchange with everyone costs
// more than control may, so it ends at the data centre.
func Domain(own peridotpath.DataCentre, instances []peridotpath.Instance) peridotpath.DataCentre {
	live := 0
	for i := range instances {
		if instances[i].State == peridotpath.StateLive {
			live++
		}
	}
	if live <= wholeDomain {
		return ""
	}
	return own
}

// New computes the table of a data centre for the endpoints and all buckets.
// An instance that is leaving owns nothing: it hands over while it finishes.
func New(scope Scope, instances []peridotpath.Instance, endpoints []peridotpath.Endpoint) *Table {
	table := &Table{self: scope.Self, live: candidates(scope.DataCentre, instances)}
	table.endpoints = make(map[peridotpath.EndpointID]int32, len(endpoints))
	for i := range endpoints {
		id := endpoints[i].ID
		table.endpoints[id] = table.highest(hashOf(kindEndpoint, string(id)))
	}
	table.buckets = make([]int32, scope.Buckets)
	seed := hashOf(kindBucket, "")
	for bucket := range table.buckets {
		table.buckets[bucket] = table.highest(mix(seed + uint64(bucket)))
	}
	table.readers = table.highestFew(hashOf(kindReader, ""), scope.Readers)
	return table
}

// kindLease is the kind of key of the engines' leases.
const kindLease = "lease/"

// Candidates returns the live instances, count at the most, that try for the
// lease of that name in a data centre: its own, or where it has none any, since
// its engines would stay as they are for good.
func Candidates(instances []peridotpath.Instance, dataCentre peridotpath.DataCentre, name string, count int) []peridotpath.Instance {
	live := candidates(dataCentre, instances)
	if len(live) == 0 {
		live = candidates("", instances)
	}
	table := &Table{live: live}
	return table.highestFew(hashOf(kindLease, string(dataCentre)+"/"+name), count)
}

func candidates(dataCentre peridotpath.DataCentre, instances []peridotpath.Instance) []candidate {
	var live []candidate
	for _, instance := range instances {
		covered := dataCentre == "" || instance.DataCentre == dataCentre
		if covered && instance.State == peridotpath.StateLive {
			live = append(live, candidate{instance, xxhash.Sum64String(string(instance.ID))})
		}
	}
	slices.SortFunc(live, func(a, b candidate) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(live, func(a, b candidate) bool { return a.ID == b.ID })
}

func hashOf(kind, name string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(kind)
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// mix spreads a 64-bit value over all bits (the finaliser of splitmix64). With
// it, a pair of hashes costs a few multiplications and no hashing of strings.
func mix(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

func rank(instance, key uint64) uint64 { return mix(instance ^ mix(key)) }

// highest returns the index of the instance with the highest rank for the key,
// the lowest id among equals; -1 when there is none.
func (table *Table) highest(key uint64) int32 {
	best, at := uint64(0), int32(-1)
	for i := range table.live {
		if value := rank(table.live[i].hash, key); at < 0 || value > best {
			best, at = value, int32(i)
		}
	}
	return at
}

func (table *Table) highestFew(key uint64, count int) []peridotpath.Instance {
	ranked := slices.Clone(table.live)
	slices.SortStableFunc(ranked, func(a, b candidate) int { return cmp.Compare(rank(b.hash, key), rank(a.hash, key)) })
	few := make([]peridotpath.Instance, 0, count)
	for _, candidate := range ranked[:min(count, len(ranked))] {
		few = append(few, candidate.Instance)
	}
	return few
}

func (table *Table) at(index int32) (peridotpath.Instance, bool) {
	if index < 0 {
		return peridotpath.Instance{}, false
	}
	return table.live[index].Instance, true
}

// Endpoint returns the owner of an endpoint; false when no instance is live.
// An endpoint that the list did not have is computed on the spot.
func (table *Table) Endpoint(id peridotpath.EndpointID) (peridotpath.Instance, bool) {
	index, known := table.endpoints[id]
	if !known {
		index = table.highest(hashOf(kindEndpoint, string(id)))
	}
	return table.at(index)
}

// Owns reports whether this instance owns the endpoint.
func (table *Table) Owns(id peridotpath.EndpointID) bool {
	owner, ok := table.Endpoint(id)
	return ok && owner.ID == table.self
}

// BucketOf returns the bucket of an idempotency key.
func (table *Table) BucketOf(key string) Bucket {
	return Bucket(xxhash.Sum64String(key) % uint64(max(len(table.buckets), 1)))
}

// Bucket returns the owner of a bucket; false when no instance is live.
func (table *Table) Bucket(bucket Bucket) (peridotpath.Instance, bool) {
	if int(bucket) >= len(table.buckets) {
		return peridotpath.Instance{}, false
	}
	return table.at(table.buckets[bucket])
}

// Readers returns the instances that watch the platform, highest rank first.
// The slice is shared: do not change it.
func (table *Table) Readers() []peridotpath.Instance { return table.readers }

// IsReader reports whether this instance watches the platform.
func (table *Table) IsReader() bool {
	return slices.ContainsFunc(table.readers, func(reader peridotpath.Instance) bool { return reader.ID == table.self })
}

// Live returns how many instances take part.
func (table *Table) Live() int { return len(table.live) }

// Others returns the other instances that take part.
func (table *Table) Others() []peridotpath.Instance {
	others := make([]peridotpath.Instance, 0, len(table.live))
	for i := range table.live {
		if table.live[i].ID != table.self {
			others = append(others, table.live[i].Instance)
		}
	}
	return others
}

// OtherReaders returns the readers without this instance.
func (table *Table) OtherReaders() []peridotpath.Instance {
	return slices.DeleteFunc(slices.Clone(table.readers), func(reader peridotpath.Instance) bool { return reader.ID == table.self })
}

// Owners holds the table in force. Read it from any goroutine.
type Owners struct {
	// Scope's DataCentre is this instance's own; Set widens it by Domain.
	Scope Scope

	table atomic.Pointer[Table]
}

// Set computes the table for a new reading of the membership list.
//
// A reading without any live instance after one that had some is not believed.
// It is what a service says that was just restarted, and with it no endpoint
// would have an owner, and every instance would take the watch on the platform
// for its own.
func (owners *Owners) Set(instances []peridotpath.Instance, endpoints []peridotpath.Endpoint) {
	scope := owners.Scope
	scope.DataCentre = Domain(scope.DataCentre, instances)
	table := New(scope, instances, endpoints)
	if table.Live() == 0 && owners.Current().Live() > 0 {
		metrics.GetOrCreateCounter(`peridotpath_members_refused_total{reason="no_instances"}`).Inc()
		return
	}
	owners.table.Store(table)
}

// Current returns the table in force, one without instances before the first Set.
func (owners *Owners) Current() *Table {
	if table := owners.table.Load(); table != nil {
		return table
	}
	return &Table{self: owners.Scope.Self}
}
