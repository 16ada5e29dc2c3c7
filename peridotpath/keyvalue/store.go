// Package keyvalue speaks to the platform's key-value service: compare-and-swap,
// leases and watches. Store is the narrow interface that the rest of the system
// stands on; Connect makes one that speaks HTTP to the service.
package keyvalue

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Version is the service-wide number of the write that made an Entry. It grows
// with each write to any key. Zero stands for "no such key".
type Version uint64

// LeaseID names a lease; zero stands for none. It is no fencing number: a lease
// that was granted early may take its key after a later one has come and gone.
// The Version of the write that took the key is one.
type LeaseID uint64

// Entry is one key with its value.
type Entry struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
	// Lease is the lease that the entry dies with, if any.
	Lease LeaseID `json:"lease,omitempty"`
	// Deleted marks a deletion in what a watch returns.
	Deleted bool `json:"deleted,omitempty"`
}

// MaxValue is the largest value that the service holds, in bytes.
const MaxValue = 1 << 20

// The classes of failure. A caller must treat any other error of Swap as
// "unknown whether it took effect".
var (
	// ErrConflict says that the swap certainly did not take effect: the key's
	// version was another.
	ErrConflict = errs.Class("keyvalue: conflict")
	// ErrNotSent says that the call certainly never reached the service.
	ErrNotSent = errs.Class("keyvalue: not sent")
	// ErrUnavailable says that no answer came; a write may have taken effect.
	ErrUnavailable = errs.Class("keyvalue: unavailable")
	// ErrLeaseGone says that the lease has lapsed.
	ErrLeaseGone = errs.Class("keyvalue: lease gone")
	// ErrInvalid says that the service refused the call as malformed.
	ErrInvalid = errs.Class("keyvalue: invalid")
)

// Store is the service as the rest of the system sees it. Each field is a
// seam: tests and adapters set their own.
type Store struct {
	// Get returns the entry; Version 0 when the key does not exist.
	Get func(ctx context.Context, key string) (Entry, error)
	// List returns the entries under prefix, sorted by key, and the version up
	// to which the listing is complete.
	List func(ctx context.Context, prefix string) ([]Entry, Version, error)
	// ListStale is List at a tenth of its price; what it returns may be seconds
	// old. Nil where the service has no such call.
	ListStale func(ctx context.Context, prefix string) ([]Entry, Version, error)
	// Check returns the key's entry where its version is another than expect, and
	// whether it is. Nil where the service has no such call.
	Check func(ctx context.Context, key string, expect Version) (Entry, bool, error)
	// Swap writes value if the key's version is expect (0: the key must not
	// exist) and returns the new version. A nil value deletes the key.
	Swap func(ctx context.Context, key string, expect Version, value []byte, lease LeaseID) (Version, error)
	// Grant makes a lease that lapses ttl after its last renewal.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew prolongs the lease by its ttl from now.
	Renew func(ctx context.Context, lease LeaseID) error
	// Release ends the lease and deletes its entries.
	Release func(ctx context.Context, lease LeaseID) error
	// Watch waits until an entry under prefix has a version above after, or
	// until wait is over, and returns what changed and the version to go on
	// from. A waiting watch counts as one call of the service.
	Watch func(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Entry, Version, error)
}
