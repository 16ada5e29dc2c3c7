package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems bounds one page of a range, as the protocol page says.
const maxPageItems = 500

// Item is one key of the store.
type Item struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a stand-in for the platform's metadata store: keys with revisions, leases and
// conditional writes, linearizable, by the protocol page.
type Store struct {
	mutex     sync.Mutex
	items     map[string]Item
	leases    map[uint64]lease
	revision  uint64
	lastLease uint64
	// era counts how often the store came back from an older copy, and isAway is set while it is away.
	era    int
	isAway bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]Item{}, leases: map[uint64]lease{}, revision: 100}
}

// Put writes a key for the operator or a replica, and returns when it is acknowledged.
func (store *Store) Put(key string, value []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.put(key, base64.StdEncoding.EncodeToString(value), 0)
}

// Remove removes a key.
func (store *Store) Remove(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	delete(store.items, key)
}

func (store *Store) put(key, value string, lease uint64) {
	store.revision++
	created := store.revision
	if before, found := store.items[key]; found {
		created = before.Created
	}
	store.items[key] = Item{Key: key, Value: value, Revision: store.revision, Created: created, Lease: lease}
}

// expire removes the keys of leases that have ended. The caller holds the mutex.
func (store *Store) expire() {
	now := time.Now()
	for id, held := range store.leases {
		if now.Before(held.expires) {
			continue
		}
		store.endLease(id)
	}
}

func (store *Store) endLease(id uint64) {
	delete(store.leases, id)
	for key, item := range store.items {
		if item.Lease == id {
			store.revision++
			delete(store.items, key)
		}
	}
}

func reply(writer http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	writer.WriteHeader(status)
	_, _ = writer.Write(text)
}

// ServeHTTP serves one call.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.isAway {
		panic(http.ErrAbortHandler)
	}
	store.expire()
	writer.Header().Set("Store-Era", strconv.Itoa(store.era))
	switch {
	case request.URL.Path == "/api/kv-key":
		item, found := store.items[request.URL.Query().Get("key")]
		if !found {
			reply(writer, http.StatusNotFound, map[string]any{"at": store.revision})
			return
		}
		reply(writer, http.StatusOK, map[string]any{"key": item.Key, "value": item.Value, "revision": item.Revision, "created": item.Created, "lease": item.Lease, "at": store.revision})
	case request.URL.Path == "/api/kv-range":
		store.serveRange(writer, request)
	case request.URL.Path == "/api/kv-txn":
		store.serveTransaction(writer, request)
	case request.URL.Path == "/api/kv-lease":
		var body struct {
			TTLMS int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(request.Body).Decode(&body) != nil || body.TTLMS < 1000 {
			reply(writer, http.StatusBadRequest, map[string]any{})
			return
		}
		store.lastLease++
		ttl := time.Duration(body.TTLMS) * time.Millisecond
		store.leases[store.lastLease] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
		reply(writer, http.StatusOK, map[string]any{"lease": store.lastLease, "ttl_ms": body.TTLMS})
	case strings.HasPrefix(request.URL.Path, "/api/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(request.URL.Path, "/api/kv-keep/"), 10, 64)
		held, found := store.leases[id]
		if !found {
			reply(writer, http.StatusNotFound, map[string]any{})
			return
		}
		held.expires = time.Now().Add(held.ttl)
		store.leases[id] = held
		reply(writer, http.StatusOK, map[string]any{"ttl_ms": held.ttl.Milliseconds()})
	case strings.HasPrefix(request.URL.Path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(request.URL.Path, "/api/kv-lease-end/"), 10, 64)
		store.endLease(id)
		reply(writer, http.StatusOK, map[string]any{})
	default:
		reply(writer, http.StatusNotFound, map[string]any{})
	}
}

func (store *Store) serveRange(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	prefix, after := query.Get("path_prefix"), query.Get("after")
	var keys []string
	for key := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	hasMore := len(keys) > maxPageItems
	if hasMore {
		keys = keys[:maxPageItems]
	}
	entries := []Item{}
	for _, key := range keys {
		entries = append(entries, store.items[key])
	}
	reply(writer, http.StatusOK, map[string]any{"entries": entries, "has_more": hasMore, "at": store.revision})
}

func (store *Store) serveTransaction(writer http.ResponseWriter, request *http.Request) {
	var call struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Write []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"write"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(request.Body).Decode(&call) != nil {
		reply(writer, http.StatusBadRequest, map[string]any{})
		return
	}
	failed, entries := false, []Item{}
	for _, expected := range call.Expected {
		item, found := store.items[expected.Key]
		if !found {
			item = Item{Key: expected.Key}
		}
		failed = failed || item.Revision != expected.Revision
		entries = append(entries, item)
	}
	if failed {
		reply(writer, http.StatusPreconditionFailed, map[string]any{"entries": entries})
		return
	}
	for _, write := range call.Write {
		if _, found := store.leases[write.Lease]; write.Lease != 0 && !found {
			reply(writer, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, write := range call.Write {
		store.put(write.Key, write.Value, write.Lease)
	}
	for _, key := range call.Remove {
		store.revision++
		delete(store.items, key)
	}
	reply(writer, http.StatusOK, map[string]any{"revision": store.revision})
}

// Copy is a copy of the store.
type Copy struct {
	items               map[string]Item
	leases              map[uint64]lease
	revision, lastLease uint64
}

// Copy returns a copy of what the store holds now.
func (store *Store) Copy() Copy {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return Copy{items: maps.Clone(store.items), leases: maps.Clone(store.leases), revision: store.revision, lastLease: store.lastLease}
}

// Leave makes the store close each connection without an answer.
func (store *Store) Leave() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.isAway = true
}

// Return makes the store come back from a copy. The leases in the copy have run on meanwhile.
func (store *Store) Return(from Copy) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.isAway = false
	store.items, store.leases = maps.Clone(from.items), maps.Clone(from.leases)
	store.revision, store.lastLease = from.revision, from.lastLease
	store.era++
}
