package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, after PROTOCOL.md. It is sound: it loses
// nothing and answers each call at once.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]*item
	leases   map[uint64]*lease
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

func newStore() *store { return &store{items: map[string]*item{}, leases: map[uint64]*lease{}} }

// put writes a key as the operator or a replica does.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(key, text, 0)
}

func (s *store) write(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if before := s.items[key]; before != nil {
		created = before.Created
	}
	s.items[key] = &item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
}

func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.items[key] != nil {
		s.revision++
		delete(s.items, key)
	}
}

func (s *store) expire() {
	now := time.Now()
	for id, held := range s.leases {
		if now.After(held.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			delete(s.items, key)
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/kv-watch" {
		time.Sleep(100 * time.Millisecond)
	}
	s.mutex.Lock()
	s.expire()
	status, body := s.call(r)
	s.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) call(r *http.Request) (int, any) {
	query, path := r.URL.Query(), r.URL.Path
	number := func() uint64 {
		n, _ := strconv.ParseUint(path[strings.LastIndex(path, "/")+1:], 10, 64)
		return n
	}
	switch {
	case path == "/api/kv-key":
		it := s.items[query.Get("key")]
		if it == nil {
			return 404, map[string]any{"at": s.revision}
		}
		return 200, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "at": s.revision}
	case path == "/api/kv-range":
		entries := []*item{}
		for key, it := range s.items {
			if strings.HasPrefix(key, query.Get("path_prefix")) && key > query.Get("after") {
				entries = append(entries, it)
			}
		}
		sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
		more := len(entries) > 500
		if more {
			entries = entries[:500]
		}
		return 200, map[string]any{"entries": entries, "has_more": more, "at": s.revision}
	case path == "/api/kv-watch":
		return 410, map[string]any{}
	case path == "/api/kv-txn":
		return s.txn(r)
	case path == "/api/kv-lease":
		var call struct {
			TTLMS int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&call) != nil {
			return 400, map[string]any{}
		}
		s.revision++
		ttl := time.Duration(max(call.TTLMS, 1000)) * time.Millisecond
		s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
		return 200, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()}
	case strings.HasPrefix(path, "/api/kv-keep/"):
		held := s.leases[number()]
		if held == nil {
			return 404, map[string]any{}
		}
		held.end = time.Now().Add(held.ttl)
		return 200, map[string]any{"lease": number(), "ttl_ms": held.ttl.Milliseconds()}
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		if s.leases[number()] == nil {
			return 404, map[string]any{}
		}
		s.endLease(number())
		return 200, map[string]any{}
	}
	return 400, map[string]any{}
}

func (s *store) txn(r *http.Request) (int, any) {
	var call struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Write []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"write"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		return 400, map[string]any{}
	}
	holds, current := true, []*item{}
	for _, expected := range call.Expected {
		it := s.items[expected.Key]
		if it == nil {
			it = &item{Key: expected.Key}
		}
		holds = holds && it.Revision == expected.Revision
		current = append(current, it)
	}
	if !holds {
		return 412, map[string]any{"entries": current, "at": s.revision}
	}
	for _, write := range call.Write {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			return 403, map[string]any{}
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return 404, map[string]any{}
		}
	}
	for _, write := range call.Write {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range call.Remove {
		if s.items[key] != nil {
			s.revision++
			delete(s.items, key)
		}
	}
	return 200, map[string]any{"revision": s.revision, "at": s.revision}
}
