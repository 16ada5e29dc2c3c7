package decide

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"peridotpath.example/peridotpath"
)

// TestMain fixes the seed of random tests, so that a run says the same thing
// everywhere and every time.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// epoch is when the tests begin.
var epoch = time.Unix(1_000_000, 0).UTC()

func after(delay time.Duration) time.Time { return epoch.Add(delay) }

func profileOf(name string, change func(*peridotpath.Profile)) *peridotpath.Profile {
	profile := &peridotpath.Profile{Name: peridotpath.ProfileName(name), Service: "model", Idempotent: true, MaxAttempts: 3}
	profile.Defaults()
	if change != nil {
		change(profile)
	}
	return profile
}

func customerOf(name string) *peridotpath.Customer {
	customer := &peridotpath.Customer{ID: peridotpath.CustomerID(name), MaxRequestsPerS: 10_000, MaxConcurrent: 10_000}
	customer.Defaults()
	return customer
}

// workOf is work that arrives at epoch, with a minute's time.
func workOf(prompt peridotpath.Tokens) *Work {
	return &Work{
		Customer: customerOf("desk"),
		Profile:  profileOf("line", nil),
		Class:    peridotpath.ClassOf(prompt, 0),
		Prompt:   prompt,
		Output:   100,
		Arrived:  epoch,
		Deadline: after(time.Minute),
	}
}

const engineMemory peridotpath.Tokens = 480_000

func endpointsOf(count int) []peridotpath.Endpoint {
	endpoints := make([]peridotpath.Endpoint, count)
	for i := range endpoints {
		endpoints[i] = peridotpath.Endpoint{
			ID:       peridotpath.EndpointID(fmt.Sprintf("endpoint-%03d", i)),
			Service:  "model",
			Kind:     peridotpath.KindEngine,
			State:    peridotpath.StateLive,
			KVTokens: engineMemory,
		}
	}
	return endpoints
}

// idle is the report of an engine with nothing to do.
func idle(asOf time.Time) peridotpath.Load {
	return peridotpath.Load{AsOf: asOf, KVTokens: engineMemory, PrefillPerS: 30_000, DecodePerS: 50}
}

// schedulerOf has count idle engines.
func schedulerOf(count int) *Scheduler {
	scheduler := &Scheduler{Seed: 1}
	scheduler.SetEndpoints(epoch, endpointsOf(count))
	for _, endpoint := range endpointsOf(count) {
		scheduler.Report(epoch, endpoint.ID, idle(epoch))
	}
	return scheduler
}

// codeOf is the code of a refusal, CodeOK for other verdicts.
func codeOf(decision Decision) peridotpath.Code {
	if decision.Verdict != Refuse {
		return peridotpath.CodeOK
	}
	return decision.Result.Code
}
