package claim_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
)

// startWithEras starts an instance that notices when the store is restored from an older
// copy.
func (fleet *fleet) startWithEras(id peridotpath.InstanceID) *instance {
	return fleet.start(id, 1, func(ledger *claim.Ledger) {
		began := time.Now()
		eras := &keyvalue.EraTracker{Now: func() time.Duration { return time.Hour + time.Since(began) }}
		eras.OnEraChange = func(_, _ keyvalue.Era) { ledger.MarkStoreRestored() }
		ledger.Store = (&memory.Link{Eras: eras}).Store(&fleet.store)
	})
}

// The store loses a claim, or its end, in a restore. A repeat at another instance must not
// be granted, neither right after the restore nor once the lost records are written back.
func TestClaimLostInARestoreIsNotGrantedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(is *is.I, held *claim.Claim)
		want claim.KeyStatus
	}{
		"ended": {func(is *is.I, held *claim.Claim) {
			is.NoErr(held.BeginDispatch())
			is.NoErr(held.Finish(context.Background(), &claim.Answer{Status: 200}))
		}, claim.Done},
		"running": {func(is *is.I, held *claim.Claim) { is.NoErr(held.BeginDispatch()) }, claim.RunningElsewhere},
		// A released request did not run.
		"released": {func(is *is.I, held *claim.Claim) {
			is.NoErr(held.Release(context.Background(), &peridotpath.Result{Code: peridotpath.CodeStopping}))
		}, claim.Granted},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(is *is.I, fleet *fleet) {
				first, second := fleet.startWithEras("a"), fleet.startWithEras("b")
				defer closeAll(is, second)
				first.mustClaim(is, "early")
				second.keyStatus(is, "other")
				before := fleet.store.Snapshot()
				test.end(is, first.mustClaim(is, "k"))
				time.Sleep(time.Second)

				fleet.store.Restore(before)
				_, err := second.claimKey("k")
				is.True(isCode(err, peridotpath.CodePlatformDown))
				_, err = first.claimKey("new") // the first instance observes the new era, too
				is.True(isCode(err, peridotpath.CodePlatformDown))
				time.Sleep(5 * time.Second)
				is.Equal(second.keyStatus(is, "k"), test.want)
				is.NoErr(first.stop())
			})
		})
	}
}

// Instance b caches a version of the bucket, instance a claims a key, and the store is
// restored to exactly the version that b has cached. A compare-and-swap by b would succeed,
// although the store has lost a's claim. Instance b must not grant the key.
func TestClaimOnARestoredVersionIsNotGranted(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.startWithEras("a"), fleet.startWithEras("b")
		defer closeAll(is, second)
		second.mustClaim(is, "early")
		before := fleet.store.Snapshot()
		is.NoErr(first.mustClaim(is, "k").BeginDispatch())
		fleet.store.Restore(before)
		_, err := second.claimKey("k")
		is.True(isCode(err, peridotpath.CodePlatformDown))
		_, err = first.claimKey("new")
		is.True(isCode(err, peridotpath.CodePlatformDown))
		time.Sleep(5 * time.Second)
		is.Equal(second.keyStatus(is, "k"), claim.RunningElsewhere)
		is.NoErr(first.stop())
	})
}
