package clientconn

// chunksEnd ends a body of chunks without trailers.
const chunksEnd = "0\r\n\r\n"

// tail holds the last bytes of what was added to it.
type tail struct {
	bytes  [len(chunksEnd)]byte
	length int
}

// add adds a piece.
func (tail *tail) add(piece []byte) {
	if len(piece) >= len(tail.bytes) {
		tail.length = copy(tail.bytes[:], piece[len(piece)-len(tail.bytes):])
		return
	}
	keep := min(tail.length, len(tail.bytes)-len(piece))
	copy(tail.bytes[:], tail.bytes[tail.length-keep:tail.length])
	tail.length = keep + copy(tail.bytes[keep:], piece)
}

// endsChunks reports whether the last bytes are the end of a body of chunks without trailers.
func (tail *tail) endsChunks() bool { return string(tail.bytes[:tail.length]) == chunksEnd }
