// Package config replicates the operators' configuration of profiles, customers
// and drains from the platform's key-value service to every instance, and changes
// it by compare-and-swap.
//
// The configuration is sharded into documents, each with its own revision, which
// increases by one with each accepted change. A Store reads all documents once
// (Load), follows changes (Run) and returns the active configuration as an
// immutable Snapshot (Current). It applies a document from any source only if the
// document's revision is higher than the active one, so the active configuration
// never reverts.
//
// A pending watch counts as a call of the key-value service. To limit this load,
// only a few readers in each data centre watch the service; the other instances
// follow the readers with long polls.
package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/keyvalue"
)

// Error is the class of this package's errors.
var Error = errs.Class("config")

// ErrNoPeers is returned by Store.FetchFromPeers if the membership list has no other live
// instance. It counts as contact with a peer: the instance stays ready, because no other
// instance could serve its callers.
var ErrNoPeers = errs.Class("config: no peers")

// Defaults of the Store's fields.
const (
	// DefaultMaxPollWait causes one platform call every 5 s for each idle reader, and
	// bounds the time in which a follower detects that the instance it follows
	// hangs.
	DefaultMaxPollWait = 5 * time.Second
	// DefaultStaleAfter is several times DefaultMaxPollWait, so that followers do not
	// fall back to the platform after one lost poll.
	DefaultStaleAfter = 20 * time.Second
	// DefaultNotReadyAfter allows one attempt at each source after the longest
	// backoff.
	DefaultNotReadyAfter = 30 * time.Second
)

// Store follows the configuration and changes it. Set the exported fields before
// calling Load; fields with a documented default are optional.
type Store struct {
	KeyValue *keyvalue.Store
	Log      zerolog.Logger
	// IsReader reports whether this instance currently watches the platform; nil
	// for always. See package ownership.
	IsReader func() bool
	// FetchFromPeers fetches the documents with higher revisions than have from another
	// instance, with a long poll of up to wait. With wait zero it queries several
	// instances, to find the highest revision among them. nil stands for ErrNoPeers.
	FetchFromPeers func(ctx context.Context, have Revisions, wait time.Duration) ([]Update, error)
	// OnSnapshot is called with each new snapshot, in order, and must not block;
	// optional.
	OnSnapshot func(snapshot *Snapshot)
	// MaxPollWait is the maximum duration of one watch or long poll; zero for DefaultMaxPollWait.
	MaxPollWait time.Duration
	// StaleAfter is the time since the last platform contact of any peer after which a
	// follower reads the platform itself; zero for DefaultStaleAfter.
	StaleAfter time.Duration
	// NotReadyAfter is the time since the last contact with the platform or a peer
	// after which the instance is not ready; zero for DefaultNotReadyAfter.
	NotReadyAfter time.Duration
	// Now is the clock for history timestamps; nil for time.Now.
	Now func() time.Time
	// Random returns a number in [0, 1) for jitter; nil for the global source.
	Random func() float64

	current atomic.Pointer[Snapshot]

	platformVersion keyvalue.Version // last version read from the platform; used by Load and Run only

	mu              sync.Mutex
	platformContact time.Time     // last platform contact, by this instance or a peer
	lastContact     time.Time     // last contact with the platform or a peer
	changed         chan struct{} // closed when a new snapshot becomes active
}

// Current returns the active snapshot, or nil before Load has succeeded. It is one
// atomic load, cheap enough for each request.
func (store *Store) Current() *Snapshot { return store.current.Load() }

// ActiveRevisions returns the revisions that are active on this instance.
func (store *Store) ActiveRevisions() Revisions {
	snapshot := store.Current()
	if snapshot == nil {
		return Revisions{}
	}
	return snapshot.Revisions()
}

// Ready reports whether the instance may accept new callers: it has a
// configuration, and had recent contact with the platform or a peer.
//
// In a network partition in which callers still reach the instance, it would
// otherwise keep serving with an outdated configuration, without any visible
// symptom. During an outage of the platform alone, instances have contact with one
// another and stay ready.
func (store *Store) Ready() bool {
	return store.Current() != nil && time.Since(store.LastContact()) < orDefault(store.NotReadyAfter, DefaultNotReadyAfter)
}

// LastContact returns the time of the last contact with the platform or a peer.
func (store *Store) LastContact() time.Time {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.lastContact
}

// recordContact records a response that reflects the platform's state as it was age ago.
func (store *Store) recordContact(age time.Duration) {
	store.mu.Lock()
	defer store.mu.Unlock()
	now := time.Now()
	store.lastContact = now
	if platformContact := now.Add(-age); platformContact.After(store.platformContact) {
		store.platformContact = platformContact
	}
}

// platformAge returns the time since the last platform contact, by this instance or
// a peer.
func (store *Store) platformAge() time.Duration {
	store.mu.Lock()
	defer store.mu.Unlock()
	return time.Since(store.platformContact)
}

func (store *Store) now() time.Time {
	if store.Now == nil {
		return time.Now()
	}
	return store.Now()
}

func (store *Store) random() float64 {
	if store.Random == nil {
		return rand.Float64()
	}
	return store.Random()
}

// isReader reports whether this instance currently watches the platform.
func (store *Store) isReader() bool { return store.IsReader == nil || store.IsReader() }

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

// applyDocuments applies the documents that have higher revisions than the active
// ones, atomically for readers of the snapshot, and reports whether there were any.
func (store *Store) applyDocuments(documents []Document) bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	before := store.current.Load()
	next := before
	if next == nil {
		next = emptySnapshot()
	}
	next, applied := next.withDocuments(documents, store.Log)
	if applied == 0 && before != nil {
		return false
	}
	store.current.Store(next)
	if store.changed != nil {
		close(store.changed)
	}
	store.changed = make(chan struct{})
	if store.OnSnapshot != nil {
		store.OnSnapshot(next)
	}
	return true
}

// currentAndChanged returns the active snapshot and a channel that is closed when
// it is replaced.
func (store *Store) currentAndChanged() (*Snapshot, <-chan struct{}) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.changed == nil {
		store.changed = make(chan struct{})
	}
	return store.current.Load(), store.changed
}

// documentsOf converts entries to documents and skips deleted ones.
func documentsOf(entries []keyvalue.Entry, log zerolog.Logger) []Document {
	documents := make([]Document, 0, len(entries))
	for _, entry := range entries {
		if entry.Deleted {
			// This system never deletes documents. A manual deletion must not
			// deactivate the configuration.
			refusedCounter("deleted").Inc()
			log.Error().Str("event", "config_document_deleted").Str("key", entry.Key).Send()
			continue
		}
		documents = append(documents, Document{Name: documentName(entry.Key), Text: entry.Value})
	}
	return documents
}

// Revisions maps documents to their revisions.
type Revisions map[DocumentName]peridotpath.Revision
