package peridotpath

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// indexBuckets is the number of values of a key hash's first byte.
const indexBuckets = 256

// customerIndex finds customers by hashed key. Buckets are never changed in
// place, so copies of an index share those that a change did not touch.
type customerIndex [indexBuckets][]*Customer

// bucketOf returns the bucket of a hashed key. Keys that are not hexadecimal,
// which Validate refuses, share the first.
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

// compareByKey orders by key and then by id. Two customers can hold one key for
// a while when two operators add it at the same time to different documents,
// which one compare-and-swap can't prevent. Every instance then gives the key
// to the lower id, whatever the order in which the documents arrived.
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

// add puts customers into an index that nobody else reads yet.
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
	for bucket := range touched(before, after) {
		index[bucket] = rebuild(index[bucket], bucket, before, after)
	}
}

// touched returns the buckets whose customers are not the same in both lists.
func touched(before, after []*Customer) map[int]bool {
	old := make(map[CustomerID]*Customer, len(before))
	for _, customer := range before {
		old[customer.ID] = customer
	}
	buckets := map[int]bool{}
	for _, customer := range after {
		previous, known := old[customer.ID]
		delete(old, customer.ID)
		if known && *previous == *customer {
			continue
		}
		buckets[bucketOf(customer.KeySHA256)] = true
		if known {
			buckets[bucketOf(previous.KeySHA256)] = true
		}
	}
	for _, customer := range old {
		buckets[bucketOf(customer.KeySHA256)] = true
	}
	return buckets
}

// rebuild returns a copy of one bucket without before and with after.
func rebuild(current []*Customer, bucket int, before, after []*Customer) []*Customer {
	gone := make(map[CustomerID]bool, len(before))
	for _, customer := range before {
		gone[customer.ID] = true
	}
	next := make([]*Customer, 0, len(current)+1)
	for _, customer := range current {
		if !gone[customer.ID] {
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
