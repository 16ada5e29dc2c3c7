package caller

import (
	"net/http"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/cursor"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/dispatch"
)

// answer writes one answer to its caller.
type answer struct {
	exchange   *exchange
	work       *decide.Work
	signer     *cursor.Signer
	controller *http.ResponseController
	// token is what the cursors of the stream's events share; empty for none.
	token string
	// buffer is the last event as it was written; its memory serves the next.
	buffer []byte
}

// sink returns where the dispatcher is to put the answer of the exchange.
func (server *Server) sink(exchange *exchange, work *decide.Work) *dispatch.Sink {
	answer := &answer{
		exchange: exchange, work: work, signer: server.Signer,
		controller: http.NewResponseController(exchange.writer),
	}
	return &dispatch.Sink{Start: answer.start, Event: answer.event, Whole: answer.whole}
}

func (answer *answer) start(_ http.Header, endpoint peridotpath.EndpointID, stream string) {
	answer.exchange.begun = true
	answer.exchange.writer.Header().Set(HeaderEndpoint, string(endpoint))
	if stream != "" {
		answer.token = answer.signer.StreamToken(answer.work.Customer.ID, cursor.Stream{
			Endpoint: endpoint, ID: stream, Profile: answer.work.Profile.Name, DeadlineMS: answer.work.Deadline.UnixMilli(),
		})
	}
}

// event writes and flushes one server-sent event.
func (answer *answer) event(offset int64, data []byte) error {
	if len(answer.buffer) == 0 {
		header := answer.exchange.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
	}
	answer.buffer = answer.appendEvent(answer.buffer[:0], offset, data)
	if _, err := answer.exchange.writer.Write(answer.buffer); err != nil {
		return err
	}
	return answer.controller.Flush()
}

func (answer *answer) appendEvent(buffer []byte, offset int64, data []byte) []byte {
	if answer.token != "" {
		buffer = append(buffer, "id: "...)
		buffer = cursor.Append(buffer, answer.token, offset)
		buffer = append(buffer, '\n')
	}
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, data...)
	return append(buffer, "\n\n"...)
}

// whole writes an answer that is not a stream.
func (answer *answer) whole(body []byte) error {
	answer.exchange.writer.Header().Set("Content-Type", "application/json")
	_, err := answer.exchange.writer.Write(body)
	return err
}
