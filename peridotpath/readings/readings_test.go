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

func TestFetchFromPeer(t *testing.T) {
	is := is.New(t)
	hasRead := false
	routing := readings.RoutingSnapshot{Version: 5, Value: []byte("{}"), Age: 70 * time.Millisecond}
	endpoints := readings.EndpointsSnapshot{
		Entries: []keyvalue.Entry{{Key: "one", Value: []byte("1")}}, ContentHash: 7, Age: 90 * time.Millisecond,
	}
	server := &readings.Server{
		NewestRouting:   func() (readings.RoutingSnapshot, bool) { return routing, hasRead },
		NewestEndpoints: func() (readings.EndpointsSnapshot, bool) { return endpoints, hasRead },
		EndpointsByHash: func(uint64) (readings.EndpointsSnapshot, bool) { return readings.EndpointsSnapshot{}, false },
	}
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	peer := netip.MustParseAddrPort(listener.Listener.Addr().String())
	_, err := readings.FetchRouting(t.Context(), peer, readings.RoutingSnapshot{})
	is.True(err != nil) // no snapshot yet
	_, err = readings.FetchEndpoints(t.Context(), peer, readings.EndpointsSnapshot{})
	is.True(err != nil)

	hasRead = true
	gotRouting, err := readings.FetchRouting(t.Context(), peer, readings.RoutingSnapshot{})
	is.NoErr(err)
	is.Equal(gotRouting, routing)
	gotEndpoints, err := readings.FetchEndpoints(t.Context(), peer, readings.EndpointsSnapshot{})
	is.NoErr(err)
	is.Equal(gotEndpoints, endpoints)
}

// Operators change one route of a thousand, and hundreds of instances fetch the routing.
// Sent whole, it would saturate the links of the serving instances for seconds. A caller with
// a snapshot that the peer keeps must receive only the difference, any other caller the whole
// routing.
func TestRoutingIsSentAsDifference(t *testing.T) {
	is := is.New(t)
	var routings readings.RoutingHistory
	document := func(target string) []byte {
		text := []byte(target)
		for i := range 1000 {
			text = fmt.Appendf(text, `{"name":"r%08x","prefix":"/p%08x/"}`, i*40503, i*2654435)
		}
		return text
	}
	before := readings.RoutingSnapshot{Version: 5, Value: document("one")}
	after := readings.RoutingSnapshot{Version: 9, Value: document("other")}
	routings.Add(before)
	routings.Add(after)
	routings.Add(before) // out of order; the newest stays
	peer, sent := countedPeer(t, &readings.Server{NewestRouting: routings.Newest, RoutingByVersion: routings.ByVersion})
	tests := map[string]struct {
		have     readings.RoutingSnapshot
		maxBytes int
	}{
		"has nothing":              {readings.RoutingSnapshot{}, len(after.Value) / 2},
		"has the previous one":     {before, 200},
		"has one that is not kept": {readings.RoutingSnapshot{Version: 3, Value: []byte("x")}, len(after.Value) / 2},
		"has the newest":           {after, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := readings.FetchRouting(t.Context(), peer, test.have)
			is.NoErr(err)
			is.Equal(got, after)
			if *sent > test.maxBytes {
				t.Errorf("sent %d bytes of %d, want at most %d", *sent, len(after.Value), test.maxBytes)
			}
		})
	}
}

// countedPeer serves snapshots and counts the bytes of the last response's body.
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

// 300 instances start in a fleet of 3,000 endpoints, and each fetches the list from a
// peer. Uncompressed, a peer with a 20 Mbit/s link serves two of them within the fetch
// timeout; the others would read the store, all at once and repeatedly. The response must
// be compressed.
func TestEndpointsAreCompressed(t *testing.T) {
	is := is.New(t)
	var list readings.EndpointsSnapshot
	for i := range 3000 {
		list.Entries = append(list.Entries, keyvalue.Entry{
			Key:   fmt.Sprintf("endpoints/%010x", i*2654435761),
			Value: fmt.Appendf(nil, `{"service":"llm","address":"10.%d.%d.%d:8263","data_centre":"a","slots":10,"state":"live","incarnation":%d}`, i%5, i/5%64, i/320, 1700000000000+i*7919),
		})
	}
	list.ContentHash, list.Age = 7, 90*time.Millisecond
	peer, sent := countedPeer(t, &readings.Server{
		NewestEndpoints: func() (readings.EndpointsSnapshot, bool) { return list, true },
		EndpointsByHash: func(uint64) (readings.EndpointsSnapshot, bool) { return readings.EndpointsSnapshot{}, false },
	})
	got, err := readings.FetchEndpoints(t.Context(), peer, readings.EndpointsSnapshot{})
	is.NoErr(err)
	is.Equal(got, list)
	wholeBytes := 0
	for _, entry := range list.Entries {
		wholeBytes += len(entry.Key) + len(entry.Value)
	}
	if *sent > wholeBytes/4 {
		t.Errorf("sent %d bytes of %d, want a quarter at most", *sent, wholeBytes)
	}
}
