// Package dispatch carries a request from its admission to its last byte: it
// asks package decide where the work may run, sends it there, relays the
// answer, resumes a stream that broke off, and tries again where that is safe.
package dispatch

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/service"
)

// Request is one admitted-or-not-yet request of a caller.
type Request struct {
	Work *decide.Work
	// Path is the engine's path that the caller asked for.
	Path string
	// Body is let go of once content has come: nothing is sent again after that.
	Body *engine.Body
	// Free, when set, is called when Body has been let go of.
	Free func()
	// Stream says that the caller wants the answer as events.
	Stream bool
	// Usage, when set, is told the length of the prompt as the engine counted it.
	Usage func(prompt peridotpath.Tokens)
	// MaySend, when set, is asked right before each sending; an error, best a
	// *peridotpath.Result, forbids it.
	MaySend func() error
}

// Sink is where the answer goes. Its functions are called from one goroutine.
type Sink struct {
	// Start is called once, when the first content is there. A failure before
	// it is returned by Do and can still become an ordinary error answer.
	Start func(header http.Header, endpoint peridotpath.EndpointID, stream string)
	// Event writes one event of a stream. An error means the caller is gone.
	Event func(offset int64, data []byte) error
	// Whole writes an answer that is not a stream.
	Whole func(body []byte) error
}

// Dispatcher runs requests. Set the exported fields before Run.
type Dispatcher struct {
	Scheduler *decide.Scheduler
	Log       zerolog.Logger
	// Send, Resume and Cancel speak to an engine.
	Send   func(ctx context.Context, address netip.AddrPort, request *engine.Request) (*engine.Answer, error)
	Resume func(ctx context.Context, address netip.AddrPort, stream string, after int64) (*engine.Answer, error)
	Cancel func(ctx context.Context, address netip.AddrPort, stream string, onlyDetached bool) error
	// SendPlain speaks to a plain service.
	SendPlain func(ctx context.Context, address netip.AddrPort, call *service.Request) (*http.Response, error)
	// Draining, when set, is told of an endpoint that said it is leaving.
	Draining func(now time.Time, endpoint peridotpath.EndpointID)
	// ResumeWindow is how long a stream whose caller left is kept for a return.
	ResumeWindow time.Duration

	waiters   waiters
	notify    chan struct{}
	cancels   chan cancellation
	startOnce sync.Once
}

// start makes the channels, whichever of Run and Do comes first.
func (dispatcher *Dispatcher) start() {
	dispatcher.startOnce.Do(func() {
		dispatcher.notify = make(chan struct{}, 1)
		dispatcher.cancels = make(chan cancellation, cancelQueue)
	})
}

// idleAdvance bounds how long queued work waits when no event wakes the queue.
const idleAdvance = 50 * time.Millisecond

// Run advances the queue and cancels abandoned streams until ctx ends.
func (dispatcher *Dispatcher) Run(ctx context.Context) error {
	dispatcher.start()
	cancelled := make(chan struct{})
	go func() {
		defer close(cancelled)
		dispatcher.cancelAbandoned(ctx)
	}()
	defer func() { <-cancelled }()
	timer := time.NewTimer(idleAdvance)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-dispatcher.notify:
		case <-timer.C:
		}
		dispatcher.advance()
		timer.Reset(dispatcher.untilNext())
	}
}

func (dispatcher *Dispatcher) untilNext() time.Duration {
	next := dispatcher.Scheduler.NextDispatch()
	if next.IsZero() {
		return idleAdvance
	}
	return min(max(time.Until(next), time.Millisecond), idleAdvance)
}

func (dispatcher *Dispatcher) advance() {
	for _, decision := range dispatcher.Scheduler.DispatchQueued(time.Now()) {
		if !dispatcher.waiters.deliver(decision) && decision.Verdict == decide.Place {
			dispatcher.Scheduler.EndAttempt(time.Now(), decision.Work, decide.Abandoned, 0)
		}
	}
}

// wake has Run look at the queue: a place may have come free.
func (dispatcher *Dispatcher) wake() {
	select {
	case dispatcher.notify <- struct{}{}:
	default:
	}
}

// done ends a placement and wakes the queue.
func (dispatcher *Dispatcher) done(work *decide.Work, outcome decide.Outcome, tokens peridotpath.Tokens) {
	dispatcher.Scheduler.EndAttempt(time.Now(), work, outcome, tokens)
	dispatcher.wake()
}
