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

// A teller has read the endpoints again and again. Whatever an asker has of them,
// kept by the teller or not, it has the teller's last reading afterwards.
func TestRandomReadingsReachTheAsker(t *testing.T) {
	history := &readings.History{}
	server := &readings.Server{LastEndpoints: history.Last, EndpointsOf: history.Of}
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	peer := netip.MustParseAddrPort(listener.Listener.Addr().String())
	content := uint64(0)
	soak.Check(t, 1, func(random *rapid.T) {
		numbers := map[string]int{}
		var have readings.Endpoints
		for range rapid.IntRange(1, 40).Draw(random, "readings") {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(random, "key")
			if rapid.Bool().Draw(random, "gone") {
				delete(numbers, key)
			} else {
				numbers[key] = rapid.IntRange(0, 2).Draw(random, "number")
			}
			content++
			history.Add(readings.Endpoints{Entries: entriesOf(numbers), Content: content, Age: time.Second})
			if rapid.IntRange(0, 9).Draw(random, "asks") > 0 {
				continue
			}
			told, err := readings.AskEndpoints(t.Context(), peer, have)
			if err != nil {
				random.Fatal(err)
			}
			if want := byKey(entriesOf(numbers)); !maps.Equal(byKey(told.Entries), want) || len(told.Entries) != len(want) {
				random.Fatalf("have %v, want %v", told.Entries, want)
			}
			have = told
		}
	})
}

// Three thousand endpoints, of which one changes: every instance asked for all of
// them, half a megabyte, again and again. Only what changed is told.
func TestChangesAreTold(t *testing.T) {
	is := is.New(t)
	before := make([]keyvalue.Entry, 3000)
	for i := range before {
		before[i] = keyvalue.Entry{Key: fmt.Sprint(i), Value: make([]byte, 150)}
	}
	after := append(slices.Clone(before[1:]), keyvalue.Entry{Key: "new", Value: []byte("x")})
	history := &readings.History{}
	history.Add(readings.Endpoints{Entries: before, Content: 1})
	history.Add(readings.Endpoints{Entries: after, Content: 2})
	server := &readings.Server{LastEndpoints: history.Last, EndpointsOf: history.Of}
	recorder := &sizes{handler: server.Handler()}
	listener := httptest.NewServer(recorder)
	defer listener.Close()
	peer := netip.MustParseAddrPort(listener.Listener.Addr().String())
	told, err := readings.AskEndpoints(t.Context(), peer, readings.Endpoints{Entries: before, Content: 1})
	is.NoErr(err)
	is.Equal(byKey(told.Entries), byKey(after))
	is.Equal(told.Content, uint64(2))
	is.True(recorder.bytes < 200)
}

// sizes counts the bytes of answers.
type sizes struct {
	handler http.Handler
	bytes   int
}

func (sizes *sizes) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	recorder := httptest.NewRecorder()
	sizes.handler.ServeHTTP(recorder, request)
	sizes.bytes += recorder.Body.Len()
	maps.Copy(writer.Header(), recorder.Header())
	writer.WriteHeader(recorder.Code)
	_, _ = writer.Write(recorder.Body.Bytes())
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	history := &readings.History{}
	_, ok := history.Last()
	is.True(!ok)
	for content := range uint64(100) {
		history.Add(readings.Endpoints{Content: content + 1})
		history.Add(readings.Endpoints{Content: content + 1, Age: time.Second}) // read again, unchanged
	}
	last, ok := history.Last()
	is.True(ok)
	is.Equal(last, readings.Endpoints{Content: 100, Age: time.Second})
	kept := 0
	for content := range uint64(101) {
		if _, ok := history.Of(content); ok {
			kept++
		}
	}
	is.Equal(kept, 16)
}
