package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim"
)

// The platform takes the claim's write, but its answer is lost. Writing again
// would conflict with itself and look like another's claim; the attempt's own
// id shows that the claim stands, and the caller sees nothing of it.
func TestLostAnswerIsReadBack(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		instance := fleet.start("a", 1, nil)
		defer closeAll(is, instance)
		lose := true
		instance.link.SetFaults(func(call string) fate {
			lost := lose && call == "swap"
			lose = lose && !lost
			return fate{ReplyLost: lost}
		})
		held := instance.granted(is, "k")
		is.Equal(fleet.swaps(), 1)
		is.NoErr(held.Dispatch())
	})
}

// The answer to the claim's write is lost and the platform goes away before it
// can be read back. The caller is told "not run" and repeats. The claim, which
// stands, would make the key look as if it ran for a day; so it is released as
// soon as the platform answers, and the repeat runs, once.
func TestClaimThatCannotBeReadBackIsReleased(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		sent := false
		first.link.SetFaults(func(call string) fate {
			if call == "swap" && !sent {
				sent = true
				return fate{ReplyLost: true}
			}
			return fate{NotSent: sent}
		})
		_, err := first.ask("k")
		is.True(isCode(err, peridotpath.CodePlatformDown))
		is.Equal(second.standing(is, "k"), claim.RunningElsewhere)
		is.Equal(first.Open(), 1)
		first.link.SetFaults(nil)
		time.Sleep(6 * time.Second)
		is.Equal(first.Open(), 0)
		is.Equal(second.standing(is, "k"), claim.Granted)
	})
}

// As before, but the write is still on its way when the release looks, finds
// nothing, and is content. The write then arrives and claims the key for good:
// every repeat hears "running" though nothing ran. The release therefore moves
// the bucket's version on, so that the late write is refused.
func TestReleaseSettlesAWriteThatIsStillOnItsWay(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		sent := false
		first.link.SetFaults(func(call string) fate {
			if call == "swap" && !sent {
				sent = true
				return fate{AppliedAfter: 30 * time.Second}
			}
			return fate{NotSent: sent}
		})
		_, err := first.ask("k")
		is.True(isCode(err, peridotpath.CodePlatformDown))
		first.link.SetFaults(nil)
		time.Sleep(time.Minute)
		is.Equal(first.Open(), 0)
		is.Equal(second.standing(is, "k"), claim.Granted)
	})
}

// The platform is down before a claim, while the request runs, or when its end
// is to be recorded. Before: refused as not run, at once after the first
// failure, and without a call for each caller. During and after: the answer
// goes out and its record follows when the platform is back.
func TestPlatformDownBeforeDuringAndAfter(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		instance, other := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, instance, other)
		held := instance.granted(is, "running")
		calls := 0
		instance.link.SetFaults(func(string) fate {
			calls++
			return fate{NotSent: true}
		})
		for i := range 1000 {
			_, err := instance.ask(fmt.Sprint("new", i))
			is.True(isCode(err, peridotpath.CodePlatformDown))
		}
		is.Equal(calls, 1)
		is.NoErr(held.Dispatch())
		ctx, cancel := context.WithTimeout(background, time.Minute)
		defer cancel()
		is.True(held.Finish(ctx, ok("yes")) != nil) // not recorded yet
		verdict, err := instance.ask("running")
		is.NoErr(err)
		answer, err := verdict.Run.Wait(background)
		is.NoErr(err)
		is.Equal(string(answer.Body), "yes")
		is.Equal(other.standing(is, "running"), claim.RunningElsewhere)
		instance.link.SetFaults(nil)
		time.Sleep(6 * time.Second)
		is.Equal(other.standing(is, "running"), claim.Done)
		is.Equal(instance.Open(), 0)
	})
}

// A burst of new keys comes just as the platform goes away. Each claim whose
// write got no answer has to be released later; unbounded, the list of them
// would take the instance's memory.
func TestOpenClaimsAreBounded(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		instance := fleet.start("a", 1, func(ledger *claim.Ledger) { ledger.Settings.MaxOpen = 10 })
		defer closeAll(is, instance)
		swaps := 0
		instance.link.SetFaults(func(call string) fate {
			if call == "swap" {
				swaps++
			}
			if swaps < 2 {
				return fate{RequestDelay: time.Second}
			}
			return fate{AppliedAfter: 30 * time.Second, NotSent: call == "get" || swaps > 2}
		})
		var waits sync.WaitGroup
		waits.Go(func() { is.NoErr(instance.granted(is, "first").Finish(background, ok("yes"))) })
		synctest.Wait()
		for i := range 50 {
			waits.Go(func() {
				_, err := instance.ask(fmt.Sprint(i))
				is.True(isCode(err, peridotpath.CodePlatformDown))
			})
		}
		time.Sleep(time.Minute)
		is.Equal(instance.Open(), 10)
		instance.link.SetFaults(nil)
		waits.Wait()
		time.Sleep(time.Minute)
		is.Equal(instance.Open(), 0)
	})
}
