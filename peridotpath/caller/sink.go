package caller

import (
	"net/http"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/cursor"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/dispatch"
)

// answerWriter writes an answer to its caller.
type answerWriter struct {
	exchange   *exchange
	work       *decide.Work
	signer     *cursor.Signer
	controller *http.ResponseController
	// cursorToken is the common part of the cursors of the stream's events; empty for
	// none.
	cursorToken string
	// eventBuffer has the last event as written; its memory is reused for the next.
	eventBuffer []byte
}

// answerSink returns the sink to which the dispatcher writes the exchange's answer.
func (server *Server) answerSink(exchange *exchange, work *decide.Work) *dispatch.Sink {
	answerWriter := &answerWriter{
		exchange: exchange, work: work, signer: server.Signer,
		controller: http.NewResponseController(exchange.writer),
	}
	return &dispatch.Sink{BeginAnswer: answerWriter.begin, WriteEvent: answerWriter.writeEvent, WriteWhole: answerWriter.writeWhole}
}

func (answerWriter *answerWriter) begin(_ http.Header, endpoint peridotpath.EndpointID, stream string) {
	answerWriter.exchange.answerBegun = true
	answerWriter.exchange.writer.Header().Set(HeaderEndpoint, string(endpoint))
	if stream != "" {
		answerWriter.cursorToken = answerWriter.signer.StreamToken(answerWriter.work.Customer.ID, cursor.Stream{
			Endpoint: endpoint, ID: stream, Profile: answerWriter.work.Profile.Name, DeadlineMS: answerWriter.work.Deadline.UnixMilli(),
		})
	}
}

// writeEvent writes and flushes one server-sent event.
func (answerWriter *answerWriter) writeEvent(offset int64, data []byte) error {
	if len(answerWriter.eventBuffer) == 0 {
		header := answerWriter.exchange.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
	}
	answerWriter.eventBuffer = answerWriter.appendEvent(answerWriter.eventBuffer[:0], offset, data)
	if _, err := answerWriter.exchange.writer.Write(answerWriter.eventBuffer); err != nil {
		return err
	}
	return answerWriter.controller.Flush()
}

func (answerWriter *answerWriter) appendEvent(buffer []byte, offset int64, data []byte) []byte {
	if answerWriter.cursorToken != "" {
		buffer = append(buffer, "id: "...)
		buffer = cursor.Append(buffer, answerWriter.cursorToken, offset)
		buffer = append(buffer, '\n')
	}
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, data...)
	return append(buffer, "\n\n"...)
}

// writeWhole writes an answer that is not a stream.
func (answerWriter *answerWriter) writeWhole(body []byte) error {
	answerWriter.exchange.writer.Header().Set("Content-Type", "application/json")
	_, err := answerWriter.exchange.writer.Write(body)
	return err
}
