package claim_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim"
)

// An answer that is too large for the store is cached by the instance that ran the request,
// until the cache is full. Another instance can only report that the request ran.
func TestLargeAnswerIsCachedByItsInstance(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		first := fleet.start("a", 1, func(ledger *claim.Ledger) { ledger.Settings.AnswerCacheBytes = 5000 })
		second := fleet.start("b", 1, nil)
		defer closeAll(is, first, second)
		large := strings.Repeat("x", 3000)
		is.NoErr(first.mustClaim(is, "k1").Finish(background, okAnswer(large)))
		fromOwnInstance, err := first.claimKey("k1")
		is.NoErr(err)
		is.Equal(string(fromOwnInstance.Answer.Body), large)
		fromOther, err := second.claimKey("k1")
		is.NoErr(err)
		is.Equal(fromOther.Result().Code, peridotpath.CodeAnswerGone)
		is.NoErr(first.mustClaim(is, "k2").Finish(background, okAnswer(large)))
		fromOwnInstance, err = first.claimKey("k1")
		is.NoErr(err)
		is.Equal(fromOwnInstance.Result().Code, peridotpath.CodeAnswerGone)
	})
}

// New keys arrive until a bucket is full. Stored answers must be removed first, oldest
// first; then new keys are refused as not run. No kept key may be removed to make room, and
// running requests can still end.
func TestFullBucketEvictsAnswersThenRefusesKeys(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		instance := fleet.start("a", 1, useSmallBuckets)
		defer closeAll(is, instance)
		held := instance.mustClaim(is, "first")
		granted := 0
		for ; ; granted++ {
			verdict, err := instance.Claim(background, numberedCustomer(granted), fmt.Sprint(granted), hash("body"))
			if err != nil {
				is.True(isCode(err, peridotpath.CodeLedgerFull))
				break
			}
			is.NoErr(verdict.Claim.Finish(background, okAnswer(strings.Repeat("x", 500))))
			time.Sleep(time.Second)
		}
		for i := range granted {
			verdict, err := instance.Claim(background, numberedCustomer(i), fmt.Sprint(i), hash("body"))
			is.NoErr(err)
			is.Equal(verdict.Status, claim.Done)
		}
		is.NoErr(held.Finish(background, okAnswer("yes")))
		entry, err := fleet.store.Store().Get(background, claim.BucketKeyPrefix+"0")
		is.NoErr(err)
		is.True(len(entry.Value) <= 10<<10)
		is.True(len(entry.Value) >= 9<<10)
		t.Logf("%d keys in %d bytes", granted+1, len(entry.Value))
		time.Sleep(25 * time.Hour)
		is.Equal(instance.keyStatus(is, "more"), claim.Granted)
	})
}

// A faulty client of one customer sends a new key with each repeat. Other customers must
// still get claims.
func TestOneCustomerCannotFillTheLedger(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		instance := fleet.start("a", 1, useSmallBuckets)
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
			verdict, err := instance.Claim(background, numberedCustomer(i), fmt.Sprint(i), hash("body"))
			is.NoErr(err)
			is.Equal(verdict.Status, claim.Granted)
		}
	})
}

// The wall clocks of two instances differ by a minute, or one steps by two hours. A key
// that callers may still repeat must not expire early, or the repeat would run a second
// time.
func TestClocksThatDifferOrStepKeepKeys(t *testing.T) {
	tests := map[string]struct {
		ahead, step, claimer time.Duration
		after                time.Duration
		want                 claim.KeyStatus
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
			runWithFleet(t, func(is *is.I, fleet *fleet) {
				var claimerOffset, observerOffset clockOffset
				observerOffset.Store(int64(test.ahead))
				first := fleet.start("a", 1, func(ledger *claim.Ledger) {
					ledger.Clock.Wall = claimerOffset.now
				})
				second := fleet.start("b", 1, func(ledger *claim.Ledger) {
					ledger.Clock.Wall = observerOffset.now
				})
				defer closeAll(is, first, second)
				first.keyStatus(is, "warm up")
				second.keyStatus(is, "warm up")
				claimerOffset.Store(int64(test.claimer))
				is.NoErr(first.mustClaim(is, "k").Finish(background, okAnswer("yes")))
				is.Equal(second.keyStatus(is, "k"), claim.Done)
				observerOffset.Add(int64(test.step))
				time.Sleep(test.after)
				is.Equal(second.keyStatus(is, "k"), test.want)
			})
		})
	}
}

// The number of buckets is changed while keys are kept. Keys would be looked up in other
// buckets and not found, and their requests would run again. Claims must be refused.
func TestChangedNumberOfBucketsIsRefused(t *testing.T) {
	runWithFleet(t, func(is *is.I, fleet *fleet) {
		first := fleet.start("a", 1, nil)
		second := fleet.start("b", 1, func(ledger *claim.Ledger) { ledger.Settings.Buckets = 2 })
		defer closeAll(is, first, second)
		first.mustClaim(is, "k")
		refused := 0
		for i := range 20 {
			if _, err := second.claimKey(fmt.Sprint(i)); isCode(err, peridotpath.CodePlatformDown) {
				refused++
			}
		}
		is.True(refused > 0)
	})
}

func TestValidateReturnsEveryInvalidSetting(t *testing.T) {
	is := is.New(t)
	settings := claim.Settings{}
	settings.Defaults()
	is.NoErr(settings.Validate("claims").OrNil())
	settings.Buckets, settings.ClaimTimeoutMS = 5000, 20_000
	is.Equal(len(settings.Validate("claims")), 2)
}
