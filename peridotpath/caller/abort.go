package caller

import "net/http"

// Abort ends the connection of an answer that is not whole, so that no client takes it for complete.
// It does not return.
func Abort(writer http.ResponseWriter, request *http.Request) {
	if !request.ProtoAtLeast(1, 1) && writer.Header().Get("Content-Length") == "" {
		reset(writer)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection. An answer to an HTTP/1.0 client that has no length has no chunks either:
// it is complete when its connection is closed.
func reset(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
	conn.Close()
}
