package outbound

import (
	"bytes"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clientconn"
)

// maxHeadMemory bounds what the heads of a response, informational ones included, take once they are parsed.
// The transport bounds their length only: 64 KB of short lines take megabytes.
const maxHeadMemory = 2 * maxResponseHeaderBytes

// observedLineBytes is how much of a line of a head is kept, in bytes. It holds a status line up to its status,
// and the name of a transfer coding.
const observedLineBytes = 32

// responseHead observes the head of a response as it arrives, for what net/http hides: it ignores a transfer
// coding in HTTP/1.0 and removes the field, and reads past informational heads. It counts what they take.
type responseHead struct {
	line       [observedLineBytes]byte
	lineLength int
	lineNumber int
	// totalBytes and totalLines are those of all heads of the response.
	totalBytes, totalLines int
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
		head.totalBytes += len(piece) - len(rest)
		piece = rest
		if isEnded {
			head.endLine()
		}
	}
}

// memory returns what the heads take once they are parsed, as far as they have arrived.
func (head *responseHead) memory() peridotpath.Bytes {
	return clientconn.HeadMemory(head.totalBytes, head.totalLines)
}

// checkMemory returns an error if the heads take too much.
func (head *responseHead) checkMemory() error {
	if memory := head.memory(); memory > maxHeadMemory {
		return ErrNoResponse.New("head of %d lines and %d bytes in the response, expected at most %d bytes of memory", head.totalLines, head.totalBytes, maxHeadMemory)
	}
	return nil
}

func (head *responseHead) endLine() {
	head.totalLines++
	line := bytes.TrimSuffix(head.line[:head.lineLength], []byte("\r"))
	switch {
	case head.lineNumber == 0:
		head.isInformational = isInformational(line)
	case len(line) > 0:
		name, _, _ := bytes.Cut(line, []byte(":"))
		head.hasTransferCoding = head.hasTransferCoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	case head.isInformational:
		*head = responseHead{totalBytes: head.totalBytes, totalLines: head.totalLines}
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
