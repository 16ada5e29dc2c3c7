// Package claim keeps the ledger that lets a request with an idempotency key
// run at most once, whichever instances its repeats reach.
//
// A key is claimed by a compare-and-swap on its bucket's value in the
// platform's key-value service before the request is dispatched. Claims and
// ends of claims that wait meanwhile ride in the bucket's next write, so the
// platform sees a number of writes bounded by buckets and not by requests.
// Safety rests on the swap alone: any number of instances may work on a bucket.
//
// docs/CLAIMS.md explains the mechanism and the windows that remain.
package claim
