package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"peridotpath.example/peridotpath"
)

// headerShouldRetry is the header by which client libraries of language models
// decide on automatic retries.
const headerShouldRetry = "X-Should-Retry"

// failureBody is the error body that clients of language models expect.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Number is the result code; docs/CODES.md has the table.
	Number peridotpath.Code `json:"number"`
	// NotRun is set if the request certainly did not run at any endpoint.
	NotRun       bool   `json:"not_run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

func (exchange *exchange) failureJSON(result *peridotpath.Result) []byte {
	message := result.Code.Message()
	if result.Detail != "" {
		message += ": " + result.Detail
	}
	body, err := json.Marshal(failureBody{Error: failureDetail{
		Message: message, Type: failureType(result.Code), Code: result.Code.String(),
		Number: result.Code, NotRun: result.Code.NotRun(),
		RetryAfterMS: result.RetryAfter.Milliseconds(), RequestID: string(exchange.id),
	}})
	if err != nil {
		return []byte("{}")
	}
	return body
}

func failureType(code peridotpath.Code) string {
	switch status := code.Status(); {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// writeFailure writes the failure as the whole answer, or as the last event of a stream
// that has begun. An interrupted stream has no end marker, so that no client
// mistakes a partial answer for a complete one. It is also written to a caller that has
// disconnected: one that only closed its sending side would get an empty success.
func (exchange *exchange) writeFailure(result *peridotpath.Result) {
	if exchange.isOpaque {
		// A partial answer of a plain service would look complete if the connection
		// closed normally, so the connection is aborted.
		Abort(exchange.writer, exchange.request)
	}
	if exchange.bodyConsumed {
		exchange.sendFailure(result)
		return
	}
	AnswerUnread(exchange.writer, exchange.request, func() {
		exchange.sendFailure(result)
		// A caller that sends a body which is dropped takes no place of another request.
		exchange.leave()
	})
}

// sendFailure writes the failure into the answer.
func (exchange *exchange) sendFailure(result *peridotpath.Result) {
	body := exchange.failureJSON(result)
	if exchange.answerBegun {
		// A resumed stream may fail before its first event.
		exchange.writer.Header().Set("Content-Type", "text/event-stream")
		event := append([]byte("event: error\ndata: "), body...)
		_, _ = exchange.writer.Write(append(event, '\n', '\n'))
		_ = http.NewResponseController(exchange.writer).Flush()
		return
	}
	header := exchange.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderCode, strconv.Itoa(int(result.Code)))
	if !result.Code.NotRun() && exchange.work != nil && !exchange.work.Profile.Idempotent {
		// Client libraries retry automatically on most statuses above 500. A request
		// that may have run would run a second time, without its caller's knowledge.
		header.Set(headerShouldRetry, "false")
	}
	if result.RetryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(result.RetryAfter))
	}
	exchange.writer.WriteHeader(result.Code.Status())
	_, _ = exchange.writer.Write(body)
}

// retryAfterSeconds rounds up to whole seconds, the unit of the header: a caller that
// retries early would be refused again. The body has milliseconds.
func retryAfterSeconds(retryAfter time.Duration) string {
	return strconv.FormatInt(int64(math.Ceil(retryAfter.Seconds())), 10)
}
