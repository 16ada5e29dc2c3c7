package relay_test

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"
)

// callersLeave is how long the callers of the test's routes wait for an event.
const callersLeave = 2 * time.Second

// Twice the long prompts that the engines can read wait for their turn when short
// questions with long attachments come: 30,000 tokens, due within 300 ms. They waited in the
// same line, and their callers left after two seconds though an engine reads one in
// a fifth of a second.
func TestShortAimDoesNotWaitForItsTurn(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	load := poisson(random, 0, 8*time.Second, 6, longAt(random))
	load = append(load, poisson(random, 3*time.Second, 8*time.Second, 3, func(at time.Duration) arrival {
		return arrival{at: at, route: "short", prompt: 30_000, answer: 46 * 20}
	})...)
	outcomes := play(t, 14, load)
	for i, outcome := range outcomes {
		if load[i].route == "short" && (!outcome.ended || outcome.first > callersLeave) {
			t.Errorf("short prompt at %v: status %d, first event after %v", load[i].at, outcome.status, outcome.first)
		}
	}
}

// All callers come back at once after an outage: 300 prompts of 15,000 tokens within
// a tenth of a second on six engines, which is four seconds of their reading. Each
// caller either gets its first event before it would leave, or is told at once when
// to come back; none waits for nothing.
func TestReturnOfAllCallers(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 6))
	load := poisson(random, 0, 100*time.Millisecond, 3000, func(at time.Duration) arrival {
		return arrival{at: at, route: "short", prompt: 15_000, answer: 46 * 20}
	})
	outcomes := play(t, 6, load)
	served := 0
	for i, outcome := range outcomes {
		switch {
		case outcome.ended && outcome.first <= callersLeave:
			served++
		case outcome.status == http.StatusOK:
			t.Errorf("request at %v: first event after %v", load[i].at, outcome.first)
		case !outcome.result.Code.NotRun() || outcome.result.RetryAfter <= 0:
			t.Errorf("request at %v ended with %v", load[i].at, outcome.result)
		}
	}
	t.Logf("served %d of %d", served, len(load))
	if served < 6*16 {
		t.Errorf("served %d, want as many as the engines' slots, %d, at least", served, 6*16)
	}
}
