package dispatch_test

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/answerbuffer"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/dispatch"
	"peridotpath.example/peridotpath/engine"
)

const (
	endlessAnswers = 20
	maxAnswer      = 1 << 20
	answerMemory   = 4 << 20
	// ownBytes is what an answer may take beside the shared memory: its read buffer and a small event.
	ownBytes = 80 << 10
)

// endless is a body that begins with text, goes on with filler up to left bytes and then hangs. held counts the
// bytes that were read of all bodies that are open.
type endless struct {
	ctx        context.Context
	text       string
	left, read int
	held       *atomic.Int64
}

func (endless *endless) Read(into []byte) (int, error) {
	if endless.left <= 0 {
		<-endless.ctx.Done()
		return 0, endless.ctx.Err()
	}
	count := copy(into, endless.text)
	endless.text = endless.text[count:]
	if count == 0 {
		count = copy(into, strings.Repeat("x", min(len(into), endless.left)))
	}
	endless.left -= count
	endless.read += count
	endless.held.Add(int64(count))
	return count, nil
}

func (endless *endless) Close() error {
	endless.held.Add(-int64(endless.read))
	endless.read = 0
	return nil
}

// newEndlessDispatcher returns a dispatcher whose engines answer with endless bodies.
func newEndlessDispatcher(text string, size int, held *atomic.Int64) *dispatch.Dispatcher {
	scheduler := &decide.Scheduler{}
	scheduler.SetEndpoints(time.Now(), []peridotpath.Endpoint{testEndpoint(1), testEndpoint(2)})
	return &dispatch.Dispatcher{
		Scheduler: scheduler, AnswerMemory: answerbuffer.NewPool(answerMemory, maxAnswer),
		Send: func(ctx context.Context, _ netip.AddrPort, _ *engine.Request) (*engine.Answer, error) {
			return &engine.Answer{Body: &endless{ctx: ctx, text: text, left: size, held: held}}, nil
		},
		Cancel: func(context.Context, netip.AddrPort, string, bool) error { return nil },
	}
}

// Engines in trouble send answers without an end to many requests at once: each is bounded, and their sum ends
// the process.
func TestAnswersWithoutEndShareMemory(t *testing.T) {
	for _, test := range []struct {
		name, text  string
		wantsStream bool
	}{
		{"whole", `{"choices":[{"text":"`, false},
		{"stream", `data: {"choices":[{"text":"`, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				var held atomic.Int64
				dispatcher := newEndlessDispatcher(test.text, maxAnswer, &held)
				var running sync.WaitGroup
				for range endlessAnswers {
					running.Go(func() {
						request := request(false)
						request.WantsStream = test.wantsStream
						result := dispatcher.Do(ctx, request, (&received{}).sink())
						is.True(result != nil)
					})
				}
				synctest.Wait()
				t.Logf("%d bytes of %d answers are held", held.Load(), endlessAnswers)
				is.True(held.Load() <= answerMemory+endlessAnswers*ownBytes)
				cancel()
				running.Wait()
				is.True(dispatcher.AnswerMemory.TryReserve(answerMemory - maxAnswer)) // all shared memory is given back
			})
		})
	}
}

// An answer that is not a stream exceeds its limit: it is a bad answer, and no part of it is delivered.
func TestWholeAnswerBeyondTheLimitIsBad(t *testing.T) {
	is := is.New(t)
	var held atomic.Int64
	dispatcher := newEndlessDispatcher(`{"choices":[{"text":"`, 2*maxAnswer, &held)
	request, received := request(true), &received{}
	request.WantsStream = false
	result := dispatcher.Do(t.Context(), request, received.sink())
	is.Equal(result.Code, peridotpath.CodeBadAnswer)
	is.Equal(received.started, 0)
}

// An engine sends large events without content, which are held back: their sum is bounded as well as their number.
func TestLargeEventsWithoutContentAreNotHeld(t *testing.T) {
	fixture := newFixture()
	large := `data: {"x":"` + strings.Repeat("x", 40<<10) + `"}` + "\n\n"
	fixture.send = func(_ int, ctx context.Context) (*engine.Answer, error) {
		return hangingAnswer(ctx, large+large), nil
	}
	defer fixture.start(t)()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	begun := make(chan struct{})
	received := &received{}
	sink := received.sink()
	count := 0
	sink.WriteEvent = func(int64, []byte) error {
		if count++; count == 2 {
			close(begun)
		}
		return nil
	}
	ended := make(chan *peridotpath.Result, 1)
	go func() { ended <- fixture.Do(ctx, request(false), sink) }()
	select {
	case <-begun:
	case <-time.After(10 * time.Second):
		t.Error("want the events to be delivered, they are held")
	}
	cancel()
	if result := <-ended; result == nil {
		t.Error("want a result after the caller has left, got none")
	}
}
