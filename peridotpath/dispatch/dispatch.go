// Package dispatch runs a request from its admission to the last byte of its
// answer. Package decide places the work; dispatch sends it to the endpoint, relays
// the answer, resumes an interrupted stream after its last event, and retries at
// another endpoint only where the work cannot run twice or is idempotent.
//
// It matters when endpoints refuse, fail or hang under load: content is held back
// until the first token, so that a failed attempt can still be replaced, and each
// request ends by its deadline. The streams of disconnected callers are cancelled
// after the resume window, so that their KV cache is freed.
package dispatch

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/answerbuffer"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/service"
)

// Request is one request of a caller, before or after its admission.
type Request struct {
	Work *decide.Work
	// Path is the engine's path that the caller requested.
	Path string
	// Body is released at the first content; after that the request is not sent again.
	Body *engine.Body
	// OnBodyReleased, when set, is called after Body was released.
	OnBodyReleased func()
	// WantsStream is set if the caller requests the answer as server-sent events.
	WantsStream bool
	// OnPromptUsage, when set, is called with the prompt's length as the engine counted
	// it.
	OnPromptUsage func(prompt peridotpath.Tokens)
	// MaySend, when set, is called right before each attempt is sent. An error,
	// preferably a *peridotpath.Result, prevents the attempt.
	MaySend func() error
}

// Sink writes the answer to the caller. Its functions are called from one goroutine.
type Sink struct {
	// BeginAnswer is called once, at the first content. An earlier failure is returned
	// by Do and can still become an ordinary error response.
	BeginAnswer func(header http.Header, endpoint peridotpath.EndpointID, stream string)
	// WriteEvent writes one event of a stream. An error means that the caller
	// disconnected.
	WriteEvent func(offset int64, data []byte) error
	// WriteWhole writes an answer that is not a stream.
	WriteWhole func(body []byte) error
}

// Dispatcher runs requests. Set the exported fields before Run.
type Dispatcher struct {
	Scheduler *decide.Scheduler
	Log       zerolog.Logger
	// Send, Resume and Cancel make a request to an engine.
	Send   func(ctx context.Context, address netip.AddrPort, request *engine.Request) (*engine.Answer, error)
	Resume func(ctx context.Context, address netip.AddrPort, stream string, after int64) (*engine.Answer, error)
	Cancel func(ctx context.Context, address netip.AddrPort, stream string, onlyDetached bool) error
	// SendPlain makes a request to a plain service.
	SendPlain func(ctx context.Context, address netip.AddrPort, call *service.Request) (*http.Response, error)
	// OnEndpointDraining, when set, is called for an endpoint that reports that it is
	// shutting down.
	OnEndpointDraining func(now time.Time, endpoint peridotpath.EndpointID)
	// OnEndpointBackoff, when set, is called for an endpoint that refuses work and wants none
	// for a time.
	OnEndpointBackoff func(now time.Time, endpoint peridotpath.EndpointID, delay time.Duration)
	// AnswerMemory bounds the memory of all answers that are held whole, and of large events of streams. nil
	// means defaultAnswerMemory.
	AnswerMemory *answerbuffer.Pool
	// ResumeWindow is how long a stream stays resumable after its caller disconnected.
	ResumeWindow time.Duration

	pendingDecisions decisionWaiters
	queueWakeups     chan struct{}
	cancellations    chan cancellation
	initOnce         sync.Once
}

// MaxWholeAnswer bounds an answer that is not a stream, in bytes.
const MaxWholeAnswer peridotpath.Bytes = 16 << 20

// defaultAnswerMemory is the memory of answers where none is set, in bytes.
const defaultAnswerMemory = 8 * MaxWholeAnswer

// init fills fields that are not set and makes the channels once, in whichever of Run and Do is called first.
func (dispatcher *Dispatcher) init() {
	dispatcher.initOnce.Do(func() {
		if dispatcher.AnswerMemory == nil {
			dispatcher.AnswerMemory = answerbuffer.NewPool(defaultAnswerMemory, MaxWholeAnswer)
		}
		dispatcher.queueWakeups = make(chan struct{}, 1)
		dispatcher.cancellations = make(chan cancellation, maxPendingCancellations)
	})
}

// maxAdvanceInterval bounds the time between two queue advances when no event wakes
// the queue.
const maxAdvanceInterval = 50 * time.Millisecond

// Run advances the queue and cancels abandoned streams until ctx ends.
func (dispatcher *Dispatcher) Run(ctx context.Context) error {
	dispatcher.init()
	cancellationsDone := make(chan struct{})
	go func() {
		defer close(cancellationsDone)
		dispatcher.runCancellations(ctx)
	}()
	defer func() { <-cancellationsDone }()
	timer := time.NewTimer(maxAdvanceInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-dispatcher.queueWakeups:
		case <-timer.C:
		}
		dispatcher.advanceQueue()
		timer.Reset(dispatcher.timeUntilAdvance())
	}
}

func (dispatcher *Dispatcher) timeUntilAdvance() time.Duration {
	next := dispatcher.Scheduler.NextDispatch()
	if next.IsZero() {
		return maxAdvanceInterval
	}
	return min(max(time.Until(next), time.Millisecond), maxAdvanceInterval)
}

func (dispatcher *Dispatcher) advanceQueue() {
	for _, decision := range dispatcher.Scheduler.DispatchQueued(time.Now()) {
		if !dispatcher.pendingDecisions.deliver(decision) && decision.Verdict == decide.Place {
			dispatcher.Scheduler.EndAttempt(time.Now(), decision.Work, decide.Abandoned, 0)
		}
	}
}

// wakeQueue makes Run advance the queue: an endpoint may have free capacity.
func (dispatcher *Dispatcher) wakeQueue() {
	select {
	case dispatcher.queueWakeups <- struct{}{}:
	default:
	}
}

// finishPlacement reports a placement's outcome to the scheduler and wakes the queue.
func (dispatcher *Dispatcher) finishPlacement(work *decide.Work, outcome decide.Outcome, tokens peridotpath.Tokens) {
	dispatcher.Scheduler.EndAttempt(time.Now(), work, outcome, tokens)
	dispatcher.wakeQueue()
}
