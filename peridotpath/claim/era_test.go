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

// startGuarded starts an instance whose platform may go back.
func (fleet *fleet) startGuarded(id peridotpath.InstanceID) *instance {
	return fleet.start(id, 1, func(ledger *claim.Ledger) {
		began := time.Now()
		eras := &keyvalue.EraTracker{Now: func() time.Duration { return time.Hour + time.Since(began) }}
		eras.OnEraChange = func(_, _ keyvalue.Era) { ledger.WentBack() }
		ledger.Store = (&memory.Link{Eras: eras}).Store(&fleet.platform)
	})
}

// The platform loses that a request was claimed and has ended. Its repeat at another instance
// is not granted: not while the loss may be unknown, and not afterwards.
func TestClaimThatThePlatformLost(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(is *is.I, held *claim.Claim)
		want claim.Standing
	}{
		"ended": {func(is *is.I, held *claim.Claim) {
			is.NoErr(held.Dispatch())
			is.NoErr(held.Finish(context.Background(), &claim.Answer{Status: 200}))
		}, claim.Done},
		"running": {func(is *is.I, held *claim.Claim) { is.NoErr(held.Dispatch()) }, claim.RunningElsewhere},
		// One that was given back did not run.
		"released": {func(is *is.I, held *claim.Claim) {
			is.NoErr(held.Release(context.Background(), &peridotpath.Result{Code: peridotpath.CodeStopping}))
		}, claim.Granted},
	} {
		t.Run(name, func(t *testing.T) {
			story(t, func(is *is.I, fleet *fleet) {
				first, second := fleet.startGuarded("a"), fleet.startGuarded("b")
				defer closeAll(is, second)
				first.granted(is, "early")
				second.standing(is, "other")
				before := fleet.platform.Snapshot()
				test.end(is, first.granted(is, "k"))
				time.Sleep(time.Second)

				fleet.platform.Restore(before)
				_, err := second.ask("k")
				is.True(isCode(err, peridotpath.CodePlatformDown))
				_, err = first.ask("met") // the first one meets the era, too
				is.True(isCode(err, peridotpath.CodePlatformDown))
				time.Sleep(5 * time.Second)
				is.Equal(second.standing(is, "k"), test.want)
				is.NoErr(first.stop())
			})
		})
	}
}

// An instance that knows an older state of the bucket writes just as the platform comes back
// with that state; what others claimed since is lost, and not for it to grant.
func TestClaimThatCrossesTheReturn(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.startGuarded("a"), fleet.startGuarded("b")
		defer closeAll(is, second)
		second.granted(is, "early")
		before := fleet.platform.Snapshot()
		is.NoErr(first.granted(is, "k").Dispatch())
		fleet.platform.Restore(before)
		_, err := second.ask("k")
		is.True(isCode(err, peridotpath.CodePlatformDown))
		_, err = first.ask("met")
		is.True(isCode(err, peridotpath.CodePlatformDown))
		time.Sleep(5 * time.Second)
		is.Equal(second.standing(is, "k"), claim.RunningElsewhere)
		is.NoErr(first.stop())
	})
}
