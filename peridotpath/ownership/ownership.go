// Package ownership assigns endpoints, claim buckets and the watch on the platform's
// configuration to the instances of a data centre by rendezvous hashing. The owner of a key is
// the live instance with the highest hash for it, so every instance computes the same table
// from the same membership list, and a change of the list moves only the keys of the instances
// that were added or removed.
//
// Ownership is a hint. The membership list lags, so a key may temporarily have two owners or
// none. Correctness does not depend on it, but on compare-and-swap, on leases with fencing
// tokens, or on the endpoint's own refusal.
package ownership

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"peridotpath.example/peridotpath"
)

// Bucket is the number of a claim bucket. Idempotency keys are hashed to buckets.
type Bucket uint32

// Kinds of key. The kind is hashed together with the key, so that an instance that owns many
// endpoints by chance does not also own many buckets.
const (
	keyKindEndpoint = "endpoint/"
	keyKindBucket   = "bucket/"
	keyKindReader   = "config-reader/"
)

// Table is an immutable assignment of keys to instances.
type Table struct {
	self      peridotpath.InstanceID
	live      []candidate // sorted by id
	endpoints map[peridotpath.EndpointID]int32
	buckets   []int32
	readers   []peridotpath.Instance
}

// candidate is a live instance with the hash of its id.
type candidate struct {
	peridotpath.Instance
	hash uint64
}

// Scope selects the instances and keys of a Table.
type Scope struct {
	Self peridotpath.InstanceID
	// DataCentre limits the Table to the instances of one data centre; empty selects all.
	DataCentre peridotpath.DataCentre
	// BucketCount is the number of claim buckets.
	BucketCount int
	// ReaderCount is the number of instances that watch the configuration on the platform.
	ReaderCount int
}

// maxSingleDomainInstances is the largest number of live instances that form a single domain
// across data centres.
const maxSingleDomainInstances = 40

// DomainDataCentre returns the data centre that limits a Scope: empty, for all data centres, if
// there are at most maxSingleDomainInstances live instances, else the instance's own.
//
// With two or three instances per data centre, as is common, one domain per data centre would
// poll each endpoint once per data centre and divide customers' limits among too few
// instances. With many instances an exchange between all pairs would exceed the budget for
// control traffic, so exchanges are limited to the data centre.
func DomainDataCentre(local peridotpath.DataCentre, instances []peridotpath.Instance) peridotpath.DataCentre {
	live := 0
	for i := range instances {
		if instances[i].State == peridotpath.StateLive {
			live++
		}
	}
	if live <= maxSingleDomainInstances {
		return ""
	}
	return local
}

// New computes the Table of a Scope for the endpoints and all buckets. A leaving instance owns
// nothing, so that its keys move to their new owners while it finishes its requests.
func New(scope Scope, instances []peridotpath.Instance, endpoints []peridotpath.Endpoint) *Table {
	table := &Table{self: scope.Self, live: liveCandidates(scope.DataCentre, instances)}
	table.endpoints = make(map[peridotpath.EndpointID]int32, len(endpoints))
	for i := range endpoints {
		id := endpoints[i].ID
		table.endpoints[id] = table.topRankedIndex(hashKey(keyKindEndpoint, string(id)))
	}
	table.buckets = make([]int32, scope.BucketCount)
	seed := hashKey(keyKindBucket, "")
	for bucket := range table.buckets {
		table.buckets[bucket] = table.topRankedIndex(mix(seed + uint64(bucket)))
	}
	table.readers = table.topRanked(hashKey(keyKindReader, ""), scope.ReaderCount)
	return table
}

// keyKindLease is the kind of key of the leases of engine groups.
const keyKindLease = "lease/"

// LeaseCandidates returns at most count live instances that try to acquire the named lease of a
// data centre. They are instances of the data centre or, if the data centre has none, of any
// other. Otherwise nothing would change the engine groups of a data centre without instances.
func LeaseCandidates(instances []peridotpath.Instance, dataCentre peridotpath.DataCentre, name string, count int) []peridotpath.Instance {
	live := liveCandidates(dataCentre, instances)
	if len(live) == 0 {
		live = liveCandidates("", instances)
	}
	table := &Table{live: live}
	return table.topRanked(hashKey(keyKindLease, string(dataCentre)+"/"+name), count)
}

// liveCandidates returns the live instances of a data centre, sorted by id and without
// duplicates. An empty data centre selects all.
func liveCandidates(dataCentre peridotpath.DataCentre, instances []peridotpath.Instance) []candidate {
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

func hashKey(kind, name string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(kind)
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// mix is the finaliser of splitmix64, in which each input bit affects all output bits. It
// combines two hashes with a few multiplications, without hashing a string per pair.
func mix(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// rank returns the rendezvous hash of an instance and a key.
func rank(instance, key uint64) uint64 { return mix(instance ^ mix(key)) }

// topRankedIndex returns the index of the instance with the highest rank for the key, or -1 if
// there is no live instance. The lowest id wins a tie.
func (table *Table) topRankedIndex(key uint64) int32 {
	bestRank, bestIndex := uint64(0), int32(-1)
	for i := range table.live {
		if value := rank(table.live[i].hash, key); bestIndex < 0 || value > bestRank {
			bestRank, bestIndex = value, int32(i)
		}
	}
	return bestIndex
}

// topRanked returns the count instances with the highest ranks for the key, highest first.
func (table *Table) topRanked(key uint64, count int) []peridotpath.Instance {
	ranked := slices.Clone(table.live)
	slices.SortStableFunc(ranked, func(a, b candidate) int { return cmp.Compare(rank(b.hash, key), rank(a.hash, key)) })
	top := make([]peridotpath.Instance, 0, count)
	for _, candidate := range ranked[:min(count, len(ranked))] {
		top = append(top, candidate.Instance)
	}
	return top
}

func (table *Table) instanceAt(index int32) (peridotpath.Instance, bool) {
	if index < 0 {
		return peridotpath.Instance{}, false
	}
	return table.live[index].Instance, true
}

// EndpointOwner returns the owner of an endpoint, or false if no instance is live. The owner of
// an endpoint that was not listed is computed in the call.
func (table *Table) EndpointOwner(id peridotpath.EndpointID) (peridotpath.Instance, bool) {
	index, listed := table.endpoints[id]
	if !listed {
		index = table.topRankedIndex(hashKey(keyKindEndpoint, string(id)))
	}
	return table.instanceAt(index)
}

// OwnsEndpoint reports whether this instance owns the endpoint.
func (table *Table) OwnsEndpoint(id peridotpath.EndpointID) bool {
	owner, ok := table.EndpointOwner(id)
	return ok && owner.ID == table.self
}

// BucketOf returns the bucket of an idempotency key.
func (table *Table) BucketOf(key string) Bucket {
	return Bucket(xxhash.Sum64String(key) % uint64(max(len(table.buckets), 1)))
}

// BucketOwner returns the owner of a bucket, or false if no instance is live or the bucket does
// not exist.
func (table *Table) BucketOwner(bucket Bucket) (peridotpath.Instance, bool) {
	if int(bucket) >= len(table.buckets) {
		return peridotpath.Instance{}, false
	}
	return table.instanceAt(table.buckets[bucket])
}

// Readers returns the instances that watch the configuration on the platform, highest rank
// first. The slice is shared and must not be modified.
func (table *Table) Readers() []peridotpath.Instance { return table.readers }

// IsReader reports whether this instance watches the configuration on the platform.
func (table *Table) IsReader() bool {
	return slices.ContainsFunc(table.readers, func(reader peridotpath.Instance) bool { return reader.ID == table.self })
}

// LiveCount returns the number of live instances in the Table.
func (table *Table) LiveCount() int { return len(table.live) }

// OtherInstances returns the live instances in the Table without this one.
func (table *Table) OtherInstances() []peridotpath.Instance {
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

// Owners holds the active Table. Its methods are safe for concurrent use.
type Owners struct {
	// Scope has this instance's own data centre; it is extended to all data centres
	// if there are few instances.
	Scope Scope

	table atomic.Pointer[Table]
}

// Update computes and activates the Table for a new membership list.
//
// A list without a live instance after one with live instances is ignored. A membership
// service that has just restarted returns one, and with it no endpoint would have an owner and
// every instance would watch the platform.
func (owners *Owners) Update(instances []peridotpath.Instance, endpoints []peridotpath.Endpoint) {
	scope := owners.Scope
	scope.DataCentre = DomainDataCentre(scope.DataCentre, instances)
	table := New(scope, instances, endpoints)
	if table.LiveCount() == 0 && owners.Current().LiveCount() > 0 {
		metrics.GetOrCreateCounter(`peridotpath_members_refused_total{reason="no_instances"}`).Inc()
		return
	}
	owners.table.Store(table)
}

// Current returns the active Table. Before the first membership list it is a Table without
// instances.
func (owners *Owners) Current() *Table {
	if table := owners.table.Load(); table != nil {
		return table
	}
	return &Table{self: owners.Scope.Self}
}
