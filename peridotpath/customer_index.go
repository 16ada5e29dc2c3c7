package peridotpath

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// indexBuckets is one bucket for each value of the first byte of a key's hash.
const indexBuckets = 256

// customerIndex finds customers by hashed key. Buckets are immutable, so copies of an
// index share the buckets that a change did not affect.
type customerIndex [indexBuckets][]*Customer

// bucketOf returns the bucket of a hashed key. Hashes that are not hexadecimal fail
// validation and are all in the first bucket.
func bucketOf(hash string) int {
	if len(hash) < 2 {
		return 0
	}
	first, err := strconv.ParseUint(hash[:2], 16, 8)
	if err != nil {
		return 0
	}
	return int(first)
}

// compareByKey orders customers by hashed key and then by id. Two customers can temporarily
// have the same key when two operators add the key to different documents at the same time,
// which a compare-and-swap of one document cannot prevent. Every instance then resolves the
// key to the lower id, in whichever order the documents arrive.
func compareByKey(a, b *Customer) int {
	if order := strings.Compare(a.KeySHA256, b.KeySHA256); order != 0 {
		return order
	}
	return cmp.Compare(a.ID, b.ID)
}

// find returns the customer that holds the hashed key, or nil.
func (index *customerIndex) find(hash string) *Customer {
	bucket := index[bucketOf(hash)]
	at, found := slices.BinarySearchFunc(bucket, hash, func(customer *Customer, hash string) int {
		return strings.Compare(customer.KeySHA256, hash)
	})
	if !found {
		return nil
	}
	return bucket[at]
}

// add inserts customers into an index that is not shared yet.
func (index *customerIndex) add(customers []Customer) {
	for i := range customers {
		bucket := bucketOf(customers[i].KeySHA256)
		index[bucket] = append(index[bucket], &customers[i])
	}
	for bucket := range index {
		slices.SortFunc(index[bucket], compareByKey)
	}
}

// replace rebuilds the buckets in which before and after differ.
func (index *customerIndex) replace(before, after []*Customer) {
	for bucket := range changedBuckets(before, after) {
		index[bucket] = rebuild(index[bucket], bucket, before, after)
	}
}

// changedBuckets returns the buckets whose customers differ between the lists.
func changedBuckets(before, after []*Customer) map[int]bool {
	old := make(map[CustomerID]*Customer, len(before))
	for _, customer := range before {
		old[customer.ID] = customer
	}
	buckets := map[int]bool{}
	for _, customer := range after {
		previous, existed := old[customer.ID]
		delete(old, customer.ID)
		if existed && *previous == *customer {
			continue
		}
		buckets[bucketOf(customer.KeySHA256)] = true
		if existed {
			buckets[bucketOf(previous.KeySHA256)] = true
		}
	}
	for _, customer := range old {
		buckets[bucketOf(customer.KeySHA256)] = true
	}
	return buckets
}

// rebuild returns a copy of one bucket without the customers of before and with those of
// after.
func rebuild(current []*Customer, bucket int, before, after []*Customer) []*Customer {
	removed := make(map[CustomerID]bool, len(before))
	for _, customer := range before {
		removed[customer.ID] = true
	}
	next := make([]*Customer, 0, len(current)+1)
	for _, customer := range current {
		if !removed[customer.ID] {
			next = append(next, customer)
		}
	}
	for _, customer := range after {
		if bucketOf(customer.KeySHA256) == bucket {
			next = append(next, customer)
		}
	}
	slices.SortFunc(next, compareByKey)
	return next
}
