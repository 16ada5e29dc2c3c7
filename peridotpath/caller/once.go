package caller

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim"
	"peridotpath.example/peridotpath/disconnect"
)

const (
	maxIdempotencyKeyLength = 255
	// maxRecordedAnswer bounds, in bytes, an answer that is recorded for replay.
	maxRecordedAnswer = 1 << 20
	// HeaderReplayed marks an answer that is replayed for a repeated key.
	HeaderReplayed = "Peridotpath-Replayed"
)

// runOnce runs a request with an idempotency key at most once, by a claim in the
// ledger. Requests without a key, and those of idempotent profiles, need no claim:
// the former are never retried after a byte was sent, the latter may run twice.
func (server *Server) runOnce(exchange *exchange, body []byte, serve func(ctx context.Context, maySend func() error) *peridotpath.Result) *peridotpath.Result {
	ctx := exchange.request.Context()
	keys, hasKey := exchange.request.Header[HeaderIdempotencyKey]
	if !hasKey || exchange.work.Profile.Idempotent {
		return serve(ctx, nil)
	}
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxIdempotencyKeyLength {
		return &peridotpath.Result{Code: peridotpath.CodeBadIdempotencyKey}
	}
	// The claim has the request's deadline, but outlives the caller's connection: a
	// retry after a lost connection must get the answer, not an unknown outcome.
	ctx, cancel := context.WithDeadline(disconnect.Detach(ctx), exchange.work.Deadline)
	defer cancel()
	verdict, err := server.Claims.Claim(ctx, exchange.customer.ID, keys[0], bodyHash(exchange.request, body))
	if err != nil {
		return errorResult(err)
	}
	switch verdict.Status {
	case claim.Granted:
		return server.runClaimed(ctx, exchange, verdict.Claim, serve)
	case claim.RunningHere:
		answer, err := verdict.InFlight.Wait(ctx)
		if err != nil {
			return errorResult(err)
		}
		return exchange.replayAnswer(answer)
	case claim.Done:
		return exchange.replayAnswer(verdict.Answer)
	default:
		return verdict.Result()
	}
}

// bodyHash hashes the parts of a request that must be equal when a key is repeated.
func bodyHash(request *http.Request, body []byte) claim.BodyHash {
	hash := sha256.New()
	hash.Write([]byte(request.Method + "\n" + request.URL.RequestURI() + "\n"))
	hash.Write(body)
	return claim.BodyHash(hash.Sum(nil))
}

func errorResult(err error) *peridotpath.Result {
	var result *peridotpath.Result
	if errors.As(err, &result) {
		return result
	}
	return &peridotpath.Result{Code: peridotpath.CodeInternal, Detail: err.Error()}
}

// runClaimed serves the request and records its outcome.
func (server *Server) runClaimed(ctx context.Context, exchange *exchange, granted *claim.Claim, serve func(ctx context.Context, maySend func() error) *peridotpath.Result) *peridotpath.Result {
	recorder := &answerRecorder{ResponseWriter: exchange.writer}
	exchange.writer = recorder
	// This result remains where serve panics: a repeated key must not wait for a request that has
	// ended.
	result := &peridotpath.Result{Code: peridotpath.CodeInternal}
	defer func() {
		exchange.writer = recorder.ResponseWriter
		recordOutcome(ctx, granted, result, recorder)
	}()
	result = serve(ctx, granted.BeginDispatch)
	return result
}

// recordOutcome records the outcome of a claimed request. The ledger gets a cancelled
// context and completes the record in the background, so that the caller's answer does
// not wait for it.
func recordOutcome(ctx context.Context, granted *claim.Claim, result *peridotpath.Result, recorder *answerRecorder) {
	cancelledContext, cancel := context.WithCancel(ctx)
	cancel()
	switch {
	case result == nil:
		_ = granted.Finish(cancelledContext, recorder.recordedAnswer())
	case result.Code.NotRun() || !granted.HasDispatched():
		_ = granted.Release(cancelledContext, result)
	default:
		_ = granted.MarkUnknown(cancelledContext)
	}
}

// replayAnswer writes the recorded answer of the key's first request.
func (exchange *exchange) replayAnswer(answer *claim.Answer) *peridotpath.Result {
	if answer == nil {
		return &peridotpath.Result{Code: peridotpath.CodeAnswerGone}
	}
	exchange.answerBegun = true
	header := exchange.writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(HeaderReplayed, "true")
	exchange.writer.WriteHeader(answer.Status)
	_, _ = exchange.writer.Write(answer.Body)
	return nil
}

// answerRecorder records the answer for replay and continues after the caller
// disconnected.
type answerRecorder struct {
	http.ResponseWriter
	status       int
	body         []byte
	tooLarge     bool
	disconnected bool
}

// WriteHeader records and writes the status.
func (answerRecorder *answerRecorder) WriteHeader(status int) {
	answerRecorder.status = status
	answerRecorder.ResponseWriter.WriteHeader(status)
}

// Write records and writes. It also succeeds after the caller disconnected.
func (answerRecorder *answerRecorder) Write(piece []byte) (int, error) {
	if answerRecorder.status == 0 {
		answerRecorder.status = http.StatusOK
	}
	if len(answerRecorder.body)+len(piece) > maxRecordedAnswer {
		answerRecorder.tooLarge = true
		answerRecorder.body = nil
	}
	if !answerRecorder.tooLarge {
		answerRecorder.body = append(answerRecorder.body, piece...)
	}
	if !answerRecorder.disconnected {
		_, err := answerRecorder.ResponseWriter.Write(piece)
		answerRecorder.disconnected = err != nil
	}
	return len(piece), nil
}

// FlushError flushes unless the caller disconnected.
func (answerRecorder *answerRecorder) FlushError() error {
	if !answerRecorder.disconnected {
		answerRecorder.disconnected = http.NewResponseController(answerRecorder.ResponseWriter).Flush() != nil
	}
	return nil
}

// Unwrap lets http.ResponseController reach the connection.
func (answerRecorder *answerRecorder) Unwrap() http.ResponseWriter {
	return answerRecorder.ResponseWriter
}

// recordedAnswer returns the recorded answer, nil if it exceeded the size limit.
func (answerRecorder *answerRecorder) recordedAnswer() *claim.Answer {
	if answerRecorder.tooLarge {
		return nil
	}
	return &claim.Answer{Status: answerRecorder.status, Header: answerRecorder.Header().Clone(), Body: answerRecorder.body}
}
