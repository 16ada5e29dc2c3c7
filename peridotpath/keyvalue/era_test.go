package keyvalue_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
)

// restorableStore is a service that can be restored from a copy, and one instance's guarded
// Store for it.
type restorableStore struct {
	service *memory.Memory
	eras    *keyvalue.EraTracker
	store   *keyvalue.Store
	now     time.Duration
}

func newRestorableStore(t *testing.T) *restorableStore {
	t.Helper()
	restorable := &restorableStore{service: &memory.Memory{}, now: time.Hour}
	restorable.eras = &keyvalue.EraTracker{Now: func() time.Duration { return restorable.now }}
	server := httptest.NewServer(restorable.service)
	t.Cleanup(server.Close)
	restorable.store = keyvalue.Connect(netip.MustParseAddrPort(server.Listener.Addr().String()), restorable.eras)
	return restorable
}

// After a restore the service reuses the numbers of versions and leases. A call with a
// number of the earlier era must not reach the service, where it would act on another
// client's write or lease.
func TestNumbersOfEarlierEraAreNotSent(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	restorable := newRestorableStore(t)
	other := restorable.service.Store() // a client without era checks
	first, err := restorable.store.Swap(ctx, "a", 0, []byte("first"), keyvalue.LeaseID{})
	is.NoErr(err)
	before := restorable.service.Snapshot()
	lost, err := restorable.store.Swap(ctx, "a", first, []byte("lost"), keyvalue.LeaseID{})
	is.NoErr(err)
	lease, err := restorable.store.Grant(ctx, time.Minute)
	is.NoErr(err)

	restorable.service.Restore(before)
	_, err = other.Swap(ctx, "a", first, []byte("another"), keyvalue.LeaseID{})
	is.NoErr(err)
	otherLease, err := other.Grant(ctx, time.Second)
	is.NoErr(err)
	is.Equal(otherLease.Number, lease.Number)
	entry, err := restorable.store.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(entry.Version.Number(), lost.Number())
	is.True(entry.Version > lost) // two writes never share a version

	_, err = restorable.store.Swap(ctx, "a", lost, []byte("mine"), keyvalue.LeaseID{})
	is.True(keyvalue.ErrConflict.Has(err))
	_, err = restorable.store.Swap(ctx, "b", 0, []byte("mine"), lease)
	is.True(keyvalue.ErrLeaseExpired.Has(err))
	is.True(keyvalue.ErrLeaseExpired.Has(restorable.store.Renew(ctx, lease)))
	is.NoErr(restorable.store.Release(ctx, lease))
	is.NoErr(other.Renew(ctx, otherLease)) // the other client's lease is still valid
	entry, err = other.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(entry.Value, []byte("another"))

	// A watch from the old version would wait for a number that the service reaches
	// only much later.
	entries, version, err := restorable.store.Watch(ctx, "a", lost, time.Minute)
	is.NoErr(err)
	is.Equal(len(entries), 1)
	is.Equal(version.Era(), keyvalue.Era(1))
}

// A write under a lease is in flight during a restore and is applied in the next era,
// under another client's lease with the same number. The write must be deleted and fail with
// ErrLeaseExpired.
func TestLeasedWriteAppliedInNextEraIsDeleted(t *testing.T) {
	is := is.New(t)
	eras := &keyvalue.EraTracker{}
	eras.Observe(3)
	version, err := keyvalue.NewVersion(4, 70)
	is.NoErr(err)
	var isDeleted bool
	store := eras.Guard(&keyvalue.Store{
		Swap: func(_ context.Context, _ string, expect keyvalue.Version, value []byte, _ keyvalue.LeaseID) (keyvalue.Version, error) {
			eras.Observe(4)
			isDeleted = value == nil && expect == version
			return version, nil
		},
	})
	_, err = store.Swap(t.Context(), "a", 0, []byte("mine"), keyvalue.LeaseID{Era: 3, Number: 5})
	is.True(keyvalue.ErrLeaseExpired.Has(err))
	is.True(isDeleted)

	// Without a lease it is unknown what such a write replaced.
	eras = &keyvalue.EraTracker{}
	eras.Observe(3)
	expect, err := keyvalue.NewVersion(3, 60)
	is.NoErr(err)
	store = eras.Guard(&keyvalue.Store{
		Swap: func(context.Context, string, keyvalue.Version, []byte, keyvalue.LeaseID) (keyvalue.Version, error) {
			eras.Observe(4)
			return version, nil
		},
	})
	_, err = store.Swap(t.Context(), "a", expect, []byte("mine"), keyvalue.LeaseID{})
	is.True(keyvalue.ErrUnavailable.Has(err))
}

// A reply of the previous era arrives after one of the next era. It is outdated and must
// be rejected.
func TestReplyOfEarlierEraIsRejected(t *testing.T) {
	is := is.New(t)
	eras := &keyvalue.EraTracker{}
	version, err := keyvalue.NewVersion(3, 60)
	is.NoErr(err)
	entry := keyvalue.Entry{Key: "a", Version: version}
	store := eras.Guard(&keyvalue.Store{
		Get: func(context.Context, string) (keyvalue.Entry, error) { return entry, nil },
		List: func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) {
			return []keyvalue.Entry{entry}, version, nil
		},
		ListStale: func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) {
			return []keyvalue.Entry{entry}, version, nil
		},
		GetIfChanged: func(context.Context, string, keyvalue.Version) (keyvalue.Entry, bool, error) { return entry, true, nil },
	})
	eras.Observe(3)
	_, err = store.Get(t.Context(), "a")
	is.NoErr(err)
	eras.Observe(4)
	eras.Observe(3) // a delayed reply
	is.Equal(eras.Current(), keyvalue.Era(4))
	_, err = store.Get(t.Context(), "a")
	is.True(keyvalue.ErrUnavailable.Has(err))
	_, _, err = store.List(t.Context(), "a")
	is.True(keyvalue.ErrUnavailable.Has(err))
	_, _, err = store.ListStale(t.Context(), "a")
	is.True(keyvalue.ErrUnavailable.Has(err))
	_, _, err = store.GetIfChanged(t.Context(), "a", 0)
	is.True(keyvalue.ErrUnavailable.Has(err))
}

// A conditional get is sent in one era and answered "unchanged" in the next, where the
// same number identifies another write. The entry must be read again.
func TestUnchangedReplyOfNextEraIsReadAgain(t *testing.T) {
	is := is.New(t)
	eras := &keyvalue.EraTracker{}
	eras.Observe(3)
	earlier, err := keyvalue.NewVersion(3, 60)
	is.NoErr(err)
	another, err := keyvalue.NewVersion(4, 60)
	is.NoErr(err)
	store := eras.Guard(&keyvalue.Store{
		GetIfChanged: func(_ context.Context, key string, expect keyvalue.Version) (keyvalue.Entry, bool, error) {
			eras.Observe(4)
			if expect.Number() == another.Number() {
				return keyvalue.Entry{}, false, nil
			}
			return keyvalue.Entry{Key: key, Version: another, Value: []byte("another")}, true, nil
		},
	})
	for range 2 { // while the era changes, and afterwards
		entry, changed, err := store.GetIfChanged(t.Context(), "a", earlier)
		is.NoErr(err)
		is.True(changed)
		is.Equal(entry.Value, []byte("another"))
	}
	_, changed, err := store.GetIfChanged(t.Context(), "a", another)
	is.NoErr(err)
	is.True(!changed)
}

// After a restore the store holds an older state until its writers have rewritten it.
// The older state must not count as the newest.
func TestRestoredStateIsNotNewest(t *testing.T) {
	version := func(era keyvalue.Era, number uint64) keyvalue.Version {
		version, err := keyvalue.NewVersion(era, number)
		if err != nil {
			t.Fatal(err)
		}
		return version
	}
	type step func(eras *keyvalue.EraTracker, now *time.Duration)
	observe := func(era keyvalue.Era) step {
		return func(eras *keyvalue.EraTracker, _ *time.Duration) { eras.Observe(era) }
	}
	wait := func(span time.Duration) step {
		return func(_ *keyvalue.EraTracker, now *time.Duration) { *now += span }
	}
	observePeer := func(era keyvalue.Era, age time.Duration, ageKnown bool) step {
		return func(eras *keyvalue.EraTracker, _ *time.Duration) { eras.ObservePeer(era, age, ageKnown) }
	}
	assumeRecent := func(eras *keyvalue.EraTracker, _ *time.Duration) { eras.AssumeRecentRestore() }
	// read makes a list call that returns that version.
	read := func(era keyvalue.Era, number uint64) step {
		return func(eras *keyvalue.EraTracker, _ *time.Duration) {
			store := eras.Guard(&keyvalue.Store{List: func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) {
				return nil, version(era, number), nil
			}})
			if _, _, err := store.List(t.Context(), ""); err != nil {
				t.Error(err)
			}
		}
	}
	tests := map[string]struct {
		steps []step
		era   keyvalue.Era
		want  bool
	}{
		"service without eras":                {nil, 0, true},
		"start":                               {[]step{observe(5)}, 5, true},
		"start in a recent era":               {[]step{observe(5), assumeRecent}, 5, false},
		"settled after a start":               {[]step{observe(5), assumeRecent, wait(keyvalue.SettleTime)}, 5, true},
		"peer reports an old era":             {[]step{observe(5), assumeRecent, observePeer(5, time.Minute, true)}, 5, true},
		"peer reports a recent era":           {[]step{observe(5), observePeer(5, time.Second, true)}, 5, false},
		"peer reports no age":                 {[]step{observe(5), observePeer(5, time.Second, false)}, 5, true},
		"restored":                            {[]step{observe(5), observe(6)}, 6, false},
		"restored and settled":                {[]step{observe(5), observe(6), wait(keyvalue.SettleTime)}, 6, true},
		"peer saw the era long before":        {[]step{observe(5), observe(6), observePeer(6, time.Minute, true)}, 6, true},
		"peer saw the era later":              {[]step{observe(5), observe(6), wait(2 * time.Second), observePeer(6, time.Second, true), wait(time.Second)}, 6, true},
		"restored twice":                      {[]step{observe(5), observe(6), wait(time.Minute), observe(7)}, 7, false},
		"two restores between replies":        {[]step{observe(5), observe(7)}, 7, false},
		"version of the previous era":         {[]step{observe(5), observe(6), wait(time.Minute)}, 5, false},
		"written after the first read":        {[]step{observe(5), observe(6), read(6, 40)}, 6, true},
		"written before the first read":       {[]step{observe(5), observe(6), read(6, 60)}, 6, false},
		"read in the previous era":            {[]step{observe(5), read(5, 40), observe(6)}, 6, false},
		"peer reports before the first reply": {[]step{observePeer(6, time.Second, true), observe(6)}, 6, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			eras := &keyvalue.EraTracker{Now: func() time.Duration { return now }}
			for _, step := range test.steps {
				step(eras, &now)
			}
			if have := eras.IsUpToDate(version(test.era, 50)); have != test.want {
				t.Errorf("have %v, want %v", have, test.want)
			}
		})
	}
}

// An era or number that exceeds its bits is refused, not truncated.
func TestVersionRefusesPartsOutOfRange(t *testing.T) {
	is := is.New(t)
	version, err := keyvalue.NewVersion(7, 1<<44-1)
	is.NoErr(err)
	is.Equal(version.Era(), keyvalue.Era(7))
	is.Equal(version.Number(), uint64(1<<44-1))
	_, err = keyvalue.NewVersion(7, 1<<44)
	is.True(keyvalue.ErrInvalid.Has(err))
	_, err = keyvalue.NewVersion(1<<20, 1)
	is.True(keyvalue.ErrInvalid.Has(err))
}
