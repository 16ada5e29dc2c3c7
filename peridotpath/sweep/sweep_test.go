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

const resumeWindow = 10 * time.Second

// fakeEngine keeps streams and cancels them conditionally, like an engine.
type fakeEngine struct {
	mu          sync.Mutex
	detachedAt  map[string]time.Time // zero while a reader is attached
	cancelCount int
	// losesCall reports whether the numbered call is lost: its request, or its reply.
	losesCall func(call int) (requestLost, replyLost bool)
	// callDuration is the duration of a call.
	callDuration time.Duration
}

var errLost = errors.New("no reply")

func (fake *fakeEngine) setStream(stream string, detachedAt time.Time) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.detachedAt == nil {
		fake.detachedAt = map[string]time.Time{}
	}
	fake.detachedAt[stream] = detachedAt
}

func (fake *fakeEngine) hasStream(stream string) bool {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	_, held := fake.detachedAt[stream]
	return held
}

func (fake *fakeEngine) listStreams(context.Context, netip.AddrPort) ([]engine.StreamInfo, error) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	var list []engine.StreamInfo
	for id, detachedAt := range fake.detachedAt {
		info := engine.StreamInfo{ID: id, KVTokens: 1000}
		if !detachedAt.IsZero() {
			info.DetachedMS = peridotpath.Millis(time.Since(detachedAt).Milliseconds())
		}
		list = append(list, info)
	}
	return list, nil
}

func (fake *fakeEngine) cancel(_ context.Context, _ netip.AddrPort, stream string, onlyDetached bool) error {
	time.Sleep(fake.callDuration)
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.cancelCount++
	requestLost, replyLost := false, false
	if fake.losesCall != nil {
		requestLost, replyLost = fake.losesCall(fake.cancelCount)
	}
	if requestLost {
		return errLost
	}
	if detachedAt, held := fake.detachedAt[stream]; held && (!onlyDetached || !detachedAt.IsZero()) {
		delete(fake.detachedAt, stream)
	}
	if replyLost {
		return errLost
	}
	return nil
}

func newSweeper(fake *fakeEngine) *sweep.Sweeper {
	return &sweep.Sweeper{
		Engines: func() []peridotpath.Endpoint {
			return []peridotpath.Endpoint{{ID: "engine-1", Kind: peridotpath.KindEngine}}
		},
		IsOwner:      func(peridotpath.EndpointID) bool { return true },
		ListStreams:  fake.listStreams,
		CancelStream: fake.cancel,
		ResumeWindow: resumeWindow,
		Random:       func() float64 { return 0.5 },
	}
}

// runSweepers runs the sweepers for the given time.
func runSweepers(t *testing.T, duration time.Duration, sweepers ...*sweep.Sweeper) {
	ctx, cancel := context.WithTimeout(t.Context(), duration)
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

// An instance is killed while it relays streams, and does not cancel them. Their memory on
// the engine must be freed, or long prompts no longer fit on any engine.
func TestStreamsOfKilledInstanceAreCancelled(t *testing.T) {
	cases := []struct {
		name string
		lose func(call int) (requestLost, replyLost bool)
	}{
		{"nothing lost", nil},
		{"first cancellation lost", func(call int) (bool, bool) { return call <= 3, false }},
		{"first reply lost, cancelled again", func(call int) (bool, bool) { return false, call <= 3 }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fake := &fakeEngine{losesCall: test.lose}
				for i := range 3 {
					fake.setStream(fmt.Sprint("abandoned-", i), time.Now())
				}
				fake.setStream("read", time.Time{})
				first, second := newSweeper(fake), newSweeper(fake)
				runSweepers(t, first.MaxReclaimTime(), first, second)
				for i := range 3 {
					is.True(!fake.hasStream(fmt.Sprint("abandoned-", i)))
				}
				is.True(fake.hasStream("read"))
			})
		})
	}
}

// A caller repeatedly resumes its stream at the last moment of the resume window, and its
// request takes a second to reach the engine, while two instances sweep. The stream must
// not be cancelled, or the caller would lose an answer that still exists.
func TestResumedStreamIsNotCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := &fakeEngine{}
		fake.setStream("resumed", time.Now())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for range 20 {
				time.Sleep(resumeWindow + time.Second)
				if !fake.hasStream("resumed") {
					return
				}
				fake.setStream("resumed", time.Time{})
				time.Sleep(100 * time.Millisecond)
				fake.setStream("resumed", time.Now())
			}
		}()
		runSweepers(t, 20*resumeWindow, newSweeper(fake), newSweeper(fake))
		is.True(fake.hasStream("resumed"))
		<-ended
	})
}

// A caller resumes a stream after the sweeper listed it and before the sweeper cancels it.
// The stream must not be cancelled.
func TestStreamResumedAfterTheListIsNotCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := &fakeEngine{callDuration: 100 * time.Millisecond}
		fake.setStream("resumed", time.Now().Add(-time.Minute))
		go func() {
			time.Sleep(50 * time.Millisecond)
			fake.setStream("resumed", time.Time{})
		}()
		runSweepers(t, time.Second, newSweeper(fake))
		is.Equal(fake.cancelCount, 1)
		is.True(fake.hasStream("resumed"))
	})
}

// An engine is so slow that a list is seconds old before its last stream is reached, and
// the caller of that stream has resumed it and disconnected again meanwhile. Cancellations must not be
// based on the outdated list.
func TestOutdatedListIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := &fakeEngine{callDuration: time.Second}
		for i := range 9 {
			fake.setStream(fmt.Sprint("stream-", i), time.Now().Add(-time.Minute))
		}
		go func() {
			time.Sleep(500 * time.Millisecond)
			for i := range 9 {
				fake.setStream(fmt.Sprint("stream-", i), time.Now())
			}
		}()
		runSweepers(t, 4*time.Second, newSweeper(fake))
		is.Equal(fake.cancelCount, 1)
	})
}
