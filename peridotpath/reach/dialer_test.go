package reach_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/reach"
	"peridotpath.example/peridotpath/tunnel"
)

// link is what becomes of dials over a link.
type link int

const (
	linkOpen link = iota
	linkHangs
	linkRefuses
	// linkBreaks opens connections and breaks them before an answer.
	linkBreaks
)

// peers are the peers of the instance under test.
var peers = []netip.AddrPort{netip.MustParseAddrPort("10.0.1.1:90"), netip.MustParseAddrPort("10.0.1.2:90"), netip.MustParseAddrPort("10.0.1.3:90")}

// network is a network in which an instance has links to two endpoints and to its peers.
type network struct {
	dialer *reach.Dialer

	mutex  sync.Mutex
	direct map[netip.AddrPort]link
	peer   map[netip.AddrPort]link
	// asked are the dials through peers.
	asked []netip.AddrPort
}

const (
	roundTrip   = 2 * time.Millisecond
	dialTimeout = 2 * time.Second
)

func newNetwork() *network {
	made := &network{direct: map[netip.AddrPort]link{}, peer: map[netip.AddrPort]link{}}
	endpoints := []*peridotpath.Endpoint{{ID: "first", Address: first}, {ID: "second", Address: second}}
	made.dialer = &reach.Dialer{
		Tracker: &reach.Tracker{Log: zerolog.Nop()},
		Direct: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dialOver(ctx, made.state(netip.MustParseAddrPort(address)))
		},
		ThroughPeer: func(ctx context.Context, peer, _ netip.AddrPort) (net.Conn, error) {
			made.mutex.Lock()
			made.asked = append(made.asked, peer)
			made.mutex.Unlock()
			return dialOver(ctx, made.peer[peer])
		},
		Peers: func(netip.AddrPort) []netip.AddrPort { return peers },
		Sample: func(count int, _ netip.AddrPort) []*peridotpath.Endpoint {
			return endpoints[:min(count, len(endpoints))]
		},
	}
	made.dialer.Probe = func(ctx context.Context, endpoint *peridotpath.Endpoint) error {
		conn, err := made.dialer.DialForPeer(ctx, endpoint.Address)
		if err != nil {
			return err
		}
		return exchange(conn)
	}
	made.dialer.Init()
	return made
}

// state returns the state of the own link to an endpoint.
func (network *network) state(endpoint netip.AddrPort) link {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.direct[endpoint]
}

// cut sets the state of the own links to endpoints.
func (network *network) cut(state link, endpoints ...netip.AddrPort) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, endpoint := range endpoints {
		network.direct[endpoint] = state
	}
}

// askedCount returns how often a peer was asked for a connection.
func (network *network) askedCount() int {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return len(network.asked)
}

func dialOver(ctx context.Context, link link) (net.Conn, error) {
	time.Sleep(roundTrip)
	switch link {
	case linkRefuses:
		return nil, syscall.ECONNREFUSED
	case linkHangs:
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go func() {
		_, _ = far.Read(make([]byte, 10))
		if link != linkBreaks {
			_, _ = far.Write([]byte("answer"))
		}
		far.Close()
	}()
	return near, nil
}

// run runs the dialer's background task until stop is called.
func (network *network) run(t *testing.T) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- network.dialer.Run(ctx) }()
	return func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}
}

// dial dials the first endpoint and returns how long that took.
func (network *network) dial(t *testing.T) (time.Duration, error) {
	t.Helper()
	startedAt := time.Now()
	conn, err := network.dialer.Dial(t.Context(), "tcp", first.String())
	if err == nil {
		err = exchange(conn)
	}
	return time.Since(startedAt), err
}

// exchange sends a request on a connection and reads the answer.
func exchange(conn net.Conn) error {
	defer conn.Close()
	if _, err := conn.Write([]byte("request")); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 10))
	return err
}

// An endpoint that only peers reach costs its requests all their time.
func TestDialTakesAnotherWay(t *testing.T) {
	tests := []struct {
		name   string
		direct link
		peers  []link
		within time.Duration
	}{
		{"own link works", linkOpen, []link{linkHangs, linkHangs, linkHangs}, 5 * time.Millisecond},
		{"own link hangs", linkHangs, []link{linkOpen, linkOpen, linkOpen}, 110 * time.Millisecond},
		{"own link refuses", linkRefuses, []link{linkOpen, linkOpen, linkOpen}, 10 * time.Millisecond},
		{"first peer is frozen", linkRefuses, []link{linkHangs, linkOpen, linkOpen}, 210 * time.Millisecond},
		{"first peer declines", linkRefuses, []link{linkRefuses, linkOpen, linkOpen}, 10 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := newNetwork()
				network.cut(test.direct, first)
				for i, peer := range peers {
					network.peer[peer] = test.peers[i]
				}
				took, err := network.dial(t)
				is.NoErr(err)
				is.True(took <= test.within)
				time.Sleep(dialTimeout + time.Second)
			})
		})
	}
}

// A part of the links opens connections and resets them: each request there is lost, and may have
// run.
func TestBrokenConnectionMakesTheNextTakeAnotherWay(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork()
		network.cut(linkBreaks, first)
		_, err := network.dial(t)
		is.True(err != nil)
		is.Equal(network.askedCount(), 0)
		_, err = network.dial(t)
		is.NoErr(err)
		is.Equal(network.askedCount(), 1)
		network.cut(linkOpen, first)
		time.Sleep(2 * time.Second)
		_, err = network.dial(t)
		is.NoErr(err)
		is.Equal(network.askedCount(), 1)
	})
}

// A silent endpoint that no peer reaches either is given up before it goes on.
func TestSilentEndpointIsAwaited(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork()
		network.cut(linkHangs, first)
		for _, peer := range peers {
			network.peer[peer] = linkRefuses
		}
		took, err := network.dial(t)
		is.True(err != nil)
		is.True(took >= dialTimeout)
		is.True(!network.dialer.Tracker.IsCutOff())
	})
}

// An instance whose own link refuses connections takes endpoints for ended, and tells its peers.
func TestRefusalOfOwnLinkProvesNothing(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork()
		network.cut(linkRefuses, first)
		network.dialer.ThroughPeer = func(context.Context, netip.AddrPort, netip.AddrPort) (net.Conn, error) {
			return nil, tunnel.ErrUnreachable.New("no answer")
		}
		_, err := network.dial(t)
		is.True(!errors.Is(err, syscall.ECONNREFUSED))
		network.dialer.ThroughPeer = func(context.Context, netip.AddrPort, netip.AddrPort) (net.Conn, error) {
			return nil, tunnel.ErrUnreachable.Wrap(syscall.ECONNREFUSED)
		}
		_, err = network.dial(t)
		is.True(errors.Is(err, syscall.ECONNREFUSED))
	})
}

// Each request to an endpoint that has ended waits for a peer that is frozen, and is refused later
// than it may be held.
func TestEndedEndpointIsNotAwaitedBesideFrozenPeer(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork()
		network.cut(linkRefuses, first)
		network.peer[peers[0]] = linkHangs
		open := network.dialer.ThroughPeer
		network.dialer.ThroughPeer = func(ctx context.Context, peer, address netip.AddrPort) (net.Conn, error) {
			if peer == peers[0] {
				return open(ctx, peer, address)
			}
			return nil, tunnel.ErrUnreachable.Wrap(syscall.ECONNREFUSED)
		}
		took, err := network.dial(t)
		is.True(errors.Is(err, syscall.ECONNREFUSED))
		is.True(took < 250*time.Millisecond)
		time.Sleep(dialTimeout)
	})
}

// An instance that is cut off goes on trying its own link, or stays on the way through its peers
// when the link is back.
func TestCutAndReturnAreFoundWithinHalfASecond(t *testing.T) {
	for _, state := range []link{linkHangs, linkRefuses} {
		virtual.Test(t, func(t *testing.T) {
			is := is.New(t)
			network := newNetwork()
			stop := network.run(t)
			network.cut(state, first, second)
			_, err := network.dial(t)
			is.NoErr(err)
			time.Sleep(400 * time.Millisecond)
			is.True(network.dialer.Tracker.IsCutOff())
			took, err := network.dial(t)
			is.NoErr(err)
			is.True(took < 10*time.Millisecond)

			network.cut(linkOpen, first, second)
			time.Sleep(600 * time.Millisecond)
			is.True(!network.dialer.Tracker.IsCutOff())
			asked := network.askedCount()
			took, err = network.dial(t)
			is.NoErr(err)
			is.True(took < 10*time.Millisecond)
			is.True(network.askedCount() <= asked+1)
			stop()
			time.Sleep(dialTimeout + time.Second)
		})
	}
}

// One endpoint that is down makes an instance that reaches all others count as cut off.
func TestOneEndpointThatIsDownIsNoCut(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork()
		network.dialer.Peers = func(netip.AddrPort) []netip.AddrPort { return nil }
		stop := network.run(t)
		network.cut(linkHangs, first)
		_, err := network.dial(t)
		is.True(err != nil)
		is.True(!network.dialer.Tracker.IsCutOff())
		is.True(network.dialer.CanReach())
		stop()
	})
}

// Requests of an instance that nobody can help wait for dials that cannot succeed. All endpoints may
// be silent for a second, though, and are then still awaited.
func TestDialWithoutPeersIsGivenUpAfterASecondOfCut(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork()
		network.dialer.Peers = func(netip.AddrPort) []netip.AddrPort { return nil }
		stop := network.run(t)
		network.cut(linkRefuses, first, second)
		_, err := network.dial(t)
		is.True(errors.Is(err, syscall.ECONNREFUSED))
		time.Sleep(500 * time.Millisecond)
		is.True(network.dialer.Tracker.IsCutOff())
		is.True(network.dialer.CanReach())
		took, err := network.dial(t)
		is.True(took > 0)
		is.True(reach.ErrCutOff.Has(err))
		is.True(!errors.Is(err, syscall.ECONNREFUSED))
		time.Sleep(time.Second)
		is.True(!network.dialer.CanReach())
		took, err = network.dial(t)
		is.Equal(took, time.Duration(0))
		is.True(reach.ErrCutOff.Has(err))
		network.cut(linkOpen, first, second)
		time.Sleep(300 * time.Millisecond)
		is.True(network.dialer.CanReach())
		stop()
	})
}
