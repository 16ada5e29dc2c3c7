package readings_test

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/readings"
)

func TestReadings(t *testing.T) {
	is := is.New(t)
	read := false
	routing := readings.Routing{Version: 5, Value: []byte("{}"), Age: 70 * time.Millisecond}
	endpoints := readings.Endpoints{
		Entries: []keyvalue.Entry{{Key: "one", Value: []byte("1")}}, Content: 7, Age: 90 * time.Millisecond,
	}
	server := &readings.Server{
		LastRouting:   func() (readings.Routing, bool) { return routing, read },
		LastEndpoints: func() (readings.Endpoints, bool) { return endpoints, read },
		EndpointsOf:   func(uint64) (readings.Endpoints, bool) { return readings.Endpoints{}, false },
	}
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	peer := netip.MustParseAddrPort(listener.Listener.Addr().String())
	_, err := readings.AskRouting(t.Context(), peer, readings.Routing{})
	is.True(err != nil) // nothing was read yet
	_, err = readings.AskEndpoints(t.Context(), peer, readings.Endpoints{})
	is.True(err != nil)

	read = true
	haveRouting, err := readings.AskRouting(t.Context(), peer, readings.Routing{})
	is.NoErr(err)
	is.Equal(haveRouting, routing)
	haveEndpoints, err := readings.AskEndpoints(t.Context(), peer, readings.Endpoints{})
	is.NoErr(err)
	is.Equal(haveEndpoints, endpoints)
}

// Operators change one route of a thousand, and hundreds of instances ask those that
// read it for the whole: their links were full for seconds. Whoever has an earlier
// reading that is kept is sent what changed; everybody else the whole.
func TestRoutingSinceAnEarlierOne(t *testing.T) {
	is := is.New(t)
	var kept readings.Routings
	document := func(target string) []byte {
		text := []byte(target)
		for i := range 1000 {
			text = fmt.Appendf(text, `{"name":"r%08x","prefix":"/p%08x/"}`, i*40503, i*2654435)
		}
		return text
	}
	before := readings.Routing{Version: 5, Value: document("one")}
	after := readings.Routing{Version: 9, Value: document("other")}
	kept.Add(before)
	kept.Add(after)
	kept.Add(before) // late; the newest stays
	peer, sent := countedPeer(t, &readings.Server{LastRouting: kept.Last, RoutingOf: kept.Of})
	tests := map[string]struct {
		have readings.Routing
		most int
	}{
		"has nothing":              {readings.Routing{}, len(after.Value) / 2},
		"has the one before":       {before, 200},
		"has one that is not kept": {readings.Routing{Version: 3, Value: []byte("x")}, len(after.Value) / 2},
		"has the newest":           {after, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := readings.AskRouting(t.Context(), peer, test.have)
			is.NoErr(err)
			is.Equal(got, after)
			if *sent > test.most {
				t.Errorf("sent %d bytes of %d, want at most %d", *sent, len(after.Value), test.most)
			}
		})
	}
}

// countedPeer serves readings and counts the bytes of the last answer's body.
func countedPeer(t *testing.T, server *readings.Server) (peer netip.AddrPort, sent *int) {
	t.Helper()
	handler := server.Handler()
	sent = new(int)
	listener := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		*sent = recorder.Body.Len()
		maps.Copy(writer.Header(), recorder.Header())
		writer.WriteHeader(recorder.Code)
		_, _ = writer.Write(recorder.Body.Bytes())
	}))
	t.Cleanup(listener.Close)
	return netip.MustParseAddrPort(listener.Listener.Addr().String()), sent
}

// Three hundred instances start before three thousand endpoints, and each asks a peer
// for the list of them. At 20 Mbit/s a peer could send it to two of them in the time
// that they wait; the others asked the store, all at once, and again.
func TestListOfEndpointsIsCompressed(t *testing.T) {
	is := is.New(t)
	var list readings.Endpoints
	for i := range 3000 {
		list.Entries = append(list.Entries, keyvalue.Entry{
			Key:   fmt.Sprintf("endpoints/%010x", i*2654435761),
			Value: fmt.Appendf(nil, `{"service":"llm","address":"10.%d.%d.%d:8263","data_centre":"a","slots":10,"state":"live","incarnation":%d}`, i%5, i/5%64, i/320, 1700000000000+i*7919),
		})
	}
	list.Content, list.Age = 7, 90*time.Millisecond
	peer, sent := countedPeer(t, &readings.Server{
		LastEndpoints: func() (readings.Endpoints, bool) { return list, true },
		EndpointsOf:   func(uint64) (readings.Endpoints, bool) { return readings.Endpoints{}, false },
	})
	got, err := readings.AskEndpoints(t.Context(), peer, readings.Endpoints{})
	is.NoErr(err)
	is.Equal(got, list)
	whole := 0
	for _, entry := range list.Entries {
		whole += len(entry.Key) + len(entry.Value)
	}
	if *sent > whole/4 {
		t.Errorf("sent %d bytes of %d, want a quarter at most", *sent, whole)
	}
}
