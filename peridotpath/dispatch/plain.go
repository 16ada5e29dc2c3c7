package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/service"
	"peridotpath.example/peridotpath/telemetry"
)

// relayBufferSize is the size, in bytes, of the chunks in which a plain service's
// answer is relayed.
const relayBufferSize = 32 << 10

// DoPlain makes a call to a plain service and returns nil when the service's
// whole answer, with any status, was written to writer. maySend has the meaning of
// Request.MaySend and may be nil.
func (dispatcher *Dispatcher) DoPlain(ctx context.Context, work *decide.Work, call *service.Request, maySend func() error, writer http.ResponseWriter) *peridotpath.Result {
	return dispatcher.runAttempts(ctx, work, maySend, func(ctx context.Context, decision decide.Decision) attempt {
		return dispatcher.attemptPlain(ctx, work, decision.Endpoint, call, writer)
	})
}

func (dispatcher *Dispatcher) attemptPlain(ctx context.Context, work *decide.Work, endpoint peridotpath.Endpoint, call *service.Request, writer http.ResponseWriter) attempt {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := dispatcher.SendPlain(ctx, endpoint.Address, call)
	if err != nil {
		return dispatcher.classifySendError(ctx, work, endpoint.ID, err)
	}
	defer response.Body.Close()
	return dispatcher.relayPlainBody(ctx, work, response, writer)
}

// relayPlainBody relays the answer as its body arrives. The answer begins with the first byte of the
// body, or its end: net/http sends no earlier head by itself, and an attempt that ends before can
// still be made again, or end with a failure. If the body is interrupted later, package caller
// aborts the caller's connection, so that no caller mistakes a partial answer for a complete one.
func (dispatcher *Dispatcher) relayPlainBody(ctx context.Context, work *decide.Work, response *http.Response, writer http.ResponseWriter) attempt {
	controller := http.NewResponseController(writer)
	buffer := make([]byte, relayBufferSize)
	begun := false
	for {
		n, err := response.Body.Read(buffer)
		isEnd := errors.Is(err, io.EOF)
		if !begun && (n > 0 || isEnd) {
			begun = true
			dispatcher.beginPlain(work, response, writer)
		}
		if n > 0 {
			if _, err := writer.Write(buffer[:n]); err != nil {
				return deliveredAttempt(0, err)
			}
			_ = controller.Flush()
		}
		switch {
		case isEnd:
			return deliveredAttempt(0, nil)
		case ctx.Err() != nil:
			return attempt{outcome: decide.Abandoned, contentSent: begun, result: contextEndedResult(ctx, work, false)}
		case err != nil && !begun:
			return failedAttempt(work, telemetry.RetryFailed, peridotpath.CodeEndpointFailed, err.Error())
		case err != nil:
			return attempt{outcome: decide.Failed, contentSent: true, result: possiblyRanResult(work, peridotpath.CodeStreamCut, err.Error())}
		}
	}
}

// beginPlain writes the head of an answer.
func (dispatcher *Dispatcher) beginPlain(work *decide.Work, response *http.Response, writer http.ResponseWriter) {
	dispatcher.recordFirstToken(work)
	header := writer.Header()
	for name, values := range service.EndToEnd(response.Header) {
		header[name] = values
	}
	writer.WriteHeader(response.StatusCode)
}
