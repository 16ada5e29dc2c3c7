// Package gossip speaks to the other instances over UDP: each tells all others
// what requests it has under way and how fresh what it read of the store is.
// A datagram that is lost costs nothing but age, since each holds everything.
//
// An instance tells those of its own data centre itself, and one of each other
// data centre that hands it on there, another one each time: bytes between data
// centres are priced, and one that is gone costs single datagrams.
package gossip

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/cell"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/gossip/wire"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/readings"
)

// Error is the class of this package's errors.
var Error = errs.Class("gossip")

const (
	// heartbeat is the longest time between two digests to a peer. What peers
	// have read of the store confirms what this instance holds, at that age.
	heartbeat = 250 * time.Millisecond
	// farHeartbeat is the same to other data centres: bytes between them are priced,
	// and most of them said that nothing had changed.
	farHeartbeat = 2 * heartbeat
	// coalesce is how long a change waits for others, so that a burst of
	// requests makes one digest and not one each.
	coalesce = 4 * time.Millisecond
	// forgetAfter is how long a peer that is silent and not in the store is kept.
	forgetAfter = 5 * time.Second
	// silentAfter is the silence after which a peer is not asked to hand on.
	silentAfter = time.Second
	// maxDatagram bounds what is read, in bytes.
	maxDatagram = 64 << 10
	// readPause is the wait of the receiver after an error, so that one that lasts
	// does not take the processor.
	readPause = 10 * time.Millisecond
)

// Freshness is how old what an instance has read of the store is.
type Freshness struct {
	RoutingVersion peridotpath.RoutingVersion
	RoutingAge     time.Duration
	// Endpoints names the content of the reading of the endpoints.
	Endpoints    uint64
	EndpointsAge time.Duration
	// Era is the newest one of the store that was met, EraAge how long ago it was first met,
	// where EraDated says that this is known.
	Era      keyvalue.Era
	EraAge   time.Duration
	EraDated bool
}

// Gossip tells and hears digests. Set the exported fields before Run.
type Gossip struct {
	Instance    peridotpath.InstanceID
	Incarnation peridotpath.Incarnation
	Address     netip.AddrPort
	DataCentre  peridotpath.DataCentre
	// ReadingsPort is where peers may ask for what this instance has read.
	ReadingsPort uint16
	Book         *placement.Book
	// Facts is what all instances have to know.
	Facts *facts.Table
	// Clock goes on while the machine is suspended.
	Clock func() time.Duration
	// Fresh returns what this instance has read of the store.
	Fresh func() Freshness
	// Heard is called with what a peer has read of the store, and where it can be
	// asked for it. Asked is a time on this instance's clock that surely came
	// before the peer spoke, to which the ages are related; zero where none did.
	Heard func(peer readings.Peer, fresh Freshness, asked time.Duration)
	// OtherCells is called when a peer knows of another number of cells.
	OtherCells func()
	Log        zerolog.Logger

	dirty    clock.Signal
	mutex    sync.Mutex
	cells    cells
	peers    map[netip.AddrPort]*peer
	sequence uint64
	// turn counts the digests, to choose who hands them on.
	turn int
	// toldFar is when other data centres were told last, againDue when lasting facts are
	// told again.
	toldFar, againDue time.Time
}

// Peer is where an instance is.
type Peer struct {
	Address    netip.AddrPort
	DataCentre peridotpath.DataCentre
}

type peer struct {
	instance    peridotpath.InstanceID
	incarnation peridotpath.Incarnation
	dataCentre  peridotpath.DataCentre
	// echo is the newest clock reading that the peer has told.
	echo  uint64
	heard time.Time
	// listed says that the store names the peer.
	listed bool
}

// Changed asks for a digest soon. It never waits.
func (gossip *Gossip) Changed() { gossip.dirty.Raise() }

// SetPeers takes the peers that the store names.
func (gossip *Gossip) SetPeers(peers []Peer) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for _, known := range gossip.peers {
		known.listed = false
	}
	before := len(gossip.peers)
	for _, listed := range peers {
		if listed.Address != gossip.Address {
			peer := gossip.peer(listed.Address)
			peer.listed, peer.dataCentre = true, listed.DataCentre
		}
	}
	if len(gossip.peers) > before {
		// Those that are new here may not know this instance either, and have what it
		// waits for.
		gossip.Changed()
	}
	fleet := 1
	for _, known := range gossip.peers {
		if known.listed {
			fleet++
		}
	}
	if gossip.cells.divide(cell.Of(gossip.Address, fleet), time.Now()) {
		gossip.Log.Info().Int("instances", fleet).Int("cells", gossip.cells.due.Count()).Msg("cells_changed")
	}
}

// Cell returns the part of the fleet whose endpoints this instance sends to.
func (gossip *Gossip) Cell() cell.Cell { return gossip.cells.Used() }

func (gossip *Gossip) peer(address netip.AddrPort) *peer {
	if gossip.peers == nil {
		gossip.peers = map[netip.AddrPort]*peer{}
	}
	known := gossip.peers[address]
	if known == nil {
		known = &peer{heard: time.Now()}
		gossip.peers[address] = known
	}
	return known
}

// Run tells and hears until ctx ends.
func (gossip *Gossip) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(gossip.Address))
	if err != nil {
		return Error.Wrap(err)
	}
	defer conn.Close()
	// Closing ends the receiver's wait at once: a process that is told to end has
	// little time left.
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	ended := make(chan error, 1)
	go func() { ended <- gossip.receive(ctx, conn) }()
	for {
		select {
		case <-ctx.Done():
			return <-ended
		case <-time.After(heartbeat):
			gossip.tell(conn, gossip.farDue(time.Now()))
		case <-gossip.dirty.C():
			time.Sleep(coalesce)
			gossip.tell(conn, true)
		}
	}
}

// farDue reports whether other data centres are to hear though nothing changed.
func (gossip *Gossip) farDue(now time.Time) bool { return now.Sub(gossip.toldFar) >= farHeartbeat }

// tell sends one digest to every peer, or to those of the own data centre only where
// there is no fact to tell.
func (gossip *Gossip) tell(conn *net.UDPConn, far bool) {
	// The echoes come first: a receiver relates the ages to the echo, so that it
	// must be older than they are. Were the process frozen in between, an echo
	// taken afterwards would make what was read before the freeze look fresh.
	now := time.Now()
	told := encodeFacts(gossip.Facts.Tell(now, gossip.again(now)), now)
	targets := gossip.targets(now, far || len(told) > 0)
	digest := gossip.digest()
	digest.Facts = told
	common, err := proto.Marshal(digest)
	if err != nil {
		gossip.Log.Error().Err(err).Msg("digest_unmade")
		return
	}
	for _, target := range targets {
		gossip.send(conn, target.address, common, &wire.Digest{Echo: target.echo, HandOn: target.handOn})
	}
	gossip.tellAbroad(conn, told, now)
}

// send sends a digest with what is for one receiver only: two messages in a row
// read as one.
func (gossip *Gossip) send(conn *net.UDPConn, to netip.AddrPort, common []byte, own *wire.Digest) {
	datagram, err := proto.MarshalOptions{}.MarshalAppend(common[:len(common):len(common)], own)
	if err == nil {
		_, err = conn.WriteToUDPAddrPort(datagram, to)
	}
	if err != nil {
		gossip.Log.Debug().Err(err).Stringer("peer", to).Msg("digest_unsent")
	}
}

// handOn tells the own data centre what an instance of another one said.
func (gossip *Gossip) handOn(conn *net.UDPConn, digest *wire.Digest) {
	digest.HandOn, digest.HandedOn, digest.Echo = false, true, 0
	datagram, err := proto.Marshal(digest)
	if err != nil {
		gossip.Log.Error().Err(err).Msg("digest_unmade")
		return
	}
	gossip.mutex.Lock()
	var addresses []netip.AddrPort
	own := gossip.cells.told
	for address, peer := range gossip.peers {
		if peer.dataCentre == gossip.DataCentre && peer.instance != peridotpath.InstanceID(digest.Instance) && own.HasInstance(address) {
			addresses = append(addresses, address)
		}
	}
	gossip.mutex.Unlock()
	for _, address := range addresses {
		if _, err := conn.WriteToUDPAddrPort(datagram, address); err != nil {
			gossip.Log.Debug().Err(err).Stringer("peer", address).Msg("digest_unsent")
		}
	}
}

func (gossip *Gossip) digest() *wire.Digest {
	fresh, now := gossip.Fresh(), time.Now()
	gossip.mutex.Lock()
	cells := gossip.cells.known()
	gossip.mutex.Unlock()
	gossip.sequence++
	digest := &wire.Digest{
		Instance: string(gossip.Instance), Incarnation: uint64(gossip.Incarnation), Sequence: gossip.sequence,
		DataCentre: string(gossip.DataCentre), Address: gossip.Address.String(), ReadingsPort: uint32(gossip.ReadingsPort),
		RoutingVersion: uint64(fresh.RoutingVersion), RoutingAge: clock.Micros(fresh.RoutingAge),
		Endpoints: fresh.Endpoints, EndpointsAge: clock.Micros(fresh.EndpointsAge), Cells: uint32(cells),
		Era: uint64(fresh.Era), EraAge: clock.Micros(fresh.EraAge), EraDated: fresh.EraDated,
	}
	for _, flight := range gossip.Book.Own() {
		digest.Flights = append(digest.Flights, encodeFlight(&flight, now))
	}
	for _, wait := range gossip.Book.OwnWaits() {
		digest.Waits = append(digest.Waits, encodeWait(&wait, now))
	}
	for _, suspicion := range gossip.Book.OwnSuspicions(now) {
		digest.Suspicions = append(digest.Suspicions, &wire.Suspicion{
			Endpoint: uint64(suspicion.Endpoint), Left: clock.Micros(suspicion.Until.Sub(now)),
		})
	}
	digest.Sent = clock.Micros(gossip.Clock())
	return digest
}

func (gossip *Gossip) receive(ctx context.Context, conn *net.UDPConn) error {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		length, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			// Peers that are gone make such errors, and the socket's end makes one;
			// what was not heard is told again.
			clock.Pause(ctx, readPause)
			continue
		}
		digest := &wire.Digest{}
		if err := proto.Unmarshal(buffer[:length], digest); err != nil {
			gossip.Log.Debug().Err(err).Stringer("peer", from).Msg("digest_unread")
			continue
		}
		gossip.hear(conn, digest, time.Now())
	}
	return ctx.Err()
}

// hear takes one digest in.
func (gossip *Gossip) hear(conn *net.UDPConn, digest *wire.Digest, now time.Time) {
	from, err := netip.ParseAddrPort(digest.Address)
	if err != nil || digest.Instance == "" || digest.Instance == string(gossip.Instance) {
		return
	}
	gossip.Facts.Hear(decodeFacts(digest, now), digest.FactsOnly)
	if digest.FactsOnly {
		return
	}
	gossip.mutex.Lock()
	peer := gossip.peer(from)
	if peer.instance != peridotpath.InstanceID(digest.Instance) || peer.incarnation != peridotpath.Incarnation(digest.Incarnation) {
		peer.instance, peer.incarnation = peridotpath.InstanceID(digest.Instance), peridotpath.Incarnation(digest.Incarnation)
		gossip.Log.Info().Str("peer", digest.Instance).Stringer("address", from).Msg("peer_heard")
		// One that has just started waits to be told.
		gossip.againDue = time.Time{}
		gossip.Changed()
	}
	peer.dataCentre = peridotpath.DataCentre(digest.DataCentre)
	peer.heard = now
	peer.echo = digest.Sent
	known := gossip.cells.known()
	gossip.mutex.Unlock()
	if known != 0 && digest.Cells != 0 && int(digest.Cells) != known {
		gossip.OtherCells()
	}
	near := peer.dataCentre == gossip.DataCentre
	echo, handOn := digest.Echo, digest.HandOn
	gossip.Book.HearPeer(decodeReport(digest, now), now)
	if handOn {
		gossip.handOn(conn, digest)
	}
	asked := clock.FromMicros(echo)
	if asked > gossip.Clock() {
		// A clock reading of before this machine's last start is none of this run's.
		asked = 0
	}
	gossip.Heard(readings.Peer{Address: netip.AddrPortFrom(from.Addr(), uint16(digest.ReadingsPort)), Near: near}, Freshness{
		RoutingVersion: peridotpath.RoutingVersion(digest.RoutingVersion), RoutingAge: clock.FromMicros(digest.RoutingAge),
		Endpoints: digest.Endpoints, EndpointsAge: clock.FromMicros(digest.EndpointsAge),
		Era: keyvalue.Era(digest.Era), EraAge: clock.FromMicros(digest.EraAge), EraDated: digest.EraDated,
	}, asked)
}
