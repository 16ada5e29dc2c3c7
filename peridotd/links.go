package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/zeromicro/go-zero/rest"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/reach"
	"peridotpath.example/peridotpath/tunnel"
)

// maxTunnels bounds the connections that are carried for peers at once, and so their memory to
// 32 MiB.
const maxTunnels = 512

// links opens the connections to endpoints and carries those of peers.
type links struct {
	daemon  *daemon
	tracker *reach.Tracker
	dialer  *reach.Dialer
	tunnels *tunnel.Server
}

func newLinks(daemon *daemon) *links {
	links := &links{daemon: daemon}
	// Connections that are kept for reuse lead over the links as they were.
	links.tracker = &reach.Tracker{Log: daemon.log, OnChange: outbound.CloseIdleConnections}
	client := &tunnel.Client{Dial: outbound.DialDirect}
	links.dialer = &reach.Dialer{
		Tracker: links.tracker, Direct: outbound.DialDirect, ThroughPeer: client.Open,
		Peers: links.peers, Sample: links.sample, Probe: probeEndpoint,
	}
	links.dialer.Init()
	links.tunnels = &tunnel.Server{
		IsEndpoint: links.isEndpoint, CanCarry: func() bool { return !links.tracker.IsCutOff() }, Dial: links.dialer.DialForPeer,
		MaxTunnels: maxTunnels, Log: daemon.log,
	}
	return links
}

// do sends a request to an endpoint, directly or through a peer.
func (links *links) do(request *http.Request) (*http.Response, error) {
	return outbound.Do(request.WithContext(outbound.WithDial(request.Context(), links.dialer.Dial)))
}

// peers returns the other live instances in random order. One that is cut off itself declines.
func (links *links) peers(netip.AddrPort) []netip.AddrPort {
	instances := links.daemon.fleet.peers()
	addresses := make([]netip.AddrPort, 0, len(instances))
	for _, number := range rand.Perm(len(instances)) {
		addresses = append(addresses, instances[number].Peer)
	}
	return addresses
}

// endpoints returns the endpoints on the membership list.
func (links *links) endpoints() []peridotpath.Endpoint {
	if list := links.daemon.fleet.follower.Current(); list != nil {
		return list.Endpoints
	}
	return nil
}

// sample returns up to count endpoints, if possible at other addresses than except, and of several
// services and data centres.
func (links *links) sample(count int, except netip.AddrPort) []*peridotpath.Endpoint {
	endpoints := links.endpoints()
	shuffled := make([]*peridotpath.Endpoint, 0, len(endpoints))
	for _, number := range rand.Perm(len(endpoints)) {
		shuffled = append(shuffled, &endpoints[number])
	}
	return directory.Spread(shuffled, count, except)
}

func (links *links) isEndpoint(address netip.AddrPort) bool {
	for _, endpoint := range links.endpoints() {
		if endpoint.Address == address {
			return true
		}
	}
	return false
}

// routes returns the routes at which peers ask for tunnels.
func (links *links) routes() []rest.Route {
	return []rest.Route{{Method: http.MethodGet, Path: tunnel.Path, Handler: links.tunnels.ServeHTTP}}
}

// probeEndpoint asks for what the endpoint's server supports, which runs nothing. Any answer shows
// that the endpoint is reached.
func probeEndpoint(ctx context.Context, endpoint *peridotpath.Endpoint) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodOptions, "http://"+endpoint.Address.String(), nil)
	if err != nil {
		return err
	}
	request.URL = &url.URL{Scheme: "http", Host: endpoint.Address.String(), Opaque: "*"}
	// A connection of its own shows whether new ones open.
	request.Close = true
	response, err := outbound.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
