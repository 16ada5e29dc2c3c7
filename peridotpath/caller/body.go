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
	firstPiece  = 16 << 10
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
// called when the body is no longer needed. The body must be there by the given
// time, unless that is zero: what came later could only be refused, and its
// caller would have waited for the refusal beyond its own deadline.
func (bodies *Bodies) Read(writer http.ResponseWriter, request *http.Request, by time.Time) ([]byte, func(), *peridotpath.Result) {
	if request.ContentLength > int64(bodies.MaxBody) {
		return nil, nil, &peridotpath.Result{Code: peridotpath.CodeBodyTooLarge}
	}
	size := int64(firstPiece)
	if request.ContentLength >= 0 {
		size = request.ContentLength + 1
	}
	var reserved int64
	free := func() { bodies.held.Release(reserved) }
	if !bodies.held.TryAcquire(size) {
		return nil, nil, &peridotpath.Result{Code: peridotpath.CodeBodyMemory, RetryAfter: retryBodies}
	}
	reserved = size
	controller := http.NewResponseController(writer)
	began := time.Now()
	buffer := make([]byte, 0, size)
	for {
		if len(buffer) == cap(buffer) {
			grow := int64(cap(buffer))
			if !bodies.held.TryAcquire(grow) {
				free()
				return nil, nil, &peridotpath.Result{Code: peridotpath.CodeBodyMemory, RetryAfter: retryBodies}
			}
			reserved += grow
			grown := make([]byte, len(buffer), reserved)
			copy(grown, buffer)
			buffer = grown
		}
		_ = controller.SetReadDeadline(earlier(bodies.due(began, len(buffer)), by))
		n, err := request.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if int64(len(buffer)) > int64(bodies.MaxBody) {
			free()
			return nil, nil, &peridotpath.Result{Code: peridotpath.CodeBodyTooLarge}
		}
		if errors.Is(err, io.EOF) {
			_ = controller.SetReadDeadline(time.Time{})
			return buffer, free, nil
		}
		if err != nil {
			free()
			return nil, nil, &peridotpath.Result{Code: peridotpath.CodeBodyIncomplete, Detail: err.Error()}
		}
	}
}
