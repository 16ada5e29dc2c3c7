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

// The store applies a claim's write, but the reply is lost. A second write would conflict
// with the first, as if another instance had claimed the key. The instance must read the
// bucket, find its attempt id in the record, and grant the claim without another write.
func TestClaimWithLostReplyIsFoundByARead(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		instance := fleet.start("a", 1, nil)
		defer closeAll(is, instance)
		lose := true
		instance.link.SetFaults(func(call string) fault {
			lost := lose && call == "swap"
			lose = lose && !lost
			return fault{ReplyLost: lost}
		})
		held := instance.mustClaim(is, "k")
		is.Equal(fleet.swapCount(), 1)
		is.NoErr(held.BeginDispatch())
	})
}

// The reply to a claim's write is lost, and the store becomes unreachable before the bucket
// can be read. The caller receives "not run" and repeats. The recorded claim would block
// the key for a day, so it must be released as soon as the store is reachable; the repeat
// is then granted.
func TestUncertainClaimIsReleased(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		sent := false
		first.link.SetFaults(func(call string) fault {
			if call == "swap" && !sent {
				sent = true
				return fault{ReplyLost: true}
			}
			return fault{NotSent: sent}
		})
		_, err := first.claimKey("k")
		is.True(isCode(err, peridotpath.CodePlatformDown))
		is.Equal(second.keyStatus(is, "k"), claim.RunningElsewhere)
		is.Equal(first.OpenCount(), 1)
		first.link.SetFaults(nil)
		time.Sleep(6 * time.Second)
		is.Equal(first.OpenCount(), 0)
		is.Equal(second.keyStatus(is, "k"), claim.Granted)
	})
}

// A claim's write is delayed in transit, and its caller receives "not run". The release
// reads the bucket before the write arrives and finds no record. If the write then applied, the key would stay claimed and every repeat
// would receive "running elsewhere" although nothing ran. The release must therefore
// advance the bucket's version, so that the late write conflicts.
func TestReleaseFencesOffALateWrite(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		sent := false
		first.link.SetFaults(func(call string) fault {
			if call == "swap" && !sent {
				sent = true
				return fault{AppliedAfter: 30 * time.Second}
			}
			return fault{NotSent: sent}
		})
		_, err := first.claimKey("k")
		is.True(isCode(err, peridotpath.CodePlatformDown))
		first.link.SetFaults(nil)
		time.Sleep(time.Minute)
		is.Equal(first.OpenCount(), 0)
		is.Equal(second.keyStatus(is, "k"), claim.Granted)
	})
}

// The store is unreachable before a claim, while the request runs, or when its end is
// recorded. Before: the claim is refused as not run, immediately after the first failure
// and without a store call for each caller. During and after: the answer is sent, and its
// record is written when the store is reachable again.
func TestStoreUnreachableBeforeDuringAndAfterARequest(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		instance, other := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, instance, other)
		held := instance.mustClaim(is, "running")
		calls := 0
		instance.link.SetFaults(func(string) fault {
			calls++
			return fault{NotSent: true}
		})
		for i := range 1000 {
			_, err := instance.claimKey(fmt.Sprint("new", i))
			is.True(isCode(err, peridotpath.CodePlatformDown))
		}
		is.Equal(calls, 1)
		is.NoErr(held.BeginDispatch())
		ctx, cancel := context.WithTimeout(background, time.Minute)
		defer cancel()
		is.True(held.Finish(ctx, okAnswer("yes")) != nil) // the end is not recorded yet
		verdict, err := instance.claimKey("running")
		is.NoErr(err)
		answer, err := verdict.InFlight.Wait(background)
		is.NoErr(err)
		is.Equal(string(answer.Body), "yes")
		is.Equal(other.keyStatus(is, "running"), claim.RunningElsewhere)
		instance.link.SetFaults(nil)
		time.Sleep(6 * time.Second)
		is.Equal(other.keyStatus(is, "running"), claim.Done)
		is.Equal(instance.OpenCount(), 0)
	})
}

// A burst of new keys arrives just as the store becomes unreachable. Each claim whose write
// got no reply has to be released later; without a bound, the
// list of these claims would fill the instance's memory.
func TestOpenClaimsAreBounded(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		instance := fleet.start("a", 1, func(ledger *claim.Ledger) { ledger.Settings.MaxOpenClaims = 10 })
		defer closeAll(is, instance)
		swaps := 0
		instance.link.SetFaults(func(call string) fault {
			if call == "swap" {
				swaps++
			}
			if swaps < 2 {
				return fault{RequestDelay: time.Second}
			}
			return fault{AppliedAfter: 30 * time.Second, NotSent: call == "get" || swaps > 2}
		})
		var callers sync.WaitGroup
		callers.Go(func() { is.NoErr(instance.mustClaim(is, "first").Finish(background, okAnswer("yes"))) })
		synctest.Wait()
		for i := range 50 {
			callers.Go(func() {
				_, err := instance.claimKey(fmt.Sprint(i))
				is.True(isCode(err, peridotpath.CodePlatformDown))
			})
		}
		time.Sleep(time.Minute)
		is.Equal(instance.OpenCount(), 10)
		instance.link.SetFaults(nil)
		callers.Wait()
		time.Sleep(time.Minute)
		is.Equal(instance.OpenCount(), 0)
	})
}
