package peridotpath

import (
	"fmt"
	"net/http"
	"time"
)

// Code is a result code that clients receive. Codes are stable: clients and alerts match on
// them. A test checks that docs/CODES.md lists each code with the properties that it has
// here. 1xxx are client errors, 2xxx limits, 3xxx endpoint failures, 4xxx outcomes of an
// attempt, 5xxx failures of the platform or of this system.
type Code int

// The codes.
const (
	CodeOK Code = 0

	CodeBadRequest        Code = 1001 // the body is not a valid request
	CodeBodyTooLarge      Code = 1002
	CodeBodyIncomplete    Code = 1003
	CodeUnauthorized      Code = 1004
	CodeUnknownProfile    Code = 1005
	CodeNotFound          Code = 1006
	CodePromptTooLong     Code = 1007
	CodeBadDeadline       Code = 1008
	CodeBadCursor         Code = 1009
	CodeBadIdempotencyKey Code = 1010
	CodeKeyReused         Code = 1011 // same key with a different body
	CodeHeaderTooLarge    Code = 1012

	CodeRateLimited      Code = 2001
	CodeTooManyRequests  Code = 2002 // the concurrency limit is reached
	CodeQueueFull        Code = 2003
	CodeCannotFinish     Code = 2004 // predicted to miss the deadline
	CodeBodyMemory       Code = 2005
	CodeQueueTimeout     Code = 2006
	CodeCustomerOverload Code = 2007 // the customer's fair share is used up
	CodeLedgerFull       Code = 2008 // no room for another idempotency key
	CodeOverShare        Code = 2009 // the customer is above its fair share of scarce engine time

	CodeNoEndpoint      Code = 3001
	CodeEndpointRefused Code = 3002
	CodeEndpointFailed  Code = 3003
	CodeBadAnswer       Code = 3004 // a malformed or empty successful answer
	CodeStreamCut       Code = 3005
	CodeNoMemory        Code = 3006 // no endpoint or group of endpoints has KV cache for the prompt
	CodeQuarantined     Code = 3007 // endpoints terminated while they ran this request
	CodeLimited         Code = 3008 // every remaining endpoint is at the limit it reported
	CodeUnavailable     Code = 3009 // every remaining endpoint announced that it takes no requests, or is drained
	CodeUnreachable     Code = 3010 // this instance reaches no endpoint, and no peer that does

	CodeDeadline       Code = 4001
	CodeOutcomeUnknown Code = 4002 // may have run; must not be retried
	CodeAnswerGone     Code = 4003 // ran, but its answer is no longer stored
	CodeCallerGone     Code = 4004
	CodeKeyRunning     Code = 4005 // an earlier request with the key may still run

	CodePlatformDown Code = 5001
	CodeNotReady     Code = 5002
	CodeStopping     Code = 5003
	CodeInternal     Code = 5004
)

// codeInfo holds the constant properties of a code.
type codeInfo struct {
	status  int
	name    string
	notRun  bool
	message string
}

var codes = map[Code]codeInfo{
	CodeOK:                {http.StatusOK, "ok", false, "the whole answer was delivered"},
	CodeBadRequest:        {http.StatusBadRequest, "bad_request", true, "the body is not a request this path takes"},
	CodeBodyTooLarge:      {http.StatusRequestEntityTooLarge, "body_too_large", true, "the body is larger than allowed"},
	CodeBodyIncomplete:    {http.StatusBadRequest, "body_incomplete", true, "the body ended early or came too slowly"},
	CodeUnauthorized:      {http.StatusUnauthorized, "unauthorized", true, "the API key is missing or unknown"},
	CodeUnknownProfile:    {http.StatusNotFound, "unknown_profile", true, "no profile or model has that name"},
	CodeNotFound:          {http.StatusNotFound, "not_found", true, "nothing is served under that path"},
	CodePromptTooLong:     {http.StatusRequestEntityTooLarge, "prompt_too_long", true, "the prompt is longer than the profile allows"},
	CodeBadDeadline:       {http.StatusBadRequest, "bad_deadline", true, "the deadline header is not a whole number of milliseconds in range"},
	CodeBadCursor:         {http.StatusBadRequest, "bad_cursor", true, "the resume cursor is not one this system gave out"},
	CodeBadIdempotencyKey: {http.StatusBadRequest, "bad_idempotency_key", true, "the idempotency key is empty or too long"},
	CodeKeyReused:         {http.StatusUnprocessableEntity, "key_reused", true, "the idempotency key was used with another body"},
	CodeHeaderTooLarge:    {http.StatusRequestHeaderFieldsTooLarge, "header_too_large", true, "the headers are larger than allowed"},

	CodeRateLimited:      {http.StatusTooManyRequests, "rate_limited", true, "the customer's request rate is used up"},
	CodeTooManyRequests:  {http.StatusTooManyRequests, "too_many_requests", true, "the customer's concurrent requests are used up"},
	CodeQueueFull:        {http.StatusServiceUnavailable, "queue_full", true, "the profile's queue is full"},
	CodeCannotFinish:     {http.StatusServiceUnavailable, "cannot_finish", true, "no endpoint is predicted to finish in time"},
	CodeBodyMemory:       {http.StatusServiceUnavailable, "body_memory", true, "the instance holds as many request bodies as it may"},
	CodeQueueTimeout:     {http.StatusServiceUnavailable, "queue_timeout", true, "no place came free within the profile's queue time"},
	CodeCustomerOverload: {http.StatusTooManyRequests, "customer_overload", true, "the customer's fair share is used up while others wait"},
	CodeLedgerFull:       {http.StatusServiceUnavailable, "ledger_full", true, "no more idempotency keys can be remembered now"},
	CodeOverShare:        {http.StatusServiceUnavailable, "over_share", true, "the customer is above its fair share while others wait"},

	CodeNoEndpoint:      {http.StatusServiceUnavailable, "no_endpoint", true, "no live endpoint serves this profile"},
	CodeEndpointRefused: {http.StatusServiceUnavailable, "endpoint_refused", true, "every endpoint tried refused the request"},
	CodeEndpointFailed:  {http.StatusBadGateway, "endpoint_failed", false, "the endpoint failed while it ran the request"},
	CodeBadAnswer:       {http.StatusBadGateway, "bad_answer", false, "the endpoint's answer was empty or not understood"},
	CodeStreamCut:       {http.StatusBadGateway, "stream_cut", false, "the answer broke off and could not be resumed"},
	CodeNoMemory:        {http.StatusServiceUnavailable, "no_memory", true, "no endpoint or group has memory for the prompt"},
	CodeQuarantined:     {http.StatusServiceUnavailable, "quarantined", true, "endpoints ended while they ran this request; it is kept off them for a while"},
	CodeLimited:         {http.StatusServiceUnavailable, "limited", true, "every endpoint that is left has named a limit that is used up"},
	CodeUnavailable:     {http.StatusServiceUnavailable, "unavailable", true, "every endpoint that is left has said that it takes no requests now"},
	CodeUnreachable:     {http.StatusServiceUnavailable, "unreachable", true, "this instance reaches no endpoint, and knows no other instance that does"},

	CodeDeadline:       {http.StatusGatewayTimeout, "deadline", false, "the request's time ran out"},
	CodeOutcomeUnknown: {http.StatusFailedDependency, "outcome_unknown", false, "the request may have run and will not be run again"},
	CodeAnswerGone:     {http.StatusGone, "answer_gone", false, "the request ran; its answer is no longer held"},
	CodeCallerGone:     {499, "caller_gone", false, "the caller left before the answer was whole"},
	CodeKeyRunning:     {http.StatusConflict, "key_running", false, "an earlier request with the idempotency key may still be running"},

	CodePlatformDown: {http.StatusServiceUnavailable, "platform_down", true, "the key-value service cannot record the request"},
	CodeNotReady:     {http.StatusServiceUnavailable, "not_ready", true, "the instance has no configuration yet"},
	CodeStopping:     {http.StatusServiceUnavailable, "stopping", true, "the instance is being stopped"},
	CodeInternal:     {http.StatusInternalServerError, "internal", false, "a fault of this system"},
}

// Codes returns all codes in unspecified order.
func Codes() []Code {
	all := make([]Code, 0, len(codes))
	for code := range codes {
		all = append(all, code)
	}
	return all
}

// Status returns the HTTP status of the code.
func (code Code) Status() int { return codes[code].status }

// String returns the name of the code in logs and metrics.
func (code Code) String() string { return codes[code].name }

// Message returns the message that clients receive.
func (code Code) Message() string { return codes[code].message }

// NotRun reports whether a request with this code is known not to have run anywhere.
func (code Code) NotRun() bool { return codes[code].notRun }

// Result is the error with which a request fails.
type Result struct {
	Code Code
	// RetryAfter is the time after which the client may retry; zero where unspecified.
	RetryAfter time.Duration
	// Detail supplements the message of the code; it may be empty.
	Detail string
}

// Error returns the code, its name and the detail.
func (result *Result) Error() string {
	if result.Detail == "" {
		return fmt.Sprintf("%d %s", int(result.Code), result.Code)
	}
	return fmt.Sprintf("%d %s: %s", int(result.Code), result.Code, result.Detail)
}
