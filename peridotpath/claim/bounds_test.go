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
