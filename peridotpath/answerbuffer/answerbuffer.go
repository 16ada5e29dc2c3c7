// Package answerbuffer reads answers that are not streamed whole into memory, and bounds the memory
// of all of them together. It matters when many callers read slowly: each answer is held until its
// caller has it, and together they would exceed the memory of the instance, which ends all requests
// there.
package answerbuffer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"golang.org/x/sync/semaphore"

	"peridotpath.example/peridotpath"
)

// answerPiece is the memory that an answer of undeclared length takes at a time, in bytes.
const answerPiece = 64 << 10

// ErrTooLarge is the error of an answer that is larger than a buffer may be.
var ErrTooLarge = errors.New("answer exceeds the buffer limit")

// Pool bounds the memory of all answers that are buffered whole. An answer beyond the bound is not
// cut: its endpoint is read once others have been delivered. It is safe for concurrent use.
type Pool struct {
	shared *semaphore.Weighted
	// single is held by the one answer that may exceed the shared memory. Without it, answers of
	// undeclared length that wait for more while they hold some would wait for one another.
	single *semaphore.Weighted
	// sharedSize is the size of the shared memory in bytes, maxAnswer that of the largest answer.
	sharedSize, maxAnswer int64
}

// NewPool returns a bound of size bytes, which is at least that of one answer. An answer larger than maxAnswer
// is refused.
func NewPool(size, maxAnswer peridotpath.Bytes) *Pool {
	shared := max(int64(size-maxAnswer), answerPiece)
	return &Pool{shared: semaphore.NewWeighted(shared), single: semaphore.NewWeighted(1), sharedSize: shared, maxAnswer: int64(maxAnswer)}
}

// TryReserve takes memory beside that of answers, in bytes, and reports whether there was any left. It is
// not waited for: the parts of a stream that are held meanwhile would have no end.
func (pool *Pool) TryReserve(bytes int64) bool { return pool.shared.TryAcquire(bytes) }

// Unreserve gives memory of TryReserve back.
func (pool *Pool) Unreserve(bytes int64) { pool.shared.Release(bytes) }

// Buffer holds an answer's body in the memory of a Pool.
type Buffer struct {
	// Body is the body as far as it was read. It is valid until Release.
	Body []byte

	pool *Pool
	// reserved is the number of bytes taken from the shared memory, or held by the single answer
	// that exceeds it.
	reserved int64
	isSingle bool
}

// Read reads a whole body, whose length is in the header where the endpoint declares it. Release
// must be called once the caller has the answer, also after an error.
func (pool *Pool) Read(ctx context.Context, header http.Header, body io.Reader) (*Buffer, error) {
	buffer := &Buffer{pool: pool}
	size := int64(answerPiece)
	if length, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64); err == nil && length >= 0 {
		if length > pool.maxAnswer {
			return buffer, ErrTooLarge
		}
		// One byte more than declared, so that the end is read without growing the buffer.
		size = length + 1
	}
	for {
		if len(buffer.Body) == cap(buffer.Body) {
			if err := buffer.grow(ctx, min(size, pool.maxAnswer+1-int64(cap(buffer.Body)))); err != nil {
				return buffer, err
			}
			size = int64(cap(buffer.Body))
		}
		count, err := body.Read(buffer.Body[len(buffer.Body):cap(buffer.Body)])
		buffer.Body = buffer.Body[:len(buffer.Body)+count]
		switch {
		case int64(len(buffer.Body)) > pool.maxAnswer:
			return buffer, ErrTooLarge
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return buffer, err
		}
	}
}

// grow enlarges the buffer, after the memory for it has become free.
func (buffer *Buffer) grow(ctx context.Context, more int64) error {
	if more <= 0 {
		return ErrTooLarge
	}
	if err := buffer.reserve(ctx, more); err != nil {
		return err
	}
	larger := make([]byte, len(buffer.Body), buffer.reserved)
	copy(larger, buffer.Body)
	buffer.Body = larger
	return nil
}

// reserve waits until the memory is free.
func (buffer *Buffer) reserve(ctx context.Context, more int64) error {
	shared := buffer.pool.shared
	switch {
	case buffer.isSingle, buffer.reserved > 0 && shared.TryAcquire(more):
	case buffer.reserved == 0 && more <= buffer.pool.sharedSize:
		if err := shared.Acquire(ctx, more); err != nil {
			return err
		}
	default:
		if err := buffer.pool.single.Acquire(ctx, 1); err != nil {
			return err
		}
		shared.Release(buffer.reserved)
		buffer.isSingle = true
	}
	buffer.reserved += more
	return nil
}

// Release frees the memory. It does nothing for nil, which is no answer.
func (buffer *Buffer) Release() {
	if buffer == nil {
		return
	}
	buffer.Body = nil
	if buffer.isSingle {
		buffer.pool.single.Release(1)
		return
	}
	buffer.pool.shared.Release(buffer.reserved)
}
