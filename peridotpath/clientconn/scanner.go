package clientconn

import "bytes"

// headScanner finds the end of a head in the pieces in which it arrives, as net/http does: at the
// first empty line.
type headScanner struct {
	// lineLength is the length of the line that has begun; isCarriageReturn is set if it is a
	// single carriage return.
	lineLength       int
	isCarriageReturn bool
	lines            int
}

// scan scans the next piece and returns the length of the part of it that belongs to the head, and
// whether the head ends there.
func (scanner *headScanner) scan(piece []byte) (length int, isWhole bool) {
	for length < len(piece) {
		lineEnd := bytes.IndexByte(piece[length:], '\n')
		if lineEnd < 0 {
			scanner.extend(piece[length:])
			return len(piece), false
		}
		scanner.extend(piece[length : length+lineEnd])
		isEmpty := scanner.lineLength == 0 || scanner.isCarriageReturn
		length += lineEnd + 1
		scanner.lines++
		scanner.lineLength, scanner.isCarriageReturn = 0, false
		if isEmpty {
			return length, true
		}
	}
	return length, false
}

// extend adds bytes to the line that has begun.
func (scanner *headScanner) extend(part []byte) {
	if len(part) == 0 {
		return
	}
	scanner.isCarriageReturn = scanner.lineLength == 0 && len(part) == 1 && part[0] == '\r'
	scanner.lineLength += len(part)
}

// countLineBreaks returns the number of carriage returns and line feeds at the start of a piece.
func countLineBreaks(piece []byte) int {
	return len(piece) - len(bytes.TrimLeft(piece, "\r\n"))
}
