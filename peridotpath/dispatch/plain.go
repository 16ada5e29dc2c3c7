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

// relayBuffer is the size, in bytes, of the pieces in which a plain service's answer is
// passed on.
const relayBuffer = 32 << 10

// DoPlain makes a call to a plain service and returns nil when the service's
// whole answer, whatever its status, was delivered to writer. maySend is as in
// Request; it may be nil.
func (dispatcher *Dispatcher) DoPlain(ctx context.Context, work *decide.Work, call *service.Request, maySend func() error, writer http.ResponseWriter) *peridotpath.Result {
	return dispatcher.run(ctx, work, maySend, func(ctx context.Context, decision decide.Decision) attempt {
		return dispatcher.tryPlain(ctx, work, decision.Endpoint, call, writer)
	})
}

func (dispatcher *Dispatcher) tryPlain(ctx context.Context, work *decide.Work, endpoint peridotpath.Endpoint, call *service.Request, writer http.ResponseWriter) attempt {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := dispatcher.SendPlain(ctx, endpoint.Address, call)
	if err != nil {
		return dispatcher.sendFailed(ctx, work, endpoint.ID, err)
	}
	defer response.Body.Close()
	dispatcher.firstToken(work)
	header := writer.Header()
	for name, values := range service.EndToEnd(response.Header) {
		header[name] = values
	}
	writer.WriteHeader(response.StatusCode)
	return dispatcher.copyPlain(ctx, work, response, writer)
}

// copyPlain passes the body on as it comes. When it breaks off, the caller's
// connection is broken too (see caller), so that half is not taken for whole.
func (dispatcher *Dispatcher) copyPlain(ctx context.Context, work *decide.Work, response *http.Response, writer http.ResponseWriter) attempt {
	controller := http.NewResponseController(writer)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, err := writer.Write(buffer[:n]); err != nil {
				return delivered(0, err)
			}
			_ = controller.Flush()
		}
		switch {
		case errors.Is(err, io.EOF):
			return delivered(0, nil)
		case ctx.Err() != nil:
			return attempt{outcome: decide.Abandoned, started: true, result: ended(ctx, work, false)}
		case err != nil:
			return attempt{outcome: decide.Failed, started: true, result: mayHaveRun(work, peridotpath.CodeStreamCut, err.Error())}
		}
	}
}
