package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a sound replica after PROTOCOL.md, of a plain service or of a model.
type replica struct {
	w                          *world
	id, service, zone, address string
	capacity                   int
	model                      *model
	born                       int64
	// answer, when set, writes the answer of a plain request in place of the usual one.
	answer func(w http.ResponseWriter, r *http.Request, body []byte) bool
	// order, when set, is called with each order; where it returns true the order gets no answer.
	order func(q order, apply func() int) bool

	mutex    sync.Mutex
	arrivals []arrival
	// busyUntil is when the model has read all prompts that it has.
	busyUntil time.Time
	tickets   map[string]*ticket
}

type order struct {
	Operation  string `json:"operation"`
	ID         string `json:"id"`
	TokenCount int64  `json:"token_count"`
	HoldMS     int64  `json:"hold_ms"`
	Blocking   bool   `json:"blocking"`
}

type ticket struct {
	tokens int64
	end    time.Time
	timer  *time.Timer
}

// arrival is one request as the replica got it.
type arrival struct {
	at                       time.Time
	id, method, target, host string
	header                   http.Header
	body                     string
	ranAt, endedAt           time.Time
}

// model holds the published figures of a model replica.
type model struct {
	capacity            int
	kv                  int64
	stepsPerPass        int
	stepMS              float64
	readPerS, pairsPerM float64
	chunk               int
}

// runtime returns the figures as the configuration publishes them.
func (m *model) runtime() map[string]any {
	return map[string]any{
		"capacity": m.capacity, "kv_capacity": m.kv, "steps_per_pass": m.stepsPerPass, "step_ms": m.stepMS, "per_seq_ms": 0.00483,
		"context_per_k": 0.00254, "read_per_s": m.readPerS, "pairs_per_m": m.pairsPerM, "chunk": m.chunk, "hop_ms": 0.1,
		"usual": map[string]any{"prompt": 20000, "answer": 1000}, "report_lag_ms": 200,
	}
}

// readTime returns how long one replica reads a prompt.
func (m *model) readTime(tokens int64) time.Duration {
	t := float64(tokens)
	ms := t/m.readPerS*1000 + t*t/2/1e6*m.pairsPerM
	return time.Duration(ms * float64(time.Millisecond))
}

func (w *world) startReplica(service, id, zone string, capacity int, m *model) *replica {
	r := &replica{w: w, id: id, service: service, zone: zone, capacity: capacity, model: m, born: time.Now().UnixMilli(), tickets: map[string]*ticket{}}
	r.address = w.serve(w.address(100+len(w.replicas)), r)
	w.replicas = append(w.replicas, r)
	r.register("ready", 0)
	go func() {
		for beat := 1; ; beat++ {
			time.Sleep(heartbeat)
			r.register("ready", beat)
		}
	}()
	return r
}

// heartbeat is the time between two writes of a replica's entry.
const heartbeat = 1200 * time.Millisecond

// register writes the replica's entry in the store.
func (r *replica) register(state string, beat int) {
	r.w.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "capacity": r.capacity, "state": state,
		"cold_left_ms": 0, "seq_no": beat, "born": r.born,
	})
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	expected := q.Header.Get("X-Peridotpath-Expected-Replica")
	if expected != "" && expected != r.id {
		w.Header().Set("At-Server", r.id)
		w.WriteHeader(421)
		return
	}
	switch {
	case q.URL.Path == "/api/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"phase":"colocated","models":[{"name":"m","version":1,"loras":[]}],"busy":false,"seq_no":0,"queued":0,"active":0,"kv_in_use":0,"kv_size":450000,"sessions":0,"pace":1,"born":%d}`, r.born)
	case q.URL.Path == "/api/order":
		r.serveOrder(w, q)
	case q.Header.Get("X-Peridotpath-Attempt-Id") == "":
		w.Header().Set("X-Peridotpath-Replica-Id", r.id)
		w.WriteHeader(200)
	default:
		r.serveRequest(w, q)
	}
}

func (r *replica) serveRequest(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("X-Peridotpath-Attempt-Id")
	r.mutex.Lock()
	number := len(r.arrivals)
	r.arrivals = append(r.arrivals, arrival{
		at: time.Now(), id: id, method: q.Method, target: q.RequestURI, host: q.Host, header: q.Header.Clone(), body: string(body), ranAt: time.Now(),
	})
	r.mutex.Unlock()
	r.w.note("replica %s runs %s: %s %s", r.id, id, q.Method, q.RequestURI)
	defer func() {
		r.mutex.Lock()
		r.arrivals[number].endedAt = time.Now()
		r.mutex.Unlock()
		r.w.note("replica %s: its run of %s ends", r.id, id)
	}()
	w.Header().Set("X-Peridotpath-Attempt-Id", id)
	w.Header().Set("X-Peridotpath-Replica-Signature", "sig-"+r.id+"-"+id)
	if r.model != nil {
		r.serveStream(w, q)
		return
	}
	if r.answer != nil && r.answer(w, q, body) {
		return
	}
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "answer to %s", id)
}

// read books the reading of one part and returns when it is done.
func (r *replica) read(span time.Duration) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now := time.Now(); r.busyUntil.Before(now) {
		r.busyUntil = now
	}
	r.busyUntil = r.busyUntil.Add(span)
	return r.busyUntil
}

func (r *replica) serveStream(w http.ResponseWriter, q *http.Request) {
	prompt, answer, _ := strings.Cut(q.Header.Get("X-Peridotpath-Token-Usage"), ",")
	tokens, _ := strconv.ParseInt(prompt, 10, 64)
	answers, _ := strconv.ParseInt(answer, 10, 64)
	readers, needs := []*replica{r}, []string{}
	for _, entry := range strings.Split(q.Header.Get("X-Peridotpath-Helper-Replicas"), ",") {
		address, ticketID, _ := strings.Cut(strings.TrimSpace(entry), "/")
		for _, other := range r.w.replicas {
			if address != "" && other.address == address {
				readers = append(readers, other)
				if ticketID != "" && !other.holds(ticketID) {
					needs = append(needs, address)
				}
			}
		}
	}
	if len(needs) > 0 {
		w.Header().Set("X-Peridotpath-Not-Executed", "1")
		w.Header().Set("At-Server", needs[0])
		w.WriteHeader(503)
		return
	}
	part := r.model.readTime(tokens) / time.Duration(len(readers))
	var done time.Time
	for _, reader := range readers {
		if end := reader.read(part); end.After(done) {
			done = end
		}
	}
	select {
	case <-time.After(time.Until(done)):
	case <-q.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.ParseInt(q.Header.Get("Last-Event-Id"), 10, 64)
	step := time.Duration(r.model.stepMS * float64(r.model.stepsPerPass) * float64(time.Millisecond))
	events := max(answers/46, 1)
	for event := last + 1; event <= events; event++ {
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", event, event)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(step):
		case <-q.Context().Done():
			return
		}
	}
}

// hijack takes the connection of a request, so that a faulty answer can be written byte for byte.
func hijack(w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	return conn
}

func (r *replica) ran(id string) []arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var found []arrival
	for _, a := range r.arrivals {
		if a.id == id {
			found = append(found, a)
		}
	}
	return found
}

func (w *world) ran(id string) []arrival {
	var found []arrival
	for _, r := range w.replicas {
		found = append(found, r.ran(id)...)
	}
	return found
}
