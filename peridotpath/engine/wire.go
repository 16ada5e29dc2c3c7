// Package engine speaks to model engines: it sends prompts, reads streams of
// server-sent events, resumes and cancels streams, and reads load reports.
package engine

import (
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
)

// Paths of an engine's HTTP form. The completion paths are those that LLM
// servers already have; the others are named in this file alone.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	PathStreams         = "/v1/streams"
	PathLoad            = "/load"
)

// Headers of an engine's HTTP form.
const (
	// HeaderRequestID carries the request id through every process.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority carries the priority; higher goes first.
	HeaderPriority = "X-Priority"
	// HeaderDeadlineMS carries the milliseconds that are left.
	HeaderDeadlineMS = "X-Deadline-Ms"
	// HeaderInstance and HeaderIncarnation name the sender, so that what it
	// leaves behind can be told from what a living process holds.
	HeaderInstance    = "X-Instance"
	HeaderIncarnation = "X-Incarnation"
	// HeaderStreamID names a stream in an answer.
	HeaderStreamID = "X-Stream-Id"
	// HeaderNotRun on a refusal says that the engine did not begin the work.
	HeaderNotRun = "X-Not-Run"
	// NotRunLeaving is the value of HeaderNotRun where the engine takes no new
	// work because it is leaving the fleet.
	NotRunLeaving = "leaving"
)

// Done is the data of the event that ends a whole stream.
const Done = "[DONE]"

// StreamInfo is what an engine says of one stream that it holds.
type StreamInfo struct {
	ID          string                  `json:"id"`
	RequestID   peridotpath.RequestID   `json:"request_id"`
	Instance    peridotpath.InstanceID  `json:"instance"`
	Incarnation peridotpath.Incarnation `json:"incarnation"`
	KVTokens    peridotpath.Tokens      `json:"kv_tokens"`
	// DetachedMS is how long no reader has been attached; zero while one is.
	DetachedMS peridotpath.Millis `json:"detached_ms"`
}

// The classes of failure of an attempt.
var (
	// ErrUnreached says that no connection was made: certainly not run.
	ErrUnreached = errs.Class("engine: unreached")
	// ErrRefused says that the engine refused before it began: certainly not run.
	ErrRefused = errs.Class("engine: refused")
	// ErrLeaving says, within ErrRefused, that the engine is leaving the fleet.
	ErrLeaving = errs.Class("engine: leaving")
	// ErrBadRequest says that the engine found fault with the request itself.
	ErrBadRequest = errs.Class("engine: bad request")
	// ErrFailed says that the attempt failed and may have run.
	ErrFailed = errs.Class("engine: failed")
	// ErrGone says that the stream to be resumed is no longer there.
	ErrGone = errs.Class("engine: stream gone")
)
