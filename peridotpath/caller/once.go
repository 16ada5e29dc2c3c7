package caller

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim"
)

const (
	maxIdempotencyKey = 255
	// maxRecorded bounds the answer that is recorded for repeats of a key.
	maxRecorded = 1 << 20
	// HeaderReplayed marks an answer that was given before.
	HeaderReplayed = "Peridotpath-Replayed"
)

// once serves a request with an idempotency key at most once, under the claim
// ledger. Requests without a key, and those of idempotent profiles, are served
// as they are: the first are sent once and never again after a byte has gone
// out, the second may run twice without harm.
func (server *Server) once(exchange *exchange, body []byte, serve func(ctx context.Context, maySend func() error) *peridotpath.Result) *peridotpath.Result {
	ctx := exchange.request.Context()
	keys, given := exchange.request.Header[HeaderIdempotencyKey]
	if !given || exchange.work.Profile.Idempotent {
		return serve(ctx, nil)
	}
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxIdempotencyKey {
		return &peridotpath.Result{Code: peridotpath.CodeBadIdempotencyKey}
	}
	// The claim is taken within the request's time, and goes on without its caller:
	// one who repeats after a broken connection wants the answer, not "unknown".
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), exchange.work.Deadline)
	defer cancel()
	verdict, err := server.Claims.Claim(ctx, exchange.customer.ID, keys[0], bodyHash(exchange.request, body))
	if err != nil {
		return asResult(err)
	}
	switch verdict.Status {
	case claim.Granted:
		return server.claimed(ctx, exchange, verdict.Claim, serve)
	case claim.RunningHere:
		answer, err := verdict.InFlight.Wait(ctx)
		if err != nil {
			return asResult(err)
		}
		return exchange.replay(answer)
	case claim.Done:
		return exchange.replay(verdict.Answer)
	default:
		return verdict.Result()
	}
}

// bodyHash covers what must be the same when a key is repeated.
func bodyHash(request *http.Request, body []byte) claim.BodyHash {
	hash := sha256.New()
	hash.Write([]byte(request.Method + "\n" + request.URL.RequestURI() + "\n"))
	hash.Write(body)
	return claim.BodyHash(hash.Sum(nil))
}

func asResult(err error) *peridotpath.Result {
	var result *peridotpath.Result
	if errors.As(err, &result) {
		return result
	}
	return &peridotpath.Result{Code: peridotpath.CodeInternal, Detail: err.Error()}
}

// claimed serves the request and records how it ended. Recording goes on in
// the ledger; the caller's answer does not wait for it.
func (server *Server) claimed(ctx context.Context, exchange *exchange, granted *claim.Claim, serve func(ctx context.Context, maySend func() error) *peridotpath.Result) *peridotpath.Result {
	recorder := &recorder{ResponseWriter: exchange.writer}
	exchange.writer = recorder
	result := serve(ctx, granted.BeginDispatch)
	exchange.writer = recorder.ResponseWriter
	atOnce, cancel := context.WithCancel(ctx)
	cancel()
	switch {
	case result == nil:
		_ = granted.Finish(atOnce, recorder.answer())
	case result.Code.NotRun() || !granted.HasDispatched():
		_ = granted.Release(atOnce, result)
	default:
		_ = granted.MarkUnknown(atOnce)
	}
	return result
}

// replay gives a caller the answer that the first one got.
func (exchange *exchange) replay(answer *claim.Answer) *peridotpath.Result {
	if answer == nil {
		return &peridotpath.Result{Code: peridotpath.CodeAnswerGone}
	}
	header := exchange.writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(HeaderReplayed, "true")
	exchange.writer.WriteHeader(answer.Status)
	_, _ = exchange.writer.Write(answer.Body)
	return nil
}

// recorder keeps what is written, for repeats of the key, and goes on when the
// caller has left.
type recorder struct {
	http.ResponseWriter
	status   int
	body     []byte
	overflow bool
	gone     bool
}

// WriteHeader notes and writes the status.
func (recorder *recorder) WriteHeader(status int) {
	recorder.status = status
	recorder.ResponseWriter.WriteHeader(status)
}

// Write records and writes. It succeeds when the caller has left.
func (recorder *recorder) Write(piece []byte) (int, error) {
	if recorder.status == 0 {
		recorder.status = http.StatusOK
	}
	if len(recorder.body)+len(piece) > maxRecorded {
		recorder.overflow = true
		recorder.body = nil
	}
	if !recorder.overflow {
		recorder.body = append(recorder.body, piece...)
	}
	if !recorder.gone {
		_, err := recorder.ResponseWriter.Write(piece)
		recorder.gone = err != nil
	}
	return len(piece), nil
}

// FlushError flushes to a caller who is still there.
func (recorder *recorder) FlushError() error {
	if !recorder.gone {
		recorder.gone = http.NewResponseController(recorder.ResponseWriter).Flush() != nil
	}
	return nil
}

// Unwrap lets http.ResponseController reach the connection.
func (recorder *recorder) Unwrap() http.ResponseWriter { return recorder.ResponseWriter }

// answer returns what was recorded, nil where that was too much.
func (recorder *recorder) answer() *claim.Answer {
	if recorder.overflow {
		return nil
	}
	return &claim.Answer{Status: recorder.status, Header: recorder.Header().Clone(), Body: recorder.body}
}
