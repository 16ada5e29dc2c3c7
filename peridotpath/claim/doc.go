// Package claim decides which instance may run a request with an idempotency key, so that
// the request runs at most once however many instances receive its repeats.
//
// Keys are hashed to a fixed number of buckets, each one value in the shared key-value
// store. A claim is a compare-and-swap on the bucket's value before the request is
// dispatched. While a write is in progress, further claims and ends of claims queue up and
// are committed together by the next write (group commit), so the number of store writes
// under heavy load depends on the number of buckets and not on that of requests.
// The compare-and-swap alone guarantees exclusion: any number of instances may write to a
// bucket. Each claim carries a unique attempt id. Its request may be dispatched only within
// the dispatch window, a limited time after the claim's write, as with a lease.
//
// docs/CLAIMS.md describes the mechanism and the remaining race conditions.
package claim
