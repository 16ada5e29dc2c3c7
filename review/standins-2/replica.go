package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is how often a replica writes its entry; the entry goes three of them after its end.
const heartbeat = 1200 * time.Millisecond

// Run is one request as a replica began to work on it.
type Run struct {
	At                              time.Time
	Replica, Service                string
	ID, Method, Target, Tenant, Key string
	Body                            string
}

// Replica is a stand-in for a server of a service.
type Replica struct {
	World       *World
	ID, Service string
	// Address is set by Start.
	Address  string
	Capacity int
	// Work is how long a request runs.
	Work time.Duration
	// Behave, when set, answers a request that has been checked, in place of the usual answer.
	Behave func(writer http.ResponseWriter, request *http.Request, body []byte) bool

	listener net.Listener
	server   *http.Server
	mutex    sync.Mutex
	state    string
	ended    bool
	conns    map[net.Conn]bool
	busy     int
}

// Start serves, and registers the replica.
func (replica *Replica) Start() {
	replica.StartUnlisted()
	replica.beat()
	go func() {
		for range time.Tick(heartbeat) {
			replica.mutex.Lock()
			ended := replica.ended
			replica.mutex.Unlock()
			if ended {
				return
			}
			replica.beat()
		}
	}()
}

// StartUnlisted serves without an entry in the store.
func (replica *Replica) StartUnlisted() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	replica.Address, replica.listener, replica.state = listener.Addr().String(), listener, "ready"
	replica.conns = map[net.Conn]bool{}
	replica.server = &http.Server{Handler: replica, ConnState: replica.track}
	go func() { _ = replica.server.Serve(listener) }()
}

func (replica *Replica) track(conn net.Conn, state http.ConnState) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(replica.conns, conn)
		return
	}
	replica.conns[conn] = true
}

func (replica *Replica) beat() {
	value, _ := json.Marshal(map[string]any{
		"service": replica.Service, "address": replica.Address, "zone": zone, "version": "v1", "capacity": replica.Capacity,
		"state": replica.state, "cold_left_ms": 0, "seq_no": 0, "born": replica.World.StartedAt.UnixMilli(),
	})
	replica.World.Store.Put("servers/"+replica.ID, value)
}

// Crash ends the replica without a word: its connections are reset, and its entry goes after three
// heartbeats.
func (replica *Replica) Crash() {
	replica.mutex.Lock()
	replica.ended = true
	_ = replica.listener.Close()
	for conn := range replica.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	replica.mutex.Unlock()
	replica.World.Record("replica %s of %s crashes", replica.ID, replica.Service)
	time.AfterFunc(3*heartbeat, func() {
		replica.World.Store.Remove("servers/" + replica.ID)
		replica.World.Record("entry of %s is removed from the store", replica.ID)
	})
}

// ServeHTTP serves one request.
func (replica *Replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id, header := request.Header.Get("X-Peridotpath-Attempt-Id"), writer.Header()
	header.Set("X-Peridotpath-Attempt-Id", id)
	if expected := request.Header.Get("X-Peridotpath-Expected-Replica"); expected != "" && expected != replica.ID {
		header.Set("X-Peridotpath-Replica-Id", replica.ID)
		header.Set("X-Peridotpath-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/api/report":
		reply(writer, http.StatusOK, map[string]any{"phase": "colocated", "models": []any{}, "busy": false, "seq_no": 0, "queued": 0, "active": 0, "kv_in_use": 0, "kv_size": 0, "sessions": 0, "born": replica.World.StartedAt.UnixMilli()})
		return
	case "/healthz":
		header.Set("X-Peridotpath-Replica-Id", replica.ID)
		return
	}
	if id == "" {
		header.Set("X-Peridotpath-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	replica.World.AddRun(Run{
		At: time.Now(), Replica: replica.ID, Service: replica.Service, ID: id, Method: request.Method, Target: request.RequestURI,
		Tenant: request.Header.Get("X-Peridotpath-Tenant"), Key: request.Header.Get("Authorization"), Body: string(body),
	})
	if replica.Behave != nil && replica.Behave(writer, request, body) {
		return
	}
	time.Sleep(replica.Work)
	answer := fmt.Appendf(nil, "answer of %s to %s\n", replica.ID, id)
	header.Set("X-Peridotpath-Replica-Signature", replica.signature(id, http.StatusOK, answer))
	header.Set("X-Peridotpath-Replica-Load", "1,0,"+strconv.Itoa(replica.Capacity))
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = writer.Write(answer)
}
