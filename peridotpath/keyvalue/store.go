// Package keyvalue speaks to the platform's key-value service: compare-and-swap,
// leases and watches. Store is the narrow interface that the rest of the system
// stands on; Connect makes one that speaks HTTP to the service. Eras guards it where
// the service may come back from an older copy.
package keyvalue

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Version is the service-wide number of the write that made an Entry, above it the era
// that it belongs to, so that it grows with each write to any key, also where the service
// goes back to an older copy. Zero stands for "no such key".
type Version uint64

// numberBits is how much of a Version is the service's own number.
const numberBits = 44

// VersionOf returns the version of the service's number in an era.
func VersionOf(era Era, number uint64) (Version, error) {
	if number>>numberBits != 0 || uint64(era)>>(64-numberBits) != 0 {
		return 0, ErrInvalid.New("no version holds number %d of era %d", number, era)
	}
	return Version(uint64(era)<<numberBits | number), nil
}

// Era returns the era of the write; zero for "no such key".
func (version Version) Era() Era { return Era(version >> numberBits) }

// Number returns the number that the service gave the write.
func (version Version) Number() uint64 { return uint64(version) & (1<<numberBits - 1) }

// LeaseID names a lease; the zero value stands for none. It is no fencing number: a lease
// that was granted early may take its key after a later one has come and gone.
// The Version of the write that took the key is one.
type LeaseID struct {
	// Era is when it was granted; in a later one the service may give the number to
	// somebody else.
	Era    Era    `json:"era,omitempty"`
	Number uint64 `json:"number,omitempty"`
}

// None reports whether it names no lease.
func (lease LeaseID) None() bool { return lease == LeaseID{} }

// String returns the number, with its era where there is one.
func (lease LeaseID) String() string {
	if lease.Era == 0 {
		return strconv.FormatUint(lease.Number, 10)
	}
	return fmt.Sprintf("%d of era %d", lease.Number, lease.Era)
}

// Entry is one key with its value.
type Entry struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
	// Lease is the lease that the entry dies with, if any.
	Lease LeaseID `json:"lease,omitzero"`
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
	// Unbroken returns for how long the service is known to have lost nothing that it
	// acknowledged; nil where it never does.
	Unbroken func() time.Duration
}
