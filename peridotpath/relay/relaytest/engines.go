// Package relaytest has what tests of the relay share: a relay with its parts in memory, engines that
// work at their published rates in virtual time, a fleet that exchanges digests, and workloads.
package relaytest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/pace"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/relay"
)

// Rates are the published rates of a large model on four accelerators, sped up twelve
// times.
var Rates = peridotpath.EngineRates{
	BatchSize: 16, KVTokens: 450_000, StepsPerIteration: 46, Chunk: 2048,
	Step: 925 * time.Microsecond, StepPerSequence: 4830 * time.Nanosecond, StepPerContextK: 2540 * time.Nanosecond,
	PrefillPerSecond: 256_000, PerMillionPairs: 91_700 * time.Nanosecond,
}

// Engines simulate engines by their published rates, in the test's virtual time.
type Engines struct {
	mutex   sync.Mutex
	engines map[peridotpath.EndpointID]*Engine
	// calls holds the calls in the order of their arrival.
	calls []relay.Call
}

// Engine simulates continuous batching. An iteration prefills parts for other primaries
// first, then the prompts that the engine decodes, in the order of their arrival; it has 46
// steps while any request decodes. A request beyond the batch size waits until one of the
// batch has ended.
type Engine struct {
	model    placement.Model
	prefills []*prefill
	requests []*request
	awake    chan struct{}
	// slowdown multiplies the published times; zero means one.
	slowdown float64
	// prefillsUntil is the end of the last prefill step of the current iteration.
	prefillsUntil time.Time
}

type prefill struct {
	timeLeft  time.Duration
	isPrimary bool
	request   *request
}

// waitsForBatch reports whether the part is at the primary of a request that is outside
// the batch.
func (prefill *prefill) waitsForBatch() bool {
	return prefill.isPrimary && !prefill.request.admitted
}

type request struct {
	// primary is the engine that decodes the answer.
	primary         *Engine
	prompt          peridotpath.Tokens
	pendingPrefills int
	admitted        bool
	events          chan struct{}
	eventsLeft      int
	cancelled       <-chan struct{}
}

// NewEngines returns engines that run until ctx ends, and their endpoints.
func NewEngines(ctx context.Context, rates *peridotpath.EngineRates, count int) (*Engines, []peridotpath.Endpoint) {
	engines := &Engines{engines: map[peridotpath.EndpointID]*Engine{}}
	var endpoints []peridotpath.Endpoint
	for i := range count {
		endpoint := Endpoint(i)
		endpoints = append(endpoints, endpoint)
		engine := &Engine{model: placement.Model{Rates: rates}, awake: make(chan struct{}, 1)}
		engines.engines[endpoint.ID] = engine
		go engine.run(ctx, engines)
	}
	return engines, endpoints
}

// Send accepts a call and answers with a stream of one event per iteration.
func (engines *Engines) Send(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	engines.calls = append(engines.calls, *call)
	engine := engines.engines[call.Endpoint.ID]
	if engine == nil {
		return nil, outbound.ErrNotSent.New("no such engine")
	}
	count := 1 + len(call.Helpers)
	share := engine.model.PrefillTime(call.Request.PromptTokens) / time.Duration(count)
	events := int(call.Request.MaxAnswerTokens) / engine.model.Rates.StepsPerIteration
	request := &request{primary: engine, prompt: call.Request.PromptTokens, pendingPrefills: count, eventsLeft: max(events, 1), events: make(chan struct{}, 10_000), cancelled: ctx.Done()}
	engine.requests = append(engine.requests, request)
	engine.add(&prefill{timeLeft: share, isPrimary: true, request: request})
	for _, helper := range call.Helpers {
		engines.engines[helper.Endpoint.ID].add(&prefill{timeLeft: share, request: request})
	}
	return &relay.Answer{
		Status: http.StatusOK, Header: http.Header{}, MatchesRequest: true,
		Body: &stream{ctx: ctx, events: request.events},
	}, nil
}

func (engine *Engine) add(part *prefill) {
	engine.prefills = append(engine.prefills, part)
	engine.wake()
}

func (engine *Engine) wake() {
	select {
	case engine.awake <- struct{}{}:
	default:
	}
}

func (engine *Engine) run(ctx context.Context, engines *Engines) {
	for {
		engines.mutex.Lock()
		duration := engine.iterate()
		engines.mutex.Unlock()
		if duration == 0 {
			select {
			case <-ctx.Done():
				return
			case <-engine.awake:
				continue
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(duration):
		}
		engines.mutex.Lock()
		engine.emitEvents()
		engines.mutex.Unlock()
	}
}

// iterate runs one iteration and returns its duration; zero if the engine is idle.
func (engine *Engine) iterate() time.Duration {
	rates := engine.model.Rates
	decodingCount, context := engine.decoding()
	steps := 1
	if decodingCount > 0 {
		steps = rates.StepsPerIteration
	}
	step := rates.Step + time.Duration(decodingCount)*rates.StepPerSequence +
		time.Duration(float64(context)/1000*float64(rates.StepPerContextK))
	perStep := time.Duration(float64(rates.Chunk) / rates.PrefillPerSecond * float64(time.Second))
	duration, prefillEnd := time.Duration(0), time.Duration(0)
	for range steps {
		part := engine.nextPrefill()
		if part == nil && decodingCount == 0 {
			break
		}
		duration += step
		if part != nil {
			// A part's time includes its attention cost, which is spread evenly over
			// its chunks here.
			worked := min(part.timeLeft, perStep)
			part.timeLeft -= worked
			duration += worked
			prefillEnd = duration
			if part.timeLeft <= 0 {
				part.request.pendingPrefills--
				// The primary may be idle until the last part is prefilled.
				part.request.primary.wake()
			}
		}
	}
	if engine.slowdown > 0 {
		duration = time.Duration(float64(duration) * engine.slowdown)
		prefillEnd = time.Duration(float64(prefillEnd) * engine.slowdown)
	}
	engine.prefillsUntil = time.Now().Add(prefillEnd)
	return duration
}

// Calls returns the calls so far, in the order of their arrival.
func (engines *Engines) Calls() []relay.Call {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	return slices.Clone(engines.calls)
}

// ForEach calls visit for each engine. The engines stand still meanwhile.
func (engines *Engines) ForEach(visit func(engine *Engine)) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	for _, engine := range engines.engines {
		visit(engine)
	}
}

// HoldsUpTo reports whether the engine has an unfinished request with a prompt of up to limit. It
// is called by ForEach's visit.
func (engine *Engine) HoldsUpTo(limit peridotpath.Tokens) bool {
	return slices.ContainsFunc(engine.requests, func(request *request) bool {
		return request.prompt <= limit && request.eventsLeft > 0
	})
}

// IsPrefilling reports whether the engine prefills a prompt or has one to prefill. It is called by
// ForEach's visit.
func (engine *Engine) IsPrefilling() bool {
	return time.Now().Before(engine.prefillsUntil) ||
		slices.ContainsFunc(engine.prefills, func(part *prefill) bool { return part.timeLeft > 0 })
}

// SetSlow multiplies the published times of the first count engines by slowdown.
func (engines *Engines) SetSlow(count int, slowdown float64) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	for i := range count {
		engines.engines[Endpoint(i).ID].slowdown = slowdown
	}
}

// FetchSlowdown returns the slowdown that an engine reports.
func (engines *Engines) FetchSlowdown(_ context.Context, endpoint *peridotpath.Endpoint) (pace.Slowdown, error) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	return pace.Slowdown(max(engines.engines[endpoint.ID].slowdown, 1)), nil
}

func (engine *Engine) decoding() (int, peridotpath.Tokens) {
	count, context := 0, peridotpath.Tokens(0)
	kept := engine.requests[:0]
	for _, request := range engine.requests {
		select {
		case <-request.cancelled:
			continue
		default:
		}
		if request.eventsLeft == 0 {
			continue
		}
		kept = append(kept, request)
		if request.pendingPrefills <= 0 {
			count++
			context += request.prompt
		}
	}
	engine.requests = kept
	for i, request := range kept {
		request.admitted = i < engine.model.Rates.BatchSize
	}
	return count, context
}

func (engine *Engine) nextPrefill() *prefill {
	var primaryPart *prefill
	kept := engine.prefills[:0]
	for _, part := range engine.prefills {
		if part.timeLeft > 0 {
			kept = append(kept, part)
		}
	}
	engine.prefills = kept
	for _, part := range engine.prefills {
		if !part.isPrimary {
			return part
		}
		if primaryPart == nil && !part.waitsForBatch() {
			primaryPart = part
		}
	}
	return primaryPart
}

func (engine *Engine) emitEvents() {
	for _, request := range engine.requests {
		if request.pendingPrefills <= 0 && request.eventsLeft > 0 {
			request.eventsLeft--
			request.events <- struct{}{}
			if request.eventsLeft == 0 {
				close(request.events)
			}
		}
	}
}

// stream is the answer body of a fake engine.
type stream struct {
	ctx         context.Context
	events      <-chan struct{}
	lastEventID int
	unread      bytes.Buffer
}

func (stream *stream) Read(into []byte) (int, error) {
	if stream.unread.Len() == 0 {
		select {
		case <-stream.ctx.Done():
			return 0, stream.ctx.Err()
		case _, more := <-stream.events:
			if !more {
				return 0, io.EOF
			}
			stream.lastEventID++
			fmt.Fprintf(&stream.unread, "id: %d\ndata: x\n\n", stream.lastEventID)
		}
	}
	return stream.unread.Read(into)
}

// Close does nothing: the stream ends with its context.
func (*stream) Close() error { return nil }
