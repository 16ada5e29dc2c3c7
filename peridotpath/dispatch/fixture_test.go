package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/dispatch"
	"peridotpath.example/peridotpath/engine"
)

const deadline = 30 * time.Second

// fixture is a dispatcher with two engines whose answers the test scripts.
type fixture struct {
	*dispatch.Dispatcher
	// send and resume script the engines; the first argument counts calls from 0.
	send   func(call int, ctx context.Context) (*engine.Answer, error)
	resume func(call int, after int64) (*engine.Answer, error)

	sends   []netip.AddrPort
	resumes []int64

	mu      sync.Mutex
	cancels []string
}

func newFixture() *fixture {
	fixture := &fixture{}
	scheduler := &decide.Scheduler{}
	scheduler.SetEndpoints(time.Now(), []peridotpath.Endpoint{testEndpoint(1), testEndpoint(2)})
	fixture.Dispatcher = &dispatch.Dispatcher{
		Scheduler: scheduler, ResumeWindow: 10 * time.Second,
		Send: func(ctx context.Context, address netip.AddrPort, _ *engine.Request) (*engine.Answer, error) {
			fixture.sends = append(fixture.sends, address)
			return fixture.send(len(fixture.sends)-1, ctx)
		},
		Resume: func(_ context.Context, _ netip.AddrPort, _ string, after int64) (*engine.Answer, error) {
			fixture.resumes = append(fixture.resumes, after)
			return fixture.resume(len(fixture.resumes)-1, after)
		},
		Cancel: func(_ context.Context, _ netip.AddrPort, stream string, onlyDetached bool) error {
			fixture.mu.Lock()
			defer fixture.mu.Unlock()
			fixture.cancels = append(fixture.cancels, fmt.Sprintf("%s only_detached=%t", stream, onlyDetached))
			return nil
		},
	}
	return fixture
}

func testEndpoint(number int) peridotpath.Endpoint {
	return peridotpath.Endpoint{
		ID: peridotpath.EndpointID(fmt.Sprintf("engine-%d", number)), Service: "claims-llm",
		Kind: peridotpath.KindEngine, State: peridotpath.StateLive, KVTokens: 400_000,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(number)}), 7100),
	}
}

// cancelled returns the cancellations that were sent so far.
func (fixture *fixture) cancelled() []string {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	return slices.Clone(fixture.cancels)
}

// start starts the dispatcher's Run and returns a function that stops it.
func (fixture *fixture) start(t *testing.T) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- fixture.Run(ctx) }()
	return func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("want Run to end with the context, have %v", err)
		}
	}
}

// request returns a streamed request, idempotent or not.
func request(idempotent bool) *dispatch.Request {
	profile := &peridotpath.Profile{Name: "lookup", Service: "claims-llm", Idempotent: idempotent}
	profile.Defaults()
	customer := &peridotpath.Customer{ID: "desk"}
	customer.Defaults()
	now := time.Now()
	return &dispatch.Request{
		WantsStream: true, Path: engine.PathCompletions, Body: engine.NewBody([]byte(`{"prompt":"x"}`)),
		Work: &decide.Work{
			ID: "r1", Customer: customer, Profile: profile, PromptTokens: 1000, MaxOutputTokens: 10,
			ArrivedAt: now, Deadline: now.Add(deadline),
		},
	}
}

// received records what a caller has received.
type received struct {
	started int
	events  []string
	whole   string
	// disconnected makes every write fail, which is the case after the caller
	// disconnected.
	disconnected bool
}

func (received *received) sink() *dispatch.Sink {
	return &dispatch.Sink{
		BeginAnswer: func(http.Header, peridotpath.EndpointID, string) { received.started++ },
		WriteEvent: func(offset int64, data []byte) error {
			if received.disconnected {
				return io.ErrClosedPipe
			}
			received.events = append(received.events, fmt.Sprintf("%d:%s", offset, text(data)))
			return nil
		},
		WriteWhole: func(body []byte) error { received.whole = string(body); return nil },
	}
}

// text returns the content of an event, or the event itself.
func text(data []byte) string {
	_, rest, found := strings.Cut(string(data), `"text":"`)
	if !found {
		return string(data)
	}
	content, _, _ := strings.Cut(rest, `"`)
	return content
}

// events returns a stream's bytes with the tokens from first to last, and the
// end marker if done is set.
func events(first, last int, done bool) string {
	var stream strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&stream, "id: %d\ndata: {\"choices\":[{\"text\":\"t%d\"}]}\n\n", i, i)
	}
	if done {
		fmt.Fprintf(&stream, "id: %d\ndata: [DONE]\n\n", last+1)
	}
	return stream.String()
}

// scriptedAnswer returns an answer whose body has the stream's bytes and then ends, or
// fails with err if that is not nil.
func scriptedAnswer(stream string, err error) *engine.Answer {
	reader := io.Reader(strings.NewReader(stream))
	if err != nil {
		reader = io.MultiReader(reader, failingReader{err})
	}
	return &engine.Answer{Status: http.StatusOK, Body: io.NopCloser(reader), StreamID: "s1"}
}

type failingReader struct{ err error }

func (failingReader failingReader) Read([]byte) (int, error) { return 0, failingReader.err }

// hangingAnswer returns an answer whose body has the stream's bytes and then blocks until
// ctx ends.
func hangingAnswer(ctx context.Context, stream string) *engine.Answer {
	body := io.MultiReader(strings.NewReader(stream), blockedReader{ctx})
	return &engine.Answer{Status: http.StatusOK, Body: io.NopCloser(body), StreamID: "s1"}
}

type blockedReader struct{ ctx context.Context }

func (blockedReader blockedReader) Read([]byte) (int, error) {
	<-blockedReader.ctx.Done()
	return 0, blockedReader.ctx.Err()
}
