package keyvalue

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// Era is the store's epoch: the number of times that the service was restored from an
// older copy. A restore loses the writes and leases acknowledged after the copy was made
// and reuses their numbers, so versions and lease numbers are valid within one era only.
type Era uint64

// SettleTime is the time after a restore within which all writers rewrite the entries that
// the restore lost. Until it has passed, entries may be missing or outdated.
const SettleTime = 2200 * time.Millisecond

// EraTracker tracks the current era of a service that may be restored from an older copy,
// and guards calls to it: version and lease numbers of an earlier era are never sent, and
// a reply of another era than the one in which the call was made is rejected. Set the
// exported fields before use; the zero value works where the service is never restored.
type EraTracker struct {
	// Now is a clock that advances while the machine is suspended. Without one an era
	// never settles by elapsed time.
	Now func() time.Duration
	// OnEraChange, if set, is called when the era changes. The first era seen is no change.
	OnEraChange func(from, to Era)
	Log         zerolog.Logger

	current       atomic.Uint64
	mutex         sync.Mutex
	isInitialised bool
	// firstSeenAt is the earliest known time at which any instance saw the current era.
	// firstSeenUnknown is set while that time is unknown: for the first era that the process
	// saw, until a peer reports its age. firstSeenAt is then an assumption.
	firstSeenAt      time.Duration
	firstSeenUnknown bool
	// trackedSince is when this instance saw its first era.
	trackedSince time.Duration
	// firstReadVersion is the first version that was read in this era. A higher version was
	// written in this era.
	firstReadVersion Version
}

// Current returns the newest era seen; zero before the first.
func (eraTracker *EraTracker) Current() Era { return Era(eraTracker.current.Load()) }

// Observe records the era of a reply of the service.
func (eraTracker *EraTracker) Observe(era Era) {
	eraTracker.mutex.Lock()
	from, hasChanged := eraTracker.advance(era, eraTracker.now())
	eraTracker.mutex.Unlock()
	if hasChanged {
		eraTracker.reportChange(from, era, "store")
	}
}

// ObservePeer records an era that a peer has seen, and its age: the time since any instance
// first saw it. ageKnown is false where the peer does not know the age.
func (eraTracker *EraTracker) ObservePeer(era Era, age time.Duration, ageKnown bool) {
	eraTracker.mutex.Lock()
	seenAt := eraTracker.now() - age
	from, hasChanged := eraTracker.advance(era, seenAt)
	if ageKnown && era == eraTracker.Current() && (eraTracker.firstSeenUnknown || seenAt < eraTracker.firstSeenAt) {
		eraTracker.firstSeenAt, eraTracker.firstSeenUnknown = seenAt, false
	}
	eraTracker.mutex.Unlock()
	if hasChanged {
		eraTracker.reportChange(from, era, "peer")
	}
}

// advance makes era the current one if it is newer. It returns the era before and whether
// the era has changed. The first era seen is no change.
func (eraTracker *EraTracker) advance(era Era, seenAt time.Duration) (Era, bool) {
	from := eraTracker.Current()
	switch {
	case !eraTracker.isInitialised:
		eraTracker.isInitialised, eraTracker.firstSeenUnknown = true, true
		eraTracker.firstSeenAt, eraTracker.trackedSince = math.MinInt64/2, eraTracker.now()
	case era > from:
		eraTracker.firstSeenAt, eraTracker.firstSeenUnknown, eraTracker.firstReadVersion = seenAt, false, 0
	default:
		return from, false
	}
	eraTracker.current.Store(uint64(era))
	return from, !eraTracker.firstSeenUnknown
}

// Counters of era changes, and of the replies, calls and leases that they invalidate.
var (
	eraChanges           = metrics.NewCounter("peridotpath_store_eras_total")
	staleRepliesRejected = metrics.NewCounter(`peridotpath_store_era_given_up_total{what="answer"}`)
	staleCallsRejected   = metrics.NewCounter(`peridotpath_store_era_given_up_total{what="call"}`)
	staleLeasesRejected  = metrics.NewCounter(`peridotpath_store_era_given_up_total{what="lease"}`)
)

func (eraTracker *EraTracker) reportChange(from, to Era, source string) {
	eraTracker.Log.Warn().Uint64("era_before", uint64(from)).Uint64("era", uint64(to)).Str("source", source).Msg("store_went_back")
	eraChanges.Inc()
	if eraTracker.OnEraChange != nil {
		eraTracker.OnEraChange(from, to)
	}
}

// AssumeRecentRestore must be called when the store still has an entry of an earlier era: the
// restore is then recent, and if the start of the current era is unknown, it is set to now.
func (eraTracker *EraTracker) AssumeRecentRestore() {
	eraTracker.mutex.Lock()
	defer eraTracker.mutex.Unlock()
	if eraTracker.firstSeenUnknown && eraTracker.firstSeenAt < 0 {
		eraTracker.firstSeenAt = eraTracker.now()
		eraTracker.Log.Warn().Uint64("era", uint64(eraTracker.Current())).Msg("store_era_is_young")
	}
}

// Age returns how long ago the current era was first seen by any instance; false where
// this instance does not know.
func (eraTracker *EraTracker) Age() (time.Duration, bool) {
	eraTracker.mutex.Lock()
	defer eraTracker.mutex.Unlock()
	return eraTracker.now() - eraTracker.firstSeenAt, eraTracker.isInitialised && !eraTracker.firstSeenUnknown
}

// TimeSinceDataLoss returns for how long the service is known not to have lost a write. A service
// that was never restored has lost none.
func (eraTracker *EraTracker) TimeSinceDataLoss() time.Duration {
	eraTracker.mutex.Lock()
	defer eraTracker.mutex.Unlock()
	switch {
	case eraTracker.Current() == 0:
		return math.MaxInt64
	case eraTracker.firstSeenUnknown:
		return eraTracker.now() - eraTracker.trackedSince
	}
	return eraTracker.now() - eraTracker.firstSeenAt
}

// IsUpToDate reports whether a read that returned version saw the newest state of its key.
// Just after a restore the store holds an older state until the key's writer has
// rewritten it; accepting that state as the newest would confirm, for example, a key
// that was revoked long ago.
func (eraTracker *EraTracker) IsUpToDate(version Version) bool {
	eraTracker.mutex.Lock()
	defer eraTracker.mutex.Unlock()
	if version.Era() != eraTracker.Current() {
		return false
	}
	return eraTracker.hasSettled() || eraTracker.firstReadVersion != 0 && version > eraTracker.firstReadVersion
}

// HasSettled reports whether SettleTime has passed since the era began, so that all writers
// have rewritten what the restore lost.
func (eraTracker *EraTracker) HasSettled() bool {
	eraTracker.mutex.Lock()
	defer eraTracker.mutex.Unlock()
	return eraTracker.hasSettled()
}

func (eraTracker *EraTracker) hasSettled() bool {
	return !eraTracker.isInitialised || eraTracker.now()-eraTracker.firstSeenAt >= SettleTime
}

func (eraTracker *EraTracker) now() time.Duration {
	if eraTracker.Now == nil {
		return 0
	}
	return eraTracker.Now()
}

// recordRead records the version up to which a read was complete.
func (eraTracker *EraTracker) recordRead(version Version) {
	eraTracker.mutex.Lock()
	defer eraTracker.mutex.Unlock()
	if eraTracker.firstReadVersion == 0 && version.Era() == eraTracker.Current() {
		eraTracker.firstReadVersion = version
	}
}

// Guard wraps service with the era checks. The service must report the era of
// each reply through EraTracker.Observe before it returns the reply.
func (eraTracker *EraTracker) Guard(service *Store) *Store {
	guard := &guard{eras: eraTracker, service: service}
	store := &Store{
		Get: guard.get, Swap: guard.swap, Grant: service.Grant, Renew: guard.renew, Release: guard.release,
		List: guard.list, TimeSinceDataLoss: eraTracker.TimeSinceDataLoss,
	}
	if service.ListStale != nil {
		store.ListStale = guard.listStale
	}
	if service.GetIfChanged != nil {
		store.GetIfChanged = guard.getIfChanged
	}
	if service.Watch != nil {
		store.Watch = guard.watch
	}
	return store
}

type guard struct {
	eras    *EraTracker
	service *Store
}

// checkEra returns an error if version belongs to another era than the current one: the
// reply is outdated.
func (guard *guard) checkEra(version Version) error {
	if version == 0 || version.Era() == guard.eras.Current() {
		return nil
	}
	staleRepliesRejected.Inc()
	return ErrUnavailable.New("answer of era %d in era %d", version.Era(), guard.eras.Current())
}

func (guard *guard) get(ctx context.Context, key string) (Entry, error) {
	before := guard.eras.Current()
	entry, err := guard.service.Get(ctx, key)
	if err != nil {
		return Entry{}, err
	}
	if entry.Version == 0 && before != guard.eras.Current() {
		// A missing key has no version, and so no era: read again in the new era.
		return guard.service.Get(ctx, key)
	}
	return entry, guard.checkEra(entry.Version)
}

func (guard *guard) list(ctx context.Context, prefix string) ([]Entry, Version, error) {
	entries, version, err := guard.listBy(ctx, guard.service.List, prefix)
	if err == nil {
		guard.eras.recordRead(version)
	}
	return entries, version, err
}

func (guard *guard) listStale(ctx context.Context, prefix string) ([]Entry, Version, error) {
	return guard.listBy(ctx, guard.service.ListStale, prefix)
}

// listBy lists by one of the service's calls, and rejects a list of another era.
func (guard *guard) listBy(ctx context.Context, list func(context.Context, string) ([]Entry, Version, error), prefix string) ([]Entry, Version, error) {
	entries, version, err := list(ctx, prefix)
	if err == nil {
		err = guard.checkEra(version)
	}
	if err != nil {
		return nil, 0, err
	}
	return entries, version, nil
}

// maxGetIfChangedAttempts bounds the reads of a key when the era changes during each of them.
const maxGetIfChangedAttempts = 3

// getIfChanged reads the entry unconditionally where expect is of another era: the same
// number may identify another write.
func (guard *guard) getIfChanged(ctx context.Context, key string, expect Version) (Entry, bool, error) {
	for range maxGetIfChangedAttempts {
		eraBefore := guard.eras.Current()
		if expect.Era() != eraBefore {
			expect = 0
		}
		entry, changed, err := guard.service.GetIfChanged(ctx, key, expect)
		if err != nil {
			return Entry{}, false, err
		}
		if guard.eras.Current() == eraBefore {
			return entry, changed, guard.checkEra(entry.Version)
		}
	}
	return Entry{}, false, ErrUnavailable.New("%s: the era changed during each of %d reads", key, maxGetIfChangedAttempts)
}

func (guard *guard) watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Entry, Version, error) {
	eraBefore := guard.eras.Current()
	if after != 0 && after.Era() != eraBefore {
		// A version of another era is no position to continue from: list everything.
		return guard.list(ctx, prefix)
	}
	entries, version, err := guard.service.Watch(ctx, prefix, after, wait)
	if guard.eras.Current() != eraBefore {
		return guard.list(ctx, prefix)
	}
	return entries, version, err
}

func (guard *guard) swap(ctx context.Context, key string, expect Version, value []byte, lease LeaseID) (Version, error) {
	era := guard.eras.Current()
	if expect != 0 && expect.Era() != era {
		staleCallsRejected.Inc()
		return 0, ErrConflict.New("%s: version %d of era %d in era %d", key, expect.Number(), expect.Era(), era)
	}
	if !lease.IsUnset() && lease.Era != era {
		staleCallsRejected.Inc()
		return 0, ErrLeaseExpired.New("%d of era %d in era %d", lease.Number, lease.Era, era)
	}
	version, err := guard.service.Swap(ctx, key, expect, value, lease)
	if err != nil {
		return 0, err
	}
	if err := guard.checkEra(version); err != nil {
		return 0, err
	}
	if version.Era() == era {
		guard.eras.recordRead(version)
		return version, nil
	}
	return 0, guard.resolveCrossEraWrite(ctx, key, expect, version, lease)
}

// resolveCrossEraWrite handles a write that was sent in one era and applied in the next.
// A write under a lease is bound to whichever lease has that number now, and is deleted.
// For a write without a lease it is unknown which entry it replaced, as after a lost reply.
func (guard *guard) resolveCrossEraWrite(ctx context.Context, key string, expect, version Version, lease LeaseID) error {
	if !lease.IsUnset() {
		if _, err := guard.service.Swap(ctx, key, version, nil, LeaseID{}); err != nil {
			guard.eras.Log.Warn().Str("key", key).Err(err).Msg("write_of_another_era_left")
		}
		return ErrLeaseExpired.New("%d of era %d in era %d", lease.Number, lease.Era, version.Era())
	}
	return ErrUnavailable.New("%s: expected version %d of era %d, written in era %d", key, expect.Number(), expect.Era(), version.Era())
}

// renew rejects a lease of another era: its number may belong to another client's lease.
func (guard *guard) renew(ctx context.Context, lease LeaseID) error {
	if lease.Era != guard.eras.Current() {
		staleLeasesRejected.Inc()
		return ErrLeaseExpired.New("%d of era %d in era %d", lease.Number, lease.Era, guard.eras.Current())
	}
	if err := guard.service.Renew(ctx, lease); err != nil {
		return err
	}
	if lease.Era != guard.eras.Current() {
		staleLeasesRejected.Inc()
		return ErrLeaseExpired.New("%d of era %d in era %d", lease.Number, lease.Era, guard.eras.Current())
	}
	return nil
}

func (guard *guard) release(ctx context.Context, lease LeaseID) error {
	if lease.Era != guard.eras.Current() {
		return nil
	}
	return guard.service.Release(ctx, lease)
}
