package readings_test

import (
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
	_, err := readings.AskRouting(t.Context(), peer)
	is.True(err != nil) // nothing was read yet
	_, err = readings.AskEndpoints(t.Context(), peer, readings.Endpoints{})
	is.True(err != nil)

	read = true
	haveRouting, err := readings.AskRouting(t.Context(), peer)
	is.NoErr(err)
	is.Equal(haveRouting, routing)
	haveEndpoints, err := readings.AskEndpoints(t.Context(), peer, readings.Endpoints{})
	is.NoErr(err)
	is.Equal(haveEndpoints, endpoints)
}
