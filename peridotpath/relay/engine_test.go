package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/pace"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/relay"
)

// testRates are those of a large model on four accelerators, a twelfth of the
// time: what the users' services publish.
var testRates = peridotpath.EngineRates{
	BatchSize: 16, KVTokens: 450_000, StepsPerIteration: 46, Chunk: 2048,
	Step: 925 * time.Microsecond, StepPerSequence: 4830 * time.Nanosecond, StepPerContextK: 2540 * time.Nanosecond,
	PrefillPerSecond: 256_000, PerMillionPairs: 91_700 * time.Nanosecond,
}

// fakeEngines work as the published rates say, on the clock of the test.
type fakeEngines struct {
	mutex   sync.Mutex
	engines map[peridotpath.EndpointID]*fakeEngine
	// Sent counts the calls by endpoint, in the order of their coming.
	sent []relay.Call
}

// fakeEngine works in passes: helpers' parts first, then the prompts of its own
// requests in the order of their coming, each pass 46 steps when somebody writes. A
// request beyond its batch waits until one of the batch has ended.
type fakeEngine struct {
	model placement.Model
	parts []*fakePart
	jobs  []*fakeJob
	awake chan struct{}
	// slow is how many times as long as published it takes; zero for once.
	slow float64
}

type fakePart struct {
	left time.Duration
	own  bool
	job  *fakeJob
}

// waits reports whether the part's own request has no place in the batch yet.
func (part *fakePart) waits() bool { return part.own && !part.job.admitted }

type fakeJob struct {
	// home is where the answer is written.
	home      *fakeEngine
	prompt    peridotpath.Tokens
	unread    int
	admitted  bool
	events    chan struct{}
	left      int
	cancelled <-chan struct{}
}

func newFakeEngines(ctx context.Context, rates *peridotpath.EngineRates, count int) (*fakeEngines, []peridotpath.Endpoint) {
	engines := &fakeEngines{engines: map[peridotpath.EndpointID]*fakeEngine{}}
	var endpoints []peridotpath.Endpoint
	for i := range count {
		endpoint := testEndpoint(i)
		endpoints = append(endpoints, endpoint)
		engine := &fakeEngine{model: placement.Model{Rates: rates}, awake: make(chan struct{}, 1)}
		engines.engines[endpoint.ID] = engine
		go engine.run(ctx, engines)
	}
	return engines, endpoints
}

// Send takes a call and answers with a stream of as many events as the answer has.
func (engines *fakeEngines) Send(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	engines.sent = append(engines.sent, *call)
	engine := engines.engines[call.Endpoint.ID]
	if engine == nil {
		return nil, outbound.ErrNotSent.New("no such engine")
	}
	count := 1 + len(call.Helpers)
	share := engine.model.PrefillTime(call.Request.Prompt) / time.Duration(count)
	events := int(call.Request.Answer) / engine.model.Rates.StepsPerIteration
	job := &fakeJob{home: engine, prompt: call.Request.Prompt, unread: count, left: max(events, 1), events: make(chan struct{}, 10_000), cancelled: ctx.Done()}
	engine.jobs = append(engine.jobs, job)
	engine.add(&fakePart{left: share, own: true, job: job})
	for _, helper := range call.Helpers {
		engines.engines[helper.Endpoint.ID].add(&fakePart{left: share, job: job})
	}
	return &relay.Answer{
		Status: http.StatusOK, Header: http.Header{}, Genuine: true,
		Body: &fakeStream{ctx: ctx, events: job.events},
	}, nil
}

func (engine *fakeEngine) add(part *fakePart) {
	engine.parts = append(engine.parts, part)
	engine.wake()
}

func (engine *fakeEngine) wake() {
	select {
	case engine.awake <- struct{}{}:
	default:
	}
}

func (engine *fakeEngine) run(ctx context.Context, engines *fakeEngines) {
	for {
		engines.mutex.Lock()
		span := engine.pass()
		engines.mutex.Unlock()
		if span == 0 {
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
		case <-time.After(span):
		}
		engines.mutex.Lock()
		engine.write()
		engines.mutex.Unlock()
	}
}

// pass works one pass and returns how long it takes; zero when there is nothing.
func (engine *fakeEngine) pass() time.Duration {
	rates := engine.model.Rates
	writers, context := engine.writers()
	steps := 1
	if writers > 0 {
		steps = rates.StepsPerIteration
	}
	step := rates.Step + time.Duration(writers)*rates.StepPerSequence +
		time.Duration(float64(context)/1000*float64(rates.StepPerContextK))
	perStep := time.Duration(float64(rates.Chunk) / rates.PrefillPerSecond * float64(time.Second))
	span := time.Duration(0)
	for range steps {
		part := engine.nextPart()
		if part == nil && writers == 0 {
			break
		}
		span += step
		if part != nil {
			// A chunk of a part takes its share of the part's pairs as well; here it
			// is as if a part of that length had none and took longer instead.
			worked := min(part.left, perStep)
			part.left -= worked
			span += worked
			if part.left <= 0 {
				part.job.unread--
				// Its writer may stand idle until the last part has been read.
				part.job.home.wake()
			}
		}
	}
	if engine.slow > 0 {
		span = time.Duration(float64(span) * engine.slow)
	}
	return span
}

// setSlow makes the first engines slow.
func (engines *fakeEngines) setSlow(count int, slow float64) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	for i := range count {
		engines.engines[testEndpoint(i).ID].slow = slow
	}
}

// pace is what an engine says of itself.
func (engines *fakeEngines) pace(_ context.Context, endpoint *peridotpath.Endpoint) (pace.Slowdown, error) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	return pace.Slowdown(max(engines.engines[endpoint.ID].slow, 1)), nil
}

func (engine *fakeEngine) writers() (int, peridotpath.Tokens) {
	count, context := 0, peridotpath.Tokens(0)
	kept := engine.jobs[:0]
	for _, job := range engine.jobs {
		select {
		case <-job.cancelled:
			continue
		default:
		}
		if job.left == 0 {
			continue
		}
		kept = append(kept, job)
		if job.unread <= 0 {
			count++
			context += job.prompt
		}
	}
	engine.jobs = kept
	for i, job := range kept {
		job.admitted = i < engine.model.Rates.BatchSize
	}
	return count, context
}

func (engine *fakeEngine) nextPart() *fakePart {
	var own *fakePart
	kept := engine.parts[:0]
	for _, part := range engine.parts {
		if part.left > 0 {
			kept = append(kept, part)
		}
	}
	engine.parts = kept
	for _, part := range engine.parts {
		if !part.own {
			return part
		}
		if own == nil && !part.waits() {
			own = part
		}
	}
	return own
}

func (engine *fakeEngine) write() {
	for _, job := range engine.jobs {
		if job.unread <= 0 && job.left > 0 {
			job.left--
			job.events <- struct{}{}
			if job.left == 0 {
				close(job.events)
			}
		}
	}
}

// fakeStream is the body of an engine's answer.
type fakeStream struct {
	ctx    context.Context
	events <-chan struct{}
	number int
	rest   bytes.Buffer
}

func (stream *fakeStream) Read(into []byte) (int, error) {
	if stream.rest.Len() == 0 {
		select {
		case <-stream.ctx.Done():
			return 0, stream.ctx.Err()
		case _, more := <-stream.events:
			if !more {
				return 0, io.EOF
			}
			stream.number++
			fmt.Fprintf(&stream.rest, "id: %d\ndata: x\n\n", stream.number)
		}
	}
	return stream.rest.Read(into)
}

func (*fakeStream) Close() error { return nil }
