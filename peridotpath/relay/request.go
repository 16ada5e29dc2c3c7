// Package relay takes a request to an endpoint and its answer back: it checks
// the request against the routing in force, has it placed, sends it, and sends it
// elsewhere where that is allowed. It speaks no protocol of its own: Send and
// Caller are what an adapter fills in.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"peridotpath.example/peridotpath"
)

// Request is one request of a caller, whole.
type Request struct {
	ID peridotpath.RequestID
	// Method, Target and Body go to the endpoint as they came. Target is the path
	// with its query.
	Method, Target string
	// Authority is the host as the caller wrote it.
	Authority string
	Host      peridotpath.Host
	// Path selects the route.
	Path string
	// Header is what goes to the endpoint as it came.
	Header http.Header
	Body   []byte
	// Key is the API key; empty where there was none.
	Key peridotpath.APIKey
	// Prompt and Answer are the tokens that the caller says its prompt has and
	// its answer may have; zero for what is no prompt.
	Prompt, Answer peridotpath.Tokens
	// AnswerHint is how long the caller thinks its answer will be; zero if unsaid.
	AnswerHint peridotpath.Tokens
	// AfterEvent is the id of the last event that the caller has of this stream.
	AfterEvent string
	Arrived    time.Time
	// Patience is how long the caller waits; zero if it did not say.
	Patience time.Duration
}

// Call is one request as it is sent to one endpoint.
type Call struct {
	Request  *Request
	Endpoint *peridotpath.Endpoint
	Helpers  []Helper
	Customer peridotpath.CustomerID
	// Left is how long the endpoint may work on it.
	Left time.Duration
	// Priority is the engine's, from 0, the most urgent, to 9.
	Priority int
	// AfterEvent is the id of the last event that the caller has.
	AfterEvent string
}

// Helper is an engine that reads a part of a prompt.
type Helper struct {
	Endpoint *peridotpath.Endpoint
	// Ticket names memory that was reserved there; empty for none.
	Ticket string
}

// Answer is an endpoint's answer, whose body is still to be read.
type Answer struct {
	Status int
	// Header goes to the caller as it came.
	Header http.Header
	Body   io.ReadCloser
	// NotRun says that the endpoint promises not to have run the request.
	NotRun bool
	// Elsewhere says that another endpoint has the address now.
	Elsewhere bool
	// Genuine says that it is the endpoint's own answer to this very request.
	Genuine bool
	// Fault names the address of a helper that was to blame for a refusal.
	Fault string
	// Limit is how much the endpoint takes from all instances together, as long as it
	// says so; nil where it named nothing that can be read, NoLimit where it named nothing.
	Limit   *peridotpath.Rate
	NoLimit bool
	// RetryAfter is when the endpoint would take the request; zero if unsaid.
	RetryAfter time.Duration
}

// Caller takes the answer. One of Refuse, Answer and Begin is called first, once.
type Caller struct {
	// Refuse ends the request with a result of ours.
	Refuse func(peridotpath.Result)
	// Answer ends the request with an endpoint's whole answer.
	Answer func(status int, header http.Header, body []byte)
	// Begin starts a stream, Event sends one whole event, and End ends it.
	Begin func(status int, header http.Header)
	Event func(raw []byte) error
	End   func()
	// Break ends a stream that has begun so that it does not look complete.
	Break func()
}

// Sender sends a call. Its error is of class outbound.ErrNotSent or ErrLost.
type Sender func(ctx context.Context, call *Call) (*Answer, error)

// Checker asks an endpoint for any answer. It returns nil if the endpoint is there, and
// an error of class ErrGone where something else answers or nobody listens.
type Checker func(ctx context.Context, endpoint *peridotpath.Endpoint) error
