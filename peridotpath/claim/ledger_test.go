package claim_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim"
	"peridotpath.example/peridotpath/clock"
)

// A passenger's app sends an acknowledgement and, impatient, sends it again;
// the balancer brings the two to different instances at the same moment. Each
// claims the key; were both to dispatch, two acknowledgements would go out.
func TestSameKeyAtTwoInstancesAtOnceIsGrantedOnce(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		slow := func(string) fate { return fate{Delay: time.Millisecond} }
		first.link.Set(slow)
		second.link.Set(slow)
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
		instance.link.Set(cutOff)
		is.True(held.Dispatch() != nil)

		instance.link.Set(func(call string) fate { return fate{Delay: 3900 * time.Millisecond} })
		time.Sleep(time.Minute)
		held = instance.granted(is, "k2")
		instance.link.Set(cutOff)
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
		first.link.Set(func(call string) fate {
			lost := fate{NotSent: sent, Unanswered: call == "swap"}
			sent = sent || call == "swap"
			return lost
		})
		is.True(held.Dispatch() != nil)
		first.link.Set(nil)
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

// The platform takes the claim's write, but its answer is lost. Writing again
// would conflict with itself and look like another's claim; the attempt's own
// id shows that the claim stands, and the caller sees nothing of it.
func TestLostAnswerIsReadBack(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		instance := fleet.start("a", 1, nil)
		defer closeAll(is, instance)
		lose := true
		instance.link.Set(func(call string) fate {
			lost := lose && call == "swap"
			lose = lose && !lost
			return fate{Unanswered: lost}
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
		first.link.Set(func(call string) fate {
			if call == "swap" && !sent {
				sent = true
				return fate{Unanswered: true}
			}
			return fate{NotSent: sent}
		})
		_, err := first.ask("k")
		is.True(isCode(err, peridotpath.CodePlatformDown))
		is.Equal(second.standing(is, "k"), claim.RunningElsewhere)
		is.Equal(first.Open(), 1)
		first.link.Set(nil)
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
		first.link.Set(func(call string) fate {
			if call == "swap" && !sent {
				sent = true
				return fate{Late: 30 * time.Second}
			}
			return fate{NotSent: sent}
		})
		_, err := first.ask("k")
		is.True(isCode(err, peridotpath.CodePlatformDown))
		first.link.Set(nil)
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
		instance.link.Set(func(string) fate {
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
		instance.link.Set(nil)
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
		instance.link.Set(func(call string) fate {
			if call == "swap" {
				swaps++
			}
			if swaps < 2 {
				return fate{Delay: time.Second}
			}
			return fate{Late: 30 * time.Second, NotSent: call == "get" || swaps > 2}
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
		instance.link.Set(nil)
		waits.Wait()
		time.Sleep(time.Minute)
		is.Equal(instance.Open(), 0)
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
				instance.link.Set(func(string) fate { return fate{Delay: delay} })
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

// A large answer does not fit on the platform. Its own instance still has it;
// another can only say that the request ran. The own one forgets in time, too.
func TestLargeAnswers(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		first := fleet.start("a", 1, func(ledger *claim.Ledger) { ledger.Settings.AnswerMemory = 5000 })
		second := fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		large := strings.Repeat("x", 3000)
		is.NoErr(first.granted(is, "k1").Finish(background, ok(large)))
		here, err := first.ask("k1")
		is.NoErr(err)
		is.Equal(string(here.Answer.Body), large)
		there, err := second.ask("k1")
		is.NoErr(err)
		is.Equal(there.Result().Code, peridotpath.CodeAnswerGone)
		is.NoErr(first.granted(is, "k2").Finish(background, ok(large)))
		here, err = first.ask("k1")
		is.NoErr(err)
		is.Equal(here.Result().Code, peridotpath.CodeAnswerGone)
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

// Callers file with ever new keys until a bucket is full. First the stored
// answers go, oldest first; then new keys are refused as not run. No key that
// is remembered is forgotten for it, and requests that run can still end.
func TestFullBucketDropsAnswersThenRefuses(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		instance := fleet.start("a", 1, small)
		defer closeAll(is, instance)
		held := instance.granted(is, "first")
		granted := 0
		for ; ; granted++ {
			verdict, err := instance.Claim(background, customerOf(granted), fmt.Sprint(granted), hash("body"))
			if err != nil {
				is.True(isCode(err, peridotpath.CodeLedgerFull))
				break
			}
			is.NoErr(verdict.Claim.Finish(background, ok(strings.Repeat("x", 500))))
			time.Sleep(time.Second)
		}
		for i := range granted {
			verdict, err := instance.Claim(background, customerOf(i), fmt.Sprint(i), hash("body"))
			is.NoErr(err)
			is.Equal(verdict.Standing, claim.Done)
		}
		is.NoErr(held.Finish(background, ok("yes")))
		entry, err := fleet.platform.Store().Get(background, claim.KeyPrefix+"0")
		is.NoErr(err)
		is.True(len(entry.Value) <= 10<<10)
		is.True(len(entry.Value) >= 9<<10)
		t.Logf("%d keys in %d bytes", granted+1, len(entry.Value))
		time.Sleep(25 * time.Hour)
		is.Equal(instance.standing(is, "more"), claim.Granted)
	})
}

// small makes buckets that are soon full.
func small(ledger *claim.Ledger) {
	ledger.Settings.MaxBytes, ledger.Settings.CallsPerSecond = 10<<10, 100
}

func customerOf(number int) peridotpath.CustomerID {
	return peridotpath.CustomerID(fmt.Sprint("airline ", number%5))
}

// One customer's program repeats a claim with a new key each time, all day. The
// others must still be able to file.
func TestOneCustomerCannotFillTheLedger(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		instance := fleet.start("a", 1, small)
		defer closeAll(is, instance)
		refused := 0
		for i := range 300 {
			if _, err := instance.Claim(background, "faulty", fmt.Sprint(i), hash("body")); err != nil {
				is.True(isCode(err, peridotpath.CodeLedgerFull))
				refused++
			}
		}
		is.True(refused > 0)
		for i := range 20 {
			verdict, err := instance.Claim(background, customerOf(i), fmt.Sprint(i), hash("body"))
			is.NoErr(err)
			is.Equal(verdict.Standing, claim.Granted)
		}
	})
}

// Clocks differ by a minute between instances, and one steps by two hours, by
// mistake. A key that callers may still repeat must not be forgotten for it:
// the repeat would run a second time.
func TestClocksThatDifferOrStepKeepKeys(t *testing.T) {
	tests := map[string]struct {
		ahead, step, claimer time.Duration
		after                time.Duration
		want                 claim.Standing
	}{
		"ahead by a minute":              {time.Minute, 0, 0, 24 * time.Hour, claim.Done},
		"behind by a minute":             {-time.Minute, 0, 0, 24 * time.Hour, claim.Done},
		"steps forward two hours":        {0, 2 * time.Hour, 0, 23 * time.Hour, claim.Done},
		"steps back two hours":           {0, -2 * time.Hour, 0, 24 * time.Hour, claim.Done},
		"claimer's steps back two hours": {0, 0, -2 * time.Hour, 23 * time.Hour, claim.Done},
		"forgotten past the margin":      {time.Minute, 0, 0, 24*time.Hour + 7*time.Minute, claim.Granted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			story(t, func(is *is.I, fleet *fleet) {
				var claimer, judge shift
				judge.Store(int64(test.ahead))
				first := fleet.start("a", 1, func(ledger *claim.Ledger) {
					ledger.Clock.Wall = claimer.now
				})
				second := fleet.start("b", 1, func(ledger *claim.Ledger) {
					ledger.Clock.Wall = judge.now
				})
				defer closeAll(is, first, second)
				first.standing(is, "warm up")
				second.standing(is, "warm up")
				claimer.Store(int64(test.claimer))
				is.NoErr(first.granted(is, "k").Finish(background, ok("yes")))
				is.Equal(second.standing(is, "k"), claim.Done)
				judge.Add(int64(test.step))
				time.Sleep(test.after)
				is.Equal(second.standing(is, "k"), test.want)
			})
		})
	}
}

// An instance is stopped while requests run. It takes no new claims, and waits
// until the ends of the others are on the platform; else their repeats would
// hear "unknown" for requests that went well.
func TestCloseWaitsForEnds(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, second)
		held := first.granted(is, "k")
		first.link.Set(func(string) fate { return fate{Delay: time.Second} })
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
		instance.link.Set(func(string) fate { return fate{Delay: time.Second} })
		ctx, cancel := context.WithTimeout(background, 1500*time.Millisecond)
		defer cancel()
		_, err := instance.Claim(ctx, customer, "k", hash("body"))
		is.True(isCode(err, peridotpath.CodePlatformDown))
		time.Sleep(3 * time.Second)
		is.Equal(other.standing(is, "k"), claim.Granted)
	})
}

// An operator changes the number of buckets while keys are remembered: keys
// would be looked for in other buckets, found absent, and run again.
func TestChangedNumberOfBucketsIsRefused(t *testing.T) {
	story(t, func(is *is.I, fleet *fleet) {
		first := fleet.start("a", 1, nil)
		second := fleet.start("b", 1, func(ledger *claim.Ledger) { ledger.Settings.Buckets = 2 })
		defer closeAll(is, first, second)
		first.granted(is, "k")
		refused := 0
		for i := range 20 {
			if _, err := second.ask(fmt.Sprint(i)); isCode(err, peridotpath.CodePlatformDown) {
				refused++
			}
		}
		is.True(refused > 0)
	})
}

func TestSettingsNameEveryFault(t *testing.T) {
	is := is.New(t)
	settings := claim.Settings{}
	settings.Defaults()
	is.NoErr(settings.Validate("claims").OrNil())
	settings.Buckets, settings.ClaimTimeoutMS = 5000, 20_000
	is.Equal(len(settings.Validate("claims")), 2)
}
