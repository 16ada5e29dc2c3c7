package caller

import (
	"net/http"
	"time"
)

const (
	// unreadBodyTimeout bounds the time between two reads of a body that is read only to be
	// dropped.
	unreadBodyTimeout = time.Second
	// maxDiscardTime bounds the time in which such a body is read.
	maxDiscardTime = 10 * time.Second
	// refusalWriteTimeout bounds the time to write a refusal.
	refusalWriteTimeout = 10 * time.Second
	// discardBufferSize is the size, in bytes, of the pieces in which a body is dropped.
	discardBufferSize = 32 << 10
)

// AnswerUnread sends the answer that write writes, although the request's body was not read, and
// then reads the rest of the body and drops it.
//
// net/http by itself first reads the rest of a short body, without a time limit: the refusal of a
// caller that sends slowly or stalls, and a planned stop with it, would be delayed without bound.
// After a long body it closes the connection half a second later, and a caller that sends its
// whole body before it reads could fail to send and never see the refusal. The connection closes
// after the answer, so that no remaining bytes of the body are parsed as another request.
func AnswerUnread(writer http.ResponseWriter, request *http.Request, write func()) {
	controller := http.NewResponseController(writer)
	writer.Header().Set("Connection", "close")
	_ = controller.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	write()
	_ = controller.Flush()
	discardBody(controller, request)
}

// discardBody reads the rest of the body, as long as it arrives.
func discardBody(controller *http.ResponseController, request *http.Request) {
	until := time.Now().Add(maxDiscardTime)
	buffer := make([]byte, discardBufferSize)
	for {
		_ = controller.SetReadDeadline(earlier(time.Now().Add(unreadBodyTimeout), until))
		if request.Header.Get("Expect") != "" {
			// The caller sends no body after a refusal.
			return
		}
		if _, err := request.Body.Read(buffer); err != nil {
			return
		}
	}
}
