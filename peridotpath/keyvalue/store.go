// Package keyvalue is the client of the platform's key-value service: compare-and-swap,
// leases and watches. Store is the interface that the rest of the system uses, and
// Connect returns one that calls the service over HTTP. The package also tracks the
// store's epoch, which changes when the service is restored from an older copy, and
// rejects version numbers, leases and replies of an earlier epoch.
package keyvalue

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Version identifies the write that made an Entry: the era in the high bits and the
// service-wide number of the write in the low bits. It grows with each write to any key,
// also across a restore from an older copy. Zero means that the key does not exist.
type Version uint64

// numberBits is the width of the service's own number within a Version.
const numberBits = 44

// NewVersion returns the version with the given era and number; ErrInvalid where one of
// them exceeds its bits.
func NewVersion(era Era, number uint64) (Version, error) {
	if number>>numberBits != 0 || uint64(era)>>(64-numberBits) != 0 {
		return 0, ErrInvalid.New("no version holds number %d of era %d", number, era)
	}
	return Version(uint64(era)<<numberBits | number), nil
}

// Era returns the era of the write; zero for "no such key".
func (version Version) Era() Era { return Era(version >> numberBits) }

// Number returns the service's own number of the write.
func (version Version) Number() uint64 { return uint64(version) & (1<<numberBits - 1) }

// LeaseID identifies a lease; the zero value means no lease. It cannot serve as a fencing
// token: a lease granted earlier may acquire its key after a later one has expired.
// The Version of the write that acquired the key can.
type LeaseID struct {
	// Era is the era of the grant; in a later one the service may assign the number
	// to another client.
	Era    Era    `json:"era,omitempty"`
	Number uint64 `json:"number,omitempty"`
}

// IsUnset reports whether lease is the zero value.
func (lease LeaseID) IsUnset() bool { return lease == LeaseID{} }

// String returns the number, with its era where there is one.
func (lease LeaseID) String() string {
	if lease.Era == 0 {
		return strconv.FormatUint(lease.Number, 10)
	}
	return fmt.Sprintf("%d of era %d", lease.Number, lease.Era)
}

// Entry is a key with its value and version.
type Entry struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
	// Lease is the lease whose expiry deletes the entry, if any.
	Lease LeaseID `json:"lease,omitzero"`
	// Deleted marks a deletion; only watches return such entries.
	Deleted bool `json:"deleted,omitempty"`
}

// MaxValueBytes is the largest value that the service holds, in bytes.
const MaxValueBytes = 1 << 20

// The error classes. A Swap that fails with ErrConflict, ErrNotSent or ErrInvalid was not
// applied; after any other error it is unknown whether it was.
var (
	// ErrConflict means that the write was not applied: the key had a version other
	// than the expected one.
	ErrConflict = errs.Class("keyvalue: conflict")
	// ErrNotSent means that the call did not reach the service.
	ErrNotSent = errs.Class("keyvalue: not sent")
	// ErrUnavailable means that no valid reply was received; a write may have been applied.
	ErrUnavailable = errs.Class("keyvalue: unavailable")
	// ErrLeaseExpired means that the lease has expired.
	ErrLeaseExpired = errs.Class("keyvalue: lease gone")
	// ErrInvalid means that the call is malformed.
	ErrInvalid = errs.Class("keyvalue: invalid")
)

// Store is the set of calls of the key-value service. Adapters and tests supply their
// own functions.
type Store struct {
	// Get returns the entry; its Version is 0 when the key does not exist.
	Get func(ctx context.Context, key string) (Entry, error)
	// List returns the entries under prefix, sorted by key, and the version up
	// to which the listing is complete.
	List func(ctx context.Context, prefix string) ([]Entry, Version, error)
	// ListStale is List at a tenth of its cost; its result may be seconds old. Nil
	// where the service has no such call.
	ListStale func(ctx context.Context, prefix string) ([]Entry, Version, error)
	// GetIfChanged is a conditional get: it returns the entry if its version differs from
	// expect, and whether it differs. Nil where the service has no such call.
	GetIfChanged func(ctx context.Context, key string, expect Version) (Entry, bool, error)
	// Swap writes value if the key's version is expect (0: the key must not
	// exist) and returns the new version. A nil value deletes the key.
	Swap func(ctx context.Context, key string, expect Version, value []byte, lease LeaseID) (Version, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease to its ttl from now.
	Renew func(ctx context.Context, lease LeaseID) error
	// Release revokes the lease and deletes its entries.
	Release func(ctx context.Context, lease LeaseID) error
	// Watch is a long poll: it waits until an entry under prefix has a version above
	// after, or until wait has passed, and returns the changed entries and the version
	// to continue from. The service counts a pending watch as one call.
	Watch func(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Entry, Version, error)
	// TimeSinceDataLoss returns for how long the service is known not to have lost an
	// acknowledged write; nil where it never loses one.
	TimeSinceDataLoss func() time.Duration
}
