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

// sender holds the request's headers that identify its sender and priority.
type sender struct {
	id          string
	priority    int
	instance    peridotpath.InstanceID
	incarnation peridotpath.Incarnation
}

// stream is a prompt with its answer, from admission until its memory is freed. It is
// guarded by the engine's mutex.
type stream struct {
	engine      *Engine
	id          string
	sender      sender
	prompt      *prompt
	seed        uint64
	blockHashes []uint64
	// pinnedBlocks is the number of blockHashes that the stream pins in the cache;
	// privateKV is the KV memory that the stream does not share.
	pinnedBlocks      int
	privateKV         peridotpath.Tokens
	prefillTokensLeft float64
	producedTokens    float64
	finished          bool
	cancelled         bool
	notResumable      bool
	// readers counts the attached readers; detachedAt is the time at which the last one left.
	readers    int
	detachedAt time.Time
	// fullyReadAt is the time at which a reader received the whole answer.
	fullyReadAt time.Time
	// changed is closed when there is more to read or the stream ends.
	changed chan struct{}
}

func (stream *stream) isDecoding() bool {
	return stream.prefillTokensLeft <= 0 && !stream.finished
}

// produce adds tokens to the answer.
func (stream *stream) produce(tokens float64) {
	before := int(stream.producedTokens)
	stream.producedTokens = min(stream.producedTokens+tokens, float64(stream.prompt.outputTokens))
	if stream.producedTokens >= float64(stream.prompt.outputTokens) {
		stream.finished = true
		stream.engine.updateCounts(stream.sender.id, func(count *count) { count.Finished++ })
	}
	if int(stream.producedTokens) > before {
		stream.notifyReaders()
	}
}

func (stream *stream) notifyReaders() {
	close(stream.changed)
	stream.changed = make(chan struct{})
}

// freeUnneeded cancels the stream once it has had no reader for DetachedRetention, and frees
// the memory of a finished stream once a reader has received the whole answer.
func (stream *stream) freeUnneeded(now time.Time) {
	hold := stream.engine.DetachedRetention
	if hold > 0 && stream.readers == 0 && now.Sub(stream.detachedAt) >= hold {
		stream.cancel()
	}
	if stream.finished && !stream.fullyReadAt.IsZero() {
		stream.free()
	}
}

// shareBlocks moves the blocks of a prompt whose prefill is complete to the cache, where
// other prompts can use them.
func (stream *stream) shareBlocks(now time.Time) {
	engine, private := stream.engine, stream.blockHashes[stream.pinnedBlocks:]
	moved := peridotpath.Tokens(len(private) * blockTokens)
	stream.privateKV -= moved
	engine.privateKV -= moved
	engine.cache.add(private, now)
	engine.cache.pin(private)
	stream.pinnedBlocks = len(stream.blockHashes)
}

// free releases the stream's memory; its prompt's blocks stay cached until evicted.
func (stream *stream) free() {
	engine := stream.engine
	index := slices.Index(engine.activeStreams, stream)
	if index < 0 {
		return
	}
	engine.activeStreams = slices.Delete(engine.activeStreams, index, index+1)
	engine.privateKV -= stream.privateKV
	engine.cache.unpin(stream.blockHashes[:stream.pinnedBlocks])
	stream.privateKV, stream.pinnedBlocks = 0, 0
}

// cancel ends and removes the stream; it cannot be read afterwards.
func (stream *stream) cancel() {
	if !stream.finished && !stream.cancelled {
		stream.engine.updateCounts(stream.sender.id, func(count *count) { count.Cancelled++ })
	}
	stream.cancelled = true
	stream.free()
	delete(stream.engine.streams, stream.id)
	stream.notifyReaders()
}

// available returns the number of events that can be read, whether no more will follow, and
// a channel that is closed when either changes.
func (stream *stream) available() (int64, bool, <-chan struct{}) {
	engine := stream.engine
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if stream.cancelled {
		return 0, true, stream.changed
	}
	if stream.finished {
		return stream.eventCount(), true, stream.changed
	}
	if stream.producedTokens < 1 {
		return 0, false, stream.changed
	}
	return stream.roleEventCount() + int64(stream.producedTokens), false, stream.changed
}

// markRead records that a reader has received the whole answer, and frees the memory.
func (stream *stream) markRead() {
	stream.engine.mu.Lock()
	defer stream.engine.mu.Unlock()
	now := time.Now()
	if stream.fullyReadAt.IsZero() {
		stream.engine.fullyReadStreams = append(stream.engine.fullyReadStreams, stream)
	}
	stream.fullyReadAt = now
	stream.free()
}

// detachReader removes a reader.
func (stream *stream) detachReader() {
	stream.engine.mu.Lock()
	defer stream.engine.mu.Unlock()
	stream.readers--
	if stream.readers == 0 {
		stream.detachedAt = time.Now()
	}
}

// attachReader returns the stream with a reader added, or nil if it cannot be resumed.
func (engine *Engine) attachReader(id string) *stream {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	stream := engine.streams[id]
	if stream == nil || stream.notResumable {
		return nil
	}
	stream.readers++
	return stream
}

// cancelStream cancels a stream by its id and reports whether it existed. With onlyDetached
// it does not cancel a stream that has a reader.
func (engine *Engine) cancelStream(id string, onlyDetached bool) bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	stream := engine.streams[id]
	if stream == nil {
		return false
	}
	if !onlyDetached || stream.readers == 0 {
		stream.cancel()
	}
	return true
}

// streamInfos returns the streams that hold memory.
func (engine *Engine) streamInfos() []wire.StreamInfo {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	now := time.Now()
	infos := []wire.StreamInfo{}
	for _, stream := range engine.activeStreams {
		info := wire.StreamInfo{
			ID: stream.id, RequestID: peridotpath.RequestID(stream.sender.id), Instance: stream.sender.instance,
			Incarnation: stream.sender.incarnation, KVTokens: stream.privateKV + peridotpath.Tokens(stream.pinnedBlocks*blockTokens),
		}
		if stream.readers == 0 {
			info.DetachedMS = peridotpath.Millis(max(now.Sub(stream.detachedAt).Milliseconds(), 1))
		}
		infos = append(infos, info)
	}
	return infos
}

// formatEvent replaces the content of buffer by the event at offset, in the server-sent events
// format, and returns the buffer.
func (stream *stream) formatEvent(buffer []byte, offset int64) []byte {
	buffer = append(buffer[:0], "id: "...)
	buffer = strconv.AppendInt(buffer, offset, 10)
	buffer = append(buffer, "\ndata: "...)
	buffer = append(buffer, stream.event(offset)...)
	return append(buffer, "\n\n"...)
}

// removeExpired removes streams that were read to their end at least finishedRetention ago.
func (engine *Engine) removeExpired(now time.Time) {
	for len(engine.fullyReadStreams) > 0 && now.Sub(engine.fullyReadStreams[0].fullyReadAt) >= finishedRetention {
		delete(engine.streams, engine.fullyReadStreams[0].id)
		engine.fullyReadStreams = engine.fullyReadStreams[1:]
	}
}
