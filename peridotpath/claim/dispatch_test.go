package claim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim"
	"peridotpath.example/peridotpath/clock"
)

// An instance freezes between the claim and the dispatch. The list takes it for
// dead, the caller repeats elsewhere, is told that the outcome is unknown, looks
// at the service by hand and files again. Then the instance thaws: if it
// dispatched now, the claim would be filed twice. Its clock may run slow, too.
func TestThawedInstanceMustNotDispatch(t *testing.T) {
	for name, rate := range map[string]time.Duration{"clocks alike": 20, "claimer's clock a twentieth slow": 19} {
		t.Run(name, func(t *testing.T) {
			story(t, func(is *is.I, fleet *fleet) {
				begin := time.Now()
				now := func() time.Time { return begin.Add(time.Since(begin) * rate / 20) }
				frozen := fleet.start("a", 1, func(ledger *claim.Ledger) { ledger.Clock = clock.Clock{Now: now, Wall: now} })
				judge := fleet.start("b", 1, nil)
				defer closeAll(is, frozen, judge)
				held := frozen.granted(is, "k")
				fleet.bury(frozen)
				var told claim.Standing
				for told = judge.standing(is, "k"); told == claim.RunningElsewhere; told = judge.standing(is, "k") {
					// For as long as callers hear "running" the claim may be dispatched.
					time.Sleep(100 * time.Millisecond)
				}
				is.Equal(told, claim.Unknown)
				is.True(isCode(held.Dispatch(), peridotpath.CodePlatformDown))
				is.NoErr(held.Release(background, &peridotpath.Result{Code: peridotpath.CodePlatformDown}))
				is.Equal(judge.standing(is, "k"), claim.Unknown) // it was said never to run again
			})
		})
	}
}

// The machine under an instance is suspended, and Linux stops its monotonic
// clock meanwhile. Or the write of the claim took nearly all of its time. In
// both cases the time to dispatch is up though little of it seems used.
func TestDispatchWindowCountsFromBeforeTheWriteByEitherClock(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		var suspended shift
		instance := fleet.start("a", 1, func(ledger *claim.Ledger) {
			ledger.Clock = clock.Clock{Wall: suspended.now}
			ledger.Settings.CallsPerSecond = 100
		})
		defer closeAll(is, instance)
		cutOff := func(string) fate { return fate{NotSent: true} } // or it would be renewed
		held := instance.granted(is, "k1")
		is.NoErr(held.Dispatch())
		suspended.Store(int64(time.Hour))
		instance.link.SetFaults(cutOff)
		is.True(held.Dispatch() != nil)

		instance.link.SetFaults(func(call string) fate { return fate{RequestDelay: 3900 * time.Millisecond} })
		time.Sleep(time.Minute)
		held = instance.granted(is, "k2")
		instance.link.SetFaults(cutOff)
		time.Sleep(6 * time.Second)
		is.NoErr(held.Dispatch())
		time.Sleep(200 * time.Millisecond)
		is.True(held.Dispatch() != nil)
	})
}

// A long request waits half a minute in a queue after its key was claimed, which
// is longer than a claim may be dispatched. It must run all the same. The answer
// to one renewal is lost; the claim's end must still find its record.
func TestQueuedClaimIsRenewed(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		held := first.granted(is, "k")
		time.Sleep(30 * time.Second)
		is.NoErr(held.Dispatch())
		time.Sleep(30 * time.Second)
		sent := false
		first.link.SetFaults(func(call string) fate {
			lost := fate{NotSent: sent, ReplyLost: call == "swap"}
			sent = sent || call == "swap"
			return lost
		})
		is.True(held.Dispatch() != nil)
		first.link.SetFaults(nil)
		is.NoErr(held.Release(background, &peridotpath.Result{Code: peridotpath.CodeEndpointRefused}))
		is.Equal(second.standing(is, "k"), claim.Granted)
	})
}

// An instance is wrongly taken for dead while its request waits in a queue, and
// renews its claim just before the judge would have called it unknown. The judge
// must start over, or it calls settled what is about to run.
func TestJudgeStartsOverAtARenewal(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		claimer, judge := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, claimer, judge)
		held := claimer.granted(is, "k")
		fleet.bury(claimer)
		begin := time.Now()
		renewed := false
		for judge.standing(is, "k") == claim.RunningElsewhere {
			if !renewed && time.Since(begin) > 10*time.Second {
				is.NoErr(held.Dispatch())
				renewed = true
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.True(renewed)
		is.True(held.Dispatch() != nil)
		is.True(time.Since(begin) < 25*time.Second)
	})
}
