package caller

import (
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"peridotpath.example/peridotpath"
)

// Bodies reads request bodies within a bound on the memory that all of them
// take together.
//
// It is made for many million-token prompts (4 to 6 MB each) at once: without
// the bound they take the Instance's memory and with it every other request.
// A body that does not fit is refused at once and was not run.
type Bodies struct {
	// MaxBody bounds one body.
	MaxBody peridotpath.Bytes
	// MaxHeld bounds all bodies held at a time.
	MaxHeld peridotpath.Bytes
	// ReadTimeout bounds the time between two pieces of a body; a slow sender
	// would otherwise hold memory for as long as it likes.
	ReadTimeout time.Duration

	held *semaphore.Weighted
}

// NewBodies returns a Bodies with the given bounds.
func NewBodies(maxBody, maxHeld peridotpath.Bytes, readTimeout time.Duration) *Bodies {
	return &Bodies{MaxBody: maxBody, MaxHeld: maxHeld, ReadTimeout: readTimeout, held: semaphore.NewWeighted(int64(maxHeld))}
}

const (
	// firstPiece is the buffer, in bytes, for a body of undeclared length; it
	// doubles as the body grows.
	firstPiece = 16 << 10
	// retryBodies is the Retry-After of a body that found no memory.
	retryBodies = 500 * time.Millisecond
	// slowestPerS is the bytes a second that a sender must reach on the whole.
	slowestPerS = 16 << 10
)

// due is when the next piece must be there: ReadTimeout after the last one, and
// earlier for a sender that is slow on the whole. One that sends a byte just
// before each ReadTimeout would else hold memory for 16 MB for years, and sixteen
// of them have every other body refused. At 16 KiB/s a prompt of a million
// tokens takes six minutes; callers in the region send it in a second.
func (bodies *Bodies) due(began time.Time, received int) time.Time {
	next := time.Now().Add(bodies.ReadTimeout)
	whole := began.Add(bodies.ReadTimeout + time.Duration(received)*time.Second/slowestPerS)
	if whole.Before(next) {
		return whole
	}
	return next
}

// earlier returns the earlier of two times, the first if the second is zero.
func earlier(one, other time.Time) time.Time {
	if other.IsZero() || one.Before(other) {
		return one
	}
	return other
}

// Read returns the whole body and a function that gives its memory back, to be
// called once, when the body is no longer needed; a failure has given it back
// already. The body must be there by the given time, unless that is zero: what
// came later could only be refused, and its caller would have waited for the
// refusal beyond its own deadline.
func (bodies *Bodies) Read(writer http.ResponseWriter, request *http.Request, by time.Time) ([]byte, func(), *peridotpath.Result) {
	if request.ContentLength > int64(bodies.MaxBody) {
		return nil, nil, &peridotpath.Result{Code: peridotpath.CodeBodyTooLarge}
	}
	size := int64(firstPiece)
	if request.ContentLength >= 0 {
		// One byte more than declared, so that the end is read without growing.
		size = request.ContentLength + 1
	}
	reading := &reading{bodies: bodies, began: time.Now(), by: by}
	if !reading.reserve(size) {
		return nil, nil, noMemory()
	}
	result := reading.all(http.NewResponseController(writer), request.Body)
	if result != nil {
		reading.free()
		return nil, nil, result
	}
	// free lives for as long as the request: were it to refer to the body, a
	// body that is let go of at the first token would stay in memory.
	body := reading.buffer
	reading.buffer = nil
	return body, reading.free, nil
}

// noMemory is the refusal of a body that the bound has no room for.
func noMemory() *peridotpath.Result {
	return &peridotpath.Result{Code: peridotpath.CodeBodyMemory, RetryAfter: retryBodies}
}

// reading is one body while it comes in.
type reading struct {
	bodies *Bodies
	began  time.Time
	// by is when the whole body must be there; zero for no such time.
	by time.Time
	// reserved is the part of the bound, in bytes, that the body has taken.
	reserved int64
	buffer   []byte
}

// reserve takes more bytes of the bound and makes the buffer as large as what
// is reserved; false when there is no room.
func (reading *reading) reserve(more int64) bool {
	if !reading.bodies.held.TryAcquire(more) {
		return false
	}
	reading.reserved += more
	grown := make([]byte, len(reading.buffer), reading.reserved)
	copy(grown, reading.buffer)
	reading.buffer = grown
	return true
}

// free gives the reserved bytes back.
func (reading *reading) free() { reading.bodies.held.Release(reading.reserved) }

// all reads until the body's end.
func (reading *reading) all(controller *http.ResponseController, body io.Reader) *peridotpath.Result {
	for {
		if len(reading.buffer) == cap(reading.buffer) && !reading.reserve(int64(cap(reading.buffer))) {
			return noMemory()
		}
		_ = controller.SetReadDeadline(earlier(reading.bodies.due(reading.began, len(reading.buffer)), reading.by))
		err := reading.piece(body)
		switch {
		case len(reading.buffer) > int(reading.bodies.MaxBody):
			return &peridotpath.Result{Code: peridotpath.CodeBodyTooLarge}
		case errors.Is(err, io.EOF):
			_ = controller.SetReadDeadline(time.Time{})
			return nil
		case err != nil:
			return &peridotpath.Result{Code: peridotpath.CodeBodyIncomplete, Detail: err.Error()}
		}
	}
}

// piece reads what is there into the room that the buffer has left.
func (reading *reading) piece(body io.Reader) error {
	length := len(reading.buffer)
	n, err := body.Read(reading.buffer[length:cap(reading.buffer)])
	reading.buffer = reading.buffer[:length+n]
	return err
}
