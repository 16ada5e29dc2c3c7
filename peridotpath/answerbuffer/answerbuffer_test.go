package answerbuffer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/internal/virtual"
)

const (
	// smallestMemory is the answers' share of an instance with 184 MB.
	smallestMemory = 27 << 20
	maxAnswerBytes = 8 << 20
)

// Many callers read large answers slowly. The answers held for them must not exceed the bound, none
// may be cut, and answers that hold a part must not wait for one another forever.
func TestSlowReadersStayWithinAnswerMemory(t *testing.T) {
	for _, declared := range []bool{false, true} {
		t.Run("declared "+strconv.FormatBool(declared), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				memory := NewPool(smallestMemory, maxAnswerBytes)
				var mutex sync.Mutex
				held, most, delivered := 0, 0, 0
				add := func(bytes int) {
					mutex.Lock()
					defer mutex.Unlock()
					held += bytes
					most = max(most, held)
				}
				var all sync.WaitGroup
				for range 40 {
					all.Go(func() {
						header := http.Header{}
						if declared {
							header.Set("Content-Length", strconv.Itoa(maxAnswerBytes))
						}
						answer, err := memory.Read(t.Context(), header, &trickle{left: maxAnswerBytes})
						is.NoErr(err)
						is.Equal(len(answer.Body), maxAnswerBytes)
						size := cap(answer.Body)
						add(size)
						// The caller reads at 4 MB a second.
						time.Sleep(2 * time.Second)
						add(-size)
						answer.Release()
						mutex.Lock()
						delivered++
						mutex.Unlock()
					})
				}
				all.Wait()
				is.Equal(delivered, 40)
				t.Logf("%d bytes held at most", most)
				is.True(most <= smallestMemory+answerPiece)
			})
		})
	}
}

// trickle is a body that arrives in pieces.
type trickle struct{ left int }

func (trickle *trickle) Read(into []byte) (int, error) {
	if trickle.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Millisecond)
	count := min(len(into), trickle.left, 256<<10)
	trickle.left -= count
	return count, nil
}

// A caller disconnects while its answer waits for memory. The wait must end, and the memory must be
// free for others.
func TestAnswerThatWaitsForMemoryEndsWithItsCaller(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := NewPool(maxAnswerBytes+answerPiece, maxAnswerBytes)
		first, err := memory.Read(t.Context(), http.Header{}, &trickle{left: maxAnswerBytes})
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		second, err := memory.Read(ctx, http.Header{}, &trickle{left: maxAnswerBytes})
		is.True(errors.Is(err, context.DeadlineExceeded))
		second.Release()
		first.Release()
		third, err := memory.Read(t.Context(), http.Header{}, bytes.NewReader(make([]byte, maxAnswerBytes)))
		is.NoErr(err)
		third.Release()
	})
}

// An endpoint sends more than an answer may have. It must be refused, not held.
func TestAnswerBeyondTheLimitIsRefused(t *testing.T) {
	for _, header := range []http.Header{{}, {"Content-Length": {strconv.Itoa(maxAnswerBytes + 1)}}} {
		is := is.New(t)
		held, err := NewPool(smallestMemory, maxAnswerBytes).Read(t.Context(), header, bytes.NewReader(make([]byte, maxAnswerBytes+1)))
		is.True(errors.Is(err, ErrTooLarge))
		held.Release()
	}
}
