package peridotpath

import (
	"strings"
	"time"
)

type (
	// RouteName names a Route.
	RouteName string
	// Host is the host name that a request is addressed to, without a port.
	Host string
	// APIKey is the secret that authenticates a Customer.
	APIKey string
	// RoutingVersion numbers the accepted states of the routing configuration. It is
	// monotonic but may have gaps.
	RoutingVersion uint64
)

// Route is the policy for requests to one host and path prefix.
type Route struct {
	Name       RouteName
	Host       Host
	PathPrefix string
	// Backends has at least one entry; the weights of some or all may be zero.
	Backends []Backend
	// Streaming is set where answers are event streams.
	Streaming bool
	// Idempotent is set where a request may run more than once.
	Idempotent bool
	// Resumable is set where another endpoint may continue an interrupted stream.
	Resumable bool
	// Public is set where requests need no API key.
	Public bool
	// MaxAttempts limits the number of endpoints that one request is sent to.
	MaxAttempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Timeout limits the time to the end of the answer.
	Timeout time.Duration
	// TTFTTarget is the TTFT target: the time within which the first event of a stream,
	// or the answer of another request, has its full value.
	TTFTTarget time.Duration
	// ITLTarget is the ITL target (inter-token latency): the longest acceptable time
	// between two events of a stream; zero for other answers.
	ITLTarget time.Duration
	// ClientIdleTimeout is the idle timeout of clients: how long they wait for the first or
	// next event of a stream before they disconnect; zero where unknown.
	ClientIdleTimeout time.Duration
}

// Repeatable reports whether a request may be sent to a second endpoint although it may
// have run on a first one.
func (route *Route) Repeatable() bool {
	return route.Idempotent || route.Streaming && route.Resumable
}

// EngineRates are the performance parameters of a model engine, as its service publishes
// them. An engine uses continuous batching with chunked prefill: an iteration with decoding
// requests has StepsPerIteration steps, and each step prefills at most one chunk.
type EngineRates struct {
	// BatchSize is the number of requests that an engine runs concurrently.
	BatchSize int
	// KVTokens is the capacity of the KV cache of one engine.
	KVTokens Tokens
	// StepsPerIteration is the number of tokens that each decoding request produces in an
	// iteration. The client receives them as one event.
	StepsPerIteration int
	// Step is the base time of one step. StepPerSequence is added for each decoding
	// request, and StepPerContextK for each 1,000 tokens of their context.
	Step, StepPerSequence, StepPerContextK time.Duration
	// PrefillPerSecond is the prefill rate in tokens per second, without the quadratic
	// cost of attention.
	PrefillPerSecond float64
	// PerMillionPairs is the quadratic cost of attention in prefill: the additional
	// time for a million pairs of a token and an earlier one.
	PerMillionPairs time.Duration
	// Chunk is the maximum number of prompt tokens that one step prefills.
	Chunk Tokens
}

// ServiceSpec is the routing configuration of one service.
type ServiceSpec struct {
	Name Service
	// ColdRate is the request rate that a cold endpoint tolerates, of all instances together;
	// zero where none is published.
	ColdRate Rate
	// Engine is nil for a plain service.
	Engine *EngineRates
}

// KeyHolder is the Customer that an API key authenticates.
type KeyHolder struct {
	Customer CustomerID
	// Priority overrides the route's priority where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Routing is one accepted state of the operators' routing configuration. It is immutable.
type Routing struct {
	Version  RoutingVersion
	Routes   []Route
	Services map[Service]ServiceSpec
	// Keys is nil where requests need no key.
	Keys map[APIKey]KeyHolder
	// MaxBody limits the size of a request's body, MaxHeader that of its headers; zero
	// where operators set no limit.
	MaxBody, MaxHeader Bytes
	// HeaderTimeout limits the time that a request's headers may take, IdleTimeout how long a
	// connection may stay without a request; zero where operators set no limit.
	HeaderTimeout, IdleTimeout time.Duration
}

// NormalHost returns the host of a request's authority in lower case and without the port.
func NormalHost(authority string) Host {
	host, _, _ := strings.Cut(authority, ":")
	return Host(strings.ToLower(host))
}
