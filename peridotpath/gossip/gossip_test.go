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

// freeAddress returns a free local UDP address.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return netip.MustParseAddrPort(conn.LocalAddr().String())
}

// receivedFreshness is the freshness that a node received from a peer.
type receivedFreshness struct {
	peer  netip.AddrPort
	fresh gossip.Freshness
	echo  time.Duration
}

// node is an instance that gossips and records the freshness that it receives.
type node struct {
	gossip   *gossip.Gossip
	loads    *placement.LoadTracker
	facts    *facts.Table
	received chan receivedFreshness
	// cellMismatches counts the digests with another number of cells.
	cellMismatches atomic.Int64
}

// startNode runs a node until the test ends.
func startNode(t *testing.T, id peridotpath.InstanceID, dataCentre peridotpath.DataCentre, fresh gossip.Freshness) *node {
	t.Helper()
	node := &node{loads: &placement.LoadTracker{}, facts: &facts.Table{}, received: make(chan receivedFreshness, 1000)}
	node.gossip = &gossip.Gossip{
		Instance: id, Incarnation: 1, Address: freeAddress(t), DataCentre: dataCentre, SnapshotPort: 99, Loads: node.loads, Facts: node.facts, Clock: clock.SinceBoot, Log: zerolog.Nop(),
		LocalFreshness: func() gossip.Freshness { return fresh },
		OnPeerFreshness: func(peer readings.Peer, fresh gossip.Freshness, echo time.Duration) {
			if echo > 0 {
				node.received <- receivedFreshness{peer.Address, fresh, echo}
			}
		},
	}
	node.gossip.OnCellCountMismatch = func() { node.cellMismatches.Add(1) }
	node.loads.OnChange = node.gossip.RequestDigest
	node.facts.OnChange = node.gossip.RequestDigest
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

// eventually waits until another goroutine has made the condition true.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out after 10 s: %s", description)
}

// A peer receives an instance's in-flight requests, queued prompts and ejections, even if
// only one of the two has the other in its list.
func TestLoadReachesPeer(t *testing.T) {
	is := is.New(t)
	fresh := gossip.Freshness{RoutingVersion: 7, RoutingAge: 300 * time.Millisecond, EndpointsHash: 9, EndpointsAge: 200 * time.Millisecond}
	sender, receiver := startNode(t, "one", "a", fresh), startNode(t, "two", "a", gossip.Freshness{})
	sender.gossip.SetPeers([]gossip.Peer{{Address: receiver.gossip.Address, DataCentre: "a"}})
	request := sender.loads.AddInFlight(placement.InFlight{
		Parts:        []placement.PrefillPart{{Endpoint: 5, PrefillTime: time.Second, ReservedKV: 70_000}, {Endpoint: 6, PrefillTime: time.Second, ReservedKV: 30_000}},
		PromptTokens: 100_000, ITLTarget: 800 * time.Millisecond, SentAt: time.Now(),
	})
	sender.loads.Join(placement.NewQueuedPrompt(time.Now(), 3*time.Second))
	sender.loads.EjectFailed(8, time.Now())
	eventually(t, "the load is received", func() bool {
		load := receiver.loads.Snapshot(time.Now()).At(6)
		return load.ReservedKV == 30_000 && load.PrefillBacklog > 500*time.Millisecond
	})
	is.Equal(receiver.loads.Snapshot(time.Now()).At(5).Prefilling, 1)
	eventually(t, "the ejection is received", func() bool { return receiver.loads.EjectedEndpoints(time.Now())[8] })
	queued := receiver.loads.Join(placement.NewQueuedPrompt(time.Now().Add(time.Second), 3*time.Second))
	count, prefill := receiver.loads.QueuedAhead(queued, "two", time.Now())
	is.Equal(count, 1)
	is.Equal(prefill, 3*time.Second)

	sender.loads.MarkDecoding(request)
	eventually(t, "prefill has ended", func() bool { return receiver.loads.Snapshot(time.Now()).At(6).PrefillBacklog == 0 })
	is.Equal(receiver.loads.Snapshot(time.Now()).At(6).ReservedKV, peridotpath.Tokens(30_000)) // the KV cache is still held
	sender.loads.RemoveInFlight(request)
	eventually(t, "the request has ended", func() bool { return receiver.loads.Snapshot(time.Now()).At(6).ReservedKV == 0 })

	// The receiver sends digests as well, so that the sender echoes its clock.
	got := <-receiver.received
	is.Equal(got.fresh, fresh)
	is.True(got.echo <= clock.SinceBoot())
	is.Equal(got.peer, netip.AddrPortFrom(sender.gossip.Address.Addr(), 99))
}

// A digest to another data centre goes to one instance, which forwards it to the peers
// there: all receive the load, though a single datagram crosses. A forwarded digest
// confirms no snapshot of the store, since its echo is for another receiver.
func TestDigestIsForwarded(t *testing.T) {
	remote := startNode(t, "far", "b", gossip.Freshness{RoutingVersion: 7})
	near := []*node{startNode(t, "near-1", "a", gossip.Freshness{}), startNode(t, "near-2", "a", gossip.Freshness{}), startNode(t, "near-3", "a", gossip.Freshness{})}
	var all []gossip.Peer
	for _, node := range near {
		all = append(all, gossip.Peer{Address: node.gossip.Address, DataCentre: "a"})
	}
	for _, node := range near {
		node.gossip.SetPeers(append(all, gossip.Peer{Address: remote.gossip.Address, DataCentre: "b"}))
	}
	remote.gossip.SetPeers(all[:1])
	remote.loads.AddInFlight(placement.InFlight{Parts: []placement.PrefillPart{{Endpoint: 5, ReservedKV: 10}}, SentAt: time.Now()})
	for _, node := range near {
		eventually(t, "the load is received", func() bool { return node.loads.Snapshot(time.Now()).At(5).ReservedKV == 10 })
	}
	eventually(t, "all peers are live", func() bool { return near[2].loads.LivePeerCount(time.Now()) == 3 })
}

// A digest that arrives out of order, or from an earlier start of its sender, must be
// dropped.
func TestOutdatedDigestIsDropped(t *testing.T) {
	is := is.New(t)
	loads := &placement.LoadTracker{}
	now := time.Now()
	requests := []placement.InFlight{{Parts: []placement.PrefillPart{{Endpoint: 5, ReservedKV: 10}}}}
	loads.ApplyPeerReport(placement.PeerReport{Peer: "one", Incarnation: 1, Sequence: 4, InFlight: requests}, now)
	loads.ApplyPeerReport(placement.PeerReport{Peer: "one", Incarnation: 1, Sequence: 3}, now)
	is.Equal(loads.Snapshot(now).At(5).ReservedKV, peridotpath.Tokens(10))
	loads.ApplyPeerReport(placement.PeerReport{Peer: "one", Incarnation: 2, Sequence: 1}, now) // restarted
	is.Equal(loads.Snapshot(now).At(5).ReservedKV, peridotpath.Tokens(0))
	loads.ApplyPeerReport(placement.PeerReport{Peer: "one", Incarnation: 1, Sequence: 5, InFlight: requests}, now)
	is.Equal(loads.Snapshot(now).At(5).ReservedKV, peridotpath.Tokens(0))
}

// A peer dies with in-flight requests. Endpoints drop these with their connections, so
// their load must expire.
func TestDeadPeerExpires(t *testing.T) {
	is := is.New(t)
	loads := &placement.LoadTracker{}
	now := time.Now()
	loads.ApplyPeerReport(placement.PeerReport{Peer: "one", Incarnation: 1, Sequence: 1, InFlight: []placement.InFlight{{Parts: []placement.PrefillPart{{Endpoint: 5, ReservedKV: 10}}}}}, now)
	is.Equal(loads.LivePeerCount(now.Add(time.Second)), 1)
	is.Equal(loads.LivePeerCount(now.Add(3*time.Second)), 0)
	is.Equal(loads.Snapshot(now.Add(3*time.Second)).At(5).ReservedKV, peridotpath.Tokens(0))
}

// A digest that stood in a buffer for 500 ms must not make an old snapshot look fresh, or a
// revoked key stays usable. Its ages count from the echo, a value of the receiver's own
// clock.
func TestConfirmationIsRelativeToEcho(t *testing.T) {
	is := is.New(t)
	receiver := startNode(t, "one", "a", gossip.Freshness{})
	conn, err := net.Dial("udp4", receiver.gossip.Address.String())
	is.NoErr(err)
	defer conn.Close()
	echo := clock.SinceBoot() - 500*time.Millisecond
	datagram, err := proto.Marshal(&wire.Digest{
		Instance: "two", Address: "127.0.0.1:9", RoutingVersion: 7, RoutingAge: clock.Micros(100 * time.Millisecond), Echo: clock.Micros(echo),
	})
	is.NoErr(err)
	eventually(t, "the digest is received", func() bool {
		// Repeated, since the instance may not listen yet.
		_, _ = conn.Write(datagram)
		return len(receiver.received) > 0
	})
	got := <-receiver.received
	is.Equal(got.echo, echo.Truncate(time.Microsecond))
	is.Equal(got.fresh.RoutingAge, 100*time.Millisecond)
}

// Malformed datagrams do not stop the receiver, and an echo that lies in the future is
// ignored.
func TestMalformedDatagramsAreIgnored(t *testing.T) {
	receiver, sender := startNode(t, "one", "a", gossip.Freshness{}), startNode(t, "two", "a", gossip.Freshness{})
	conn, err := net.Dial("udp4", receiver.gossip.Address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	empty, _ := proto.Marshal(&wire.Digest{Instance: "x", Address: "127.0.0.1:9", Flights: []*wire.Flight{{}}, Echo: 1 << 62})
	for _, datagram := range [][]byte{nil, {0}, []byte("\xff\xff\xff"), empty} {
		_, _ = conn.Write(datagram)
	}
	sender.gossip.SetPeers([]gossip.Peer{{Address: receiver.gossip.Address, DataCentre: "a"}})
	sender.loads.AddInFlight(placement.InFlight{Parts: []placement.PrefillPart{{Endpoint: 5, ReservedKV: 10}}, SentAt: time.Now()})
	eventually(t, "digests are received", func() bool { return receiver.loads.Snapshot(time.Now()).At(5).ReservedKV == 10 })
	if len(receiver.received) > 0 {
		t.Error("an echo that lies in the future was accepted")
	}
}

// With every digest to every peer, an instance in a fleet of 300 receives 1,000 digests a
// second and more, which takes a third of its processor time. Digests must go only to the
// peers of the sender's own cell.
func TestDigestsStayWithinCell(t *testing.T) {
	is := is.New(t)
	received := map[netip.AddrPort]*atomic.Bool{}
	var peers []gossip.Peer
	for range 24 {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		is.NoErr(err)
		defer conn.Close()
		address, got := netip.MustParseAddrPort(conn.LocalAddr().String()), &atomic.Bool{}
		received[address] = got
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
	sender := startNode(t, "one", "a", gossip.Freshness{})
	sender.gossip.SetPeers(peers)
	senderCell := sender.gossip.Cell()
	is.Equal(senderCell, cell.Of(sender.gossip.Address, len(peers)+1))
	is.True(senderCell.Count() > 1)
	eventually(t, "exactly the peers of the cell receive digests", func() bool {
		for address, got := range received {
			if senderCell.HasInstance(address) != got.Load() {
				return false
			}
		}
		return true
	})
	sender.gossip.SetPeers(peers[:24])
	eventually(t, "all peers receive digests once the fleet is small", func() bool {
		for _, got := range received {
			if !got.Load() {
				return false
			}
		}
		return true
	})
}

// The fleet has grown and is divided into two cells. A peer has read the new list of
// instances, while the next list of this instance may be due only in most of a minute. A
// digest of that peer must report the other number of cells.
func TestOtherCellCountIsReported(t *testing.T) {
	is := is.New(t)
	node := startNode(t, "one", "a", gossip.Freshness{})
	peer := freeAddress(t)
	conn, err := net.Dial("udp4", node.gossip.Address.String())
	is.NoErr(err)
	defer conn.Close()
	sequence := uint64(0)
	// sendUntilReceived repeats a digest until the node receives one, since it may not
	// listen yet.
	sendUntilReceived := func(cells uint32) {
		eventually(t, "the digest is received", func() bool {
			sequence++
			datagram, err := proto.Marshal(&wire.Digest{
				Instance: "two", Incarnation: 1, Sequence: sequence, Address: peer.String(), DataCentre: "a", Cells: cells, Echo: 1,
			})
			is.NoErr(err)
			// An error means that the node does not listen yet.
			_, _ = conn.Write(datagram)
			select {
			case <-node.received:
				return true
			case <-time.After(5 * time.Millisecond):
				return false
			}
		})
	}
	sendUntilReceived(2) // the node has read no list yet
	node.gossip.SetPeers([]gossip.Peer{{Address: peer, DataCentre: "a"}})
	sendUntilReceived(1)
	is.Equal(node.cellMismatches.Load(), int64(0))
	sendUntilReceived(2)
	is.True(node.cellMismatches.Load() > 0)
}
