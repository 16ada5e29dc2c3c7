package peridotpath

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the type of back end.
type Kind string

// The kinds of Endpoint: a model engine, and a replica of a plain service.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// State is the state of a member in the membership list.
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
	// KVTokens is the capacity of the engine's KV cache; zero for a plain service.
	KVTokens Tokens `json:"kv_tokens,omitempty"`
	// Incarnation distinguishes runs with the same id; zero where unknown.
	Incarnation Incarnation `json:"incarnation,omitempty"`
	// Slots is the number of requests that the endpoint runs concurrently; zero where
	// unknown.
	Slots int `json:"slots,omitempty"`
	// Cold is set while the endpoint has recently started and tolerates only the cold rate of
	// its service.
	Cold bool `json:"cold,omitempty"`
	// ChecksFencing is set where the engine rejects calls with a stale fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// EndpointKey is a 64-bit hash that identifies one incarnation of an Endpoint.
type EndpointKey uint64

// Key returns the key of this incarnation. It differs from that of an earlier incarnation
// with the same id, whose load and other state do not apply to this one.
func (endpoint *Endpoint) Key() EndpointKey {
	digest := xxhash.New()
	fmt.Fprintf(digest, "%s/%d", endpoint.ID, endpoint.Incarnation)
	return EndpointKey(digest.Sum64())
}

// Load is an Endpoint's report of its own load. It is received with a delay.
type Load struct {
	// AsOf is when the Endpoint took the sample, on the receiver's clock.
	AsOf time.Time `json:"-"`
	// Running is the number of requests that the endpoint has admitted.
	Running int `json:"running"`
	// Waiting is the number of requests in the endpoint's own queue.
	Waiting int `json:"waiting"`
	// PrefillTokens is the prefill backlog ahead of a new request.
	PrefillTokens Tokens `json:"prefill_tokens"`
	// KVUsed is the KV cache in use or reserved.
	KVUsed Tokens `json:"kv_used"`
	// KVTokens is the capacity of the KV cache.
	KVTokens Tokens `json:"kv_tokens"`
	// PrefillPerS is the prefill rate of a prompt that runs alone, in tokens per second.
	PrefillPerS Tokens `json:"prefill_per_s"`
	// DecodePerS is the decode rate of one request, in tokens per second.
	DecodePerS Tokens `json:"decode_per_s"`
	// Leaving is set where the Endpoint accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Revision orders the reports; one with a lower revision is out of order and dropped.
	Revision uint64 `json:"revision"`
}
