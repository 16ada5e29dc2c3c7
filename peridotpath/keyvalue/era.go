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

// Era counts how often the service came back from an older copy of itself. What it
// had acknowledged since the copy was made is gone then, leases too, and it gives the
// same numbers out again: the versions and leases of one era mean nothing in another.
type Era uint64

// Settling is how long after the service came back from a copy what others write there
// may still be missing or old: they write again what it has lost.
const Settling = 2200 * time.Millisecond

// Eras guards the use of a service that may come back from an older copy. Everything
// that is held by a number of the service goes through it: a number of an era that has
// ended is never sent, and an answer that came from another era than the call was made
// for is no answer. Set the exported fields before use; the zero value works where the
// service never goes back.
type Eras struct {
	// Now is a clock that goes on while the machine is suspended. Without one nothing settles
	// that is not proved.
	Now func() time.Duration
	// Risen is called when a new era was met, not at the first one; nil for nobody.
	Risen func(from, to Era)
	Log   zerolog.Logger

	current atomic.Uint64
	mutex   sync.Mutex
	known   bool
	// met is when the era was first met by any instance, as far as this one knows. A
	// start meets an era of which it does not know when it began; guessed says that met
	// is no more than that.
	met     time.Duration
	guessed bool
	// began is when this instance met its first era.
	began time.Duration
	// position is the first version that was read in this era; what has a higher one was
	// written in this era.
	position Version
}

// Current returns the newest era that was met; zero before the first.
func (eras *Eras) Current() Era { return Era(eras.current.Load()) }

// Met takes in the era of an answer of the service.
func (eras *Eras) Met(era Era) {
	eras.mutex.Lock()
	from, risen := eras.rise(era, eras.now())
	eras.mutex.Unlock()
	if risen {
		eras.announce(from, era, "store")
	}
}

// Heard takes in an era that another instance has met, and how long ago it was met first;
// dated is false where that instance does not know.
func (eras *Eras) Heard(era Era, ago time.Duration, dated bool) {
	eras.mutex.Lock()
	met := eras.now() - ago
	from, risen := eras.rise(era, met)
	if dated && era == eras.Current() && (eras.guessed || met < eras.met) {
		eras.met, eras.guessed = met, false
	}
	eras.mutex.Unlock()
	if risen {
		eras.announce(from, era, "peer")
	}
}

// rise makes an era the current one if it is newer, and reports whether it took another
// one's place.
func (eras *Eras) rise(era Era, met time.Duration) (Era, bool) {
	from := eras.Current()
	switch {
	case !eras.known:
		eras.known, eras.guessed = true, true
		eras.met, eras.began = math.MinInt64/2, eras.now()
	case era > from:
		eras.met, eras.guessed, eras.position = met, false, 0
	default:
		return from, false
	}
	eras.current.Store(uint64(era))
	return from, !eras.guessed
}

// The counters of what a new era costs.
var (
	eraRises          = metrics.NewCounter("peridotpath_store_eras_total")
	eraAnswersRefused = metrics.NewCounter(`peridotpath_store_era_given_up_total{what="answer"}`)
	eraCallsRefused   = metrics.NewCounter(`peridotpath_store_era_given_up_total{what="call"}`)
	eraLeasesGivenUp  = metrics.NewCounter(`peridotpath_store_era_given_up_total{what="lease"}`)
)

func (eras *Eras) announce(from, to Era, source string) {
	eras.Log.Warn().Uint64("era_before", uint64(from)).Uint64("era", uint64(to)).Str("source", source).Msg("store_went_back")
	eraRises.Inc()
	if eras.Risen != nil {
		eras.Risen(from, to)
	}
}

// Suspect says that something from an earlier era is left in the service: the current
// one is young, and where nothing else is known it counts as just met.
func (eras *Eras) Suspect() {
	eras.mutex.Lock()
	defer eras.mutex.Unlock()
	if eras.guessed && eras.met < 0 {
		eras.met = eras.now()
		eras.Log.Warn().Uint64("era", uint64(eras.Current())).Msg("store_era_is_young")
	}
}

// Age returns how long ago the era was first met, as far as this instance knows; false
// where it does not know that.
func (eras *Eras) Age() (time.Duration, bool) {
	eras.mutex.Lock()
	defer eras.mutex.Unlock()
	return eras.now() - eras.met, eras.known && !eras.guessed
}

// Unbroken returns for how long the service is known to have lost nothing. One that never
// went back has lost nothing ever.
func (eras *Eras) Unbroken() time.Duration {
	eras.mutex.Lock()
	defer eras.mutex.Unlock()
	switch {
	case eras.Current() == 0:
		return math.MaxInt64
	case eras.guessed:
		return eras.now() - eras.began
	}
	return eras.now() - eras.met
}

// Proves reports whether a reading that found the version shows the newest there is. In
// the moments after the service came back from a copy an older state stands in it until
// its writer has written again, and to take that for the newest would confirm what was
// taken back long ago.
func (eras *Eras) Proves(version Version) bool {
	eras.mutex.Lock()
	defer eras.mutex.Unlock()
	if version.Era() != eras.Current() {
		return false
	}
	return eras.settled() || eras.position != 0 && version > eras.position
}

// Settled reports whether what others write has been written again, as far as the service
// had lost it.
func (eras *Eras) Settled() bool {
	eras.mutex.Lock()
	defer eras.mutex.Unlock()
	return eras.settled()
}

func (eras *Eras) settled() bool { return !eras.known || eras.now()-eras.met >= Settling }

func (eras *Eras) now() time.Duration {
	if eras.Now == nil {
		return 0
	}
	return eras.Now()
}

// read notes a version up to which a reading was complete.
func (eras *Eras) read(version Version) {
	eras.mutex.Lock()
	defer eras.mutex.Unlock()
	if eras.position == 0 && version.Era() == eras.Current() {
		eras.position = version
	}
}

// Guard returns the service as the rest of the system is to use it. The service must
// call Met with the era of each of its answers before it returns it.
func (eras *Eras) Guard(service *Store) *Store {
	guard := &guard{eras: eras, service: service}
	store := &Store{
		Get: guard.get, Swap: guard.swap, Grant: guard.grant, Renew: guard.renew, Release: guard.release,
		List: guard.list, Unbroken: eras.Unbroken,
	}
	if service.ListStale != nil {
		store.ListStale = guard.listStale
	}
	if service.Check != nil {
		store.Check = guard.check
	}
	if service.Watch != nil {
		store.Watch = guard.watch
	}
	return store
}

type guard struct {
	eras    *Eras
	service *Store
}

// ended is the error of an answer from an era that has ended meanwhile: what it says is
// no longer so.
func (guard *guard) ended(version Version) error {
	if version == 0 || version.Era() == guard.eras.Current() {
		return nil
	}
	eraAnswersRefused.Inc()
	return ErrUnavailable.New("answer of era %d in era %d", version.Era(), guard.eras.Current())
}

func (guard *guard) get(ctx context.Context, key string) (Entry, error) {
	before := guard.eras.Current()
	entry, err := guard.service.Get(ctx, key)
	if err != nil {
		return Entry{}, err
	}
	if entry.Version == 0 && before != guard.eras.Current() {
		// No version tells of which era the absence is.
		return guard.service.Get(ctx, key)
	}
	return entry, guard.ended(entry.Version)
}

func (guard *guard) list(ctx context.Context, prefix string) ([]Entry, Version, error) {
	entries, version, err := guard.service.List(ctx, prefix)
	if err == nil {
		err = guard.ended(version)
	}
	if err != nil {
		return nil, 0, err
	}
	guard.eras.read(version)
	return entries, version, nil
}

func (guard *guard) listStale(ctx context.Context, prefix string) ([]Entry, Version, error) {
	entries, version, err := guard.service.ListStale(ctx, prefix)
	if err == nil {
		err = guard.ended(version)
	}
	if err != nil {
		return nil, 0, err
	}
	return entries, version, nil
}

// mostChecks bounds how often a key is looked at anew as the era rose meanwhile.
const mostChecks = 3

// check asks for the key's entry where the version is one of another era: the same number
// may stand for another write.
func (guard *guard) check(ctx context.Context, key string, expect Version) (Entry, bool, error) {
	for range mostChecks {
		asked := guard.eras.Current()
		if expect.Era() != asked {
			expect = 0
		}
		entry, changed, err := guard.service.Check(ctx, key, expect)
		if err != nil {
			return Entry{}, false, err
		}
		if guard.eras.Current() == asked {
			return entry, changed, guard.ended(entry.Version)
		}
	}
	return Entry{}, false, ErrUnavailable.New("%s: the era rose again and again", key)
}

func (guard *guard) watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Entry, Version, error) {
	asked := guard.eras.Current()
	if after != 0 && after.Era() != asked {
		// Nothing follows from a version of another era: the whole is read.
		return guard.list(ctx, prefix)
	}
	entries, version, err := guard.service.Watch(ctx, prefix, after, wait)
	if guard.eras.Current() != asked {
		return guard.list(ctx, prefix)
	}
	return entries, version, err
}

func (guard *guard) swap(ctx context.Context, key string, expect Version, value []byte, lease LeaseID) (Version, error) {
	era := guard.eras.Current()
	if expect != 0 && expect.Era() != era {
		eraCallsRefused.Inc()
		return 0, ErrConflict.New("%s: version %d of era %d in era %d", key, expect.Number(), expect.Era(), era)
	}
	if !lease.None() && lease.Era != era {
		eraCallsRefused.Inc()
		return 0, ErrLeaseGone.New("%d of era %d in era %d", lease.Number, lease.Era, era)
	}
	version, err := guard.service.Swap(ctx, key, expect, value, lease)
	if err != nil {
		return 0, err
	}
	if err := guard.ended(version); err != nil {
		return 0, err
	}
	if version.Era() == era {
		guard.eras.read(version)
		return version, nil
	}
	return 0, guard.undo(ctx, key, expect, version, lease)
}

// undo deals with a write that was made for one era and done in the next. One that hangs
// on a lease hangs on whoever's lease has that number now, and is taken back; of one that
// expected a version nobody knows what it replaced.
func (guard *guard) undo(ctx context.Context, key string, expect, version Version, lease LeaseID) error {
	if !lease.None() {
		if _, err := guard.service.Swap(ctx, key, version, nil, LeaseID{}); err != nil {
			guard.eras.Log.Warn().Str("key", key).Err(err).Msg("write_of_another_era_left")
		}
		return ErrLeaseGone.New("%d of era %d in era %d", lease.Number, lease.Era, version.Era())
	}
	return ErrUnavailable.New("%s: expected version %d of era %d, written in era %d", key, expect.Number(), expect.Era(), version.Era())
}

func (guard *guard) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	return guard.service.Grant(ctx, ttl)
}

// renew does not send the number of a lease of another era: it may be somebody else's.
func (guard *guard) renew(ctx context.Context, lease LeaseID) error {
	if lease.Era != guard.eras.Current() {
		eraLeasesGivenUp.Inc()
		return ErrLeaseGone.New("%d of era %d in era %d", lease.Number, lease.Era, guard.eras.Current())
	}
	if err := guard.service.Renew(ctx, lease); err != nil {
		return err
	}
	if lease.Era != guard.eras.Current() {
		eraLeasesGivenUp.Inc()
		return ErrLeaseGone.New("%d of era %d in era %d", lease.Number, lease.Era, guard.eras.Current())
	}
	return nil
}

func (guard *guard) release(ctx context.Context, lease LeaseID) error {
	if lease.Era != guard.eras.Current() {
		return nil
	}
	return guard.service.Release(ctx, lease)
}
