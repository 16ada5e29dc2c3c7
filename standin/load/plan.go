// Package load is an open-loop load generator. It sends a seeded mix of prompts and calls
// to plain services to several instances with Poisson arrivals, with the retries and stream
// resumptions of a well-behaved client. It checks that each answer is complete and belongs
// to its request, and audits the replies against the runs that the endpoints counted.
package load

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/strictjson"
)

// Plan describes the load.
type Plan struct {
	// Seed determines arrivals and prompts.
	Seed uint64 `json:"seed"`
	// Requests is the number of requests.
	Requests int `json:"requests"`
	// RatePerS is the mean rate of arrivals.
	RatePerS float64 `json:"rate_per_s"`
	// MaxEngineKV is the KV memory of the fleet's largest engine. Longer prompts are
	// reported as oversize.
	MaxEngineKV peridotpath.Tokens `json:"engine_holds_tokens"`
	// Keys are the callers' API keys. Each request uses a random one.
	Keys []string `json:"keys"`
	// RetriesKeyed enables retries of calls with an idempotency key after a broken
	// connection.
	RetriesKeyed bool `json:"repeat_keyed"`
	// Work are the kinds of request.
	Work []Work `json:"work"`
}

// Work is one kind of request.
type Work struct {
	Name string `json:"name"`
	// Share is its weight among all requests, relative to the sum of all shares.
	Share   int                     `json:"share"`
	Profile peridotpath.ProfileName `json:"profile"`
	// Path is the URL path of a completion request; for a plain service, the part of the
	// path after the profile name.
	Path string `json:"path"`
	// IsPlainService marks calls to a plain service.
	IsPlainService bool `json:"plain,omitempty"`
	// Idempotent requests may be retried after a broken connection. Other requests carry
	// an Idempotency-Key.
	Idempotent bool `json:"idempotent"`
	// MinTokens and MaxTokens bound the length. The body of a call to a plain service has
	// four bytes per token.
	MinTokens peridotpath.Tokens `json:"min_tokens"`
	MaxTokens peridotpath.Tokens `json:"max_tokens"`
	// OutputTokens is the length of the answer.
	OutputTokens peridotpath.Tokens `json:"output_tokens,omitempty"`
	// StreamPercent is the percentage of streamed requests.
	StreamPercent int `json:"stream_percent,omitempty"`
	// SharedPercent is the percentage of requests whose prompts have the same first half.
	SharedPercent int `json:"shared_percent,omitempty"`
	// DuplicatePercent is the percentage of requests that are sent twice at the same time
	// with the same key, as by a double click.
	DuplicatePercent int `json:"duplicate_percent,omitempty"`
	// DeadlineMS is the profile's deadline. A request without a reply by then is lost.
	DeadlineMS peridotpath.Millis `json:"deadline_ms"`
	// SendsFirst adds one such request at the start, regardless of Share.
	SendsFirst bool `json:"first,omitempty"`
}

// ParsePlan parses a plan and returns all its faults.
func ParsePlan(text []byte) (*Plan, peridotpath.Faults) {
	plan := &Plan{}
	faults := strictjson.Decode(text, plan, strictjson.RequireAll)
	if len(faults) > 0 {
		return plan, faults
	}
	faults.Range("requests", int64(plan.Requests), 1, 1_000_000)
	if plan.RatePerS <= 0 {
		faults.Add("rate_per_s", "must be above zero")
	}
	if len(plan.Keys) == 0 {
		faults.Add("keys", "is empty")
	}
	shares := 0
	for i, work := range plan.Work {
		prefix := fmt.Sprintf("work[%d]", i)
		faults.Range(prefix+".share", int64(work.Share), 0, 1_000_000)
		faults.Range(prefix+".min_tokens", int64(work.MinTokens), 1, int64(peridotpath.MaxPrompt))
		faults.Range(prefix+".max_tokens", int64(work.MaxTokens), int64(work.MinTokens), int64(peridotpath.MaxPrompt))
		faults.Range(prefix+".deadline_ms", int64(work.DeadlineMS), 10, peridotpath.MaxDeadlineMS)
		shares += work.Share
	}
	if shares == 0 {
		faults.Add("work", "has no share")
	}
	return plan, faults
}

// Target is the system under test.
type Target struct {
	// Instances receive the requests.
	Instances []netip.AddrPort
	// Endpoints report their counts after the run.
	Endpoints []netip.AddrPort
	// Do makes an HTTP call; nil means outbound.Do.
	Do func(request *http.Request) (*http.Response, error)
}

func (target *Target) do(request *http.Request) (*http.Response, error) {
	if target.Do != nil {
		return target.Do(request)
	}
	return outbound.Do(request)
}

// get makes a GET call.
func (target *Target) get(ctx context.Context, address netip.AddrPort, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return nil, err
	}
	return target.do(request)
}
