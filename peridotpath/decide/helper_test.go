package decide

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"peridotpath.example/peridotpath"
)

// TestMain fixes the seed of randomised tests, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// epoch is the start time of the tests.
var epoch = time.Unix(1_000_000, 0).UTC()

func sinceEpoch(delay time.Duration) time.Time { return epoch.Add(delay) }

func newProfile(name string, change func(*peridotpath.Profile)) *peridotpath.Profile {
	profile := &peridotpath.Profile{Name: peridotpath.ProfileName(name), Service: "model", Idempotent: true, MaxAttempts: 3}
	profile.Defaults()
	if change != nil {
		change(profile)
	}
	return profile
}

func newCustomer(name string) *peridotpath.Customer {
	customer := &peridotpath.Customer{ID: peridotpath.CustomerID(name), MaxRequestsPerS: 10_000, MaxConcurrent: 10_000}
	customer.Defaults()
	return customer
}

// newWork returns work that arrives at epoch with a deadline one minute later.
func newWork(prompt peridotpath.Tokens) *Work {
	return &Work{
		Customer:        newCustomer("desk"),
		Profile:         newProfile("line", nil),
		Class:           peridotpath.ClassOf(prompt, 0),
		PromptTokens:    prompt,
		MaxOutputTokens: 100,
		ArrivedAt:       epoch,
		Deadline:        sinceEpoch(time.Minute),
	}
}

const engineKV peridotpath.Tokens = 480_000

func newEndpoints(count int) []peridotpath.Endpoint {
	endpoints := make([]peridotpath.Endpoint, count)
	for i := range endpoints {
		endpoints[i] = peridotpath.Endpoint{
			ID:       peridotpath.EndpointID(fmt.Sprintf("endpoint-%03d", i)),
			Service:  "model",
			Kind:     peridotpath.KindEngine,
			State:    peridotpath.StateLive,
			KVTokens: engineKV,
		}
	}
	return endpoints
}

// idleLoad returns the load report of an idle engine.
func idleLoad(asOf time.Time) peridotpath.Load {
	return peridotpath.Load{AsOf: asOf, KVTokens: engineKV, PrefillPerS: 30_000, DecodePerS: 50}
}

// newScheduler returns a Scheduler with count idle engines.
func newScheduler(count int) *Scheduler {
	scheduler := &Scheduler{Seed: 1}
	scheduler.SetEndpoints(epoch, newEndpoints(count))
	for _, endpoint := range newEndpoints(count) {
		scheduler.ApplyReport(epoch, endpoint.ID, idleLoad(epoch))
	}
	return scheduler
}

// refusalCode returns the code of a refusal, CodeOK for other verdicts.
func refusalCode(decision Decision) peridotpath.Code {
	if decision.Verdict != Refuse {
		return peridotpath.CodeOK
	}
	return decision.Result.Code
}
