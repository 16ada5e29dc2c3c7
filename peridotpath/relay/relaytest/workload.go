package relaytest

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

// Arrival is one request of a workload.
type Arrival struct {
	At     time.Duration
	Route  string
	Prompt peridotpath.Tokens
	Answer peridotpath.Tokens
}

// The targets of overloads and bursts.
const (
	// BurstTarget is the share of prompts that must be on time in a burst while all engines serve.
	BurstTarget = 0.75
	// WorstWindowTarget is the worth that must be reached in the worst seconds of an overload.
	WorstWindowTarget = 0.6
)

// LogNormalLength draws a length from a log-normal distribution with the given mean.
func LogNormalLength(random *rand.Rand, mean, spread float64) peridotpath.Tokens {
	return peridotpath.Tokens(mean * math.Exp(spread*random.NormFloat64()-spread*spread/2))
}

// Poisson returns the arrivals of a Poisson process.
func Poisson(random *rand.Rand, from, until time.Duration, perSecond float64, arrivalAt func(at time.Duration) Arrival) []Arrival {
	var all []Arrival
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= until {
			return all
		}
		all = append(all, arrivalAt(at))
	}
}

// ShortAt returns a draw of short prompts for Poisson.
func ShortAt(random *rand.Rand) func(time.Duration) Arrival {
	return func(at time.Duration) Arrival {
		return Arrival{At: at, Route: "short", Prompt: min(LogNormalLength(random, 5_000, 0.7), 24_000), Answer: 46 * 35}
	}
}

// LongAt returns a draw of long prompts for Poisson.
func LongAt(random *rand.Rand) func(time.Duration) Arrival {
	return func(at time.Duration) Arrival {
		return Arrival{At: at, Route: "long", Prompt: min(LogNormalLength(random, 210_000, 0.5), 440_000), Answer: 46 * 17}
	}
}

// RunWorkload runs a workload against fake engines and returns each request's outcome.
func RunWorkload(t *testing.T, engineCount int, load []Arrival) []*Outcome {
	t.Helper()
	outcomes := make([]*Outcome, len(load))
	virtual.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		engines, endpoints := NewEngines(ctx, &Rates, engineCount)
		instance := NewFixture(engines.Send, &Rates, endpoints...)
		SendAll(ctx, load, outcomes, func() *Fixture { return instance })
		cancel()
	})
	return outcomes
}

// SendAll sends each request of a workload at its time to the instance that pick returns,
// and waits for all outcomes.
func SendAll(ctx context.Context, load []Arrival, outcomes []*Outcome, pick func() *Fixture) {
	began := time.Now()
	var all sync.WaitGroup
	for i, arrival := range load {
		fixture := pick()
		all.Go(func() {
			time.Sleep(arrival.At - time.Since(began))
			outcomes[i] = fixture.Send(ctx, arrival.Route, func(request *relay.Request) {
				request.PromptTokens, request.MaxAnswerTokens = arrival.Prompt, arrival.Answer
				request.Timeout = 15 * time.Second
			})
		})
	}
	all.Wait()
}

// MetTargetsShare returns the share of a route's requests that met their TTFT and ITL targets.
func MetTargetsShare(load []Arrival, outcomes []*Outcome, route string, ttft, itl time.Duration) float64 {
	total, met := 0, 0
	for i, outcome := range outcomes {
		if load[i].Route != route {
			continue
		}
		total++
		if outcome.Ended && outcome.Status == http.StatusOK && outcome.TimeToFirstEvent <= ttft && outcome.MaxPause <= itl {
			met++
		}
	}
	return float64(met) / float64(total)
}
