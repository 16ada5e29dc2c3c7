package enginetest

import (
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	wire "peridotpath.example/peridotpath/engine"
)

var (
	errNoMemory = errs.Class("no memory")
	errBusy     = errs.Class("busy")
	errClosed   = errs.Class("closed to work")
)

// sender is what the headers say of a request.
type sender struct {
	id          string
	priority    int
	instance    peridotpath.InstanceID
	incarnation peridotpath.Incarnation
}

// stream is one prompt from its admission until its memory is free. The
// engine's lock covers it.
type stream struct {
	engine *Engine
	id     string
	sender sender
	prompt *prompt
	seed   uint64
	sums   []uint64
	// pins is how many of the blocks in sums it shares with others, and held the
	// KV memory that it has for itself.
	pins        int
	held        peridotpath.Tokens
	prefillLeft float64
	produced    float64
	finished    bool
	cancelled   bool
	// lost says that the engine forgot the stream: it can't be resumed.
	lost bool
	// attached counts readers; detachedAt is when the last one left.
	attached   int
	detachedAt time.Time
	// readAt is when a reader had the whole answer.
	readAt time.Time
	// changed is closed when there is more to read.
	changed chan struct{}
}

func (stream *stream) decoding() bool {
	return stream.prefillLeft <= 0 && !stream.finished
}

// produce adds tokens to the answer.
func (stream *stream) produce(tokens float64) {
	before := int(stream.produced)
	stream.produced = min(stream.produced+tokens, float64(stream.prompt.output))
	if stream.produced >= float64(stream.prompt.output) {
		stream.finished = true
		stream.engine.count(stream.sender.id, func(count *count) { count.Finished++ })
	}
	if int(stream.produced) > before {
		stream.wake()
	}
}

func (stream *stream) wake() {
	close(stream.changed)
	stream.changed = make(chan struct{})
}

// settle frees what is no longer needed. A finished stream keeps its memory
// until its reader has the whole answer.
func (stream *stream) settle(now time.Time) {
	hold := stream.engine.DetachedHold
	if hold > 0 && stream.attached == 0 && now.Sub(stream.detachedAt) >= hold {
		stream.cancel()
	}
	if stream.finished && !stream.readAt.IsZero() {
		stream.free()
	}
}

// share puts the blocks of a prompt that is now processed into the cache, where
// other prompts find them.
func (stream *stream) share(now time.Time) {
	engine, private := stream.engine, stream.sums[stream.pins:]
	moved := peridotpath.Tokens(len(private) * blockTokens)
	stream.held -= moved
	engine.used -= moved
	engine.cache.add(private, now)
	engine.cache.pin(private)
	stream.pins = len(stream.sums)
}

// free gives the memory back; the prompt's blocks stay until others need it.
func (stream *stream) free() {
	engine := stream.engine
	at := slices.Index(engine.order, stream)
	if at < 0 {
		return
	}
	engine.order = slices.Delete(engine.order, at, at+1)
	engine.used -= stream.held
	engine.cache.unpin(stream.sums[:stream.pins])
	stream.held, stream.pins = 0, 0
}

// cancel ends the stream; nothing of it can be read afterwards.
func (stream *stream) cancel() {
	if !stream.finished && !stream.cancelled {
		stream.engine.count(stream.sender.id, func(count *count) { count.Cancelled++ })
	}
	stream.cancelled = true
	stream.free()
	delete(stream.engine.streams, stream.id)
	stream.wake()
}

// ready returns how many events can be read, whether no more will come, and a
// channel that is closed when that changes.
func (stream *stream) ready() (int64, bool, <-chan struct{}) {
	engine := stream.engine
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if stream.cancelled {
		return 0, true, stream.changed
	}
	if stream.finished {
		return stream.events(), true, stream.changed
	}
	if stream.produced < 1 {
		return 0, false, stream.changed
	}
	return stream.opening() + int64(stream.produced), false, stream.changed
}

// read notes that a reader has the whole answer, which frees the memory.
func (stream *stream) read() {
	stream.engine.mu.Lock()
	defer stream.engine.mu.Unlock()
	now := time.Now()
	if stream.readAt.IsZero() {
		stream.engine.done = append(stream.engine.done, stream)
	}
	stream.readAt = now
	stream.free()
}

// detach notes that a reader left.
func (stream *stream) detach() {
	stream.engine.mu.Lock()
	defer stream.engine.mu.Unlock()
	stream.attached--
	if stream.attached == 0 {
		stream.detachedAt = time.Now()
	}
}

// attach finds a stream that is to be resumed, and adds a reader.
func (engine *Engine) attach(id string) *stream {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	stream := engine.streams[id]
	if stream == nil || stream.lost {
		return nil
	}
	stream.attached++
	return stream
}

// drop cancels a stream by its id and reports whether it was there. With
// onlyDetached a stream that has a reader is left alone.
func (engine *Engine) drop(id string, onlyDetached bool) bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	stream := engine.streams[id]
	if stream == nil {
		return false
	}
	if !onlyDetached || stream.attached == 0 {
		stream.cancel()
	}
	return true
}

// list returns the streams that hold memory.
func (engine *Engine) list() []wire.StreamInfo {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	now := time.Now()
	infos := []wire.StreamInfo{}
	for _, stream := range engine.order {
		info := wire.StreamInfo{
			ID: stream.id, RequestID: peridotpath.RequestID(stream.sender.id), Instance: stream.sender.instance,
			Incarnation: stream.sender.incarnation, KVTokens: stream.held + peridotpath.Tokens(stream.pins*blockTokens),
		}
		if stream.attached == 0 {
			info.DetachedMS = peridotpath.Millis(max(now.Sub(stream.detachedAt).Milliseconds(), 1))
		}
		infos = append(infos, info)
	}
	return infos
}

// eventText returns an event in the form of server-sent events.
func (stream *stream) eventText(buffer []byte, offset int64) []byte {
	buffer = append(buffer[:0], "id: "...)
	buffer = strconv.AppendInt(buffer, offset, 10)
	buffer = append(buffer, "\ndata: "...)
	buffer = append(buffer, stream.event(offset)...)
	return append(buffer, "\n\n"...)
}

// forget drops streams whose reader had the whole answer long ago.
func (engine *Engine) forget(now time.Time) {
	for len(engine.done) > 0 && now.Sub(engine.done[0].readAt) >= finishedHold {
		delete(engine.streams, engine.done[0].id)
		engine.done = engine.done[1:]
	}
}
