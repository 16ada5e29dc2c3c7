package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"peridotpath.example/peridotpath"
)

// headerShouldRetry is what client libraries of language models heed before
// they repeat a request by themselves.
const headerShouldRetry = "X-Should-Retry"

// failureBody is the error object that clients of language models expect.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Number is the result code; docs/CODES.md has the table.
	Number peridotpath.Code `json:"number"`
	// NotRun says that the request certainly ran nowhere.
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

// fail writes the failure: as the whole answer, or as the last event where a
// stream has begun. An interrupted stream has no end mark, so that no client
// takes half an answer for a whole one.
func (exchange *exchange) fail(result *peridotpath.Result) {
	if result.Code == peridotpath.CodeCallerGone {
		return
	}
	if exchange.opaque {
		// Half of a plain service's answer would look whole, did the
		// connection end in good order: break it.
		panic(http.ErrAbortHandler)
	}
	body := exchange.failureJSON(result)
	if !exchange.bodyRead {
		exchange.leaveBody()
	}
	if exchange.begun {
		// A resumed stream may fail before its first event.
		exchange.writer.Header().Set("Content-Type", "text/event-stream")
		line := append([]byte("event: error\ndata: "), body...)
		_, _ = exchange.writer.Write(append(line, '\n', '\n'))
		_ = http.NewResponseController(exchange.writer).Flush()
		return
	}
	header := exchange.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderCode, strconv.Itoa(int(result.Code)))
	if !result.Code.NotRun() && exchange.work != nil && !exchange.work.Profile.Idempotent {
		// Client libraries repeat requests by themselves on most statuses above
		// 500. One that may have run would run a second time, and its caller
		// would not even know of the first.
		header.Set(headerShouldRetry, "false")
	}
	if result.RetryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(result.RetryAfter))
	}
	exchange.writer.WriteHeader(result.Code.Status())
	_, _ = exchange.writer.Write(body)
}

const (
	// bodyGrace is how long a refused caller may go on sending its body.
	bodyGrace = time.Second
	// refusalTime bounds the sending of a refusal.
	refusalTime = 10 * time.Second
)

// leaveBody has the answer sent at once though the body was not read. net/http
// would read the rest of it first, without a bound in time: a caller whose key
// is refused and who sends slowly, or not at all, would wait for its answer as
// long as it takes, and so would a planned stop. With the connection closed
// after the answer nothing of the body can be taken for another request.
func (exchange *exchange) leaveBody() {
	exchange.writer.Header().Set("Connection", "close")
	_ = http.NewResponseController(exchange.writer).SetReadDeadline(time.Now().Add(bodyGrace))
	exchange.writeUntil(time.Now().Add(refusalTime))
}

// retryAfterSeconds rounds up: the header has whole seconds, and a caller that
// comes back early would be refused again. The body has milliseconds.
func retryAfterSeconds(span time.Duration) string {
	return strconv.FormatInt(int64(math.Ceil(span.Seconds())), 10)
}
