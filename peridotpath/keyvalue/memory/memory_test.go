package memory_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
)

var background = context.Background()

func TestLeaseExpiryDeletesEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := (&memory.Memory{}).Store()
		lease, err := store.Grant(background, 10*time.Second)
		is.NoErr(err)
		version, err := store.Swap(background, "a", 0, []byte("x"), lease)
		is.NoErr(err)
		time.Sleep(9 * time.Second)
		is.NoErr(store.Renew(background, lease))
		begin := time.Now()
		entries, _, err := store.Watch(background, "a", version, time.Minute)
		is.NoErr(err)
		is.Equal(time.Since(begin), 10*time.Second) // the lease expires without another call
		is.True(entries[0].Deleted)
		_, err = store.Swap(background, "a", 0, []byte("x"), lease)
		is.True(keyvalue.ErrLeaseExpired.Has(err))
	})
}

func TestWatchTimeoutAndCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := (&memory.Memory{}).Store()
		begin := time.Now()
		entries, _, err := store.Watch(background, "a", 0, 5*time.Second)
		is.NoErr(err)
		is.Equal(len(entries), 0)
		is.Equal(time.Since(begin), 5*time.Second)
		ctx, cancel := context.WithTimeout(background, time.Second)
		defer cancel()
		_, _, err = store.Watch(ctx, "a", 0, 5*time.Second)
		is.True(keyvalue.ErrUnavailable.Has(err))
	})
}

// A fault is injected into a write. The caller must receive the error and the delay of that
// fault, and the service must apply the write at once, later or never, as the fault requires.
func TestInjectedFaultsOfWrite(t *testing.T) {
	tests := map[string]struct {
		fault        memory.Fault
		elapsed      time.Duration
		succeeds     bool
		applied      bool // when the call returns
		appliedLater bool // a minute after that
	}{
		"no fault":     {memory.Fault{}, 0, true, true, true},
		"slow request": {memory.Fault{RequestDelay: 2 * time.Second}, 2 * time.Second, true, true, true},
		"slow reply":   {memory.Fault{ReplyDelay: 2 * time.Second}, 2 * time.Second, true, true, true},
		"not sent":     {memory.Fault{NotSent: true}, 0, false, false, false},
		"reply lost":   {memory.Fault{ReplyLost: true}, 0, false, true, true},
		"applied late": {memory.Fault{AppliedAfter: 9 * time.Second}, 0, false, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				platform, link := &memory.Memory{}, &memory.Link{}
				link.SetFaults(func(string) memory.Fault { return test.fault })
				begin := time.Now()
				_, err := link.Store(platform).Swap(background, "a", 0, []byte("x"), keyvalue.LeaseID{})
				is.Equal(time.Since(begin), test.elapsed)
				is.Equal(err == nil, test.succeeds)
				is.Equal(keyvalue.ErrNotSent.Has(err), test.fault.NotSent)
				applied := func() bool {
					entry, err := platform.Store().Get(background, "a")
					is.NoErr(err)
					return entry.Version != 0
				}
				is.Equal(applied(), test.applied)
				time.Sleep(time.Minute)
				is.Equal(applied(), test.appliedLater)
			})
		})
	}
}
