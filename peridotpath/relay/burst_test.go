package relay_test

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/relay"
)

// arrival is one request of a workload.
type arrival struct {
	at     time.Duration
	route  string
	prompt peridotpath.Tokens
	answer peridotpath.Tokens
}

// logNormalLength draws a length from a log-normal distribution with the given mean.
func logNormalLength(random *rand.Rand, mean, spread float64) peridotpath.Tokens {
	return peridotpath.Tokens(mean * math.Exp(spread*random.NormFloat64()-spread*spread/2))
}

// poisson returns the arrivals of a Poisson process.
func poisson(random *rand.Rand, from, until time.Duration, perSecond float64, arrivalAt func(at time.Duration) arrival) []arrival {
	var all []arrival
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= until {
			return all
		}
		all = append(all, arrivalAt(at))
	}
}

func shortAt(random *rand.Rand) func(time.Duration) arrival {
	return func(at time.Duration) arrival {
		return arrival{at: at, route: "short", prompt: min(logNormalLength(random, 5_000, 0.7), 24_000), answer: 46 * 35}
	}
}

func longAt(random *rand.Rand) func(time.Duration) arrival {
	return func(at time.Duration) arrival {
		return arrival{at: at, route: "long", prompt: min(logNormalLength(random, 210_000, 0.5), 440_000), answer: 46 * 17}
	}
}

// runWorkload runs a workload against fake engines and returns each request's outcome.
func runWorkload(t *testing.T, engineCount int, load []arrival) []*outcome {
	t.Helper()
	outcomes := make([]*outcome, len(load))
	virtual.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		engines, endpoints := newFakeEngines(ctx, &testRates, engineCount)
		instance := newFixture(engines.Send, &testRates, endpoints...)
		sendAll(ctx, load, outcomes, func() *fixture { return instance })
		cancel()
	})
	return outcomes
}

// sendAll sends each request of a workload at its time to the instance that pick returns,
// and waits for all outcomes.
func sendAll(ctx context.Context, load []arrival, outcomes []*outcome, pick func() *fixture) {
	began := time.Now()
	var all sync.WaitGroup
	for i, arrival := range load {
		fixture := pick()
		all.Go(func() {
			time.Sleep(arrival.at - time.Since(began))
			outcomes[i] = fixture.send(ctx, arrival.route, func(request *relay.Request) {
				request.PromptTokens, request.MaxAnswerTokens = arrival.prompt, arrival.answer
				request.Timeout = 15 * time.Second
			})
		})
	}
	all.Wait()
}

// metTargetsShare returns the share of a route's requests that met their TTFT and ITL targets.
func metTargetsShare(load []arrival, outcomes []*outcome, route string, ttft, itl time.Duration) float64 {
	total, met := 0, 0
	for i, outcome := range outcomes {
		if load[i].route != route {
			continue
		}
		total++
		if outcome.ended && outcome.status == http.StatusOK && outcome.timeToFirstEvent <= ttft && outcome.maxPause <= itl {
			met++
		}
	}
	return float64(met) / float64(total)
}

// A dozen long prompts arrive within two seconds beside a load of short ones. Dispatched on
// arrival, the long ones are prefilled concurrently on all engines, delay each other's
// parts, and miss their targets, as do the short ones. Queued, both must meet them.
func TestLongPromptBurst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	load := poisson(random, 0, 8*time.Second, 12, shortAt(random))
	load = append(load, poisson(random, 2*time.Second, 4*time.Second, 6, longAt(random))...)
	outcomes := runWorkload(t, 14, load)
	short := metTargetsShare(load, outcomes, "short", 300*time.Millisecond, 200*time.Millisecond)
	long := metTargetsShare(load, outcomes, "long", 3*time.Second, 800*time.Millisecond)
	t.Logf("in time: short %.3f, long %.3f", short, long)
	if short < 0.9 {
		t.Errorf("short prompts in time: %.3f, want 0.9", short)
	}
	if long < 0.6 {
		t.Errorf("long prompts in time: %.3f, want 0.6", long)
	}
}

// Short prompts arrive at their peak rate. Fourteen engines with batches of sixteen hold
// them only if the load is balanced evenly enough that no batch fills up.
func TestShortPromptsAtPeakRate(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	load := poisson(random, 0, 8*time.Second, 74, shortAt(random))
	outcomes := runWorkload(t, 14, load)
	short := metTargetsShare(load, outcomes, "short", 300*time.Millisecond, 200*time.Millisecond)
	t.Logf("in time: short %.3f", short)
	if short < 0.9 {
		t.Errorf("short prompts in time: %.3f, want 0.9", short)
	}
}

// Long prompts take 90% of the engines' prefill capacity beside a load of short ones. Both
// must meet their latency targets.
func TestLongPromptsNearCapacity(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	load := poisson(random, 0, 12*time.Second, 11, shortAt(random))
	load = append(load, poisson(random, 0, 12*time.Second, 2.6, longAt(random))...)
	outcomes := runWorkload(t, 14, load)
	short := metTargetsShare(load, outcomes, "short", 300*time.Millisecond, 200*time.Millisecond)
	long := metTargetsShare(load, outcomes, "long", 3*time.Second, 800*time.Millisecond)
	t.Logf("in time: short %.3f, long %.3f", short, long)
	if short < 0.9 || long < 0.6 {
		t.Errorf("in time: short %.3f, want 0.9; long %.3f, want 0.6", short, long)
	}
}

// Long prompts arrive for ten seconds at twice the engines' prefill capacity. Requests
// beyond it must be refused with a retry delay and without having run, and short prompts
// must still meet their targets.
func TestLongPromptOverload(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	load := poisson(random, 0, 10*time.Second, 11, shortAt(random))
	load = append(load, poisson(random, 0, 10*time.Second, 6, longAt(random))...)
	outcomes := runWorkload(t, 14, load)
	short := metTargetsShare(load, outcomes, "short", 300*time.Millisecond, 200*time.Millisecond)
	served, refused := 0, 0
	for i, outcome := range outcomes {
		switch {
		case load[i].route != "long":
		case outcome.ended:
			served++
		case outcome.result.Code.NotRun():
			refused++
			if outcome.result.RetryAfter <= 0 {
				t.Errorf("refused with %v and no retry delay", outcome.result)
			}
		}
	}
	t.Logf("in time: short %.3f; long: %d served, %d refused", short, served, refused)
	if short < 0.85 {
		t.Errorf("short prompts in time: %.3f, want 0.85", short)
	}
	if served < 30 {
		t.Errorf("long prompts served: %d, want 30: the engines can prefill that many in the time", served)
	}
}
