// Package load plays callers: a seeded mix of prompts and calls to plain
// services against several instances, with the retries and resumptions of a
// well-behaved client. It checks that each answer is whole and its caller's
// own, and holds the system to what the endpoints counted.
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

// Plan says what is sent.
type Plan struct {
	// Seed decides arrivals and prompts; the same seed sends the same.
	Seed uint64 `json:"seed"`
	// Requests is how many are sent in all.
	Requests int `json:"requests"`
	// RatePerS is the mean rate of arrivals.
	RatePerS float64 `json:"rate_per_s"`
	// EngineHolds is the KV memory of the fleet's largest engine, from which on a
	// prompt is reported as oversize.
	EngineHolds peridotpath.Tokens `json:"engine_holds_tokens"`
	// Keys are the callers' API keys, one drawn for each request.
	Keys []string `json:"keys"`
	// RepeatKeyed says that a keyed call whose answer was lost is sent again.
	RepeatKeyed bool `json:"repeat_keyed"`
	// Work lists the kinds of request.
	Work []Work `json:"work"`
}

// Work is one kind of request.
type Work struct {
	Name string `json:"name"`
	// Share is its part of all requests, against the sum of all shares.
	Share   int                     `json:"share"`
	Profile peridotpath.ProfileName `json:"profile"`
	// Path is a completion path, or with Plain what comes after the profile.
	Path string `json:"path"`
	// Plain says that it goes to a plain service.
	Plain bool `json:"plain,omitempty"`
	// Idempotent work may be sent again when no answer came. Other work carries
	// an Idempotency-Key.
	Idempotent bool `json:"idempotent"`
	// MinTokens and MaxTokens bound the length; a plain call's body has four
	// bytes a token.
	MinTokens peridotpath.Tokens `json:"min_tokens"`
	MaxTokens peridotpath.Tokens `json:"max_tokens"`
	// OutputTokens is the length of the answer.
	OutputTokens peridotpath.Tokens `json:"output_tokens,omitempty"`
	// StreamPercent is how many in a hundred are streamed.
	StreamPercent int `json:"stream_percent,omitempty"`
	// SharedPercent is how many in a hundred begin with the same half.
	SharedPercent int `json:"shared_percent,omitempty"`
	// DuplicatePercent is how many in a hundred are sent twice at the same time,
	// with the same key, as a desk that presses a button twice does.
	DuplicatePercent int `json:"duplicate_percent,omitempty"`
	// DeadlineMS is the profile's; an answer or a failure later than this is lost.
	DeadlineMS peridotpath.Millis `json:"deadline_ms"`
	// First sends one of these at the very beginning, whatever Share says.
	First bool `json:"first,omitempty"`
}

// ParsePlan reads a plan and returns every fault.
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

// Target is where a plan is sent and who is asked what ran.
type Target struct {
	// Instances take the requests.
	Instances []netip.AddrPort
	// Endpoints are asked for their counts afterwards.
	Endpoints []netip.AddrPort
	// Do makes an HTTP call; nil stands for outbound.Do.
	Do func(request *http.Request) (*http.Response, error)
}

func (target *Target) do(request *http.Request) (*http.Response, error) {
	if target.Do != nil {
		return target.Do(request)
	}
	return outbound.Do(request)
}

// get makes one GET call.
func (target *Target) get(ctx context.Context, address netip.AddrPort, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return nil, err
	}
	return target.do(request)
}
