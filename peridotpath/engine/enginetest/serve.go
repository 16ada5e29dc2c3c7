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

// Handler returns the engine's HTTP form.
func (engine *Engine) Handler() http.Handler {
	engine.open()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathCompletions, engine.complete)
	mux.HandleFunc("POST "+wire.PathChatCompletions, engine.complete)
	mux.HandleFunc("GET "+wire.PathStreams, func(writer http.ResponseWriter, _ *http.Request) { reply(writer, engine.list()) })
	mux.HandleFunc("GET "+wire.PathStreams+"/{id}", engine.resume)
	mux.HandleFunc("DELETE "+wire.PathStreams+"/{id}", engine.cancel)
	mux.HandleFunc("GET "+wire.PathLoad, func(writer http.ResponseWriter, _ *http.Request) { reply(writer, engine.Load()) })
	mux.HandleFunc("GET "+wire.PathCounts, func(writer http.ResponseWriter, _ *http.Request) { reply(writer, engine.Counts()) })
	mux.HandleFunc("GET "+wire.PathCacheEvents, engine.cacheEvents)
	mux.HandleFunc("GET "+wire.PathOrders, engine.showOrders)
	mux.HandleFunc("POST "+wire.PathOrders, engine.takeOrder)
	mux.HandleFunc("GET "+wire.PathKV, engine.exportKV)
	mux.HandleFunc("POST "+wire.PathKV, engine.importKV)
	mux.Handle(faults.Path, &engine.Faults)
	return mux
}

func reply(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

func refuse(writer http.ResponseWriter, status int, reason string) {
	writer.Header().Set(wire.HeaderNotRun, "true")
	http.Error(writer, reason, status)
}

func senderOf(request *http.Request) *sender {
	priority, _ := strconv.Atoi(request.Header.Get(wire.HeaderPriority))
	incarnation, _ := strconv.ParseUint(request.Header.Get(wire.HeaderIncarnation), 10, 64)
	return &sender{
		id: request.Header.Get(wire.HeaderRequestID), priority: priority,
		instance: peridotpath.InstanceID(request.Header.Get(wire.HeaderInstance)), incarnation: peridotpath.Incarnation(incarnation),
	}
}

func (engine *Engine) complete(writer http.ResponseWriter, request *http.Request) {
	sender := senderOf(request)
	switch kind := engine.Faults.TakeFirst(faults.Refuse, faults.Drain, faults.Fail); kind {
	case faults.Drain:
		engine.noteRefused(sender)
		writer.Header().Set(wire.HeaderNotRun, wire.NotRunLeaving)
		http.Error(writer, "leaving", http.StatusServiceUnavailable)
		return
	case faults.Refuse:
		engine.noteRefused(sender)
		refuse(writer, http.StatusServiceUnavailable, string(kind))
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
	stream, err := engine.admit(sender, prompt, Seed(body))
	switch {
	case errBusy.Has(err):
		refuse(writer, http.StatusTooManyRequests, err.Error())
	case err != nil:
		refuse(writer, http.StatusServiceUnavailable, err.Error())
	default:
		defer stream.detach()
		stream.answer(writer, request)
	}
}

func (engine *Engine) noteRefused(sender *sender) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.count(sender.id, func(count *count) { count.Refused++ })
}

// answer gives the answer in the form that was asked for, or in the form of a fault.
func (stream *stream) answer(writer http.ResponseWriter, request *http.Request) {
	kind := stream.engine.Faults.TakeFirst(faults.Hang, faults.CloseUnanswered, faults.Empty, faults.Garbage, faults.CutUnresumable, faults.CutResumable)
	writer.Header().Set(wire.HeaderStreamID, stream.id)
	switch kind {
	case faults.Hang:
		<-request.Context().Done()
		stream.engine.drop(stream.id, false)
	case faults.CloseUnanswered:
		stream.lose()
		panic(http.ErrAbortHandler)
	case faults.Garbage:
		stream.lose()
		_, _ = writer.Write([]byte("<html>502</html>\n\n"))
	case faults.Empty:
		stream.lose()
		stream.answerEmpty(writer)
	default:
		if !stream.prompt.stream {
			stream.answerWhole(writer, request, kind)
			return
		}
		stream.send(writer, request, 0, kind)
	}
}

// lose ends a stream that a fault took away.
func (stream *stream) lose() { stream.engine.drop(stream.id, false) }

func (stream *stream) answerEmpty(writer http.ResponseWriter) {
	if stream.prompt.stream {
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = writer.Write([]byte("id: 0\ndata: " + wire.Done + "\n\n"))
		return
	}
	reply(writer, completion{ID: stream.id, Object: "text_completion", Choices: []choice{}})
}

// answerWhole waits for the whole answer. When its reader leaves the work is
// cancelled, since nobody can come back for it.
func (stream *stream) answerWhole(writer http.ResponseWriter, request *http.Request, kind faults.Kind) {
	for {
		_, over, changed := stream.ready()
		if over {
			break
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			stream.engine.drop(stream.id, false)
			return
		}
	}
	if stream.wasCancelled() {
		http.Error(writer, "cancelled", http.StatusInternalServerError)
		return
	}
	body := stream.whole()
	stream.read()
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

// send writes the events from an offset on, as they come.
func (stream *stream) send(writer http.ResponseWriter, request *http.Request, next int64, kind faults.Kind) {
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(wire.HeaderStreamID, stream.id)
	controller := http.NewResponseController(writer)
	_ = controller.Flush()
	var buffer []byte
	for {
		ready, over, changed := stream.ready()
		for ; next < ready; next++ {
			if (kind == faults.CutUnresumable || kind == faults.CutResumable) && next >= stream.events()/2 {
				if kind == faults.CutUnresumable {
					stream.lose()
				}
				_ = controller.Flush()
				panic(http.ErrAbortHandler)
			}
			buffer = stream.eventText(buffer, next)
			if _, err := writer.Write(buffer); err != nil {
				return
			}
		}
		if err := controller.Flush(); err != nil {
			return
		}
		if over {
			stream.close()
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		}
	}
}

// close ends a reader's part. A stream that was cancelled under it breaks off
// without an end mark.
func (stream *stream) close() {
	if stream.wasCancelled() {
		panic(http.ErrAbortHandler)
	}
	stream.read()
}

func (engine *Engine) resume(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
	if err != nil || after < -1 {
		http.Error(writer, "after is not an offset", http.StatusBadRequest)
		return
	}
	stream := engine.attach(request.PathValue("id"))
	if stream == nil {
		http.Error(writer, "no such stream", http.StatusNotFound)
		return
	}
	defer stream.detach()
	stream.send(writer, request, after+1, "")
}

func (engine *Engine) cancel(writer http.ResponseWriter, request *http.Request) {
	if !engine.drop(request.PathValue("id"), request.URL.Query().Get("only_detached") == "true") {
		http.Error(writer, "no such stream", http.StatusNotFound)
	}
}

func (engine *Engine) cacheEvents(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	engine.mu.Lock()
	reading := engine.cache.after(after, time.Now().Add(-engine.CacheEventLag))
	engine.mu.Unlock()
	reply(writer, reading)
}

func (engine *Engine) showOrders(writer http.ResponseWriter, _ *http.Request) {
	reply(writer, engine.orders.current(time.Now()))
}

func (engine *Engine) takeOrder(writer http.ResponseWriter, request *http.Request) {
	var order wire.Order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil || !knownRole(order.Role) {
		http.Error(writer, "not an order", http.StatusBadRequest)
		return
	}
	if !engine.orders.follow(order, engine.ChecksFencing, engine.WeightLoad, time.Now()) {
		http.Error(writer, "old fencing number", http.StatusConflict)
		return
	}
	engine.shed()
	engine.showOrders(writer, request)
}

func knownRole(role wire.Role) bool {
	first, _ := role.Split()
	return slices.Contains([]wire.Role{wire.RoleServe, wire.RoleDrain, wire.RoleMember, wire.RoleLead, wire.RoleClose}, first)
}

// exportKV gives the blocks of a stream's prompt.
func (engine *Engine) exportKV(writer http.ResponseWriter, request *http.Request) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	found := engine.streams[request.URL.Query().Get("stream")]
	if found == nil || found.prefillLeft > 0 {
		http.Error(writer, "no such stream, or its prompt is not processed yet", http.StatusNotFound)
		return
	}
	reply(writer, wire.KV{Prefixes: found.sums, Tokens: peridotpath.Tokens(len(found.sums) * blockTokens)})
}

// importKV puts a prefix into the cache, as far as there is room.
func (engine *Engine) importKV(writer http.ResponseWriter, request *http.Request) {
	var kv wire.KV
	if err := json.NewDecoder(request.Body).Decode(&kv); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	now, room := time.Now(), engine.capacity()-engine.used
	engine.cache.add(kv.Prefixes[:min(len(kv.Prefixes), int(room/blockTokens))], now)
	engine.cache.shrink(room, now)
	reply(writer, wire.KV{Tokens: peridotpath.Tokens(engine.cache.match(kv.Prefixes) * blockTokens)})
}
