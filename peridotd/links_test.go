package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/reach"
)

func addressOf(server *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// startLinks returns the links of an instance to one endpoint.
func startLinks(t *testing.T, endpoint netip.AddrPort) *links {
	t.Helper()
	links := newLinks(&daemon{log: zerolog.Nop()})
	links.dialer.Peers = func(netip.AddrPort) []netip.AddrPort { return nil }
	links.dialer.Sample = func(int, netip.AddrPort) []*peridotpath.Endpoint {
		return []*peridotpath.Endpoint{{ID: "one", Address: endpoint}}
	}
	links.tunnels.IsEndpoint = func(address netip.AddrPort) bool { return address == endpoint }
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- links.dialer.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	return links
}

// An instance of peridotd serve that is cut off from all endpoints fails every call, though its
// peers reach them.
func TestCutOffInstanceCallsThroughPeer(t *testing.T) {
	is := is.New(t)
	endpoint := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "done")
	}))
	defer endpoint.Close()
	carrying, cutOff := startLinks(t, addressOf(endpoint)), startLinks(t, addressOf(endpoint))
	peer := httptest.NewServer(carrying.tunnels)
	defer peer.Close()
	cutOff.dialer.Direct = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	call := func() error {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, endpoint.URL, nil)
		is.NoErr(err)
		request.Close = true
		response, err := cutOff.do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		is.Equal(string(text), "done")
		return err
	}
	is.True(call() != nil)
	for range 200 {
		if cutOff.tracker.IsCutOff() {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	is.True(cutOff.tracker.IsCutOff())
	is.True(reach.ErrCutOff.Has(call()))
	cutOff.dialer.Peers = func(netip.AddrPort) []netip.AddrPort { return []netip.AddrPort{addressOf(peer)} }
	is.NoErr(call())
	is.True(!carrying.tracker.IsCutOff())
	is.NoErr(carrying.tunnels.Close(t.Context()))
}
