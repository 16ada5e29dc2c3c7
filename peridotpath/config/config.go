// Package config keeps the operators' configuration in the platform's key-value
// service and follows its changes.
//
// The configuration is cut into documents, each with a revision of its own that
// grows by one with each accepted change. A Store reads all documents once
// (Load), follows changes (Run) and hands out what is in force as a Snapshot
// (Current). It applies a document only when its revision is higher than the one
// it holds, whatever source it came from, so what was in force never comes back.
//
// Few instances of a data centre watch the service; the others follow them with
// long polls, because a waiting watch counts as a call of the service.
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

// ErrNoPeers is what Peers returns when the membership list names no other
// live instance. It counts as contact: no other instance could serve better.
var ErrNoPeers = errs.Class("config: no peers")

// Defaults of the Store's fields.
const (
	// DefaultWait costs the platform one call in five seconds for each reader
	// at rest, and bounds how long a follower takes to notice that the instance
	// it follows is hung.
	DefaultWait = 5 * time.Second
	// DefaultStaleAfter is several waits, so that one lost poll sends no
	// follower to the platform.
	DefaultStaleAfter = 20 * time.Second
	// DefaultCutOffAfter leaves room for one try of either source at the
	// longest backoff.
	DefaultCutOffAfter = 30 * time.Second
)

// Store follows the configuration and changes it. Set the exported fields
// before Load; those that say so may stay zero.
type Store struct {
	KeyValue *keyvalue.Store
	Log      zerolog.Logger
	// IsReader says whether this instance watches the platform at present; nil
	// stands for always. See package ownership.
	IsReader func() bool
	// Peers asks other instances for documents above have, waiting up to wait
	// for one to come. With wait zero it asks several instances, so that the
	// highest revision any of them holds is found. nil stands for ErrNoPeers.
	Peers func(ctx context.Context, have Revisions, wait time.Duration) ([]Update, error)
	// Publish is called with each new snapshot, in order; it must not block.
	// nil stands for nothing.
	Publish func(snapshot *Snapshot)
	// Wait is the longest wait of one watch or long poll; zero for DefaultWait.
	Wait time.Duration
	// StaleAfter is how old a peer's contact with the platform may be before a
	// follower asks the platform itself; zero for DefaultStaleAfter.
	StaleAfter time.Duration
	// CutOffAfter is how long after the last contact with the platform or a
	// peer the instance stops being ready; zero for DefaultCutOffAfter.
	CutOffAfter time.Duration
	// Now is the clock that history is dated by; nil for time.Now.
	Now func() time.Time
	// Random returns a number from 0 to 1 for jitter; nil for the global source.
	Random func() float64

	current atomic.Pointer[Snapshot]

	version keyvalue.Version // the platform's version read last; Load and Run only

	mu      sync.Mutex
	fresh   time.Time     // when the platform was heard, here or by a peer
	contact time.Time     // when the platform or a peer was heard
	changed chan struct{} // closed when a new snapshot is in force
}

// Current returns what is in force, or nil before Load has succeeded. It is one
// atomic load and made for the path of a request.
func (store *Store) Current() *Snapshot { return store.current.Load() }

// Applied returns the revisions in force on this instance.
func (store *Store) Applied() Revisions {
	snapshot := store.Current()
	if snapshot == nil {
		return Revisions{}
	}
	return snapshot.Revisions()
}

// Ready reports whether the instance may take new callers: it has a
// configuration, and it heard the platform or a peer recently.
//
// The failure guarded against is an instance whose network is cut while callers
// still reach it: it would go on serving by rules that were changed elsewhere,
// with nothing to show for it. During an outage of the platform alone, all
// instances hear one another and stay ready.
func (store *Store) Ready() bool {
	return store.Current() != nil && time.Since(store.Contact()) < orDefault(store.CutOffAfter, DefaultCutOffAfter)
}

// Contact returns when the platform or a peer was last heard.
func (store *Store) Contact() time.Time {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.contact
}

// heard notes an answer that tells the platform's state of age ago.
func (store *Store) heard(age time.Duration) {
	store.mu.Lock()
	defer store.mu.Unlock()
	now := time.Now()
	store.contact = now
	if fresh := now.Add(-age); fresh.After(store.fresh) {
		store.fresh = fresh
	}
}

// age returns for how long the platform was not heard, here or by a peer.
func (store *Store) age() time.Duration {
	store.mu.Lock()
	defer store.mu.Unlock()
	return time.Since(store.fresh)
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

// isReader reports whether this instance watches the platform at present.
func (store *Store) isReader() bool { return store.IsReader == nil || store.IsReader() }

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

// take applies the documents that are newer than what is held, as one step for
// readers, and reports whether there were any.
func (store *Store) take(documents []Document) bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	before := store.current.Load()
	next := before
	if next == nil {
		next = emptySnapshot()
	}
	next, applied := next.with(documents, store.Log)
	if applied == 0 && before != nil {
		return false
	}
	store.current.Store(next)
	if store.changed != nil {
		close(store.changed)
	}
	store.changed = make(chan struct{})
	if store.Publish != nil {
		store.Publish(next)
	}
	return true
}

// changes returns the snapshot in force and a channel that is closed when
// another one is.
func (store *Store) changes() (*Snapshot, <-chan struct{}) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.changed == nil {
		store.changed = make(chan struct{})
	}
	return store.current.Load(), store.changed
}

// documentsOf returns the documents among entries.
func documentsOf(entries []keyvalue.Entry, log zerolog.Logger) []Document {
	documents := make([]Document, 0, len(entries))
	for _, entry := range entries {
		if entry.Deleted {
			// Documents are never deleted by this system. Whoever did it by
			// hand must not take the configuration out of force.
			refused("deleted").Inc()
			log.Error().Str("event", "config_document_deleted").Str("key", entry.Key).Send()
			continue
		}
		documents = append(documents, Document{Name: nameOf(entry.Key), Text: entry.Value})
	}
	return documents
}

// Revisions holds the revision of each document.
type Revisions map[DocumentName]peridotpath.Revision
