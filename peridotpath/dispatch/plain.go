package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/service"
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
	dispatcher.recordFirstToken(work)
	header := writer.Header()
	for name, values := range service.EndToEnd(response.Header) {
		header[name] = values
	}
	writer.WriteHeader(response.StatusCode)
	return dispatcher.relayPlainBody(ctx, work, response, writer)
}

// relayPlainBody relays the body as it arrives. If the body is interrupted, package
// caller aborts the caller's connection, so that no caller mistakes a partial
// answer for a complete one.
func (dispatcher *Dispatcher) relayPlainBody(ctx context.Context, work *decide.Work, response *http.Response, writer http.ResponseWriter) attempt {
	controller := http.NewResponseController(writer)
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, err := writer.Write(buffer[:n]); err != nil {
				return deliveredAttempt(0, err)
			}
			_ = controller.Flush()
		}
		switch {
		case errors.Is(err, io.EOF):
			return deliveredAttempt(0, nil)
		case ctx.Err() != nil:
			return attempt{outcome: decide.Abandoned, contentSent: true, result: contextEndedResult(ctx, work, false)}
		case err != nil:
			return attempt{outcome: decide.Failed, contentSent: true, result: possiblyRanResult(work, peridotpath.CodeStreamCut, err.Error())}
		}
	}
}
