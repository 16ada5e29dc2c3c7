package caller

import (
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clientconn"
	"peridotpath.example/peridotpath/shutdown"
)

// BodyReader reads request bodies and bounds the total memory that they use.
//
// The bound matters under many concurrent million-token prompts (4 to 6 MB each):
// without it they exhaust the Instance's memory, and every other request fails.
// A body that does not fit is refused at once, as not run.
type BodyReader struct {
	// MaxBodySize bounds the size of one body.
	MaxBodySize peridotpath.Bytes
	// MaxTotalSize bounds the total size of all bodies in memory.
	MaxTotalSize peridotpath.Bytes
	// ReadTimeout bounds the time between two reads of a body; a stalled sender
	// would otherwise hold memory without limit.
	ReadTimeout time.Duration
	// ExitNotice announces the exit of the process; nil where it never exits.
	ExitNotice *shutdown.Notice

	memory *semaphore.Weighted
}

// NewBodyReader returns a reader of bodies with the given bounds.
func NewBodyReader(maxBodySize, maxTotalSize peridotpath.Bytes, readTimeout time.Duration) *BodyReader {
	return &BodyReader{MaxBodySize: maxBodySize, MaxTotalSize: maxTotalSize, ReadTimeout: readTimeout, memory: semaphore.NewWeighted(int64(maxTotalSize))}
}

const (
	// initialBufferSize is the initial buffer, in bytes, of a body of undeclared
	// length; it doubles as the body grows.
	initialBufferSize = 16 << 10
	// memoryRetryAfter is the Retry-After of a request that is refused for lack of memory.
	memoryRetryAfter = 500 * time.Millisecond
	// minBytesPerSecond is the minimum average rate of a sender, in bytes per second.
	minBytesPerSecond = 16 << 10
)

// readDeadline returns the deadline of the next read: ReadTimeout from now, or earlier
// for a sender whose average rate is too low. With ReadTimeout alone, a client that
// sends one byte just before each timeout could hold the memory of a 16 MB body for
// years, and sixteen of them would cause all other bodies to be refused. At 16 KiB/s a
// prompt of a million tokens takes six minutes; callers in the region send it within a
// second.
func (bodyReader *BodyReader) readDeadline(startedAt time.Time, received int) time.Time {
	stallDeadline := time.Now().Add(bodyReader.ReadTimeout)
	rateDeadline := startedAt.Add(bodyReader.ReadTimeout + time.Duration(received)*time.Second/minBytesPerSecond)
	if rateDeadline.Before(stallDeadline) {
		return rateDeadline
	}
	return stallDeadline
}

// earlier returns the earlier of two times, the first if the second is zero.
func earlier(first, second time.Time) time.Time {
	if second.IsZero() || first.Before(second) {
		return first
	}
	return second
}

// Read returns the whole body and a function that releases its memory, to be called
// once, when the body is no longer needed; after a failure it is already released.
// The body must arrive by deadline, unless that is zero: a body that arrives later
// could only be refused, after the caller's own deadline.
func (bodyReader *BodyReader) Read(writer http.ResponseWriter, request *http.Request, deadline time.Time) ([]byte, func(), *peridotpath.Result) {
	if request.ContentLength > int64(bodyReader.MaxBodySize) {
		return nil, nil, &peridotpath.Result{Code: peridotpath.CodeBodyTooLarge}
	}
	size := int64(initialBufferSize)
	if request.ContentLength >= 0 {
		// One byte more than declared, so that EOF is read without growing the buffer.
		size = request.ContentLength + 1
	}
	buffer := &bodyBuffer{reader: bodyReader, startedAt: time.Now(), deadline: deadline}
	if !buffer.reserve(size) {
		return nil, nil, bodyMemoryResult()
	}
	result := buffer.readAll(http.NewResponseController(writer), request.Body)
	if result != nil {
		buffer.release()
		return nil, nil, result
	}
	// The release function lives as long as the request. If it referred to the body,
	// a body that is released at the first token would stay in memory.
	body := buffer.data
	buffer.data = nil
	return body, buffer.release, nil
}

// bodyMemoryResult returns the refusal of a body that does not fit the memory bound.
func bodyMemoryResult() *peridotpath.Result {
	return &peridotpath.Result{Code: peridotpath.CodeBodyMemory, RetryAfter: memoryRetryAfter}
}

// bodyBuffer is the buffer of a body that is being received.
type bodyBuffer struct {
	reader    *BodyReader
	startedAt time.Time
	// deadline is the deadline of the whole body; zero for none.
	deadline time.Time
	// reserved is the memory, in bytes, that the body has acquired.
	reserved int64
	data     []byte
}

// reserve acquires more bytes and grows the buffer to the reserved size. It returns
// false if the memory bound has no room.
func (bodyBuffer *bodyBuffer) reserve(more int64) bool {
	if !bodyBuffer.reader.memory.TryAcquire(more) {
		return false
	}
	bodyBuffer.reserved += more
	largerData := make([]byte, len(bodyBuffer.data), bodyBuffer.reserved)
	copy(largerData, bodyBuffer.data)
	bodyBuffer.data = largerData
	return true
}

// release releases the reserved bytes.
func (bodyBuffer *bodyBuffer) release() { bodyBuffer.reader.memory.Release(bodyBuffer.reserved) }

// readAll reads the body to its end.
func (bodyBuffer *bodyBuffer) readAll(controller *http.ResponseController, body io.Reader) *peridotpath.Result {
	notice := bodyBuffer.reader.ExitNotice
	stop := notice.AfterFunc(func() { _ = controller.SetReadDeadline(time.Now()) })
	defer stop()
	for {
		if len(bodyBuffer.data) == cap(bodyBuffer.data) && !bodyBuffer.reserve(int64(cap(bodyBuffer.data))) {
			return bodyMemoryResult()
		}
		_ = controller.SetReadDeadline(bodyBuffer.nextReadDeadline())
		err := bodyBuffer.readPiece(body)
		switch {
		case len(bodyBuffer.data) > int(bodyBuffer.reader.MaxBodySize):
			return &peridotpath.Result{Code: peridotpath.CodeBodyTooLarge}
		case errors.Is(err, io.EOF):
			_ = controller.SetReadDeadline(time.Time{})
			return nil
		case err != nil && notice.IsOver():
			return &peridotpath.Result{Code: peridotpath.CodeStopping, RetryAfter: shutdown.RetryAfter}
		case errors.Is(err, clientconn.ErrBodyAborted):
			return bodyMemoryResult()
		case err != nil:
			return &peridotpath.Result{Code: peridotpath.CodeBodyIncomplete, Detail: err.Error()}
		}
	}
}

// nextReadDeadline returns until when the next piece must arrive.
func (bodyBuffer *bodyBuffer) nextReadDeadline() time.Time {
	next := earlier(bodyBuffer.reader.readDeadline(bodyBuffer.startedAt, len(bodyBuffer.data)), bodyBuffer.deadline)
	answerBy, _ := bodyBuffer.reader.ExitNotice.AnswerBy()
	return earlier(next, answerBy)
}

// readPiece reads once into the buffer's spare capacity.
func (bodyBuffer *bodyBuffer) readPiece(body io.Reader) error {
	length := len(bodyBuffer.data)
	n, err := body.Read(bodyBuffer.data[length:cap(bodyBuffer.data)])
	bodyBuffer.data = bodyBuffer.data[:length+n]
	return err
}
