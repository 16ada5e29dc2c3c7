package clock_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/internal/virtual"
)

// Eight instances tell each other of what they look at. Together they look
// hardly more often than one would alone.
func TestPaceOfMany(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		var last, looks atomic.Int64
		began := time.Now()
		ended := make(chan struct{}, 8)
		for range 8 {
			pace := &clock.Pace{Least: 500 * time.Millisecond, Spread: 400 * time.Millisecond, Gap: 60 * time.Millisecond}
			go func() {
				for pace.Wait(ctx, func() time.Duration { return time.Since(began) - time.Duration(last.Load()) }) {
					looks.Add(1)
					last.Store(int64(time.Since(began)))
				}
				ended <- struct{}{}
			}()
		}
		for range 8 {
			<-ended
		}
		t.Logf("%d looks of 8 instances in 20 s", looks.Load())
		is.True(looks.Load() >= 20)
		is.True(looks.Load() <= 45)
	})
}

// There is nothing to be found yet, so that the age stays high: it is not looked
// for as fast as the answers come.
func TestPaceOfNothing(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		pace, looks := &clock.Pace{Least: time.Second, Gap: 50 * time.Millisecond}, 0
		for pace.Wait(ctx, func() time.Duration { return time.Hour }) {
			pace.Wake()
			looks++
		}
		is.True(looks <= 21)
	})
}

// Eighty instances start together, seconds before the operators have written
// anything. Each asked ten times a second for what was not there; a look that finds
// nothing has to be followed by a longer pause, and a peer's word has to end it.
func TestPaceWhileNothingIsFound(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		pace, looks := &clock.Pace{Least: time.Second, Gap: 60 * time.Millisecond}, 0
		for pace.Wait(ctx, func() time.Duration { return time.Hour }) {
			looks++
			pace.Found(false)
		}
		t.Logf("%d looks in 10 s", looks)
		is.True(looks <= 32) // one in a third of a second, where the gap allows five times that
		is.True(looks >= 10) // it is found within a second

		ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		began := time.Now()
		pace.Found(false)
		time.AfterFunc(100*time.Millisecond, pace.Wake)
		is.True(pace.Wait(ctx, func() time.Duration { return time.Hour }))
		is.True(time.Since(began) < 200*time.Millisecond) // a peer has it

		pace.Found(true)
		began = time.Now()
		is.True(pace.Wait(ctx, func() time.Duration { return time.Hour }))
		is.True(time.Since(began) < 200*time.Millisecond) // as often as before
	})
}

// One instance of many cannot reach the store, and rests for seconds so that all
// together ask it little. Meanwhile a peer tells of a newer configuration: it
// served by the old one until its rest was over.
func TestWakeEndsTheRest(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		pace := &clock.Pace{Least: time.Second, Retry: 250 * time.Millisecond, Gap: 60 * time.Millisecond, Others: func() int { return 75 }}
		began := time.Now()
		time.AfterFunc(300*time.Millisecond, pace.Wake)
		is.True(pace.Rest(t.Context()))
		is.True(pace.Wait(t.Context(), func() time.Duration { return 0 }))
		is.Equal(time.Since(began), 300*time.Millisecond)
		is.True(pace.Rest(t.Context()))
		is.True(time.Since(began) > 2*time.Second) // and without a wake it is long
	})
}

func TestSinceBootGoesOn(t *testing.T) {
	before := clock.SinceBoot()
	time.Sleep(time.Millisecond)
	if after := clock.SinceBoot(); after <= before {
		t.Errorf("SinceBoot: %v, then %v", before, after)
	}
}

// A peer tells an age that no span holds. Taken as it comes out, it would be
// negative, and keys could be used on what was read long ago.
func TestHugeAge(t *testing.T) {
	for _, micros := range []uint64{1 << 62, 1<<64 - 1, 1 << 54} {
		if have := clock.FromMicros(micros); have < 0 || have < 365*24*time.Hour {
			t.Errorf("FromMicros(%d): %v", micros, have)
		}
	}
}

// All instances start at one moment and nothing is known to any. Those whose turn
// comes later wait for the word of the first, and ask themselves if it never comes.
func TestPaceOfAFirstLook(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		for _, test := range []struct {
			name   string
			before int
			word   time.Duration
			least  time.Duration
			most   time.Duration
		}{
			{"the first one", 0, time.Hour, 0, 0},
			{"the third one, told", 2, 200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond},
			{"the third one, not told", 2, time.Hour, 300 * time.Millisecond, 900 * time.Millisecond},
		} {
			is := is.New(t)
			pace := &clock.Pace{
				Least: time.Second, Gap: 60 * time.Millisecond,
				Known: func() bool { return false }, Before: func() int { return test.before },
			}
			began := time.Now()
			word := time.AfterFunc(test.word, pace.Wake)
			is.True(pace.Wait(t.Context(), func() time.Duration { return time.Hour }))
			word.Stop()
			if waited := time.Since(began); waited < test.least || waited > test.most {
				t.Errorf("%s: waited %v, want %v to %v", test.name, waited, test.least, test.most)
			}
		}
	})
}
