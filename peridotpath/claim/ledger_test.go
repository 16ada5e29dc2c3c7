package claim_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim"
)

// A passenger's app sends an acknowledgement and, impatient, sends it again;
// the balancer brings the two to different instances at the same moment. Each
// claims the key; were both to dispatch, two acknowledgements would go out.
func TestSameKeyAtTwoInstancesAtOnceIsGrantedOnce(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		slow := func(string) fate { return fate{RequestDelay: time.Millisecond} }
		first.link.SetFaults(slow)
		second.link.SetFaults(slow)
		var standings [2]claim.Standing
		var waits sync.WaitGroup
		for i, instance := range []*instance{first, second} {
			waits.Go(func() { standings[i] = instance.standing(is, "k") })
		}
		waits.Wait()
		is.Equal(standings[0]+standings[1], claim.Granted+claim.RunningElsewhere)
	})
}

// The instance that took an acknowledgement is killed: before it sent it on,
// after it sent it, or after the answer. The caller repeats at another
// instance. Nobody can tell the first two apart, so the repeat must not run;
// after the answer it gets that answer.
func TestRepeatAfterTheInstanceWasKilled(t *testing.T) {
	tests := map[string]struct {
		before func(*claim.Claim) error
		want   claim.Standing
	}{
		"before dispatch":  {func(*claim.Claim) error { return nil }, claim.Unknown},
		"after dispatch":   {(*claim.Claim).Dispatch, claim.Unknown},
		"after the answer": {func(claim *claim.Claim) error { return claim.Finish(background, ok("yes")) }, claim.Done},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			story(t, func(is *is.I, fleet *fleet) {
				first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
				defer closeAll(is, second)
				is.NoErr(test.before(first.granted(is, "k")))
				fleet.kill(first)
				verdict, err := second.ask("k")
				is.NoErr(err)
				if test.want == claim.Unknown {
					// The killed instance might only be frozen: its claim
					// could still be dispatched.
					is.Equal(verdict.Standing, claim.RunningElsewhere)
					time.Sleep(verdict.RetryAfter)
					verdict, err = second.ask("k")
					is.NoErr(err)
				}
				is.Equal(verdict.Standing, test.want)
				if test.want == claim.Done {
					is.Equal(string(verdict.Answer.Body), "yes")
				}
				time.Sleep(12 * time.Hour)
				is.Equal(second.standing(is, "k"), test.want)
			})
		})
	}
}

// The same instance comes back after a kill, with a higher incarnation, before
// the membership list has noticed. The caller repeats; the earlier run is known
// to be dead without the list.
func TestEarlierRunOfTheSameInstanceIsGone(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		first := fleet.start("a", 1, nil)
		first.granted(is, "k")
		closeAll(is, first)
		again := fleet.start("a", 2, nil)
		defer closeAll(is, again)
		is.Equal(again.standing(is, "k"), claim.RunningElsewhere)
		time.Sleep(11 * time.Second)
		is.Equal(again.standing(is, "k"), claim.Unknown)
	})
}

// Two instances both think that they own the bucket, since the membership list
// lags at one of them. Both work on it all the time, and get the same keys at
// the same moments; each key must be granted at one of them only, and neither
// may refuse a caller because the other writes more.
func TestTwoOwnersOfOneBucket(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		instances := []*instance{fleet.start("a", 1, nil), fleet.start("b", 1, nil)}
		defer closeAll(is, instances...)
		standings := map[claim.Standing]int{}
		granted := map[string]int{}
		var mu sync.Mutex
		var waits sync.WaitGroup
		for i := range 200 {
			waits.Go(func() {
				time.Sleep(time.Duration(i/2) * 100 * time.Millisecond)
				key := fmt.Sprint(i / 2)
				standing := instances[i%2].standing(is, key)
				mu.Lock()
				defer mu.Unlock()
				standings[standing]++
				if standing == claim.Granted {
					granted[key]++
				}
			})
		}
		waits.Wait()
		is.Equal(len(granted), 100)
		is.Equal(standings, map[claim.Standing]int{claim.Granted: 100, claim.RunningElsewhere: 100})
		t.Logf("platform calls %v for 200 claims", fleet.platform.Calls())
	})
}

// Monsoon week: 300 claims a second come to one bucket for ten seconds, each
// ends after 200 ms. A write for each would be 6000; the service takes several
// hundred a second for everybody. Claims ride together, so its calls are
// bounded by the bucket's rate.
func TestClaimsRideInOneWrite(t *testing.T) {
	for name, delay := range map[string]time.Duration{"2 ms an answer": 2 * time.Millisecond, "2 s an answer": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			story(t, func(is *is.I, fleet *fleet) {
				instance := fleet.start("a", 1, nil)
				defer closeAll(is, instance)
				instance.link.SetFaults(func(string) fate { return fate{RequestDelay: delay} })
				start := time.Now()
				var slowest time.Duration
				var mu sync.Mutex
				var waits sync.WaitGroup
				for i := range 3000 {
					waits.Go(func() {
						time.Sleep(time.Duration(i) * time.Second / 300)
						asked := time.Now()
						held := instance.granted(is, fmt.Sprint(i))
						mu.Lock()
						slowest = max(slowest, time.Since(asked))
						mu.Unlock()
						is.NoErr(held.Dispatch())
						time.Sleep(200 * time.Millisecond)
						is.NoErr(held.Finish(background, ok("yes")))
					})
				}
				waits.Wait()
				seconds := int(time.Since(start)/time.Second) + 1
				calls := fleet.platform.Calls()
				is.True(calls["swap"]+calls["get"] <= 4*(seconds+1)) // burst and rate
				is.True(slowest <= 8*time.Second)
				t.Logf("3000 claims: %v calls in %d s, slowest claim %v", calls, seconds, slowest)
			})
		})
	}
}

// A caller repeats while the request runs at the same instance, with and
// without the same body, and another customer uses the same key by chance.
func TestRepeatsWhileRunningHere(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		instance := fleet.start("a", 1, nil)
		defer closeAll(is, instance)
		held := instance.granted(is, "k")
		attached, err := instance.ask("k")
		is.NoErr(err)
		is.Equal(attached.Standing, claim.RunningHere)
		reused, err := instance.Claim(background, customer, "k", hash("another"))
		is.NoErr(err)
		is.Equal(reused.Result().Code, peridotpath.CodeKeyReused)
		other, err := instance.Claim(background, "another airline", "k", hash("body"))
		is.NoErr(err)
		is.Equal(other.Standing, claim.Granted)

		is.NoErr(held.Finish(background, &claim.Answer{
			Status: 201, Body: []byte("filed"),
			Header: http.Header{"Location": {"/claims/7"}, "Set-Cookie": {"secret"}},
		}))
		answer, err := attached.Run.Wait(background)
		is.NoErr(err)
		is.Equal(answer.Header, http.Header{"Location": {"/claims/7"}})
		is.True(held.Finish(background, ok("twice")) != nil)
		again, err := instance.ask("k")
		is.NoErr(err)
		is.Equal(again.Answer, answer)
	})
}

// The endpoint reads the body and closes: the request may have run. The caller
// repeats, here and elsewhere, and must never have it run again.
func TestMarkedUnknownNeverRunsAgain(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		held := first.granted(is, "k")
		attached, err := first.ask("k")
		is.NoErr(err)
		is.NoErr(held.MarkUnknown(background))
		_, err = attached.Run.Wait(background)
		is.True(isCode(err, peridotpath.CodeOutcomeUnknown))
		is.Equal(first.standing(is, "k"), claim.Unknown)
		is.Equal(second.standing(is, "k"), claim.Unknown)
	})
}

// An instance takes another for dead because the list lags. The other was only
// slow and finishes: its answer is worth more than "unknown".
func TestFinishAfterBeingTakenForDead(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		held := first.granted(is, "k")
		fleet.bury(first)
		second.standing(is, "k")
		time.Sleep(11 * time.Second)
		is.Equal(second.standing(is, "k"), claim.Unknown)
		is.NoErr(held.Finish(background, ok("yes")))
		is.Equal(second.standing(is, "k"), claim.Done)
	})
}

// The first caller's request is released without a reason. Those who attached
// to it must get a failure with a code, and one that says "not run".
func TestAttachedCallersOfAReleasedClaim(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		instance := fleet.start("a", 1, nil)
		defer closeAll(is, instance)
		held := instance.granted(is, "k")
		attached, err := instance.ask("k")
		is.NoErr(err)
		is.NoErr(held.Release(background, nil))
		_, err = attached.Run.Wait(background)
		var result *peridotpath.Result
		is.True(errors.As(err, &result) && result != nil && result.Code.NotRun())
	})
}

// An answer was too large even to be recorded by whoever ran the request. Its
// repeats must hear that it ran, here and elsewhere, and not have it run again.
func TestAnswerThatNobodyKept(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		held := first.granted(is, "k")
		attached, err := first.ask("k")
		is.NoErr(err)
		is.True(!held.Dispatched())
		is.NoErr(held.Dispatch())
		is.True(held.Dispatched())
		is.NoErr(held.Finish(background, nil))
		_, err = attached.Run.Wait(background)
		is.True(isCode(err, peridotpath.CodeAnswerGone))
		for _, instance := range []*instance{first, second} {
			verdict, err := instance.ask("k")
			is.NoErr(err)
			is.Equal(verdict.Result().Code, peridotpath.CodeAnswerGone)
		}
	})
}

// small makes buckets that are soon full.
func small(ledger *claim.Ledger) {
	ledger.Settings.MaxBytes, ledger.Settings.CallsPerSecond = 10<<10, 100
}

func customerOf(number int) peridotpath.CustomerID {
	return peridotpath.CustomerID(fmt.Sprint("airline ", number%5))
}

// An instance is stopped while requests run. It takes no new claims, and waits
// until the ends of the others are on the platform; else their repeats would
// hear "unknown" for requests that went well.
func TestCloseWaitsForEnds(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, second)
		held := first.granted(is, "k")
		first.link.SetFaults(func(string) fate { return fate{RequestDelay: time.Second} })
		go func() { _ = held.Finish(background, ok("yes")) }()
		synctest.Wait()
		is.NoErr(first.Close())
		_, err := first.ask("new")
		is.True(isCode(err, peridotpath.CodeStopping))
		is.Equal(second.standing(is, "k"), claim.Done)
	})
}

// A caller leaves while its claim is on the way to the platform, so nobody
// will dispatch it. The key must be free for the caller's next try.
func TestClaimOfACallerWhoLeftIsReleased(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		instance, other := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, instance, other)
		instance.link.SetFaults(func(string) fate { return fate{RequestDelay: time.Second} })
		ctx, cancel := context.WithTimeout(background, 1500*time.Millisecond)
		defer cancel()
		_, err := instance.Claim(ctx, customer, "k", hash("body"))
		is.True(isCode(err, peridotpath.CodePlatformDown))
		time.Sleep(3 * time.Second)
		is.Equal(other.standing(is, "k"), claim.Granted)
	})
}
