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

// A client repeats an acknowledgement, and the load balancer sends the two requests to
// different instances at the same moment. If both instances dispatched, two
// acknowledgements would be sent.
func TestSameKeyAtTwoInstancesAtOnceIsGrantedOnce(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		slow := func(string) fault { return fault{RequestDelay: time.Millisecond} }
		first.link.SetFaults(slow)
		second.link.SetFaults(slow)
		var statuses [2]claim.KeyStatus
		var callers sync.WaitGroup
		for i, instance := range []*instance{first, second} {
			callers.Go(func() { statuses[i] = instance.keyStatus(is, "k") })
		}
		callers.Wait()
		is.Equal(statuses[0]+statuses[1], claim.Granted+claim.RunningElsewhere)
	})
}

// The instance that claimed a key is killed before the dispatch, after it, or after the
// answer. The caller repeats at another instance. The first two cases cannot be told apart,
// so the repeat must not run; in the third it receives the answer.
func TestRepeatAfterInstanceKill(t *testing.T) {
	tests := map[string]struct {
		before func(*claim.Claim) error
		want   claim.KeyStatus
	}{
		"before dispatch":  {func(*claim.Claim) error { return nil }, claim.OutcomeUnknown},
		"after dispatch":   {(*claim.Claim).BeginDispatch, claim.OutcomeUnknown},
		"after the answer": {func(claim *claim.Claim) error { return claim.Finish(background, okAnswer("yes")) }, claim.Done},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(is *is.I, fleet *fleet) {
				first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
				defer closeAll(is, second)
				is.NoErr(test.before(first.mustClaim(is, "k")))
				fleet.kill(first)
				verdict, err := second.claimKey("k")
				is.NoErr(err)
				if test.want == claim.OutcomeUnknown {
					// The killed instance might only be frozen and could still dispatch its
					// claim.
					is.Equal(verdict.Status, claim.RunningElsewhere)
					time.Sleep(verdict.RetryAfter)
					verdict, err = second.claimKey("k")
					is.NoErr(err)
				}
				is.Equal(verdict.Status, test.want)
				if test.want == claim.Done {
					is.Equal(string(verdict.Answer.Body), "yes")
				}
				time.Sleep(12 * time.Hour)
				is.Equal(second.keyStatus(is, "k"), test.want)
			})
		})
	}
}

// An instance restarts after a kill, with a higher incarnation, before the membership list
// has changed. The restarted instance must treat its earlier process as dead
// although the list still has it.
func TestEarlierProcessOfTheInstanceIsDead(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		first := fleet.start("a", 1, nil)
		first.mustClaim(is, "k")
		closeAll(is, first)
		again := fleet.start("a", 2, nil)
		defer closeAll(is, again)
		is.Equal(again.keyStatus(is, "k"), claim.RunningElsewhere)
		time.Sleep(11 * time.Second)
		is.Equal(again.keyStatus(is, "k"), claim.OutcomeUnknown)
	})
}

// Two instances both assume that they own the bucket, because one has an outdated
// membership list. Both write to it continually and receive the same keys at the same
// moments. Each key must be granted at only one of them, and neither may refuse a caller
// because the other writes more.
func TestTwoInstancesWriteToOneBucket(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		instances := []*instance{fleet.start("a", 1, nil), fleet.start("b", 1, nil)}
		defer closeAll(is, instances...)
		statuses := map[claim.KeyStatus]int{}
		granted := map[string]int{}
		var mu sync.Mutex
		var callers sync.WaitGroup
		for i := range 200 {
			callers.Go(func() {
				time.Sleep(time.Duration(i/2) * 100 * time.Millisecond)
				key := fmt.Sprint(i / 2)
				status := instances[i%2].keyStatus(is, key)
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
				if status == claim.Granted {
					granted[key]++
				}
			})
		}
		callers.Wait()
		is.Equal(len(granted), 100)
		is.Equal(statuses, map[claim.KeyStatus]int{claim.Granted: 100, claim.RunningElsewhere: 100})
		t.Logf("platform calls %v for 200 claims", fleet.store.Calls())
	})
}

// One bucket receives 300 claims a second for ten seconds, and each ends after 200 ms. One
// write for each claim and end would be 6000 writes, and the store sustains several hundred
// a second in total. Claims must share writes, so that the calls stay within the bucket's
// rate limit.
func TestClaimsShareWrites(t *testing.T) {
	for name, delay := range map[string]time.Duration{"2 ms an answer": 2 * time.Millisecond, "2 s an answer": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(is *is.I, fleet *fleet) {
				instance := fleet.start("a", 1, nil)
				defer closeAll(is, instance)
				instance.link.SetFaults(func(string) fault { return fault{RequestDelay: delay} })
				start := time.Now()
				var slowest time.Duration
				var mu sync.Mutex
				var callers sync.WaitGroup
				for i := range 3000 {
					callers.Go(func() {
						time.Sleep(time.Duration(i) * time.Second / 300)
						claimedAt := time.Now()
						held := instance.mustClaim(is, fmt.Sprint(i))
						mu.Lock()
						slowest = max(slowest, time.Since(claimedAt))
						mu.Unlock()
						is.NoErr(held.BeginDispatch())
						time.Sleep(200 * time.Millisecond)
						is.NoErr(held.Finish(background, okAnswer("yes")))
					})
				}
				callers.Wait()
				seconds := int(time.Since(start)/time.Second) + 1
				calls := fleet.store.Calls()
				is.True(calls["swap"]+calls["get"] <= 4*(seconds+1)) // burst plus rate
				is.True(slowest <= 8*time.Second)
				t.Logf("3000 claims: %v calls in %d s, slowest claim %v", calls, seconds, slowest)
			})
		})
	}
}

// A caller repeats a running request at the same instance, with the same and with another
// body, and another customer uses the same key by chance. The repeat must receive the answer
// of the run, the other body must be refused, and the other customer must get a claim.
func TestRepeatsWhileRunningHere(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		instance := fleet.start("a", 1, nil)
		defer closeAll(is, instance)
		held := instance.mustClaim(is, "k")
		attached, err := instance.claimKey("k")
		is.NoErr(err)
		is.Equal(attached.Status, claim.RunningHere)
		reused, err := instance.Claim(background, customer, "k", hash("another"))
		is.NoErr(err)
		is.Equal(reused.Result().Code, peridotpath.CodeKeyReused)
		other, err := instance.Claim(background, "another airline", "k", hash("body"))
		is.NoErr(err)
		is.Equal(other.Status, claim.Granted)

		is.NoErr(held.Finish(background, &claim.Answer{
			Status: 201, Body: []byte("filed"),
			Header: http.Header{"Location": {"/claims/7"}, "Set-Cookie": {"secret"}},
		}))
		answer, err := attached.InFlight.Wait(background)
		is.NoErr(err)
		is.Equal(answer.Header, http.Header{"Location": {"/claims/7"}})
		is.True(held.Finish(background, okAnswer("twice")) != nil)
		again, err := instance.claimKey("k")
		is.NoErr(err)
		is.Equal(again.Answer, answer)
	})
}

// The endpoint reads the body and closes the connection, so the request may have run. No
// repeat, at this instance or another, may run it again.
func TestMarkedUnknownNeverRunsAgain(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		held := first.mustClaim(is, "k")
		attached, err := first.claimKey("k")
		is.NoErr(err)
		is.NoErr(held.MarkUnknown(background))
		_, err = attached.InFlight.Wait(background)
		is.True(isCode(err, peridotpath.CodeOutcomeUnknown))
		is.Equal(first.keyStatus(is, "k"), claim.OutcomeUnknown)
		is.Equal(second.keyStatus(is, "k"), claim.OutcomeUnknown)
	})
}

// The membership list is outdated, and an instance marks the claim of a slow but live
// instance unknown. When the slow instance finishes, its answer must replace the unknown
// outcome.
func TestFinishAfterBeingMarkedDead(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		held := first.mustClaim(is, "k")
		fleet.markDead(first)
		second.keyStatus(is, "k")
		time.Sleep(11 * time.Second)
		is.Equal(second.keyStatus(is, "k"), claim.OutcomeUnknown)
		is.NoErr(held.Finish(background, okAnswer("yes")))
		is.Equal(second.keyStatus(is, "k"), claim.Done)
	})
}

// A request is released without a result. Callers that wait for it must receive a failure
// with a code that means "not run".
func TestWaitingCallersOfAReleasedClaim(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		instance := fleet.start("a", 1, nil)
		defer closeAll(is, instance)
		held := instance.mustClaim(is, "k")
		attached, err := instance.claimKey("k")
		is.NoErr(err)
		is.NoErr(held.Release(background, nil))
		_, err = attached.InFlight.Wait(background)
		var result *peridotpath.Result
		is.True(errors.As(err, &result) && result != nil && result.Code.NotRun())
	})
}

// The instance that ran a request kept no answer, for example because it was too large.
// Repeats at any instance must receive "answer gone" and must not run the request again.
func TestFinishWithoutAnAnswer(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		held := first.mustClaim(is, "k")
		attached, err := first.claimKey("k")
		is.NoErr(err)
		is.True(!held.HasDispatched())
		is.NoErr(held.BeginDispatch())
		is.True(held.HasDispatched())
		is.NoErr(held.Finish(background, nil))
		_, err = attached.InFlight.Wait(background)
		is.True(isCode(err, peridotpath.CodeAnswerGone))
		for _, instance := range []*instance{first, second} {
			verdict, err := instance.claimKey("k")
			is.NoErr(err)
			is.Equal(verdict.Result().Code, peridotpath.CodeAnswerGone)
		}
	})
}

// useSmallBuckets configures buckets that fill up quickly.
func useSmallBuckets(ledger *claim.Ledger) {
	ledger.Settings.MaxBucketBytes, ledger.Settings.BucketCallsPerSecond = 10<<10, 100
}

func numberedCustomer(number int) peridotpath.CustomerID {
	return peridotpath.CustomerID(fmt.Sprint("airline ", number%5))
}

// An instance is stopped while requests run. It must refuse new claims and wait until the
// ends of the running requests are recorded; otherwise repeats would receive an unknown outcome for
// requests that succeeded.
func TestCloseWaitsForRecordedEnds(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		first, second := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, second)
		held := first.mustClaim(is, "k")
		first.link.SetFaults(func(string) fault { return fault{RequestDelay: time.Second} })
		go func() { _ = held.Finish(background, okAnswer("yes")) }()
		synctest.Wait()
		is.NoErr(first.Close())
		_, err := first.claimKey("new")
		is.True(isCode(err, peridotpath.CodeStopping))
		is.Equal(second.keyStatus(is, "k"), claim.Done)
	})
}

// A caller disconnects while its claim is being written, so nobody dispatches it. The key
// must be free for the caller's next attempt.
func TestClaimOfADisconnectedCallerIsReleased(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		instance, other := fleet.start("a", 1, nil), fleet.start("b", 1, nil)
		defer closeAll(is, instance, other)
		instance.link.SetFaults(func(string) fault { return fault{RequestDelay: time.Second} })
		ctx, cancel := context.WithTimeout(background, 1500*time.Millisecond)
		defer cancel()
		_, err := instance.Claim(ctx, customer, "k", hash("body"))
		is.True(isCode(err, peridotpath.CodePlatformDown))
		time.Sleep(3 * time.Second)
		is.Equal(other.keyStatus(is, "k"), claim.Granted)
	})
}
