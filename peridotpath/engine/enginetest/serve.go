package enginetest

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"peridotpath.example/peridotpath"
	wire "peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/faults"
)

// Handler returns the handler of the engine's HTTP API.
func (engine *Engine) Handler() http.Handler {
	engine.initialise()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathCompletions, engine.serveCompletion)
	mux.HandleFunc("POST "+wire.PathChatCompletions, engine.serveCompletion)
	mux.HandleFunc("GET "+wire.PathStreams, func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, engine.streamInfos()) })
	mux.HandleFunc("GET "+wire.PathStreams+"/{id}", engine.serveResume)
	mux.HandleFunc("DELETE "+wire.PathStreams+"/{id}", engine.serveCancel)
	mux.HandleFunc("GET "+wire.PathLoad, func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, engine.Load()) })
	mux.HandleFunc("GET "+wire.PathCounts, func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, engine.Counts()) })
	mux.HandleFunc("GET "+wire.PathCacheEvents, engine.serveCacheEvents)
	mux.HandleFunc("GET "+wire.PathOrders, engine.serveOrderState)
	mux.HandleFunc("POST "+wire.PathOrders, engine.serveOrder)
	mux.HandleFunc("GET "+wire.PathKV, engine.serveExportKV)
	mux.HandleFunc("POST "+wire.PathKV, engine.serveImportKV)
	mux.Handle(faults.Path, &engine.Faults)
	return mux
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

func writeRefusal(writer http.ResponseWriter, status int, reason string) {
	writer.Header().Set(wire.HeaderNotRun, "true")
	http.Error(writer, reason, status)
}

func parseSender(request *http.Request) *sender {
	priority, _ := strconv.Atoi(request.Header.Get(wire.HeaderPriority))
	incarnation, _ := strconv.ParseUint(request.Header.Get(wire.HeaderIncarnation), 10, 64)
	return &sender{
		id: request.Header.Get(wire.HeaderRequestID), priority: priority,
		instance: peridotpath.InstanceID(request.Header.Get(wire.HeaderInstance)), incarnation: peridotpath.Incarnation(incarnation),
	}
}

func (engine *Engine) serveCompletion(writer http.ResponseWriter, request *http.Request) {
	sender := parseSender(request)
	switch kind := engine.Faults.TakeFirst(faults.Refuse, faults.Drain, faults.Fail); kind {
	case faults.Drain:
		engine.countRefusal(sender)
		writer.Header().Set(wire.HeaderNotRun, wire.NotRunLeaving)
		http.Error(writer, "leaving", http.StatusServiceUnavailable)
		return
	case faults.Refuse:
		engine.countRefusal(sender)
		writeRefusal(writer, http.StatusServiceUnavailable, string(kind))
		return
	case faults.Fail:
		http.Error(writer, "failed", http.StatusInternalServerError)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	prompt, err := parsePrompt(request.URL.Path, body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	stream, err := engine.admit(sender, prompt, AnswerSeed(body))
	switch {
	case errBusy.Has(err):
		writeRefusal(writer, http.StatusTooManyRequests, err.Error())
	case err != nil:
		writeRefusal(writer, http.StatusServiceUnavailable, err.Error())
	default:
		defer stream.detachReader()
		stream.writeAnswer(writer, request)
	}
}

func (engine *Engine) countRefusal(sender *sender) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.updateCounts(sender.id, func(count *count) { count.Refused++ })
}

// writeAnswer sends the answer, streamed or whole as requested, or an injected fault.
func (stream *stream) writeAnswer(writer http.ResponseWriter, request *http.Request) {
	kind := stream.engine.Faults.TakeFirst(faults.Hang, faults.CloseUnanswered, faults.Empty, faults.Garbage, faults.CutUnresumable, faults.CutResumable)
	writer.Header().Set(wire.HeaderStreamID, stream.id)
	switch kind {
	case faults.Hang:
		<-request.Context().Done()
		stream.engine.cancelStream(stream.id, false)
	case faults.CloseUnanswered:
		stream.cancelByFault()
		panic(http.ErrAbortHandler)
	case faults.Garbage:
		stream.cancelByFault()
		_, _ = writer.Write([]byte("<html>502</html>\n\n"))
	case faults.Empty:
		stream.cancelByFault()
		stream.writeEmpty(writer)
	default:
		if !stream.prompt.stream {
			stream.writeWhole(writer, request, kind)
			return
		}
		stream.writeEvents(writer, request, 0, kind)
	}
}

// cancelByFault cancels a stream because of an injected fault.
func (stream *stream) cancelByFault() { stream.engine.cancelStream(stream.id, false) }

func (stream *stream) writeEmpty(writer http.ResponseWriter) {
	if stream.prompt.stream {
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = writer.Write([]byte("id: 0\ndata: " + wire.EndMarker + "\n\n"))
		return
	}
	writeJSON(writer, completion{ID: stream.id, Object: "text_completion", Choices: []choice{}})
}

// writeWhole waits for the whole answer and sends it. If the client disconnects the
// stream is cancelled, because the client has no stream id to resume it with.
func (stream *stream) writeWhole(writer http.ResponseWriter, request *http.Request, kind faults.Kind) {
	for {
		_, over, changed := stream.available()
		if over {
			break
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			stream.engine.cancelStream(stream.id, false)
			return
		}
	}
	if stream.wasCancelled() {
		http.Error(writer, "cancelled", http.StatusInternalServerError)
		return
	}
	body := stream.wholeBody()
	stream.markRead()
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if kind == faults.CutUnresumable || kind == faults.CutResumable {
		_, _ = writer.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = writer.Write(body)
}

func (stream *stream) wasCancelled() bool {
	stream.engine.mu.Lock()
	defer stream.engine.mu.Unlock()
	return stream.cancelled
}

// writeEvents writes the events from the offset next on as they are produced.
func (stream *stream) writeEvents(writer http.ResponseWriter, request *http.Request, next int64, kind faults.Kind) {
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(wire.HeaderStreamID, stream.id)
	controller := http.NewResponseController(writer)
	_ = controller.Flush()
	var buffer []byte
	for {
		ready, over, changed := stream.available()
		for ; next < ready; next++ {
			if (kind == faults.CutUnresumable || kind == faults.CutResumable) && next >= stream.eventCount()/2 {
				if kind == faults.CutUnresumable {
					stream.cancelByFault()
				}
				_ = controller.Flush()
				panic(http.ErrAbortHandler)
			}
			buffer = stream.formatEvent(buffer, next)
			if _, err := writer.Write(buffer); err != nil {
				return
			}
		}
		if err := controller.Flush(); err != nil {
			return
		}
		if over {
			stream.endResponse()
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		}
	}
}

// endResponse ends the response after the last event. If the stream was cancelled the
// connection is aborted without an end mark.
func (stream *stream) endResponse() {
	if stream.wasCancelled() {
		panic(http.ErrAbortHandler)
	}
	stream.markRead()
}

func (engine *Engine) serveResume(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
	if err != nil || after < -1 {
		http.Error(writer, "after is not an offset", http.StatusBadRequest)
		return
	}
	stream := engine.attachReader(request.PathValue("id"))
	if stream == nil {
		http.Error(writer, "no such stream", http.StatusNotFound)
		return
	}
	defer stream.detachReader()
	stream.writeEvents(writer, request, after+1, "")
}

func (engine *Engine) serveCancel(writer http.ResponseWriter, request *http.Request) {
	if !engine.cancelStream(request.PathValue("id"), request.URL.Query().Get("only_detached") == "true") {
		http.Error(writer, "no such stream", http.StatusNotFound)
	}
}

func (engine *Engine) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	engine.mu.Lock()
	events := engine.cache.eventsAfter(after, time.Now().Add(-engine.CacheEventDelay))
	engine.mu.Unlock()
	writeJSON(writer, events)
}

func (engine *Engine) serveOrderState(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, engine.orders.current(time.Now()))
}

func (engine *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order wire.Order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil || !isKnownRole(order.Role) {
		http.Error(writer, "not an order", http.StatusBadRequest)
		return
	}
	if !engine.orders.accept(order, engine.ChecksFencing, engine.WeightLoadTime, time.Now()) {
		http.Error(writer, "old fencing number", http.StatusConflict)
		return
	}
	engine.cancelIfOverCapacity()
	engine.serveOrderState(writer, request)
}

func isKnownRole(role wire.Role) bool {
	first, _ := role.Split()
	return slices.Contains([]wire.Role{wire.RoleServe, wire.RoleDrain, wire.RoleMember, wire.RoleLead, wire.RoleClose}, first)
}

// serveExportKV returns the blocks of a stream's prompt.
func (engine *Engine) serveExportKV(writer http.ResponseWriter, request *http.Request) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	found := engine.streams[request.URL.Query().Get("stream")]
	if found == nil || found.prefillTokensLeft > 0 {
		http.Error(writer, "no such stream, or its prompt is not processed yet", http.StatusNotFound)
		return
	}
	writeJSON(writer, wire.KV{Prefixes: found.blockHashes, Tokens: peridotpath.Tokens(len(found.blockHashes) * blockTokens)})
}

// serveImportKV adds a prefix to the cache, as far as there is room.
func (engine *Engine) serveImportKV(writer http.ResponseWriter, request *http.Request) {
	var kv wire.KV
	if err := json.NewDecoder(request.Body).Decode(&kv); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	now, room := time.Now(), engine.capacity()-engine.privateKV
	engine.cache.add(kv.Prefixes[:min(len(kv.Prefixes), int(room/blockTokens))], now)
	engine.cache.evictTo(room, now)
	writeJSON(writer, wire.KV{Tokens: peridotpath.Tokens(engine.cache.cachedBlocks(kv.Prefixes) * blockTokens)})
}
