package outbound

import (
	"bytes"
	"net"
	"sync/atomic"
)

// observedLineBytes is how much of a line of a head is kept, in bytes. It holds a status line up to its status,
// and the name of a transfer coding.
const observedLineBytes = 32

// responseHead observes the head of a response as it arrives, for what net/http hides: it removes a
// transfer coding from the fields of a response of HTTP/1.0 and ignores it.
type responseHead struct {
	line       [observedLineBytes]byte
	lineLength int
	lineNumber int
	// isInformational reports that another head follows this one.
	isInformational   bool
	hasTransferCoding bool
	// isWhole reports that the final head has ended.
	isWhole bool
}

// observe observes the next bytes of the connection. Those of a body are not looked at.
func (head *responseHead) observe(piece []byte) {
	for len(piece) > 0 && !head.isWhole {
		line, rest, isEnded := bytes.Cut(piece, []byte("\n"))
		head.lineLength += copy(head.line[head.lineLength:], line)
		piece = rest
		if isEnded {
			head.endLine()
		}
	}
}

func (head *responseHead) endLine() {
	line := bytes.TrimSuffix(head.line[:head.lineLength], []byte("\r"))
	switch {
	case head.lineNumber == 0:
		head.isInformational = isInformational(line)
	case len(line) > 0:
		name, _, _ := bytes.Cut(line, []byte(":"))
		head.hasTransferCoding = head.hasTransferCoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	case head.isInformational:
		*head = responseHead{}
		return
	default:
		head.isWhole = true
	}
	head.lineNumber++
	head.lineLength = 0
}

// isInformational reports whether another response follows the one with the status line, as net/http
// reads it.
func isInformational(statusLine []byte) bool {
	_, status, _ := bytes.Cut(statusLine, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(status, " "), []byte(" "))
	return len(code) == 3 && code[0] == '1' && string(code) != "101"
}

// responseConn is a connection of a transport, which observes the heads of its responses.
type responseConn struct {
	net.Conn

	// head observes the response that is awaited; nil before the first request.
	head atomic.Pointer[responseHead]
}

// awaitResponse begins a response with the next byte that arrives, and returns what observes its head.
func (conn *responseConn) awaitResponse() *responseHead {
	head := &responseHead{}
	conn.head.Store(head)
	return head
}

// Read reads from the connection.
func (conn *responseConn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	if head := conn.head.Load(); head != nil {
		head.observe(data[:count])
	}
	return count, err
}
