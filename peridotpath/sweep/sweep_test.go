package sweep_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/sweep"
)

const window = 10 * time.Second

// fakeEngine holds streams as an engine does.
type fakeEngine struct {
	mu       sync.Mutex
	detached map[string]time.Time // zero while a reader is attached
	cancels  int
	// lose says what becomes of a call: its order is lost, or its answer.
	lose func(call int) (order, answer bool)
	// slow is how long a call takes.
	slow time.Duration
}

var errLost = errors.New("no answer")

func (fake *fakeEngine) set(stream string, detached time.Time) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.detached == nil {
		fake.detached = map[string]time.Time{}
	}
	fake.detached[stream] = detached
}

func (fake *fakeEngine) holds(stream string) bool {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	_, held := fake.detached[stream]
	return held
}

func (fake *fakeEngine) streams(context.Context, netip.AddrPort) ([]engine.StreamInfo, error) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	var list []engine.StreamInfo
	for id, detached := range fake.detached {
		info := engine.StreamInfo{ID: id, KVTokens: 1000}
		if !detached.IsZero() {
			info.DetachedMS = peridotpath.Millis(time.Since(detached).Milliseconds())
		}
		list = append(list, info)
	}
	return list, nil
}

func (fake *fakeEngine) cancel(_ context.Context, _ netip.AddrPort, stream string, onlyDetached bool) error {
	time.Sleep(fake.slow)
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.cancels++
	order, answer := false, false
	if fake.lose != nil {
		order, answer = fake.lose(fake.cancels)
	}
	if order {
		return errLost
	}
	if detached, held := fake.detached[stream]; held && (!onlyDetached || !detached.IsZero()) {
		delete(fake.detached, stream)
	}
	if answer {
		return errLost
	}
	return nil
}

func sweeper(fake *fakeEngine) *sweep.Sweeper {
	return &sweep.Sweeper{
		Engines: func() []peridotpath.Endpoint {
			return []peridotpath.Endpoint{{ID: "engine-1", Kind: peridotpath.KindEngine}}
		},
		Owns:         func(peridotpath.EndpointID) bool { return true },
		Streams:      fake.streams,
		Cancel:       fake.cancel,
		ResumeWindow: window,
		Random:       func() float64 { return 0.5 },
	}
}

// run runs sweepers for a time.
func run(t *testing.T, span time.Duration, sweepers ...*sweep.Sweeper) {
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	ended := make(chan error, len(sweepers))
	for _, sweeper := range sweepers {
		go func() { ended <- sweeper.Run(ctx) }()
	}
	for range sweepers {
		if err := <-ended; !errors.Is(err, context.DeadlineExceeded) {
			t.Error(err)
		}
	}
}

// An instance is killed while it relays streams. Nobody cancels them, and the
// engine holds their memory until long prompts no longer fit anywhere.
func TestMemoryOfKilledInstanceComesBack(t *testing.T) {
	cases := []struct {
		name string
		lose func(call int) (order, answer bool)
	}{
		{"nothing lost", nil},
		{"first cancellation lost", func(call int) (bool, bool) { return call <= 3, false }},
		{"first answer lost, cancelled again", func(call int) (bool, bool) { return false, call <= 3 }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fake := &fakeEngine{lose: test.lose}
				for i := range 3 {
					fake.set(fmt.Sprint("abandoned-", i), time.Now())
				}
				fake.set("read", time.Time{})
				one, two := sweeper(fake), sweeper(fake)
				run(t, one.Within(), one, two)
				for i := range 3 {
					is.True(!fake.holds(fmt.Sprint("abandoned-", i)))
				}
				is.True(fake.holds("read"))
			})
		})
	}
}

// Callers come back at the last moment of the resume window, again and again,
// and their requests take a second to the engine, while two instances sweep.
// Were a stream freed, its caller would lose a long answer that was still there.
func TestStreamThatIsResumedLives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := &fakeEngine{}
		fake.set("resumed", time.Now())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for range 20 {
				time.Sleep(window + time.Second)
				if !fake.holds("resumed") {
					return
				}
				fake.set("resumed", time.Time{})
				time.Sleep(100 * time.Millisecond)
				fake.set("resumed", time.Now())
			}
		}()
		run(t, 20*window, sweeper(fake), sweeper(fake))
		is.True(fake.holds("resumed"))
		<-ended
	})
}

// The stream is resumed between the list and the cancellation.
func TestStreamResumedAfterTheListLives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := &fakeEngine{slow: 100 * time.Millisecond}
		fake.set("resumed", time.Now().Add(-time.Minute))
		go func() {
			time.Sleep(50 * time.Millisecond)
			fake.set("resumed", time.Time{})
		}()
		run(t, time.Second, sweeper(fake))
		is.Equal(fake.cancels, 1)
		is.True(fake.holds("resumed"))
	})
}

// An engine answers so slowly that a list is seconds old before its last
// stream's turn. That stream's caller came back and left once more meanwhile.
func TestOldListIsNotActedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := &fakeEngine{slow: time.Second}
		for i := range 9 {
			fake.set(fmt.Sprint("stream-", i), time.Now().Add(-time.Minute))
		}
		go func() {
			time.Sleep(500 * time.Millisecond)
			for i := range 9 {
				fake.set(fmt.Sprint("stream-", i), time.Now())
			}
		}()
		run(t, 4*time.Second, sweeper(fake))
		is.Equal(fake.cancels, 1)
	})
}
