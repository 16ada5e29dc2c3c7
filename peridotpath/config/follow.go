package config

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/keyvalue"
)

const (
	minBackoff = 100 * time.Millisecond
	// maxBackoff bounds the load on the platform during an outage: about 530
	// instances that retry every 7.5 s on average make about 70 calls/s, a small
	// part of the platform's capacity of 2,000 calls/s. It also bounds the delay of
	// changes after an outage.
	maxBackoff = 10 * time.Second
	// pollGrace is the time allowed for a peer's response beyond the long poll's wait.
	pollGrace = time.Second
)

// Load reads the configuration once, from the platform and from peers, and takes
// each document at the highest revision found. The peers are needed while the platform
// is down or after it was restored from an old backup. Load returns an error if no
// source has a configuration; call Run in any case.
func (store *Store) Load(ctx context.Context) (*Snapshot, error) {
	listErr := store.listPlatform(ctx)
	pollErr := store.pollPeers(ctx, 0)
	if snapshot := store.Current(); snapshot != nil {
		return snapshot, nil
	}
	return nil, Error.New("load: %v", errs.Combine(listErr, pollErr))
}

// Run follows changes until ctx is done and returns ctx's error.
func (store *Store) Run(ctx context.Context) error {
	backoff, wait := minBackoff, store.pollWait()
	for ctx.Err() == nil {
		err := store.follow(ctx, wait)
		if err == nil {
			backoff, wait = minBackoff, store.pollWait()
			continue
		}
		// After a failure the next request does not long poll, because its
		// response may make the instance ready.
		wait = 0
		metrics.GetOrCreateCounter(`peridotpath_config_follow_errors_total`).Inc()
		store.Log.Warn().Str("event", "config_follow_failed").Err(err).Send()
		store.sleepWithJitter(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

// sleepWithJitter sleeps for a random time between half of limit and limit. Without jitter all
// instances would retry in lockstep after an outage and overload the platform.
func (store *Store) sleepWithJitter(ctx context.Context, limit time.Duration) {
	jitter := time.Duration(store.random() * float64(limit) / 2)
	timer := time.NewTimer(limit/2 + jitter)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// follow makes one watch or long poll of the instance's primary source, and falls
// back to the other source if the primary one fails: readers use the platform
// first, followers their peers. An instance whose primary source is unreachable thus
// switches without delay, and makes no more calls to the platform than a reader. follow returns an error if both sources
// failed.
func (store *Store) follow(ctx context.Context, wait time.Duration) error {
	if store.Current() == nil {
		_, err := store.Load(ctx)
		return err
	}
	primary, fallback := store.followPeers, store.watchPlatform
	if store.isReader() {
		primary, fallback = fallback, primary
	}
	err := primary(ctx, wait)
	if err == nil {
		return nil
	}
	metrics.GetOrCreateCounter(`peridotpath_config_fallbacks_total`).Inc()
	store.Log.Warn().Str("event", "config_fallback").Err(err).Send()
	if fallbackErr := fallback(ctx, wait); fallbackErr != nil {
		return errs.Combine(err, fallbackErr)
	}
	return nil
}

// followPeers polls the peers. It also returns an error if no peer had recent contact with
// the platform; otherwise a follower of a partitioned instance would keep an outdated
// configuration indefinitely.
func (store *Store) followPeers(ctx context.Context, wait time.Duration) error {
	if err := store.pollPeers(ctx, wait); err != nil {
		return err
	}
	if age := store.platformAge(); age >= orDefault(store.StaleAfter, DefaultStaleAfter) {
		return Error.New("no peer has had contact with the platform for %s", age)
	}
	return nil
}

func (store *Store) pollWait() time.Duration { return orDefault(store.MaxPollWait, DefaultMaxPollWait) }

// listPlatform reads all documents from the platform.
func (store *Store) listPlatform(ctx context.Context) error {
	entries, version, err := store.KeyValue.List(ctx, KeyPrefix)
	return store.applyPlatformRead(entries, version, err)
}

// watchPlatform reads the documents that changed since the platform was last read.
func (store *Store) watchPlatform(ctx context.Context, wait time.Duration) error {
	entries, version, err := store.KeyValue.Watch(ctx, KeyPrefix, store.platformVersion, wait)
	return store.applyPlatformRead(entries, version, err)
}

// applyPlatformRead applies the result of a list or watch. The version can decrease
// if the service was restored from a backup. The next watch continues from the lower
// version and so sees later writes.
func (store *Store) applyPlatformRead(entries []keyvalue.Entry, version keyvalue.Version, err error) error {
	if err != nil {
		return err
	}
	store.applyDocuments(documentsOf(entries, store.Log))
	store.platformVersion = version
	store.recordContact(0)
	return nil
}

// pollPeers fetches and applies the documents for which peers have higher revisions
// than this instance.
func (store *Store) pollPeers(ctx context.Context, wait time.Duration) error {
	if store.FetchFromPeers == nil {
		return store.recordNoPeers(ErrNoPeers.New("no peer source is configured"))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+pollGrace)
	defer cancel()
	updates, err := store.FetchFromPeers(ctx, store.ActiveRevisions(), wait)
	if err != nil {
		return store.recordNoPeers(err)
	}
	for _, update := range updates {
		store.applyDocuments(update.Documents)
		store.recordContact(update.AgeMS.Duration())
	}
	return nil
}

// recordNoPeers records a contact with a peer if err is ErrNoPeers, and returns err.
func (store *Store) recordNoPeers(err error) error {
	if ErrNoPeers.Has(err) && store.Current() != nil {
		store.recordContact(store.platformAge())
	}
	return err
}

// Update is the response of one instance to another's long poll.
type Update struct {
	Documents []Document `json:"documents"`
	// AgeMS is the time since the sender's last platform contact, direct or by way
	// of its peers.
	AgeMS peridotpath.Millis `json:"age_ms"`
}

// ErrNotLoaded reports that this instance has no configuration yet.
var ErrNotLoaded = errs.Class("config: not loaded")

// WaitForUpdate returns the documents with higher revisions than have, waiting up to wait
// for one. It serves the long polls that other instances make through Store.FetchFromPeers.
func (store *Store) WaitForUpdate(ctx context.Context, have Revisions, wait time.Duration) (Update, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		snapshot, changed := store.currentAndChanged()
		if snapshot == nil {
			return Update{}, ErrNotLoaded.New("")
		}
		if documents := snapshot.NewerThan(have); len(documents) > 0 {
			return store.newUpdate(documents), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return store.newUpdate(nil), nil
		case <-ctx.Done():
			return Update{}, Error.Wrap(ctx.Err())
		}
	}
}

func (store *Store) newUpdate(documents []Document) Update {
	return Update{Documents: documents, AgeMS: peridotpath.Millis(store.platformAge().Milliseconds())}
}
