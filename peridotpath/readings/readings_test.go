package readings_test

import (
	"fmt"
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
	sent := 0
	handler := (&readings.Server{LastRouting: kept.Last, RoutingOf: kept.Of}).Handler()
	listener := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		sent = recorder.Body.Len()
		_, _ = writer.Write(recorder.Body.Bytes())
	}))
	defer listener.Close()
	peer := netip.MustParseAddrPort(listener.Listener.Addr().String())
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
			if sent > test.most {
				t.Errorf("sent %d bytes of %d, want at most %d", sent, len(after.Value), test.most)
			}
		})
	}
}
