package fairshare_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/fairshare"
)

// usedNow returns the engine time that the instance reports of the large customer while prompts wait.
func usedNow(instance *instance) time.Duration {
	time.Sleep(50 * time.Millisecond)
	instance.RecordWait(time.Now())
	instance.AboveShareCount(time.Now())
	return instance.reported(large).Used
}

// decayed returns what is left of an engine time after a time.
func decayed(engineTime, after time.Duration) time.Duration {
	return time.Duration(float64(engineTime) * math.Exp(-after.Seconds()/2))
}

// Requests of long prompts, and of answers that end early: a customer must be charged with the
// prefill and the events that arrived, or the one whose answers are cut off pays for what it did not
// get.
func TestChargeFollowsTheAnswer(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer fairshare.Answer
		// decode is the engine time of the decoding that counts at the end, with and without decay.
		decode, decoded time.Duration
	}{
		{"as expected", fairshare.Answer{IsStreamed: true, Events: 8, IsWhole: true}, 0, 20 * time.Millisecond},
		{"half as long", fairshare.Answer{IsStreamed: true, Events: 4, IsWhole: true}, 0, 10 * time.Millisecond},
		{"three times as long", fairshare.Answer{IsStreamed: true, Events: 24, IsWhole: true}, 0, 60 * time.Millisecond},
		{"none", fairshare.Answer{IsStreamed: true, IsWhole: true}, 0, 0},
		{"not streamed, so that its length is not known", fairshare.Answer{}, 20 * time.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			runVirtual(t, func(is *is.I) {
				instance := newInstance(0, small, large)
				demand := shortDemand(large)
				demand.Prefill = time.Second
				charge := instance.RecordDispatch(demand, time.Now())
				is.True(isClose(usedNow(instance), decayed(1020*time.Millisecond, 50*time.Millisecond)))
				time.Sleep(1950 * time.Millisecond)
				instance.RecordEnd(&charge, test.answer, time.Now())
				is.True(isClose(usedNow(instance), decayed(time.Second+test.decode, 2050*time.Millisecond)+decayed(test.decoded, 50*time.Millisecond)))
			})
		})
	}
}

// Answers that are always of another length than expected: the charge at dispatch must follow them,
// or a flood of long answers counts too little until each of them ends.
func TestChargeFollowsEarlierAnswers(t *testing.T) {
	for _, test := range []struct {
		name string
		// answer ends 200 earlier requests, with an expectation of 8 events.
		answer fairshare.Answer
		// events are those that the next request is charged with.
		events float64
	}{
		{"half as long", fairshare.Answer{IsStreamed: true, Events: 4, IsWhole: true}, 4},
		{"twice as long", fairshare.Answer{IsStreamed: true, Events: 16, IsWhole: true}, 16},
		{"no events, as of requests that failed", fairshare.Answer{IsStreamed: true, IsWhole: true}, 8},
		{"the rest of a resumed answer", fairshare.Answer{IsStreamed: true, Events: 1}, 8},
		{"of unknown length", fairshare.Answer{Events: 1, IsWhole: true}, 8},
		{"a hundred times as long", fairshare.Answer{IsStreamed: true, Events: 800, IsWhole: true}, 32},
		{"a hundredth as long", fairshare.Answer{IsStreamed: true, Events: 0.08, IsWhole: true}, 0.8},
	} {
		t.Run(test.name, func(t *testing.T) {
			runVirtual(t, func(is *is.I) {
				instance := newInstance(0, small, large)
				for range 200 {
					charge := instance.RecordDispatch(shortDemand(small), time.Now())
					instance.RecordEnd(&charge, test.answer, time.Now())
				}
				demand := shortDemand(large)
				demand.Prefill = 0
				for range 100 {
					instance.RecordDispatch(demand, time.Now())
				}
				want := time.Duration(test.events * 100 * 2.5 * float64(time.Millisecond))
				is.True(isClose(usedNow(instance), decayed(want, 50*time.Millisecond)))
			})
		})
	}
}

// One very long answer among usual ones must not raise the charge of all: it counts as one sample of
// a moving average.
func TestOneLongAnswerChangesLittle(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instance := newInstance(0, small, large)
		for i := range 200 {
			charge := instance.RecordDispatch(shortDemand(small), time.Now())
			answer := fairshare.Answer{IsStreamed: true, Events: 8, IsWhole: true}
			if i == 199 {
				answer.Events = 8000
			}
			instance.RecordEnd(&charge, answer, time.Now())
		}
		instance.RecordDispatch(shortDemand(large), time.Now())
		// The sample counts as four times the expected length, with a weight of 0.05.
		is.True(usedNow(instance) <= 5*time.Millisecond+time.Duration(1.16*float64(20*time.Millisecond)))
	})
}

// The slot time decides whether the reports of peers are too old, and how much excess may be in
// flight: a request has its slot for its prefill and all iterations, however small its share of them.
func TestSlotTime(t *testing.T) {
	is := is.New(t)
	is.Equal(shortDemand(small).SlotTime(), 85*time.Millisecond)
	demand := shortDemand(small)
	demand.AnswerTokens = 0 // an answer has one event at least
	is.Equal(demand.SlotTime(), 15*time.Millisecond)
}
