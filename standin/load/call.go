package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/outbound"
)

const (
	// replyGrace is the time after the deadline in which a reply still counts. It allows
	// for network latency and scheduling delays on a busy machine.
	replyGrace = 5 * time.Second
	// reconnectDelay is the pause after a broken connection before the next attempt.
	reconnectDelay = 50 * time.Millisecond
	// maxRetryAfter caps the Retry-After of a refusal.
	maxRetryAfter = 5 * time.Second
	maxAttempts   = 40
	// keyRunning is the error code for an idempotency key whose earlier request may still
	// be running.
	keyRunning = "key_running"
)

// verdict is the final outcome of a request for its caller.
type verdict string

const (
	// verdictAnswered means that the caller got the complete answer to this request.
	verdictAnswered verdict = "answered"
	// verdictRefused means that every reply until the deadline reports that the request did
	// not run.
	verdictRefused verdict = "refused"
	// verdictFailed means that the caller got an error with a code.
	verdictFailed verdict = "failed"
	// verdictUnknown means that the request may have run, according to the reply or because
	// the connection broke and the request is not idempotent.
	verdictUnknown verdict = "unknown"
	// verdictLost means that the caller got neither an answer nor an error by the deadline.
	verdictLost verdict = "lost"
	// verdictCutOff means that the answer broke off and could not be resumed.
	verdictCutOff verdict = "cut_off"
	// verdictWrong means that the caller got an incomplete answer or that of another request.
	verdictWrong verdict = "wrong"
)

// result is the outcome of a request, with statistics of its attempts.
type result struct {
	request *request
	verdict verdict
	// code is the error code of the last attempt.
	code string
	// refusals counts the replies that report "not run", by code.
	refusals map[string]int
	// isCertainlyNotRun is true as long as every attempt certainly did not run.
	isCertainlyNotRun bool
	resumptions       int
	brokenConnections int
	firstToken        time.Duration
	total             time.Duration
}

// attempt is the outcome of one HTTP call.
type attempt struct {
	verdict    verdict
	code       string
	retryAfter time.Duration
	// connectionBroke is true if the connection ended before the answer was complete, and
	// mayHaveArrived if an instance may have received the call.
	connectionBroke bool
	mayHaveArrived  bool
}

// call is a request in flight, with all its attempts.
type call struct {
	*result
	balancer       *balancer
	retriesKeyed   bool
	body           []byte
	expectedAnswer string
	startedAt      time.Time
	// received is the received part of the answer, and lastEventID the ID of its last event.
	received    strings.Builder
	lastEventID string
}

// runRequest sends a request, with retries, and returns its result.
func runRequest(ctx context.Context, balancer *balancer, request *request, retriesKeyed bool) *result {
	call := &call{retriesKeyed: retriesKeyed, result: &result{request: request, refusals: map[string]int{}, isCertainlyNotRun: true}, balancer: balancer, startedAt: time.Now()}
	body, err := request.body()
	if err != nil {
		call.verdict, call.code = verdictLost, err.Error()
		return call.result
	}
	call.body, call.expectedAnswer = body, request.expectedAnswer(body)
	ctx, cancel := context.WithTimeout(ctx, request.work.DeadlineMS.Duration()+replyGrace)
	defer cancel()
	call.attemptUntilDone(ctx)
	call.total = time.Since(call.startedAt)
	return call.result
}

func (call *call) attemptUntilDone(ctx context.Context) {
	instance := netip.AddrPort{}
	for range maxAttempts {
		instance = call.balancer.pick(instance)
		attempt := call.attempt(ctx, instance)
		call.verdict, call.code = attempt.verdict, attempt.code
		if attempt.verdict == verdictRefused {
			call.refusals[attempt.code]++
		} else if attempt.mayHaveArrived {
			call.isCertainlyNotRun = false
		}
		if attempt.connectionBroke {
			call.brokenConnections++
		}
		if !call.shouldRetry(attempt) || !sleep(ctx, attempt.retryAfter) {
			return
		}
	}
}

// shouldRetry reports whether the caller retries before the deadline. It retries a refusal,
// or a call whose idempotency key is in use, if the reply states a delay for the retry. It
// retries a call with a broken connection if the request is idempotent, if the call certainly
// did not arrive, or if retriesKeyed is set, since the idempotency key prevents a second run.
func (call *call) shouldRetry(attempt attempt) bool {
	isPastDeadline := time.Since(call.startedAt)+attempt.retryAfter >= call.request.work.DeadlineMS.Duration()
	switch {
	case isPastDeadline:
		return false
	case attempt.verdict == verdictRefused || attempt.code == keyRunning:
		return attempt.retryAfter > 0
	case !attempt.connectionBroke:
		return false
	default:
		return call.request.work.Idempotent || !attempt.mayHaveArrived || call.retriesKeyed
	}
}

func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}

// singleUseReader hides the type of the body, so that the HTTP transport cannot replay it.
type singleUseReader struct{ io.Reader }

func (call *call) newHTTPRequest(ctx context.Context, instance netip.AddrPort) (*http.Request, error) {
	work := call.request.work
	path := work.Path
	if work.IsPlainService {
		path = caller.ServicePrefix + string(work.Profile) + path
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+instance.String()+path, singleUseReader{bytes.NewReader(call.body)})
	if err != nil {
		return nil, err
	}
	httpRequest.ContentLength = int64(len(call.body))
	httpRequest.Header.Set("Authorization", "Bearer "+call.request.key)
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set(caller.HeaderRequestID, call.request.id)
	remaining := work.DeadlineMS.Duration() - time.Since(call.startedAt)
	httpRequest.Header.Set(caller.HeaderDeadlineMS, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if !work.Idempotent {
		httpRequest.Header.Set(caller.HeaderIdempotencyKey, call.request.id)
	}
	if call.lastEventID != "" {
		httpRequest.Header.Set(caller.HeaderLastEventID, call.lastEventID)
	}
	return httpRequest, nil
}

// attempt makes one HTTP call.
func (call *call) attempt(ctx context.Context, instance netip.AddrPort) attempt {
	httpRequest, err := call.newHTTPRequest(ctx, instance)
	if err != nil {
		return attempt{verdict: verdictLost, code: err.Error()}
	}
	if call.lastEventID != "" {
		call.resumptions++
	}
	response, err := call.balancer.target.do(httpRequest)
	if err != nil {
		return call.classifyBroken(ctx, err, !outbound.ErrNotSent.Has(err))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return call.readFailure(ctx, response)
	}
	if call.request.stream {
		return call.readStream(ctx, response)
	}
	return call.readAnswer(ctx, response)
}

// classifyBroken returns the outcome of a call whose connection broke.
func (call *call) classifyBroken(ctx context.Context, err error, mayHaveArrived bool) attempt {
	result := attempt{verdict: verdictLost, code: "connection", retryAfter: reconnectDelay, connectionBroke: true, mayHaveArrived: mayHaveArrived}
	switch {
	case ctx.Err() != nil:
		return attempt{verdict: verdictLost, code: "no answer in time", mayHaveArrived: mayHaveArrived}
	case call.lastEventID != "":
		result.verdict = verdictCutOff
	case mayHaveArrived && !call.request.work.Idempotent:
		// The request may have run. Its idempotency key makes a retry safe, so shouldRetry may
		// still permit one.
		result.verdict = verdictUnknown
	}
	if errors.Is(err, context.Canceled) {
		result.connectionBroke = false
	}
	return result
}

// errMalformed is the class of replies that violate the interface.
var errMalformed = errs.Class("load: not an error object")

func (call *call) readFailure(ctx context.Context, response *http.Response) attempt {
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return call.classifyBroken(ctx, err, true)
	}
	return call.classifyFailure(text)
}

// classifyFailure returns the outcome of a call with an error object.
func (call *call) classifyFailure(text []byte) attempt {
	fields := gjson.GetManyBytes(text, "error.code", "error.not_run", "error.retry_after_ms")
	code, wait := fields[0].String(), min(time.Duration(fields[2].Int())*time.Millisecond, maxRetryAfter)
	switch {
	case code == "":
		return attempt{verdict: verdictWrong, code: errMalformed.New("%.80q", text).Error(), mayHaveArrived: true}
	case fields[1].Bool() && call.lastEventID == "":
		return attempt{verdict: verdictRefused, code: code, retryAfter: wait}
	case code == keyRunning:
		return attempt{verdict: verdictUnknown, code: code, retryAfter: wait, mayHaveArrived: true}
	case code == "outcome_unknown" || code == "answer_gone":
		return attempt{verdict: verdictUnknown, code: code, mayHaveArrived: true}
	case call.lastEventID != "":
		return attempt{verdict: verdictCutOff, code: code, mayHaveArrived: true}
	default:
		return attempt{verdict: verdictFailed, code: code, mayHaveArrived: true}
	}
}

func (call *call) readAnswer(ctx context.Context, response *http.Response) attempt {
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return call.classifyBroken(ctx, err, true)
	}
	fields := gjson.GetManyBytes(text, "choices.0.text", "choices.0.message.content", "body")
	answer := fields[0].String() + fields[1].String()
	if call.request.work.IsPlainService {
		answer = fields[2].String()
	}
	return call.checkAnswer(answer)
}

func (call *call) checkAnswer(answer string) attempt {
	if answer != call.expectedAnswer {
		return attempt{verdict: verdictWrong, code: "answer has " + strconv.Itoa(len(answer)) + " bytes of " + strconv.Itoa(len(call.expectedAnswer)), mayHaveArrived: true}
	}
	return attempt{verdict: verdictAnswered, mayHaveArrived: true}
}

// readStream reads events until the end mark. It keeps the received part, so that the next
// attempt resumes a broken stream after its last event.
func (call *call) readStream(ctx context.Context, response *http.Response) attempt {
	events := newEventReader(response.Body)
	for {
		event, err := events.next()
		if err != nil {
			return call.classifyBroken(ctx, err, true)
		}
		if event.kind == "error" {
			return call.classifyFailure(event.data)
		}
		if string(event.data) == engine.EndMarker {
			return call.checkAnswer(call.received.String())
		}
		text := gjson.GetBytes(event.data, "choices.0.text").String() + gjson.GetBytes(event.data, "choices.0.delta.content").String()
		if text != "" && call.firstToken == 0 {
			call.firstToken = time.Since(call.startedAt)
		}
		call.received.WriteString(text)
		if event.id != "" {
			call.lastEventID = event.id
		}
	}
}
