package readings_test

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpath.example/peridotpath/internal/soak"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/readings"
)

// entriesOf returns entries by key, each with its number as the value.
func entriesOf(numbers map[string]int) []keyvalue.Entry {
	var entries []keyvalue.Entry
	for _, key := range slices.Sorted(maps.Keys(numbers)) {
		entries = append(entries, keyvalue.Entry{Key: key, Value: []byte(fmt.Sprint(numbers[key]))})
	}
	return entries
}

func byKey(entries []keyvalue.Entry) map[string]string {
	values := map[string]string{}
	for _, entry := range entries {
		values[entry.Key] = string(entry.Value)
	}
	return values
}

// A peer reads the endpoints repeatedly. Whichever snapshot a caller has, kept by the peer
// or not, it has the peer's newest one after a fetch.
func TestRandomSnapshotsReachTheCaller(t *testing.T) {
	history := &readings.EndpointsHistory{}
	server := &readings.Server{NewestEndpoints: history.Newest, EndpointsByHash: history.ByHash}
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	peer := netip.MustParseAddrPort(listener.Listener.Addr().String())
	content := uint64(0)
	soak.Check(t, 1, func(random *rapid.T) {
		numbers := map[string]int{}
		var have readings.EndpointsSnapshot
		for range rapid.IntRange(1, 40).Draw(random, "readings") {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(random, "key")
			if rapid.Bool().Draw(random, "gone") {
				delete(numbers, key)
			} else {
				numbers[key] = rapid.IntRange(0, 2).Draw(random, "number")
			}
			content++
			history.Add(readings.EndpointsSnapshot{Entries: entriesOf(numbers), ContentHash: content, Age: time.Second})
			if rapid.IntRange(0, 9).Draw(random, "asks") > 0 {
				continue
			}
			got, err := readings.FetchEndpoints(t.Context(), peer, have)
			if err != nil {
				random.Fatal(err)
			}
			if want := byKey(entriesOf(numbers)); !maps.Equal(byKey(got.Entries), want) || len(got.Entries) != len(want) {
				random.Fatalf("have %v, want %v", got.Entries, want)
			}
			have = got
		}
	})
}

// One of 3,000 endpoints is replaced. A peer that has the list from before must be sent only
// the changes; otherwise every instance would fetch half a megabyte after each change.
func TestOnlyChangesAreSent(t *testing.T) {
	is := is.New(t)
	before := make([]keyvalue.Entry, 3000)
	for i := range before {
		before[i] = keyvalue.Entry{Key: fmt.Sprint(i), Value: make([]byte, 150)}
	}
	after := append(slices.Clone(before[1:]), keyvalue.Entry{Key: "new", Value: []byte("x")})
	history := &readings.EndpointsHistory{}
	history.Add(readings.EndpointsSnapshot{Entries: before, ContentHash: 1})
	history.Add(readings.EndpointsSnapshot{Entries: after, ContentHash: 2})
	server := &readings.Server{NewestEndpoints: history.Newest, EndpointsByHash: history.ByHash}
	recorder := &byteCounter{handler: server.Handler()}
	listener := httptest.NewServer(recorder)
	defer listener.Close()
	peer := netip.MustParseAddrPort(listener.Listener.Addr().String())
	got, err := readings.FetchEndpoints(t.Context(), peer, readings.EndpointsSnapshot{Entries: before, ContentHash: 1})
	is.NoErr(err)
	is.Equal(byKey(got.Entries), byKey(after))
	is.Equal(got.ContentHash, uint64(2))
	is.True(recorder.bytes < 200)
}

// byteCounter counts the bytes of the responses of a handler.
type byteCounter struct {
	handler http.Handler
	bytes   int
}

func (byteCounter *byteCounter) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	recorder := httptest.NewRecorder()
	byteCounter.handler.ServeHTTP(recorder, request)
	byteCounter.bytes += recorder.Body.Len()
	maps.Copy(writer.Header(), recorder.Header())
	writer.WriteHeader(recorder.Code)
	_, _ = writer.Write(recorder.Body.Bytes())
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	history := &readings.EndpointsHistory{}
	_, ok := history.Newest()
	is.True(!ok)
	for content := range uint64(100) {
		history.Add(readings.EndpointsSnapshot{ContentHash: content + 1})
		history.Add(readings.EndpointsSnapshot{ContentHash: content + 1, Age: time.Second}) // read again, unchanged
	}
	last, ok := history.Newest()
	is.True(ok)
	is.Equal(last, readings.EndpointsSnapshot{ContentHash: 100, Age: time.Second})
	keptCount := 0
	for content := range uint64(101) {
		if _, ok := history.ByHash(content); ok {
			keptCount++
		}
	}
	is.Equal(keptCount, 16)
}
