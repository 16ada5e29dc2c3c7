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
	backoffStart = 100 * time.Millisecond
	// backoffLimit bounds what an outage costs the platform: some 530 instances
	// that try every 7.5 s on average make about 70 calls a second, a small part
	// of its two thousand. It also bounds how late a change comes into force
	// after the outage.
	backoffLimit = 10 * time.Second
	// pollGrace is how much longer than its wait a peer's answer may take.
	pollGrace = time.Second
)

// Load reads the configuration once, from the platform and from peers: each
// document at the highest revision that any of them holds. Peers matter while
// the platform is down, and when it was restored from an old copy. Load returns
// an error when nobody has a configuration; call Run in any case.
func (store *Store) Load(ctx context.Context) (*Snapshot, error) {
	listed := store.list(ctx)
	asked := store.ask(ctx, 0)
	if snapshot := store.Current(); snapshot != nil {
		return snapshot, nil
	}
	return nil, Error.New("load: %v", errs.Combine(listed, asked))
}

// Run follows the changes until ctx is done and returns its error.
func (store *Store) Run(ctx context.Context) error {
	backoff, wait := backoffStart, store.wait()
	for ctx.Err() == nil {
		err := store.follow(ctx, wait)
		if err == nil {
			backoff, wait = backoffStart, store.wait()
			continue
		}
		// The first answer after a silence shall come at once, not after a
		// wait: it may turn the instance ready.
		wait = 0
		metrics.GetOrCreateCounter(`peridotpath_config_follow_errors_total`).Inc()
		store.Log.Warn().Str("event", "config_follow_failed").Err(err).Send()
		store.pause(ctx, backoff)
		backoff = min(2*backoff, backoffLimit)
	}
	return ctx.Err()
}

// pause waits for a half to the whole of limit. Without the random part all
// instances would come back to the platform in step after an outage.
func (store *Store) pause(ctx context.Context, limit time.Duration) {
	jitter := time.Duration(store.random() * float64(limit) / 2)
	timer := time.NewTimer(limit/2 + jitter)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// follow waits for changes once, at this instance's first source, and for as
// long at the other one when the first gives nothing of use. So an instance
// whose source is gone loses no time, and makes no more calls than a reader. An
// error says that neither source is of use.
func (store *Store) follow(ctx context.Context, wait time.Duration) error {
	if store.Current() == nil {
		_, err := store.Load(ctx)
		return err
	}
	first, second := store.fromPeers, store.watch
	if store.isReader() {
		first, second = second, first
	}
	err := first(ctx, wait)
	if err == nil {
		return nil
	}
	metrics.GetOrCreateCounter(`peridotpath_config_fallbacks_total`).Inc()
	store.Log.Warn().Str("event", "config_fallback").Err(err).Send()
	if failure := second(ctx, wait); failure != nil {
		return errs.Combine(err, failure)
	}
	return nil
}

// fromPeers also fails when peers answer but have not heard the platform for
// long: a follower of an instance that is cut off would otherwise stay on old
// rules for good.
func (store *Store) fromPeers(ctx context.Context, wait time.Duration) error {
	if err := store.ask(ctx, wait); err != nil {
		return err
	}
	if age := store.age(); age >= orDefault(store.StaleAfter, DefaultStaleAfter) {
		return Error.New("the peers have not heard the platform for %s", age)
	}
	return nil
}

func (store *Store) wait() time.Duration { return orDefault(store.Wait, DefaultWait) }

// list reads all documents from the platform.
func (store *Store) list(ctx context.Context) error {
	entries, version, err := store.KeyValue.List(ctx, KeyPrefix)
	return store.read(entries, version, err)
}

// watch reads the documents that changed since the platform was last read.
func (store *Store) watch(ctx context.Context, wait time.Duration) error {
	entries, version, err := store.KeyValue.Watch(ctx, KeyPrefix, store.version, wait)
	return store.read(entries, version, err)
}

// read takes in an answer of the platform. Its version may go down when the
// service was restored from a copy. Going on from the lower one, the next watch
// sees what is written from then on.
func (store *Store) read(entries []keyvalue.Entry, version keyvalue.Version, err error) error {
	if err != nil {
		return err
	}
	store.take(documentsOf(entries, store.Log))
	store.version = version
	store.heard(0)
	return nil
}

// ask takes in what peers hold above the revisions in force.
func (store *Store) ask(ctx context.Context, wait time.Duration) error {
	if store.Peers == nil {
		return store.alone(ErrNoPeers.New("none are set"))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+pollGrace)
	defer cancel()
	updates, err := store.Peers(ctx, store.Applied(), wait)
	if err != nil {
		return store.alone(err)
	}
	for _, update := range updates {
		store.take(update.Documents)
		store.heard(update.AgeMS.Duration())
	}
	return nil
}

// alone notes contact when err says that there are no peers to hear.
func (store *Store) alone(err error) error {
	if ErrNoPeers.Has(err) && store.Current() != nil {
		store.heard(store.age())
	}
	return err
}

// Update is what one instance hands to another.
type Update struct {
	Documents []Document `json:"documents"`
	// AgeMS is for how long the giver has not heard the platform.
	AgeMS peridotpath.Millis `json:"age_ms"`
}

// ErrNotLoaded says that this instance has no configuration to hand out.
var ErrNotLoaded = errs.Class("config: not loaded")

// Changes returns the documents above have, waiting up to wait for one. Other
// instances' Peers end here.
func (store *Store) Changes(ctx context.Context, have Revisions, wait time.Duration) (Update, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		snapshot, changed := store.changes()
		if snapshot == nil {
			return Update{}, ErrNotLoaded.New("")
		}
		if documents := snapshot.Above(have); len(documents) > 0 {
			return store.update(documents), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return store.update(nil), nil
		case <-ctx.Done():
			return Update{}, Error.Wrap(ctx.Err())
		}
	}
}

func (store *Store) update(documents []Document) Update {
	return Update{Documents: documents, AgeMS: peridotpath.Millis(store.age().Milliseconds())}
}
