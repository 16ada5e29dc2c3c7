package claim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim"
	"peridotpath.example/peridotpath/clock"
)

// An instance freezes between claim and dispatch, and the membership list removes it. A
// caller repeats at another instance, receives an unknown outcome, and sends the request
// again under another key. If the frozen instance resumed and dispatched then, the request
// would run twice. BeginDispatch must refuse, also if the frozen instance's clock runs slow.
func TestFrozenInstanceCannotDispatchAfterResuming(t *testing.T) {
	for name, clockRate := range map[string]time.Duration{"clocks alike": 20, "claimer's clock a twentieth slow": 19} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(is *is.I, fleet *fleet) {
				begin := time.Now()
				now := func() time.Time { return begin.Add(time.Since(begin) * clockRate / 20) }
				frozen := fleet.start("a", 1, func(ledger *claim.Ledger) { ledger.Clock = clock.Clock{Now: now, Wall: now} })
				observer := fleet.start("b", 1, nil)
				defer closeAll(is, frozen, observer)
				held := frozen.mustClaim(is, "k")
				fleet.markDead(frozen)
				var status claim.KeyStatus
				for status = observer.keyStatus(is, "k"); status == claim.RunningElsewhere; status = observer.keyStatus(is, "k") {
					// The claim may be dispatched for as long as callers receive "running
					// elsewhere".
					time.Sleep(100 * time.Millisecond)
				}
				is.Equal(status, claim.OutcomeUnknown)
				is.True(isCode(held.BeginDispatch(), peridotpath.CodePlatformDown))
				is.NoErr(held.Release(background, &peridotpath.Result{Code: peridotpath.CodePlatformDown}))
				is.Equal(observer.keyStatus(is, "k"), claim.OutcomeUnknown) // callers received that it never runs again
			})
		})
	}
}

// The machine of an instance is suspended, which stops Linux's monotonic clock; or the
// write of the claim takes most of the dispatch window. In both cases
// BeginDispatch must count the window as passed, although less than the
// window has passed on the monotonic clock since the claim was granted.
func TestDispatchWindowCountsFromBeforeTheWriteByEitherClock(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		var suspended clockOffset
		instance := fleet.start("a", 1, func(ledger *claim.Ledger) {
			ledger.Clock = clock.Clock{Wall: suspended.now}
			ledger.Settings.BucketCallsPerSecond = 100
		})
		defer closeAll(is, instance)
		unreachable := func(string) fault { return fault{NotSent: true} } // prevents a renewal
		held := instance.mustClaim(is, "k1")
		is.NoErr(held.BeginDispatch())
		suspended.Store(int64(time.Hour))
		instance.link.SetFaults(unreachable)
		is.True(held.BeginDispatch() != nil)

		instance.link.SetFaults(func(call string) fault { return fault{RequestDelay: 3900 * time.Millisecond} })
		time.Sleep(time.Minute)
		held = instance.mustClaim(is, "k2")
		instance.link.SetFaults(unreachable)
		time.Sleep(6 * time.Second)
		is.NoErr(held.BeginDispatch())
		time.Sleep(200 * time.Millisecond)
		is.True(held.BeginDispatch() != nil)
	})
}

// A request is queued for half a minute after its key was claimed, which is longer than the
// dispatch window (the time in which a claim may be dispatched). BeginDispatch must renew
// the claim, so that the request can run. The reply to a second renewal is lost, which
// leaves the record under the new attempt id. The release must find the record under that
// id too, or the key would stay claimed.
func TestQueuedClaimIsRenewed(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		held := first.mustClaim(is, "k")
		time.Sleep(30 * time.Second)
		is.NoErr(held.BeginDispatch())
		time.Sleep(30 * time.Second)
		sent := false
		first.link.SetFaults(func(call string) fault {
			next := fault{NotSent: sent, ReplyLost: call == "swap"}
			sent = sent || call == "swap"
			return next
		})
		is.True(held.BeginDispatch() != nil)
		first.link.SetFaults(nil)
		is.NoErr(held.Release(background, &peridotpath.Result{Code: peridotpath.CodeEndpointRefused}))
		is.Equal(second.keyStatus(is, "k"), claim.Granted)
	})
}

// An instance is wrongly removed from the membership list while its request is queued, and
// renews its claim just before another instance would mark it unknown. The other instance
// must wait for the renewed claim's dispatch window, or it would report a final outcome for
// a request that is about to run.
func TestRenewalRestartsTheDispatchWindow(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		claimer, observer := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, claimer, observer)
		held := claimer.mustClaim(is, "k")
		fleet.markDead(claimer)
		begin := time.Now()
		renewed := false
		for observer.keyStatus(is, "k") == claim.RunningElsewhere {
			if !renewed && time.Since(begin) > 10*time.Second {
				is.NoErr(held.BeginDispatch())
				renewed = true
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.True(renewed)
		is.True(held.BeginDispatch() != nil)
		is.True(time.Since(begin) < 25*time.Second)
	})
}
