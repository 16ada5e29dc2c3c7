package peridotpath

import (
	"strings"
	"time"
)

type (
	// RouteName names a Route.
	RouteName string
	// Host is the host name that a caller asks, without a port.
	Host string
	// APIKey is what a caller proves its Customer with.
	APIKey string
	// RoutingVersion numbers the accepted states of the operators' routing; it
	// grows, in steps of any size.
	RoutingVersion uint64
)

// Backend is one service that a Route may use, with its share of the requests.
type Backend struct {
	Service Service
	Weight  int
}

// Route says what becomes of the requests to one host under one path prefix.
type Route struct {
	Name       RouteName
	Host       Host
	PathPrefix string
	// Backends are never empty; weights may be zero.
	Backends []Backend
	// Streaming says that answers are event streams.
	Streaming bool
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// Resumable says that a broken stream may go on at another endpoint.
	Resumable bool
	// Public says that requests need no key.
	Public bool
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Timeout is the longest that a caller is kept waiting for the whole answer.
	Timeout time.Duration
	// AnswerAim is the time within which the answer, or a stream's first event,
	// is worth all it can be.
	AnswerAim time.Duration
	// PauseAim is the longest pause between a stream's events that callers take
	// for fluent; zero for answers that are no streams.
	PauseAim time.Duration
	// Silence is how long callers wait for an event of a stream, the first or a
	// next one, before they leave; zero where that is not known.
	Silence time.Duration
}

// Repeatable reports whether a request may run at a second endpoint after it
// may have run at a first.
func (route *Route) Repeatable() bool {
	return route.Idempotent || route.Streaming && route.Resumable
}

// EngineRates are the figures by which a model engine works, as its service
// publishes them. An engine works in passes: one that holds writers does
// StepsPerPass steps, and each step reads at most Chunk tokens of prompts.
type EngineRates struct {
	// BatchSize is how many requests an engine runs at once.
	BatchSize int
	// KVTokens is the memory of one engine.
	KVTokens Tokens
	// StepsPerPass is how many tokens each writer gets in a pass, which its
	// caller sees as one event.
	StepsPerPass int
	// Step, StepPerWriter and StepPerContextK make up the time of one step:
	// alone, for each writer, and for each 1,000 tokens of a writer's context.
	Step, StepPerWriter, StepPerContextK time.Duration
	// ReadPerSecond is how many prompt tokens are read in a second, before what
	// pairs of tokens cost.
	ReadPerSecond float64
	// PerMillionPairs is the time that a million pairs of a token and an earlier
	// one take on top.
	PerMillionPairs time.Duration
	// Chunk is the most prompt tokens that one step reads.
	Chunk Tokens
}

// ServiceSpec is what the routing says of one service.
type ServiceSpec struct {
	Name Service
	// Engine is nil for a plain service.
	Engine *EngineRates
}

// KeyHolder is the Customer that an API key stands for.
type KeyHolder struct {
	Customer CustomerID
	// Priority takes the place of the route's where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Routing is one accepted state of what operators decide about requests. It is
// not changed once made.
type Routing struct {
	Version  RoutingVersion
	Routes   []Route
	Services map[Service]ServiceSpec
	// Keys is nil where requests need none.
	Keys map[APIKey]KeyHolder
	// MaxBody bounds a request's body, MaxHeader its headers; zero for no bound of
	// the operators'.
	MaxBody, MaxHeader Bytes
}

// NormalHost returns the host of a request's authority in the form of a Route.
func NormalHost(authority string) Host {
	host, _, _ := strings.Cut(authority, ":")
	return Host(strings.ToLower(host))
}
