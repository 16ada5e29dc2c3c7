package ownership_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/soak"
	"peridotpath.example/peridotpath/ownership"
)

const (
	bucketCount = 512
	// seedCount is the number of random seeds per property in CI, with 100 cases each.
	seedCount = 1
)

func instances(first, count int) []peridotpath.Instance {
	list := make([]peridotpath.Instance, count)
	for i := range list {
		id := peridotpath.InstanceID(fmt.Sprintf("instance-%d", first+i))
		list[i] = peridotpath.Instance{ID: id, DataCentre: "colombo-a", State: peridotpath.StateLive}
	}
	return list
}

func endpoints(count int) []peridotpath.Endpoint {
	list := make([]peridotpath.Endpoint, count)
	for i := range list {
		list[i].ID = peridotpath.EndpointID(fmt.Sprintf("engine-%d", i))
	}
	return list
}

func newTable(list []peridotpath.Instance, count int) *ownership.Table {
	scope := ownership.Scope{Self: "instance-0", DataCentre: "colombo-a", BucketCount: bucketCount, ReaderCount: 2}
	return ownership.New(scope, list, endpoints(count))
}

// When one instance fails, only its own endpoints and buckets may move. Partitioning by position
// in the list would move nearly all of them. Each move costs a full poll or a read of the bucket's
// ledger, while the fleet has the least spare capacity.
func TestRemovalMovesOnlyKeysOfRemovedInstance(t *testing.T) {
	soak.Check(t, seedCount, func(t *rapid.T) {
		list := instances(rapid.IntRange(0, 1000).Draw(t, "first"), rapid.IntRange(2, 40).Draw(t, "count"))
		removedIndex := rapid.IntRange(0, len(list)-1).Draw(t, "lost")
		before := newTable(list, 200)
		after := newTable(append(list[:removedIndex:removedIndex], list[removedIndex+1:]...), 200)
		for _, endpoint := range endpoints(200) {
			oldOwner, _ := before.EndpointOwner(endpoint.ID)
			newOwner, _ := after.EndpointOwner(endpoint.ID)
			if oldOwner.ID != list[removedIndex].ID && oldOwner.ID != newOwner.ID {
				t.Fatalf("endpoint %s moved from %s to %s, removed %s", endpoint.ID, oldOwner.ID, newOwner.ID, list[removedIndex].ID)
			}
		}
		for bucket := range ownership.Bucket(bucketCount) {
			oldOwner, _ := before.BucketOwner(bucket)
			newOwner, _ := after.BucketOwner(bucket)
			if oldOwner.ID != list[removedIndex].ID && oldOwner.ID != newOwner.ID {
				t.Fatalf("bucket %d moved from %s to %s", bucket, oldOwner.ID, newOwner.ID)
			}
		}
	})
}

func TestKeysAreEvenlyDistributed(t *testing.T) {
	soak.Check(t, seedCount, func(t *rapid.T) {
		list := instances(rapid.IntRange(0, 1000).Draw(t, "first"), rapid.IntRange(2, 16).Draw(t, "count"))
		table := newTable(list, 0)
		counts := map[peridotpath.InstanceID]int{}
		const keyCount = 8000
		for i := range keyCount {
			owner, _ := table.EndpointOwner(peridotpath.EndpointID(fmt.Sprintf("engine-%d", i)))
			counts[owner.ID]++
		}
		mean := keyCount / len(list)
		for id, count := range counts {
			// The bounds are six standard deviations of a uniform distribution at the smallest
			// mean.
			if count < mean*7/10 || count > mean*13/10 {
				t.Fatalf("%s owns %d of %d, mean %d", id, count, keyCount, mean)
			}
		}
	})
}

func TestTableIsIndependentOfListOrder(t *testing.T) {
	soak.Check(t, seedCount, func(t *rapid.T) {
		list := instances(0, 12)
		before := newTable(list, 50)
		after := newTable(rapid.Permutation(list).Draw(t, "order"), 50)
		for _, endpoint := range endpoints(50) {
			oldOwner, _ := before.EndpointOwner(endpoint.ID)
			newOwner, _ := after.EndpointOwner(endpoint.ID)
			if oldOwner.ID != newOwner.ID {
				t.Fatalf("%s has owner %s or %s", endpoint.ID, oldOwner.ID, newOwner.ID)
			}
		}
		if before.Readers()[0].ID != after.Readers()[0].ID || before.Readers()[1].ID != after.Readers()[1].ID {
			t.Fatalf("readers depend on the order of the list")
		}
	})
}

func TestParticipatingInstances(t *testing.T) {
	leaving := instances(1, 1)
	leaving[0].State = peridotpath.StateLeaving
	elsewhere := instances(2, 40)
	for i := range elsewhere {
		elsewhere[i].DataCentre = "negombo-b"
	}
	cases := []struct {
		name string
		list []peridotpath.Instance
		want peridotpath.InstanceID
		live int
	}{
		{"no instances", nil, "", 0},
		{"one instance", instances(0, 1), "instance-0", 1},
		{"leaving instance owns nothing", append(instances(0, 1), leaving...), "instance-0", 1},
		{"many instances: another data centre owns nothing", append(instances(0, 1), elsewhere...), "instance-0", 1},
		{"few instances: all data centres participate", append(instances(0, 1), elsewhere[:2]...), "instance-3", 3},
		{"instance listed twice", append(instances(0, 1), instances(0, 1)...), "instance-0", 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			owners := ownership.Owners{Scope: ownership.Scope{Self: "instance-0", DataCentre: "colombo-a", BucketCount: 4, ReaderCount: 2}}
			is.Equal(owners.Current().LiveCount(), 0)
			owners.Update(test.list, endpoints(3))
			table := owners.Current()
			have, ok := table.EndpointOwner("engine-1")
			is.Equal(have.ID, test.want)
			is.Equal(ok, test.live > 0)
			is.Equal(table.LiveCount(), test.live)
			is.Equal(len(table.OtherInstances()), max(test.live-1, 0))
			owner, _ := table.EndpointOwner("not-listed")
			is.Equal(table.OwnsEndpoint("not-listed"), owner.ID == "instance-0")
			readers := len(table.OtherReaders())
			if table.IsReader() {
				readers++
			}
			is.Equal(readers, min(test.live, 2))
			_, ok = table.BucketOwner(table.BucketOf("claim-7"))
			is.Equal(ok, test.live > 0)
		})
	}
}

// A membership service that has restarted returns an empty list for a while, which must be
// ignored. Otherwise every instance would watch the platform, with 530 concurrent long polls, and no
// endpoint would be polled by an owner.
func TestEmptyMembershipListIsIgnored(t *testing.T) {
	is := is.New(t)
	owners := ownership.Owners{Scope: ownership.Scope{Self: "instance-0", DataCentre: "colombo-a", ReaderCount: 2}}
	owners.Update(instances(0, 8), endpoints(3))
	before := owners.Current()
	owners.Update(nil, nil)
	is.Equal(owners.Current(), before)
	owners.Update(instances(0, 7), endpoints(3))
	is.Equal(owners.Current().LiveCount(), 7)
}
