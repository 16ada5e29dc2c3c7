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

// goingBack is a service that goes back, and one instance's guarded way to it.
type goingBack struct {
	service *memory.Memory
	eras    *keyvalue.Eras
	store   *keyvalue.Store
	now     time.Duration
}

func newGoingBack(t *testing.T) *goingBack {
	t.Helper()
	back := &goingBack{service: &memory.Memory{}, now: time.Hour}
	back.eras = &keyvalue.Eras{Now: func() time.Duration { return back.now }}
	server := httptest.NewServer(back.service)
	t.Cleanup(server.Close)
	back.store = keyvalue.Connect(netip.MustParseAddrPort(server.Listener.Addr().String()), back.eras)
	return back
}

// A key's number, a lease's number and a watch's number mean something else after the
// service came back from a copy, and nothing that rests on them is done.
func TestNumbersOfAnEndedEraAreNotSent(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	back := newGoingBack(t)
	other := back.service.Store() // somebody who knows nothing of eras
	first, err := back.store.Swap(ctx, "a", 0, []byte("first"), keyvalue.LeaseID{})
	is.NoErr(err)
	before := back.service.Copy()
	lost, err := back.store.Swap(ctx, "a", first, []byte("lost"), keyvalue.LeaseID{})
	is.NoErr(err)
	lease, err := back.store.Grant(ctx, time.Minute)
	is.NoErr(err)

	back.service.GoBack(before)
	_, err = other.Swap(ctx, "a", first, []byte("another"), keyvalue.LeaseID{})
	is.NoErr(err)
	theirs, err := other.Grant(ctx, time.Second)
	is.NoErr(err)
	is.Equal(theirs.Number, lease.Number)
	entry, err := back.store.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(entry.Version.Number(), lost.Number())
	is.True(entry.Version > lost) // a version never stands for two writes

	_, err = back.store.Swap(ctx, "a", lost, []byte("mine"), keyvalue.LeaseID{})
	is.True(keyvalue.ErrConflict.Has(err))
	_, err = back.store.Swap(ctx, "b", 0, []byte("mine"), lease)
	is.True(keyvalue.ErrLeaseGone.Has(err))
	is.True(keyvalue.ErrLeaseGone.Has(back.store.Renew(ctx, lease)))
	is.NoErr(back.store.Release(ctx, lease))
	is.NoErr(other.Renew(ctx, theirs)) // it was not ended for its holder
	entry, err = other.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(entry.Value, []byte("another"))

	// A watch would wait for a version that the service does not reach for long.
	entries, version, err := back.store.Watch(ctx, "a", lost, time.Minute)
	is.NoErr(err)
	is.Equal(len(entries), 1)
	is.Equal(version.Era(), keyvalue.Era(1))
}

// A write under a lease is on its way when the service goes back, and is done in the next
// era under whoever's lease has that number now.
func TestWriteThatCrossesTheReturnIsTakenBack(t *testing.T) {
	is := is.New(t)
	eras := &keyvalue.Eras{}
	eras.Met(3)
	version, err := keyvalue.VersionOf(4, 70)
	is.NoErr(err)
	var removed bool
	store := eras.Guard(&keyvalue.Store{
		Swap: func(_ context.Context, _ string, expect keyvalue.Version, value []byte, _ keyvalue.LeaseID) (keyvalue.Version, error) {
			eras.Met(4)
			removed = value == nil && expect == version
			return version, nil
		},
	})
	_, err = store.Swap(t.Context(), "a", 0, []byte("mine"), keyvalue.LeaseID{Era: 3, Number: 5})
	is.True(keyvalue.ErrLeaseGone.Has(err))
	is.True(removed)

	// What such a write replaced under another condition nobody knows.
	eras = &keyvalue.Eras{}
	eras.Met(3)
	expect, err := keyvalue.VersionOf(3, 60)
	is.NoErr(err)
	store = eras.Guard(&keyvalue.Store{
		Swap: func(context.Context, string, keyvalue.Version, []byte, keyvalue.LeaseID) (keyvalue.Version, error) {
			eras.Met(4)
			return version, nil
		},
	})
	_, err = store.Swap(t.Context(), "a", expect, []byte("mine"), keyvalue.LeaseID{})
	is.True(keyvalue.ErrUnavailable.Has(err))
}

// An answer of the era before comes after one of the next; what it says is no longer so.
func TestAnswerOfAnEndedEraIsNone(t *testing.T) {
	is := is.New(t)
	eras := &keyvalue.Eras{}
	version, err := keyvalue.VersionOf(3, 60)
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
		Check: func(context.Context, string, keyvalue.Version) (keyvalue.Entry, bool, error) { return entry, true, nil },
	})
	eras.Met(3)
	_, err = store.Get(t.Context(), "a")
	is.NoErr(err)
	eras.Met(4)
	eras.Met(3) // late, too
	is.Equal(eras.Current(), keyvalue.Era(4))
	_, err = store.Get(t.Context(), "a")
	is.True(keyvalue.ErrUnavailable.Has(err))
	_, _, err = store.List(t.Context(), "a")
	is.True(keyvalue.ErrUnavailable.Has(err))
	_, _, err = store.ListStale(t.Context(), "a")
	is.True(keyvalue.ErrUnavailable.Has(err))
	_, _, err = store.Check(t.Context(), "a", 0)
	is.True(keyvalue.ErrUnavailable.Has(err))
}

// "Unchanged" is said in the next era of a number that was asked about in the one before.
func TestUnchangedInAnotherEraIsAskedAnew(t *testing.T) {
	is := is.New(t)
	eras := &keyvalue.Eras{}
	eras.Met(3)
	known, err := keyvalue.VersionOf(3, 60)
	is.NoErr(err)
	another, err := keyvalue.VersionOf(4, 60)
	is.NoErr(err)
	store := eras.Guard(&keyvalue.Store{
		Check: func(_ context.Context, key string, expect keyvalue.Version) (keyvalue.Entry, bool, error) {
			eras.Met(4)
			if expect.Number() == another.Number() {
				return keyvalue.Entry{}, false, nil
			}
			return keyvalue.Entry{Key: key, Version: another, Value: []byte("another")}, true, nil
		},
	})
	for range 2 { // as the era is met, and afterwards
		entry, changed, err := store.Check(t.Context(), "a", known)
		is.NoErr(err)
		is.True(changed)
		is.Equal(entry.Value, []byte("another"))
	}
	_, changed, err := store.Check(t.Context(), "a", another)
	is.NoErr(err)
	is.True(!changed)
}

// An older state stands in the service until its writers have written again.
func TestOlderStateProvesNothing(t *testing.T) {
	version := func(era keyvalue.Era, number uint64) keyvalue.Version {
		version, err := keyvalue.VersionOf(era, number)
		if err != nil {
			t.Fatal(err)
		}
		return version
	}
	type step func(eras *keyvalue.Eras, now *time.Duration)
	met := func(era keyvalue.Era) step { return func(eras *keyvalue.Eras, _ *time.Duration) { eras.Met(era) } }
	wait := func(span time.Duration) step { return func(_ *keyvalue.Eras, now *time.Duration) { *now += span } }
	heard := func(era keyvalue.Era, ago time.Duration, dated bool) step {
		return func(eras *keyvalue.Eras, _ *time.Duration) { eras.Heard(era, ago, dated) }
	}
	suspect := func(eras *keyvalue.Eras, _ *time.Duration) { eras.Suspect() }
	// read lets a listing find the service at that number.
	read := func(era keyvalue.Era, number uint64) step {
		return func(eras *keyvalue.Eras, _ *time.Duration) {
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
		"a service without eras":              {nil, 0, true},
		"at a start":                          {[]step{met(5)}, 5, true},
		"at a start in a young era":           {[]step{met(5), suspect}, 5, false},
		"a while after that":                  {[]step{met(5), suspect, wait(keyvalue.Settling)}, 5, true},
		"a peer knows that it is old":         {[]step{met(5), suspect, heard(5, time.Minute, true)}, 5, true},
		"a peer knows that it is young":       {[]step{met(5), heard(5, time.Second, true)}, 5, false},
		"a peer does not know":                {[]step{met(5), heard(5, time.Second, false)}, 5, true},
		"the service went back":               {[]step{met(5), met(6)}, 6, false},
		"it has settled":                      {[]step{met(5), met(6), wait(keyvalue.Settling)}, 6, true},
		"a peer met it long before":           {[]step{met(5), met(6), heard(6, time.Minute, true)}, 6, true},
		"a peer met it later":                 {[]step{met(5), met(6), wait(2 * time.Second), heard(6, time.Second, true), wait(time.Second)}, 6, true},
		"it went back twice":                  {[]step{met(5), met(6), wait(time.Minute), met(7)}, 7, false},
		"two returns at once":                 {[]step{met(5), met(7)}, 7, false},
		"a version of the era before":         {[]step{met(5), met(6), wait(time.Minute)}, 5, false},
		"written since it was read":           {[]step{met(5), met(6), read(6, 40)}, 6, true},
		"written before it was read":          {[]step{met(5), met(6), read(6, 60)}, 6, false},
		"read in the era before":              {[]step{met(5), read(5, 40), met(6)}, 6, false},
		"heard of before the service is seen": {[]step{heard(6, time.Second, true), met(6)}, 6, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			eras := &keyvalue.Eras{Now: func() time.Duration { return now }}
			for _, step := range test.steps {
				step(eras, &now)
			}
			if have := eras.Proves(version(test.era, 50)); have != test.want {
				t.Errorf("have %v, want %v", have, test.want)
			}
		})
	}
}

// Versions that the type cannot hold are refused and not cut off.
func TestVersionHoldsItsParts(t *testing.T) {
	is := is.New(t)
	version, err := keyvalue.VersionOf(7, 1<<44-1)
	is.NoErr(err)
	is.Equal(version.Era(), keyvalue.Era(7))
	is.Equal(version.Number(), uint64(1<<44-1))
	_, err = keyvalue.VersionOf(7, 1<<44)
	is.True(keyvalue.ErrInvalid.Has(err))
	_, err = keyvalue.VersionOf(1<<20, 1)
	is.True(keyvalue.ErrInvalid.Has(err))
}
