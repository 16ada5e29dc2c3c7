// Package relay is the reverse proxy core: it authorises a request by the active
// routing, places it on endpoints, forwards it and relays the answer. A failed attempt
// is retried on another endpoint where the route allows that, within a retry budget
// that keeps the outage of some endpoints from overloading the others; a resumable
// stream continues after the last event that the caller has. Long prompts wait in a
// prefill queue that is ordered across all instances, so that bursts of them do not
// block the short ones. The package is independent of protocols: adapters implement
// Sender, Checker and Caller.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/answerhead"
	"peridotpath.example/peridotpath/availability"
)

// Request is one request of a caller, with its whole body.
type Request struct {
	ID peridotpath.RequestID
	// Method, Target and Body are forwarded unchanged. Target is the path with its
	// query.
	Method, Target string
	// Authority is the host as received from the caller.
	Authority string
	Host      peridotpath.Host
	// Path selects the route.
	Path string
	// Header is forwarded to the endpoint unchanged.
	Header http.Header
	Body   []byte
	// Key is the API key; empty if the request has none.
	Key peridotpath.APIKey
	// PromptTokens is the length of the prompt and MaxAnswerTokens the maximum length of
	// the answer, as declared by the caller; zero for a request without a prompt.
	PromptTokens, MaxAnswerTokens peridotpath.Tokens
	// ExpectedAnswerTokens is the answer length that the caller expects; zero if not declared.
	ExpectedAnswerTokens peridotpath.Tokens
	// SharedParts are the parts of the prompt that other requests may have, too, each once, in
	// the order of the prompt.
	SharedParts []peridotpath.PartID
	// LastEventID is the id of the last event of this stream that the caller has
	// received.
	LastEventID string
	ArrivedAt   time.Time
	// Timeout is the caller's timeout; zero if not declared.
	Timeout time.Duration
}

// Call is one request as it is sent to one endpoint.
type Call struct {
	Request  *Request
	Endpoint *peridotpath.Endpoint
	Helpers  []Helper
	Customer peridotpath.CustomerID
	// TimeLeft is the time that remains until the request's deadline.
	TimeLeft time.Duration
	// Priority is the engine's scheduling priority, from 0, the most urgent, to 9.
	Priority int
	// LastEventID is the id of the last event that the caller has received.
	LastEventID string
}

// Helper is an engine that prefills a part of a prompt.
type Helper struct {
	Endpoint *peridotpath.Endpoint
	// ReservationID is the id of the KV cache reservation at the engine; empty for none.
	ReservationID string
}

// Answer is an endpoint's answer, whose body is not read yet.
type Answer struct {
	Status int
	// Header is forwarded to the caller unchanged.
	Header http.Header
	Body   io.ReadCloser
	// HasEnd reports that the end of the body is marked, by its length or a last chunk, so that it
	// can't be taken for the end of its connection.
	HasEnd bool
	// Head is what the head of the answer proves, the basis of the three fields after it.
	Head answerhead.Head
	// NotRun reports that the endpoint guarantees not to have run the request.
	NotRun bool
	// Misdirected reports that the address belongs to another endpoint now.
	Misdirected bool
	// MatchesRequest reports that the expected endpoint gave the answer, and to this request.
	MatchesRequest bool
	// BlamedHelper is the id or address of the helper that caused a refusal; empty for none.
	BlamedHelper string
	// RateLimit is the rate that the endpoint accepts from all instances together; it
	// applies for as long as answers carry it. It is nil where the answer carries none or
	// an invalid one; HasNoRateLimit reports that it carries none.
	RateLimit      *peridotpath.Rate
	HasNoRateLimit bool
	// Announcement is what the answer says about the endpoint's taking requests.
	Announcement availability.Announcement
}

// isFromEndpoint reports whether the endpoint itself gave the answer, as opposed to another
// one at its address. A 421 that does not tell which one did says nothing about the endpoint.
func (answer *Answer) isFromEndpoint() bool {
	if answer.Misdirected || answer.Status == http.StatusMisdirectedRequest {
		return false
	}
	return answer.NotRun || answer.MatchesRequest
}

// isRelayed reports whether the body of the answer may go to the caller.
func (answer *Answer) isRelayed() bool {
	return answer.MatchesRequest && !answer.Misdirected && !answer.NotRun && !answer.Head.IsUnprovenRefusal()
}

// Caller receives the answer. One of Refuse, Answer and Begin is called first, once.
type Caller struct {
	// Refuse ends the request with a result of this instance.
	Refuse func(peridotpath.Result)
	// Answer ends the request with an endpoint's complete answer.
	Answer func(status int, header http.Header, body []byte)
	// Begin starts a stream, Event sends one whole event, and End ends it.
	Begin func(status int, header http.Header)
	Event func(raw []byte) error
	End   func()
	// Abort aborts a stream that has begun, so that it does not look complete.
	Abort func()
}

// Sender sends a call. Its error is of class outbound.ErrNotSent or
// outbound.ErrNoResponse.
type Sender func(ctx context.Context, call *Call) (*Answer, error)

// Checker probes an endpoint. It returns nil if the endpoint answers, and an error of
// class ErrEndpointGone if another endpoint answers or the connection is refused.
type Checker func(ctx context.Context, endpoint *peridotpath.Endpoint) error
