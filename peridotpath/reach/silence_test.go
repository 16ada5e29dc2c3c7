package reach_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/reach"
	"peridotpath.example/peridotpath/tunnel"
)

// path is what becomes of packets between an instance and the endpoints.
type path int

const (
	pathOpen path = iota
	// pathOpensOnly opens connections and passes nothing on them.
	pathOpensOnly
	pathDrops
	pathRefuses
)

// pollInterval is the interval at which the network looks whether a path or an endpoint is back.
const pollInterval = time.Millisecond

// silentNetwork is a network of endpoints that may stop for a while: their machines open
// connections, and nothing is answered until they go on.
type silentNetwork struct {
	dialer    *reach.Dialer
	endpoints []*peridotpath.Endpoint
	// changes counts how often peers were told that the links are lost or back.
	changes atomic.Int64
	// backlog is how much later than its peers' the endpoints answer this instance's connections.
	backlog time.Duration

	mutex sync.Mutex
	// own is the path of the instance under test, peers are those of its peers.
	own   path
	peers map[netip.AddrPort]path
	// silentUntil is when the endpoints go on.
	silentUntil time.Time
}

func newSilentNetwork(paths ...path) *silentNetwork {
	network := &silentNetwork{peers: map[netip.AddrPort]path{}}
	for number := range byte(6) {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number + 1}), 80)
		network.endpoints = append(network.endpoints, &peridotpath.Endpoint{ID: peridotpath.EndpointID(address.String()), Address: address})
	}
	var carriers []netip.AddrPort
	for i, path := range paths {
		network.peers[peers[i]] = path
		carriers = append(carriers, peers[i])
	}
	network.dialer = &reach.Dialer{
		Tracker: &reach.Tracker{Log: zerolog.Nop(), OnChange: func() { network.changes.Add(1) }},
		Direct: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return network.connect(ctx, network.backlog, func() path { return network.own })
		},
		ThroughPeer: network.connectThroughPeer,
		Peers:       func(netip.AddrPort) []netip.AddrPort { return carriers },
		Sample:      func(count int, _ netip.AddrPort) []*peridotpath.Endpoint { return network.endpoints[3:][:count] },
		Probe: func(ctx context.Context, endpoint *peridotpath.Endpoint) error {
			conn, err := outbound.DialContext(ctx, "tcp", endpoint.Address.String())
			if err != nil {
				return err
			}
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			return exchange(conn)
		},
	}
	network.dialer.Init()
	return network
}

// set changes the network.
func (network *silentNetwork) set(change func()) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	change()
}

// stopEndpoints makes all endpoints silent for a time.
func (network *silentNetwork) stopEndpoints(silence time.Duration) {
	network.set(func() { network.silentUntil = time.Now().Add(silence) })
}

// isSilent reports whether the endpoints are silent.
func (network *silentNetwork) isSilent() bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return time.Now().Before(network.silentUntil)
}

// stateOf returns the state of a path.
func (network *silentNetwork) stateOf(find func() path) path {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return find()
}

func (network *silentNetwork) connectThroughPeer(ctx context.Context, peer, _ netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, reach.CarryTimeout)
	defer cancel()
	conn, err := network.connect(ctx, 0, func() path { return network.peers[peer] })
	if err != nil {
		return nil, tunnel.ErrUnreachable.Wrap(err)
	}
	return conn, nil
}

// connect opens a connection to an endpoint over a path. What answers it does so a backlog later.
func (network *silentNetwork) connect(ctx context.Context, backlog time.Duration, find func() path) (net.Conn, error) {
	time.Sleep(roundTrip)
	for network.stateOf(find) == pathDrops {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		time.Sleep(pollInterval)
	}
	if network.stateOf(find) == pathRefuses {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	go network.serve(far, backlog, find)
	return near, nil
}

// serve answers a request when the endpoint is not silent and the path passes it.
func (network *silentNetwork) serve(conn net.Conn, backlog time.Duration, find func() path) {
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 10)); err != nil {
		return
	}
	for network.isSilent() || network.stateOf(find) != pathOpen {
		time.Sleep(pollInterval)
	}
	time.Sleep(backlog)
	_, _ = conn.Write([]byte("answer"))
}

// start runs the dialer's background task until stop is called.
func (network *silentNetwork) start(t *testing.T) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- network.dialer.Run(ctx) }()
	return func() {
		network.set(func() {
			network.own, network.silentUntil = pathOpen, time.Time{}
			clear(network.peers)
		})
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		time.Sleep(dialTimeout)
	}
}

// request sends a request to the first endpoint in the background.
func (network *silentNetwork) request(ctx context.Context) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := network.dialer.Dial(ctx, "tcp", network.endpoints[0].Address.String())
		if err != nil {
			return
		}
		defer context.AfterFunc(ctx, func() { conn.Close() })()
		_ = exchange(conn)
	}()
}

// All endpoints stop for up to 2.4 s, with their machines or without, and go on. An instance that
// takes its links for lost ends its requests, refuses callers and leaves rotation, as all do.
func TestSilentEndpointsAreNoLostLinks(t *testing.T) {
	for _, peersPaths := range [][]path{nil, {pathOpen, pathOpen, pathOpen}} {
		for silence := 300 * time.Millisecond; silence <= 2400*time.Millisecond; silence += 90 * time.Millisecond {
			t.Run(fmt.Sprint(len(peersPaths), " peers, ", silence), func(t *testing.T) {
				virtual.Test(t, func(t *testing.T) {
					is := is.New(t)
					network := newSilentNetwork(peersPaths...)
					defer network.start(t)()
					network.dialer.Tracker.NotifyStalled(func() { t.Error("requests are ended") })
					network.stopEndpoints(silence)
					for range 70 {
						network.request(t.Context())
						time.Sleep(50 * time.Millisecond)
						is.True(!network.dialer.Tracker.IsCutOff())
						is.True(network.dialer.CanReach())
					}
					is.True(!network.dialer.Tracker.IsSilent())
					is.Equal(network.changes.Load(), int64(0))
				})
			})
		}
	}
}

// The silence ends while peers are asked, and an endpoint works off its peers' connections first: an
// answer that a peer had a moment earlier says nothing about the links.
func TestEndOfSilenceIsNoLossOfLinks(t *testing.T) {
	for silence := 300 * time.Millisecond; silence <= 1000*time.Millisecond; silence += 10 * time.Millisecond {
		virtual.Test(t, func(t *testing.T) {
			network := newSilentNetwork(pathOpen, pathOpen, pathOpen)
			network.backlog = 25 * time.Millisecond
			defer network.start(t)()
			network.stopEndpoints(silence)
			for range 30 {
				network.request(t.Context())
				time.Sleep(50 * time.Millisecond)
				if network.dialer.Tracker.IsCutOff() {
					t.Fatalf("cut off after a silence of %v", silence)
				}
			}
		})
	}
}

// The network drops what leads to the endpoints, from all instances alike: connections do not open.
func TestEndpointsThatNobodyReachesForASecondAreNoLostLinks(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newSilentNetwork(pathDrops, pathDrops, pathDrops)
		defer network.start(t)()
		network.set(func() { network.own = pathDrops })
		for range 30 {
			network.request(t.Context())
			time.Sleep(50 * time.Millisecond)
			is.True(!network.dialer.Tracker.IsCutOff())
		}
		is.Equal(network.changes.Load(), int64(0))
	})
}

// The own links are cut while the endpoints and the peers' links work. Each half second more of
// search costs the requests of that time.
func TestLostLinksAreFoundBesidePeersThatReachEndpoints(t *testing.T) {
	tests := []struct {
		name  string
		own   path
		peers []path
		// within is the time within which the cut is found, from the first request on.
		within time.Duration
	}{
		{"connections do not open", pathDrops, []path{pathOpen, pathOpen, pathOpen}, 450 * time.Millisecond},
		{"connections open and pass nothing", pathOpensOnly, []path{pathOpen, pathOpen, pathOpen}, 650 * time.Millisecond},
		{"connections are refused", pathRefuses, []path{pathOpen, pathOpen, pathOpen}, 50 * time.Millisecond},
		{"two of three peers are cut, too", pathOpensOnly, []path{pathOpensOnly, pathOpensOnly, pathOpen}, 650 * time.Millisecond},
		{"two of three peers are cut, connections do not open", pathDrops, []path{pathOpen, pathDrops, pathDrops}, 450 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := newSilentNetwork(test.peers...)
				defer network.start(t)()
				network.set(func() { network.own = test.own })
				network.request(t.Context())
				time.Sleep(test.within)
				is.True(network.dialer.Tracker.IsCutOff())
				for range 20 {
					time.Sleep(100 * time.Millisecond)
					is.True(network.dialer.Tracker.IsReachedByPeers(time.Now()))
				}
				network.set(func() { network.own = pathOpen })
				time.Sleep(600 * time.Millisecond)
				is.True(!network.dialer.Tracker.IsCutOff())
			})
		})
	}
}

// All instances lose all their links: each would leave rotation because the others are there, or
// would hold its callers for ever. After the longest silence of endpoints that work callers are
// refused at once, until the links are back.
func TestCallersAreRefusedAtOnceWhereNothingIsReached(t *testing.T) {
	for _, cut := range []path{pathOpensOnly, pathDrops} {
		virtual.Test(t, func(t *testing.T) {
			is := is.New(t)
			network := newSilentNetwork()
			defer network.start(t)()
			network.set(func() { network.own = cut })
			begunAt := time.Now()
			for time.Since(begunAt) < 2500*time.Millisecond {
				is.True(network.dialer.CanReach())
				network.request(t.Context())
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(time.Second)
			is.True(!network.dialer.CanReach())
			is.True(!network.dialer.Tracker.IsReachedByPeers(time.Now()))
			network.set(func() { network.own = pathOpen })
			time.Sleep(600 * time.Millisecond)
			is.True(network.dialer.CanReach())
		})
	}
}

// All endpoints refuse connections for a moment, as in a restart of all of them. Peers offer to carry
// and reach nothing: the instance must not leave rotation for their word.
func TestOfferOfAPeerIsNoEvidence(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newSilentNetwork(pathRefuses, pathRefuses, pathRefuses)
		defer network.start(t)()
		network.set(func() { network.own = pathRefuses })
		for range 20 {
			network.request(t.Context())
			time.Sleep(100 * time.Millisecond)
			is.True(!network.dialer.Tracker.IsReachedByPeers(time.Now()))
		}
		is.True(network.dialer.Tracker.IsCutOff())
	})
}

// The endpoints are back, and the peers that offer to carry do not carry yet. A request goes out over
// the own link while no peer is known to reach the endpoints.
func TestOwnLinkIsTriedWhereNoPeerIsKnownToReach(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newSilentNetwork(pathRefuses)
		network.dialer.ThroughPeer = func(context.Context, netip.AddrPort, netip.AddrPort) (net.Conn, error) {
			return nil, tunnel.Error.New("declined")
		}
		defer network.start(t)()
		network.set(func() { network.own = pathRefuses })
		network.request(t.Context())
		time.Sleep(100 * time.Millisecond)
		is.True(network.dialer.Tracker.IsCutOff())
		network.set(func() { network.own = pathOpen })
		conn, err := network.dialer.Dial(t.Context(), "tcp", network.endpoints[0].Address.String())
		is.NoErr(err)
		is.NoErr(exchange(conn))
	})
}
