package gossip_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/cell"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/gossip"
	"peridotpath.example/peridotpath/gossip/wire"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/readings"
)

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return netip.MustParseAddrPort(conn.LocalAddr().String())
}

type heard struct {
	peer  netip.AddrPort
	fresh gossip.Freshness
	asked time.Duration
}

type node struct {
	gossip *gossip.Gossip
	book   *placement.Book
	facts  *facts.Table
	heard  chan heard
	// others counts the peers that knew of another number of cells.
	others atomic.Int64
}

func start(t *testing.T, id peridotpath.InstanceID, dataCentre peridotpath.DataCentre, fresh gossip.Freshness) *node {
	t.Helper()
	node := &node{book: &placement.Book{}, facts: &facts.Table{}, heard: make(chan heard, 1000)}
	node.gossip = &gossip.Gossip{
		Instance: id, Incarnation: 1, Address: freeAddress(t), DataCentre: dataCentre, ReadingsPort: 99, Book: node.book, Facts: node.facts, Clock: clock.SinceBoot, Log: zerolog.Nop(),
		Fresh: func() gossip.Freshness { return fresh },
		Heard: func(peer readings.Peer, fresh gossip.Freshness, asked time.Duration) {
			if asked > 0 {
				node.heard <- heard{peer.Address, fresh, asked}
			}
		},
	}
	node.gossip.OtherCells = func() { node.others.Add(1) }
	node.book.Changed = node.gossip.Changed
	node.facts.Changed = node.gossip.Changed
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- node.gossip.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	return node
}

// eventually waits for a condition that another goroutine brings about.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("not in ten seconds: %s", what)
}

// What one instance has under way, waiting and in suspicion, another one knows;
// also one that only the first has been told of.
func TestPeersKnow(t *testing.T) {
	is := is.New(t)
	fresh := gossip.Freshness{RoutingVersion: 7, RoutingAge: 300 * time.Millisecond, Endpoints: 9, EndpointsAge: 200 * time.Millisecond}
	one, two := start(t, "one", "a", fresh), start(t, "two", "a", gossip.Freshness{})
	one.gossip.SetPeers([]gossip.Peer{{Address: two.gossip.Address, DataCentre: "a"}})
	flight := one.book.Begin(placement.Flight{
		Parts:  []placement.Part{{Endpoint: 5, Reading: time.Second, Memory: 70_000}, {Endpoint: 6, Reading: time.Second, Memory: 30_000}},
		Prompt: 100_000, PauseAim: 800 * time.Millisecond, Sent: time.Now(),
	})
	one.book.Join(placement.NewWait(time.Now(), 3*time.Second))
	one.book.Failed(8, time.Now())
	eventually(t, "the load is known", func() bool {
		load := two.book.View(time.Now()).At(6)
		return load.Memory == 30_000 && load.Backlog > 500*time.Millisecond
	})
	is.Equal(two.book.View(time.Now()).At(5).Waiting, 1)
	eventually(t, "the suspicion is known", func() bool { return two.book.Suspects(time.Now())[8] })
	own := two.book.Join(placement.NewWait(time.Now().Add(time.Second), 3*time.Second))
	count, reading := two.book.Ahead(own, "two", time.Now())
	is.Equal(count, 1)
	is.Equal(reading, 3*time.Second)

	one.book.Writing(flight)
	eventually(t, "the reading is over", func() bool { return two.book.View(time.Now()).At(6).Backlog == 0 })
	is.Equal(two.book.View(time.Now()).At(6).Memory, peridotpath.Tokens(30_000)) // but not the memory
	one.book.End(flight)
	eventually(t, "the request is over", func() bool { return two.book.View(time.Now()).At(6).Memory == 0 })

	// two answered, so that its clock's echo came back with what one has read.
	told := <-two.heard
	is.Equal(told.fresh, fresh)
	is.True(told.asked <= clock.SinceBoot())
	is.Equal(told.peer, netip.AddrPortFrom(one.gossip.Address.Addr(), 99))
}

// An instance tells one of another data centre, which hands it on to the others
// there: all know, though only one datagram of each digest crosses. What is
// handed on confirms no reading of the store, since its echo is another's.
func TestHandedOn(t *testing.T) {
	far := start(t, "far", "b", gossip.Freshness{RoutingVersion: 7})
	near := []*node{start(t, "near-1", "a", gossip.Freshness{}), start(t, "near-2", "a", gossip.Freshness{}), start(t, "near-3", "a", gossip.Freshness{})}
	var all []gossip.Peer
	for _, node := range near {
		all = append(all, gossip.Peer{Address: node.gossip.Address, DataCentre: "a"})
	}
	for _, node := range near {
		node.gossip.SetPeers(append(all, gossip.Peer{Address: far.gossip.Address, DataCentre: "b"}))
	}
	far.gossip.SetPeers(all[:1])
	far.book.Begin(placement.Flight{Parts: []placement.Part{{Endpoint: 5, Memory: 10}}, Sent: time.Now()})
	for _, node := range near {
		eventually(t, "the load is known", func() bool { return node.book.View(time.Now()).At(5).Memory == 10 })
	}
	eventually(t, "each other is known", func() bool { return near[2].book.Peers(time.Now()) == 3 })
}

// A digest is late or comes twice: what it says of requests is out of date.
func TestLateDigestIsDropped(t *testing.T) {
	is := is.New(t)
	book := &placement.Book{}
	now := time.Now()
	flights := []placement.Flight{{Parts: []placement.Part{{Endpoint: 5, Memory: 10}}}}
	book.HearPeer(placement.Report{Peer: "one", Incarnation: 1, Sequence: 4, Flights: flights}, now)
	book.HearPeer(placement.Report{Peer: "one", Incarnation: 1, Sequence: 3}, now)
	is.Equal(book.View(now).At(5).Memory, peridotpath.Tokens(10))
	book.HearPeer(placement.Report{Peer: "one", Incarnation: 2, Sequence: 1}, now) // started again
	is.Equal(book.View(now).At(5).Memory, peridotpath.Tokens(0))
	book.HearPeer(placement.Report{Peer: "one", Incarnation: 1, Sequence: 5, Flights: flights}, now)
	is.Equal(book.View(now).At(5).Memory, peridotpath.Tokens(0))
}

// A peer dies with requests under way: endpoints drop them with their
// connections, and nobody goes on counting them.
func TestDeadPeerIsForgotten(t *testing.T) {
	is := is.New(t)
	book := &placement.Book{}
	now := time.Now()
	book.HearPeer(placement.Report{Peer: "one", Incarnation: 1, Sequence: 1, Flights: []placement.Flight{{Parts: []placement.Part{{Endpoint: 5, Memory: 10}}}}}, now)
	is.Equal(book.Peers(now.Add(time.Second)), 1)
	is.Equal(book.Peers(now.Add(3*time.Second)), 0)
	is.Equal(book.View(now.Add(3*time.Second)).At(5).Memory, peridotpath.Tokens(0))
}

// A key that was taken away goes on working, since a peer's digest stood in a
// buffer for half a second and was taken for what is known now. The digest carries
// back a reading of this instance's own clock, and counts from that.
func TestConfirmationCountsFromTheEcho(t *testing.T) {
	is := is.New(t)
	one := start(t, "one", "a", gossip.Freshness{})
	conn, err := net.Dial("udp4", one.gossip.Address.String())
	is.NoErr(err)
	defer conn.Close()
	echo := clock.SinceBoot() - 500*time.Millisecond
	datagram, err := proto.Marshal(&wire.Digest{
		Instance: "two", Address: "127.0.0.1:9", RoutingVersion: 7, RoutingAge: clock.Micros(100 * time.Millisecond), Echo: clock.Micros(echo),
	})
	is.NoErr(err)
	eventually(t, "it is heard", func() bool {
		// Again and again: the instance may not listen yet.
		_, _ = conn.Write(datagram)
		return len(one.heard) > 0
	})
	told := <-one.heard
	is.Equal(told.asked, echo.Truncate(time.Microsecond))
	is.Equal(told.fresh.RoutingAge, 100*time.Millisecond)
}

// Whatever arrives on the port, the instance goes on.
func TestGarbage(t *testing.T) {
	one, two := start(t, "one", "a", gossip.Freshness{}), start(t, "two", "a", gossip.Freshness{})
	conn, err := net.Dial("udp4", one.gossip.Address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	empty, _ := proto.Marshal(&wire.Digest{Instance: "x", Address: "127.0.0.1:9", Flights: []*wire.Flight{{}}, Echo: 1 << 62})
	for _, datagram := range [][]byte{nil, {0}, []byte("\xff\xff\xff"), empty} {
		_, _ = conn.Write(datagram)
	}
	two.gossip.SetPeers([]gossip.Peer{{Address: one.gossip.Address, DataCentre: "a"}})
	two.book.Begin(placement.Flight{Parts: []placement.Part{{Endpoint: 5, Memory: 10}}, Sent: time.Now()})
	eventually(t, "digests are heard", func() bool { return one.book.View(time.Now()).At(5).Memory == 10 })
	if len(one.heard) > 0 {
		t.Error("an echo of a time that has not come was believed")
	}
}

// In a fleet of 300 an instance hears 1,000 digests a second and more, and spends
// a third of its processor on them: every one told everybody else of each request.
// Only those of its own cell are told.
func TestLargeFleetIsToldInCells(t *testing.T) {
	is := is.New(t)
	told := map[netip.AddrPort]*atomic.Bool{}
	var peers []gossip.Peer
	for range 24 {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		is.NoErr(err)
		defer conn.Close()
		address, got := netip.MustParseAddrPort(conn.LocalAddr().String()), &atomic.Bool{}
		told[address] = got
		peers = append(peers, gossip.Peer{Address: address, DataCentre: "a"})
		go func() {
			for buffer := make([]byte, 2048); ; got.Store(true) {
				if _, _, err := conn.ReadFrom(buffer); err != nil {
					return
				}
			}
		}()
	}
	for i := range 400 {
		unused := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 9)
		peers = append(peers, gossip.Peer{Address: unused, DataCentre: "a"})
	}
	one := start(t, "one", "a", gossip.Freshness{})
	one.gossip.SetPeers(peers)
	own := one.gossip.Cell()
	is.Equal(own, cell.Of(one.gossip.Address, len(peers)+1))
	is.True(own.Count() > 1)
	eventually(t, "all of the cell are told", func() bool {
		for address, got := range told {
			if own.HasInstance(address) != got.Load() {
				return false
			}
		}
		return true
	})
	one.gossip.SetPeers(peers[:24])
	eventually(t, "all are told once the fleet is small", func() bool {
		for _, got := range told {
			if !got.Load() {
				return false
			}
		}
		return true
	})
}

// The fleet has grown and is divided into two cells; a peer has read that, this
// instance has not and would not for most of a minute.
func TestHearsOfOtherCells(t *testing.T) {
	is := is.New(t)
	node := start(t, "one", "a", gossip.Freshness{})
	peer := freeAddress(t)
	conn, err := net.Dial("udp4", node.gossip.Address.String())
	is.NoErr(err)
	defer conn.Close()
	sequence := uint64(0)
	// tell sends until the node has heard one: it may not listen yet.
	tell := func(cells uint32) {
		eventually(t, "the digest is heard", func() bool {
			sequence++
			datagram, err := proto.Marshal(&wire.Digest{
				Instance: "two", Incarnation: 1, Sequence: sequence, Address: peer.String(), DataCentre: "a", Cells: cells, Echo: 1,
			})
			is.NoErr(err)
			// An error says that nobody listens yet.
			_, _ = conn.Write(datagram)
			select {
			case <-node.heard:
				return true
			case <-time.After(5 * time.Millisecond):
				return false
			}
		})
	}
	tell(2) // it has read no list itself
	node.gossip.SetPeers([]gossip.Peer{{Address: peer, DataCentre: "a"}})
	tell(1)
	is.Equal(node.others.Load(), int64(0))
	tell(2)
	is.True(node.others.Load() > 0)
}
