package shortprompts

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/relay"
	"peridotpath.example/peridotpath/relay/relaytest"
	"peridotpath.example/peridotpath/shortqueue"
	"peridotpath.example/peridotpath/telemetry"
)

// shortRates are the published rates of engines whose slots run out before their prefill
// capacity does.
var shortRates = peridotpath.EngineRates{
	BatchSize: 12, KVTokens: 197_200, StepsPerIteration: 48, Chunk: 2048,
	Step: 1020 * time.Microsecond, StepPerSequence: 2260 * time.Nanosecond, StepPerContextK: 4310 * time.Nanosecond,
	PrefillPerSecond: 206_000, PerMillionPairs: 138 * time.Microsecond,
}

const (
	shortTTFT = 300 * time.Millisecond
	shortITL  = 250 * time.Millisecond
	// clientPatience is the time after which a client without an event disconnects.
	clientPatience = 2 * time.Second
	// calmShare is the load before and after a burst, as a share of what the slots sustain.
	calmShare = 0.27
	calmTime  = 2 * time.Second
)

func slotPrompt(random *rand.Rand) func(time.Duration) relaytest.Arrival {
	return func(at time.Duration) relaytest.Arrival {
		prompt := min(relaytest.LogNormalLength(random, 4960, 0.9), 23_800)
		events := max(relaytest.LogNormalLength(random, 31, 0.7), 1)
		return relaytest.Arrival{At: at, Route: "short", Prompt: prompt, Answer: 48 * events}
	}
}

// newShortFixture returns an instance whose route "short" has the targets of this test.
func newShortFixture(send relay.Sender, rates *peridotpath.EngineRates, endpoints ...peridotpath.Endpoint) *relaytest.Fixture {
	fixture := relaytest.NewFixture(send, rates, endpoints...)
	table := relaytest.Routing(rates)
	table.Version = 8
	for i := range table.Routes {
		if table.Routes[i].Name == "short" {
			// The longest answers take more than fifteen seconds.
			table.Routes[i].ITLTarget, table.Routes[i].Timeout = shortITL, time.Minute
		}
	}
	fixture.Relay.ShortQueue = &shortqueue.Queue{LogSampler: &telemetry.LogSampler{PerSecond: 5}}
	fixture.Routing.Apply(table, fixture.Routing.Now())
	return fixture
}

// sustainedRate returns the short prompts per second that engines complete whose slots are
// always full, with two prompts waiting at each.
func sustainedRate(t *testing.T, rates *peridotpath.EngineRates, engineCount int) float64 {
	t.Helper()
	const warmUp, measured = 4 * time.Second, 16 * time.Second
	var mutex sync.Mutex
	completed := 0
	virtual.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		engines, endpoints := relaytest.NewEngines(ctx, rates, engineCount)
		random := rand.New(rand.NewPCG(1, 2))
		began := time.Now()
		var all sync.WaitGroup
		for i := range endpoints {
			for range rates.BatchSize + 2 {
				all.Go(func() {
					for time.Since(began) < warmUp+measured {
						mutex.Lock()
						next := slotPrompt(random)(0)
						mutex.Unlock()
						request := &relay.Request{PromptTokens: next.Prompt, MaxAnswerTokens: next.Answer}
						answer, err := engines.Send(ctx, &relay.Call{Request: request, Endpoint: &endpoints[i]})
						if err != nil {
							t.Error(err)
							return
						}
						buffer := make([]byte, 64)
						for err == nil {
							_, err = answer.Body.Read(buffer)
						}
						if at := time.Since(began); at > warmUp && at <= warmUp+measured {
							mutex.Lock()
							completed++
							mutex.Unlock()
						}
					}
				})
			}
		}
		all.Wait()
		cancel()
	})
	return float64(completed) / measured.Seconds()
}

// shortResult is what became of one caller's request, its return included.
type shortResult struct {
	// first and second are the caller's attempts; second is nil where it did not return.
	first, second *relaytest.Outcome
}

func isOnTime(outcome *relaytest.Outcome) bool {
	return outcome.Ended && outcome.Status == http.StatusOK && outcome.TimeToFirstEvent <= shortTTFT && outcome.MaxPause <= shortITL
}

// sendOnce sends a request whose client disconnects when no event arrives in clientPatience.
func sendOnce(ctx context.Context, fixture *relaytest.Fixture, arrival relaytest.Arrival) *relaytest.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := &relay.Request{
		ID: "r1", Method: http.MethodPost, Target: "/short/x", Path: "/short/x", Host: "host", Header: http.Header{},
		Key: "key", ArrivedAt: time.Now(), Timeout: time.Minute, PromptTokens: arrival.Prompt, MaxAnswerTokens: arrival.Answer,
	}
	outcome := &relaytest.Outcome{}
	caller := outcome.Caller()
	impatience := time.AfterFunc(clientPatience, cancel)
	defer impatience.Stop()
	event := caller.Event
	caller.Event = func(raw []byte) error {
		impatience.Stop()
		return event(raw)
	}
	fixture.Relay.Serve(ctx, request, caller)
	outcome.Took = time.Since(request.ArrivedAt)
	return outcome
}

// sendAndReturn sends a request and, where it is refused, once more after the delay that the
// refusal names.
func sendAndReturn(ctx context.Context, pick func() *relaytest.Fixture, arrival relaytest.Arrival) shortResult {
	result := shortResult{first: sendOnce(ctx, pick(), arrival)}
	if refused := result.first.Result; refused.Code.NotRun() && refused.RetryAfter > 0 {
		time.Sleep(refused.RetryAfter)
		result.second = sendOnce(ctx, pick(), arrival)
	}
	return result
}

// slotLoad is a load of short prompts and the fleet that serves it.
type slotLoad struct {
	instances, engines int
	// lag is the age of what instances know of each other.
	lag time.Duration
	// perSecond is the arrival rate of the burst, calmPerSecond the one before and after it.
	perSecond, calmPerSecond float64
	burst                    time.Duration
	seed                     uint64
	// countFrom is the time from the start of the burst from which on arrivals are counted.
	countFrom time.Duration
	// disturb, when set, is called when the run starts.
	disturb func(fleet *relaytest.Fleet)
	// isDown, when set, reports whether an instance gets no requests at the time.
	isDown func(instance int, at time.Duration) bool
}

// slotTally counts the results of the prompts that arrived in the burst.
type slotTally struct {
	total, onTime, late, refused, gaveUp, failed int
	// returned counts the callers that returned, returnedOnTime and returnedLate those that were
	// then served.
	returned, returnedOnTime, returnedLate int
	// refusedAfter is the longest time until a refusal.
	refusedAfter time.Duration
}

func (tally *slotTally) add(result shortResult) {
	tally.total++
	first := result.first
	switch {
	case isOnTime(first):
		tally.onTime++
	case first.Ended:
		tally.late++
	case first.Result.Code.NotRun():
		tally.refused++
		tally.refusedAfter = max(tally.refusedAfter, first.Took)
	case first.Events == 0:
		tally.gaveUp++
	default:
		tally.failed++
	}
	if result.second != nil {
		tally.returned++
		if isOnTime(result.second) {
			tally.returnedOnTime++
		} else if result.second.Ended {
			tally.returnedLate++
		}
	}
}

func (tally *slotTally) merge(other *slotTally) {
	tally.total += other.total
	tally.onTime += other.onTime
	tally.late += other.late
	tally.refused += other.refused
	tally.gaveUp += other.gaveUp
	tally.failed += other.failed
	tally.returned += other.returned
	tally.returnedOnTime += other.returnedOnTime
	tally.returnedLate += other.returnedLate
	tally.refusedAfter = max(tally.refusedAfter, other.refusedAfter)
}

func (tally *slotTally) onTimeShare() float64 { return float64(tally.onTime) / float64(tally.total) }

func (tally *slotTally) String() string {
	return fmt.Sprintf("on time %.3f of %d; late %d, refused %d (last after %v), gave up %d, failed %d; returned %d: on time %d, late %d",
		tally.onTimeShare(), tally.total, tally.late, tally.refused, tally.refusedAfter.Round(time.Millisecond), tally.gaveUp, tally.failed,
		tally.returned, tally.returnedOnTime, tally.returnedLate)
}

// run replays the load in virtual time.
func (load slotLoad) run(t *testing.T) slotTally {
	t.Helper()
	random := rand.New(rand.NewPCG(load.seed, load.seed))
	from, until := calmTime, calmTime+load.burst
	arrivals := relaytest.Poisson(random, 0, from, load.calmPerSecond, slotPrompt(random))
	arrivals = append(arrivals, relaytest.Poisson(random, from, until, load.perSecond, slotPrompt(random))...)
	arrivals = append(arrivals, relaytest.Poisson(random, until, until+calmTime, load.calmPerSecond, slotPrompt(random))...)
	results := make([]shortResult, len(arrivals))
	virtual.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		engines, endpoints := relaytest.NewEngines(ctx, &shortRates, load.engines)
		fleet := relaytest.NewFleet(load.instances, load.lag, func(int) *relaytest.Fixture { return newShortFixture(engines.Send, &shortRates, endpoints...) })
		fleet.Batching = 10 * time.Millisecond
		go fleet.SendPeriodically(ctx, 250*time.Millisecond)
		if load.disturb != nil {
			load.disturb(fleet)
		}
		var mutex sync.Mutex
		picks := rand.New(rand.NewPCG(load.seed, 9))
		began := time.Now()
		pick := func() *relaytest.Fixture {
			mutex.Lock()
			defer mutex.Unlock()
			for {
				instance := picks.IntN(load.instances)
				if load.isDown == nil || !load.isDown(instance, time.Since(began)) {
					return fleet.Relays[instance]
				}
			}
		}
		var all sync.WaitGroup
		for i, arrival := range arrivals {
			all.Go(func() {
				time.Sleep(arrival.At - time.Since(began))
				results[i] = sendAndReturn(ctx, pick, arrival)
			})
		}
		all.Wait()
		cancel()
		time.Sleep(time.Second)
	})
	var tally slotTally
	for i, arrival := range arrivals {
		if arrival.At >= from+load.countFrom && arrival.At < until {
			tally.add(results[i])
		}
	}
	return tally
}

// shortLoad returns a burst of six seconds at a multiple of what the slots sustain.
func shortLoad(instances, engines int, sustained, multiple float64) slotLoad {
	return slotLoad{
		instances: instances, engines: engines, perSecond: multiple * sustained, calmPerSecond: calmShare * sustained,
		burst: 6 * time.Second, seed: 1,
	}
}

// sum replays the load with several seeds.
func (load slotLoad) sum(t *testing.T, seeds int) slotTally {
	t.Helper()
	var total slotTally
	for seed := range seeds {
		load.seed = uint64(seed) + 1
		tally := load.run(t)
		total.merge(&tally)
	}
	return total
}

// checkShort checks what holds at any load: a prompt that cannot be served is refused before its
// client gives up, and early enough that it can be served when it returns.
func checkShort(t *testing.T, name string, tally *slotTally) {
	t.Helper()
	t.Logf("%s: %v", name, tally)
	if tally.gaveUp > 0 {
		t.Errorf("%s: %d clients gave up without an answer, want none", name, tally.gaveUp)
	}
	if tally.failed > 0 {
		t.Errorf("%s: %d requests failed, want none", name, tally.failed)
	}
}

// wantOnTime returns the share of prompts that must be on time: 0.9 up to 1.1 times what the slots
// sustain, and beyond it 0.9 of what the slots sustain.
func wantOnTime(multiple float64) float64 {
	if multiple <= 1.1 {
		return 0.9
	}
	return 0.9 / multiple
}

// Short prompts arrive at 0.9 to 2 times the rate that the slots sustain. Sent at once, they wait in
// the engines' queues, and at 1.3 half of them is late.
func TestShortPromptsBeyondSlots(t *testing.T) {
	const instances, engines = 6, 16
	sustained := sustainedRate(t, &shortRates, engines)
	t.Logf("%d engines sustain %.1f short prompts per second", engines, sustained)
	for _, multiple := range []float64{0.9, 1.0, 1.1, 1.3, 2.0} {
		load := shortLoad(instances, engines, sustained, multiple)
		tally := load.sum(t, 2)
		checkShort(t, fmt.Sprint(multiple), &tally)
		if want := wantOnTime(multiple); tally.onTimeShare() < want {
			t.Errorf("at %.1f times what the slots sustain: on time %.3f, want %.3f", multiple, tally.onTimeShare(), want)
		}
	}
}

// Thirty instances with the same state must not all take the same free slot.
func TestShortPromptsBeyondSlotsAtManyInstances(t *testing.T) {
	const instances, engines = 30, 60
	sustained := sustainedRate(t, &shortRates, engines)
	t.Logf("%d engines sustain %.1f short prompts per second", engines, sustained)
	load := shortLoad(instances, engines, sustained, 1.1)
	tally := load.sum(t, 2)
	checkShort(t, "1.1", &tally)
	if tally.onTimeShare() < 0.9 {
		t.Errorf("at 1.1 times what the slots sustain: on time %.3f, want 0.9", tally.onTimeShare())
	}
}

// With state 200 and 600 ms old, instances take slots that others have taken. Up to what the slots
// sustain, nine in ten must still be on time with state 200 ms old. The target is not reached above
// that and with state 600 ms old; these shares are logged only.
func TestShortPromptsBeyondSlotsWithOldState(t *testing.T) {
	const instances, engines = 6, 16
	sustained := sustainedRate(t, &shortRates, engines)
	for _, lag := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond} {
		for _, multiple := range []float64{0.9, 1.0, 1.1, 1.3, 2.0} {
			load := shortLoad(instances, engines, sustained, multiple)
			load.lag = lag
			tally := load.run(t)
			t.Logf("state %v old, %.1f: %v", lag, multiple, &tally)
			if lag == 200*time.Millisecond && multiple <= 1 && tally.onTimeShare() < 0.9 {
				t.Errorf("state %v old, at %.1f times what the slots sustain: on time %.3f, want 0.9", lag, multiple, tally.onTimeShare())
			}
		}
	}
}

// Each of these must leave the prompts that arrive at the other instances served.
func TestShortPromptsBeyondSlotsWithFailures(t *testing.T) {
	const instances, engines = 6, 16
	sustained := sustainedRate(t, &shortRates, engines)
	frozenFrom, frozenUntil := calmTime+time.Second, calmTime+5*time.Second
	frozen := func(instance int, at time.Duration) bool {
		return instance == 0 && at >= frozenFrom && at < frozenUntil
	}
	for name, disturb := range map[string]func(load *slotLoad){
		// The numbers of a peer that has died count for two seconds more.
		"dead peer": func(load *slotLoad) {
			load.countFrom = 3500 * time.Millisecond
			load.disturb = func(fleet *relaytest.Fleet) {
				time.AfterFunc(calmTime+time.Second, func() {
					for _, instance := range fleet.Relays {
						report := placement.PeerReport{Peer: "edge-dead", Incarnation: 1, Sequence: 1, ShortWaits: placement.ShortWaits{OnTime: 200, Late: 200}}
						instance.LoadTracker.ApplyPeerReport(report, time.Now())
					}
				})
			}
		},
		"frozen instance": func(load *slotLoad) {
			load.isDown = frozen
			load.disturb = func(fleet *relaytest.Fleet) {
				began := time.Now()
				fleet.Lost = func(from, to int) bool {
					return frozen(from, time.Since(began)) || frozen(to, time.Since(began))
				}
			}
		},
		"lost updates": func(load *slotLoad) {
			load.disturb = func(fleet *relaytest.Fleet) {
				random := rand.New(rand.NewPCG(3, 3))
				fleet.Lost = func(int, int) bool { return random.Float64() < 0.3 }
			}
		},
	} {
		load := shortLoad(instances, engines, sustained, 1)
		disturb(&load)
		tally := load.sum(t, 2)
		checkShort(t, name, &tally)
		if tally.onTimeShare() < 0.9 {
			t.Errorf("%s: on time %.3f, want 0.9", name, tally.onTimeShare())
		}
	}
}

// fillSlots occupies all slots of the engines with requests of another instance, which end soon.
func fillSlots(fixture *relaytest.Fixture, endpoints []peridotpath.Endpoint, now time.Time) {
	report := placement.PeerReport{Peer: "edge-2", Incarnation: 1, Sequence: uint64(now.UnixNano())}
	for i := range endpoints {
		for range shortRates.BatchSize + 2 {
			report.InFlight = append(report.InFlight, placement.InFlight{
				Number: placement.InFlightNumber(len(report.InFlight) + 1), PromptTokens: 4960, SentAt: now.Add(-1500 * time.Millisecond), Decoding: true,
				Parts: []placement.PrefillPart{{Endpoint: endpoints[i].Key(), ReservedKV: 5000}},
			})
		}
	}
	fixture.LoadTracker.ApplyPeerReport(report, now)
}

// keepFull keeps all slots occupied until ctx ends.
func keepFull(ctx context.Context, fixture *relaytest.Fixture, endpoints []peridotpath.Endpoint) {
	for ctx.Err() == nil {
		fillSlots(fixture, endpoints, time.Now())
		time.Sleep(200 * time.Millisecond)
	}
}

// A prompt that gets no slot must be refused before its client gives up, without having been sent,
// and the waiting prompts must not be reported any more when none waits.
func TestShortPromptWithoutSlotIsRefused(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		engines, endpoints := relaytest.NewEngines(ctx, &shortRates, 3)
		instance := newShortFixture(engines.Send, &shortRates, endpoints...)
		fillSlots(instance, endpoints, time.Now())
		go keepFull(ctx, instance, endpoints)
		var all sync.WaitGroup
		for range 5 {
			all.Go(func() {
				outcome := sendOnce(ctx, instance, relaytest.Arrival{Prompt: 4960, Answer: 31 * 48})
				if !outcome.Result.Code.NotRun() || outcome.Result.RetryAfter <= 0 || outcome.Took >= clientPatience {
					t.Errorf("result %v after %v, want a refusal with a retry delay before %v", outcome.Result, outcome.Took, clientPatience)
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		if waits := instance.LoadTracker.LocalShortWaits(); waits.OnTime != 5 {
			t.Errorf("reported %+v, want 5 on time", waits)
		}
		all.Wait()
		if waits := instance.LoadTracker.LocalShortWaits(); waits != (placement.ShortWaits{}) {
			t.Errorf("reported %+v after all were refused, want none", waits)
		}
		if len(engines.Calls()) > 0 {
			t.Errorf("%d calls of refused prompts, want none", len(engines.Calls()))
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// A stream that its caller resumes must neither wait for a slot nor be refused.
func TestResumedStreamDoesNotWaitForSlot(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		engines, endpoints := relaytest.NewEngines(ctx, &shortRates, 3)
		instance := newShortFixture(engines.Send, &shortRates, endpoints...)
		fillSlots(instance, endpoints, time.Now())
		outcome := instance.Send(ctx, "short", func(request *relay.Request) {
			request.PromptTokens, request.MaxAnswerTokens, request.LastEventID = 4960, 31*48, "3"
		})
		if len(engines.Calls()) != 1 || outcome.Result.Code.NotRun() {
			t.Errorf("%d calls, result %v, want it sent at once", len(engines.Calls()), outcome.Result)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// A retry after a failed attempt must not wait for a slot: its caller has waited already.
func TestRetryDoesNotWaitForSlot(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		engines, endpoints := relaytest.NewEngines(ctx, &shortRates, 3)
		var instance *relaytest.Fixture
		var mutex sync.Mutex
		var sentAt []time.Time
		instance = newShortFixture(func(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
			mutex.Lock()
			sentAt = append(sentAt, time.Now())
			first := len(sentAt) == 1
			mutex.Unlock()
			if first {
				fillSlots(instance, endpoints, time.Now())
				return nil, outbound.ErrNotSent.New("connection refused")
			}
			return engines.Send(ctx, call)
		}, &shortRates, endpoints...)
		outcome := sendOnce(ctx, instance, relaytest.Arrival{Prompt: 4960, Answer: 31 * 48})
		mutex.Lock()
		defer mutex.Unlock()
		if len(sentAt) != 2 || !sentAt[1].Equal(sentAt[0]) || !outcome.Ended {
			t.Errorf("sent at %v, ended %t, want a retry at once", sentAt, outcome.Ended)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// While slots are plentiful no prompt may wait or be counted as waiting.
func TestShortPromptsDoNotWaitAtCalmLoad(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		engines, endpoints := relaytest.NewEngines(ctx, &shortRates, 4)
		var mutex sync.Mutex
		var sentAfter time.Duration
		began := time.Now()
		instance := newShortFixture(func(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
			mutex.Lock()
			sentAfter = max(sentAfter, time.Since(began))
			mutex.Unlock()
			return engines.Send(ctx, call)
		}, &shortRates, endpoints...)
		var all sync.WaitGroup
		for range 12 {
			all.Go(func() { sendOnce(ctx, instance, relaytest.Arrival{Prompt: 4960, Answer: 31 * 48}) })
		}
		all.Wait()
		mutex.Lock()
		defer mutex.Unlock()
		if sentAfter > 0 {
			t.Errorf("a prompt was sent after %v, want at once", sentAfter)
		}
		cancel()
		time.Sleep(time.Second)
	})
}
