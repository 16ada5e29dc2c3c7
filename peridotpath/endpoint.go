package peridotpath

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells model engines from plain services.
type Kind string

// The kinds of Endpoint.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// State is what the membership list says of a member.
type State string

// The states of a member.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Endpoint is one back end: a model engine or a plain service's replica.
type Endpoint struct {
	ID         EndpointID     `json:"id"`
	Service    Service        `json:"service"`
	Kind       Kind           `json:"kind"`
	DataCentre DataCentre     `json:"data_centre"`
	Address    netip.AddrPort `json:"address"`
	State      State          `json:"state"`
	// KVTokens is the engine's KV memory. Zero for a plain service.
	KVTokens Tokens `json:"kv_tokens,omitempty"`
	// Incarnation tells two starts under the same id apart; zero where unknown.
	Incarnation Incarnation `json:"incarnation,omitempty"`
	// Slots is how many requests it runs at once; zero where unknown.
	Slots int `json:"slots,omitempty"`
	// ChecksFencing says that the engine refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// EndpointKey names one incarnation of an Endpoint in few bytes.
type EndpointKey uint64

// Key returns the key of this incarnation. What is known of an earlier one
// under the same id, its load above all, says nothing of this one.
func (endpoint *Endpoint) Key() EndpointKey {
	digest := xxhash.New()
	fmt.Fprintf(digest, "%s/%d", endpoint.ID, endpoint.Incarnation)
	return EndpointKey(digest.Sum64())
}

// Load is an Endpoint's report about itself. It arrives with a lag.
type Load struct {
	// AsOf is when the Endpoint took the figures, on the reader's clock.
	AsOf time.Time `json:"-"`
	// Running counts requests past admission on the endpoint.
	Running int `json:"running"`
	// Waiting counts requests in the endpoint's own queue.
	Waiting int `json:"waiting"`
	// PrefillTokens is the prompt work that is still ahead of a new request.
	PrefillTokens Tokens `json:"prefill_tokens"`
	// KVUsed is the KV memory in use or promised.
	KVUsed Tokens `json:"kv_used"`
	// KVTokens is the KV memory in all.
	KVTokens Tokens `json:"kv_tokens"`
	// PrefillPerS is the prompt tokens processed in a second, alone.
	PrefillPerS Tokens `json:"prefill_per_s"`
	// DecodePerS is the answer tokens one request gets in a second.
	DecodePerS Tokens `json:"decode_per_s"`
	// Leaving says that the Endpoint takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Revision of the report; a report with a lower one is late and is dropped.
	Revision uint64 `json:"revision"`
}
