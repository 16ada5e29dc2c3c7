// Package engine is the HTTP client of model engines: it sends prompts, reads,
// resumes and cancels streams of server-sent events, reads load reports and sends
// orders. It classifies failed attempts by whether the request may have run, on which
// safe retries depend.
package engine

import (
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
)

// Paths of an engine's HTTP API. The completion paths are those of common LLM
// servers; the others are specific to this system.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	PathStreams         = "/v1/streams"
	PathLoad            = "/load"
)

// Headers of an engine's HTTP API.
const (
	// HeaderRequestID holds the request id, which all processes forward.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority holds the priority; higher values are served first.
	HeaderPriority = "X-Priority"
	// HeaderDeadlineMS holds the milliseconds until the deadline.
	HeaderDeadlineMS = "X-Deadline-Ms"
	// HeaderInstance and HeaderIncarnation identify the sending process, so that
	// streams of a dead process can be distinguished from those of a live one.
	HeaderInstance    = "X-Instance"
	HeaderIncarnation = "X-Incarnation"
	// HeaderStreamID holds the stream id in a response.
	HeaderStreamID = "X-Stream-Id"
	// HeaderNotRun on a refusal states that the engine did not start the request.
	HeaderNotRun = "X-Not-Run"
	// NotRunLeaving is the value of HeaderNotRun if the engine accepts no new
	// requests because it is leaving the fleet.
	NotRunLeaving = "leaving"
)

// EndMarker is the data of the last event of a complete stream.
const EndMarker = "[DONE]"

// StreamInfo is an engine's report on a stream that it holds.
type StreamInfo struct {
	ID          string                  `json:"id"`
	RequestID   peridotpath.RequestID   `json:"request_id"`
	Instance    peridotpath.InstanceID  `json:"instance"`
	Incarnation peridotpath.Incarnation `json:"incarnation"`
	KVTokens    peridotpath.Tokens      `json:"kv_tokens"`
	// DetachedMS is the time since the last reader detached; zero while one is attached.
	DetachedMS peridotpath.Millis `json:"detached_ms"`
}

// Classes of failed attempts.
var (
	// ErrNotConnected is the class of attempts without a connection; the request did
	// not run.
	ErrNotConnected = errs.Class("engine: unreached")
	// ErrRefused is the class of requests that the engine refused before starting
	// them; they did not run.
	ErrRefused = errs.Class("engine: refused")
	// ErrLeaving is wrapped by ErrRefused if the engine is leaving the fleet.
	ErrLeaving = errs.Class("engine: leaving")
	// ErrBadRequest is the class of requests that the engine rejected as invalid.
	ErrBadRequest = errs.Class("engine: bad request")
	// ErrFailed is the class of failed attempts whose request may have run.
	ErrFailed = errs.Class("engine: failed")
	// ErrStreamGone is the class of attempts to resume a stream that no longer exists.
	ErrStreamGone = errs.Class("engine: stream gone")
)
