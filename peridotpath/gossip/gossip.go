// Package gossip exchanges state with the other instances over UDP. Each instance sends
// digests with its in-flight requests, its queued prompts, the endpoints that it has
// ejected, new facts, and how fresh its snapshot of the store is. Apart from the facts, a
// digest holds the complete state, so that a lost datagram only leaves the receiver with an
// older one.
//
// It matters under many concurrent requests through many instances, each of which places
// requests by the load that the whole cell causes. An instance sends its digests directly
// to the peers of its own data centre and cell. To each other data centre it sends one
// copy, to a peer that forwards it there, since traffic between data centres is metered.
// The forwarding peer rotates, so that a dead one loses single datagrams only.
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
	// heartbeatInterval is the longest time between two digests to a peer. A digest of a
	// peer with the same snapshot of the store confirms the local snapshot, as of the age
	// that the digest states.
	heartbeatInterval = 250 * time.Millisecond
	// remoteHeartbeatInterval is the longest time between two digests to another data
	// centre. Traffic between data centres is metered, and most heartbeats report no change.
	remoteHeartbeatInterval = 2 * heartbeatInterval
	// coalesceDelay is how long a change waits for further ones, so that a burst of
	// requests makes one digest.
	coalesceDelay = 4 * time.Millisecond
	// forgetPeerAfter is the silence after which an unregistered peer is removed.
	forgetPeerAfter = 5 * time.Second
	// peerSilentAfter is the silence after which a peer is asked to forward digests only if
	// all others of its data centre are silent too, and does not count in Rank.
	peerSilentAfter = time.Second
	// maxDatagramBytes bounds a datagram that is received.
	maxDatagramBytes = 64 << 10
	// receiveErrorPause is the pause after a receive error. It keeps a persistent error
	// from using up the processor.
	receiveErrorPause = 10 * time.Millisecond
)

// Freshness is the version and age of the snapshot of the store that an instance holds.
type Freshness struct {
	RoutingVersion peridotpath.RoutingVersion
	RoutingAge     time.Duration
	// EndpointsHash is the hash of the endpoints in the snapshot.
	EndpointsHash uint64
	EndpointsAge  time.Duration
	// Era is the newest era of the store that was seen, and EraAge the time since it was
	// first seen, valid if EraAgeKnown is set.
	Era         keyvalue.Era
	EraAge      time.Duration
	EraAgeKnown bool
}

// Gossip sends and receives digests. Set the exported fields before Run.
type Gossip struct {
	Instance    peridotpath.InstanceID
	Incarnation peridotpath.Incarnation
	Address     netip.AddrPort
	DataCentre  peridotpath.DataCentre
	// SnapshotPort is the port on which peers may fetch the snapshot of the store that this
	// instance holds.
	SnapshotPort uint16
	Loads        *placement.LoadTracker
	// Facts holds the facts that all instances share.
	Facts *facts.Table
	// Clock returns the time since boot, which advances while the machine is suspended.
	Clock func() time.Duration
	// LocalFreshness returns the freshness of the local snapshot of the store.
	LocalFreshness func() Freshness
	// OnPeerFreshness is called with the freshness of a peer's snapshot of the store, and
	// the address from which it can be fetched. The ages in fresh are relative to echo, a
	// value of this instance's clock that the peer received before it made the digest; zero
	// if the digest carries none.
	OnPeerFreshness func(peer readings.Peer, fresh Freshness, echo time.Duration)
	// OnCellCountMismatch is called when a peer reports another number of cells.
	OnCellCountMismatch func()
	// Carries reports whether this instance carries connections to endpoints for peers, at
	// SnapshotPort; nil for an instance that does not.
	Carries func() bool
	Log     zerolog.Logger

	digestRequested clock.Signal
	mutex           sync.Mutex
	cells           cellMembership
	peers           map[netip.AddrPort]*peer
	sequence        uint64
	// remoteDigestCount is the number of digests sent to other data centres. It selects the
	// forwarder of the next one.
	remoteDigestCount int
	// remoteSentAt is when other data centres were last sent a digest, resendDueAt when the
	// facts that are repeated periodically are due next.
	remoteSentAt, resendDueAt time.Time
}

// Peer is the location of an instance.
type Peer struct {
	// Address is the one for gossip, and SnapshotPort the port of the same machine at which other
	// instances fetch snapshots and join its group; zero where unknown.
	Address      netip.AddrPort
	SnapshotPort uint16
	DataCentre   peridotpath.DataCentre
	// IsRegistrar reports whether the instance has an entry of its own in the store.
	IsRegistrar bool
}

type peer struct {
	instance    peridotpath.InstanceID
	incarnation peridotpath.Incarnation
	dataCentre  peridotpath.DataCentre
	// echoMicros is the newest value of the peer's clock that was received from it, in
	// microseconds.
	clockMicros uint64
	receivedAt  time.Time
	// registered reports whether the peer is listed in the registry, and snapshotPort is its port
	// for snapshots by the list; zero where unknown.
	registered   bool
	snapshotPort uint16
	// carryPort is the port at which the peer carries connections to endpoints; zero if it carries
	// none.
	carryPort uint16
}

// RequestDigest requests a digest soon. It never blocks.
func (gossip *Gossip) RequestDigest() { gossip.digestRequested.Raise() }

// SetPeers sets the peers that are listed in the registry.
func (gossip *Gossip) SetPeers(peers []Peer) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	for _, peer := range gossip.peers {
		peer.registered = false
	}
	before := len(gossip.peers)
	for _, listed := range peers {
		if listed.Address != gossip.Address {
			peer := gossip.findOrAddPeer(listed.Address)
			peer.registered, peer.dataCentre, peer.snapshotPort = true, listed.DataCentre, listed.SnapshotPort
		}
	}
	if len(gossip.peers) > before {
		// New peers may not have this instance in their list yet, and may hold the
		// snapshot that it needs.
		gossip.RequestDigest()
	}
	gossip.updateCells()
}

// updateCells divides the fleet into cells by the number of peers. The caller holds the mutex.
//
// Peers that are heard and not listed count, too: if the list falls short of the fleet, the fleet
// would otherwise seem to be fewer cells, in which every instance sends its digests to hundreds.
func (gossip *Gossip) updateCells() {
	now, fleetSize := time.Now(), 1
	for _, peer := range gossip.peers {
		isHeard := peer.instance != "" && now.Sub(peer.receivedAt) < forgetPeerAfter
		if peer.registered || isHeard {
			fleetSize++
		}
	}
	if gossip.cells.update(cell.Of(gossip.Address, fleetSize), now) {
		gossip.Log.Info().Int("instances", fleetSize).Int("cells", gossip.cells.latestCell.Count()).Msg("cells_changed")
	}
}

// Cell returns the cell to whose endpoints this instance sends requests.
func (gossip *Gossip) Cell() cell.Cell { return gossip.cells.EndpointCell() }

// findOrAddPeer returns the peer at an address. It adds the peer if it is unknown.
func (gossip *Gossip) findOrAddPeer(address netip.AddrPort) *peer {
	if gossip.peers == nil {
		gossip.peers = map[netip.AddrPort]*peer{}
	}
	found := gossip.peers[address]
	if found == nil {
		found = &peer{receivedAt: time.Now()}
		gossip.peers[address] = found
	}
	return found
}

// Run sends and receives digests until ctx ends.
func (gossip *Gossip) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(gossip.Address))
	if err != nil {
		return Error.Wrap(err)
	}
	defer conn.Close()
	// Closing the socket unblocks the receiver at once: a process that shuts down has
	// little time left.
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	ended := make(chan error, 1)
	go func() { ended <- gossip.receiveDigests(ctx, conn) }()
	for {
		select {
		case <-ctx.Done():
			return <-ended
		case <-time.After(heartbeatInterval):
			gossip.sendDigests(conn, gossip.remoteHeartbeatDue(time.Now()))
		case <-gossip.digestRequested.C():
			time.Sleep(coalesceDelay)
			gossip.sendDigests(conn, true)
		}
	}
}

// remoteHeartbeatDue reports whether other data centres are due a heartbeat.
func (gossip *Gossip) remoteHeartbeatDue(now time.Time) bool {
	return now.Sub(gossip.remoteSentAt) >= remoteHeartbeatInterval
}

// sendDigests sends a digest to the peers in this data centre and, with remote or if there
// are facts to send, to the other data centres.
func (gossip *Gossip) sendDigests(conn *net.UDPConn, remote bool) {
	// The echoes are taken before the ages: a receiver relates the ages to its echo,
	// which must therefore be older. If the process was suspended between the two, an
	// echo taken last would make a snapshot from before the suspension look fresh.
	now := time.Now()
	encoded := encodeFacts(gossip.Facts.TakeDue(now, gossip.takeResendDue(now)), now)
	targets := gossip.selectTargets(now, remote || len(encoded) > 0)
	digest := gossip.nextDigest()
	digest.Facts = encoded
	common, err := proto.Marshal(digest)
	if err != nil {
		gossip.Log.Error().Err(err).Msg("digest_unmade")
		return
	}
	for _, target := range targets {
		gossip.sendDigest(conn, target.address, common, &wire.Digest{Echo: target.echoMicros, HandOn: target.forward})
	}
	gossip.sendFactsToOtherCells(conn, encoded, now)
}

// sendDigest sends the encoded digest that is common to all receivers, followed by the
// fields for one of them: concatenated protobuf messages decode as one merged message.
func (gossip *Gossip) sendDigest(conn *net.UDPConn, to netip.AddrPort, common []byte, specific *wire.Digest) {
	datagram, err := proto.MarshalOptions{}.MarshalAppend(common[:len(common):len(common)], specific)
	if err == nil {
		_, err = conn.WriteToUDPAddrPort(datagram, to)
	}
	if err != nil {
		gossip.Log.Debug().Err(err).Stringer("peer", to).Msg("digest_unsent")
	}
}

// forward forwards a digest from another data centre to the peers in this one.
func (gossip *Gossip) forward(conn *net.UDPConn, digest *wire.Digest) {
	digest.HandOn, digest.HandedOn, digest.Echo = false, true, 0
	datagram, err := proto.Marshal(digest)
	if err != nil {
		gossip.Log.Error().Err(err).Msg("digest_unmade")
		return
	}
	gossip.mutex.Lock()
	var addresses []netip.AddrPort
	gossipCell := gossip.cells.gossipCell
	for address, peer := range gossip.peers {
		if peer.dataCentre == gossip.DataCentre && peer.instance != peridotpath.InstanceID(digest.Instance) && gossipCell.HasInstance(address) {
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

// nextDigest returns the digest of the current state, with the next sequence number.
func (gossip *Gossip) nextDigest() *wire.Digest {
	fresh, now := gossip.LocalFreshness(), time.Now()
	gossip.mutex.Lock()
	cells := gossip.cells.latestCount()
	gossip.mutex.Unlock()
	gossip.sequence++
	digest := &wire.Digest{
		Instance: string(gossip.Instance), Incarnation: uint64(gossip.Incarnation), Sequence: gossip.sequence,
		DataCentre: string(gossip.DataCentre), Address: gossip.Address.String(), ReadingsPort: uint32(gossip.SnapshotPort),
		RoutingVersion: uint64(fresh.RoutingVersion), RoutingAge: clock.Micros(fresh.RoutingAge),
		Endpoints: fresh.EndpointsHash, EndpointsAge: clock.Micros(fresh.EndpointsAge), Cells: uint32(cells),
		Era: uint64(fresh.Era), EraAge: clock.Micros(fresh.EraAge), EraDated: fresh.EraAgeKnown,
	}
	digest.Carries = gossip.Carries != nil && gossip.Carries()
	for _, request := range gossip.Loads.LocalInFlight() {
		digest.Flights = append(digest.Flights, encodeInFlight(&request, now))
	}
	for _, queued := range gossip.Loads.LocalQueued() {
		digest.Waits = append(digest.Waits, encodeQueuedPrompt(&queued, now))
	}
	for _, usage := range gossip.Loads.LocalUsages() {
		digest.Usages = append(digest.Usages, encodeUsage(usage))
	}
	digest.ShortWaits = encodeShortWaits(gossip.Loads.LocalShortWaits())
	for _, ejection := range gossip.Loads.LocalEjections(now) {
		digest.Suspicions = append(digest.Suspicions, &wire.Suspicion{
			Endpoint: uint64(ejection.Endpoint), Left: clock.Micros(ejection.Until.Sub(now)),
		})
	}
	digest.Sent = clock.Micros(gossip.Clock())
	return digest
}

// receiveDigests receives digests until ctx ends.
func (gossip *Gossip) receiveDigests(ctx context.Context, conn *net.UDPConn) error {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		length, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			// Datagrams to unreachable peers cause such errors, and so does closing the
			// socket. A missed digest is superseded by the next one.
			clock.SleepContext(ctx, receiveErrorPause)
			continue
		}
		digest := &wire.Digest{}
		if err := proto.Unmarshal(buffer[:length], digest); err != nil {
			gossip.Log.Debug().Err(err).Stringer("peer", from).Msg("digest_unread")
			continue
		}
		gossip.handleDigest(conn, digest, time.Now())
	}
	return ctx.Err()
}

// handleDigest applies one received digest.
func (gossip *Gossip) handleDigest(conn *net.UDPConn, digest *wire.Digest, now time.Time) {
	from, err := netip.ParseAddrPort(digest.Address)
	if err != nil || digest.Instance == "" || digest.Instance == string(gossip.Instance) {
		return
	}
	gossip.Facts.Receive(decodeFacts(digest, now), digest.FactsOnly)
	if digest.FactsOnly {
		return
	}
	gossip.mutex.Lock()
	before := len(gossip.peers)
	peer := gossip.findOrAddPeer(from)
	if len(gossip.peers) > before && gossip.cells.latestCount() > 0 {
		gossip.updateCells()
	}
	if peer.instance != peridotpath.InstanceID(digest.Instance) || peer.incarnation != peridotpath.Incarnation(digest.Incarnation) {
		peer.instance, peer.incarnation = peridotpath.InstanceID(digest.Instance), peridotpath.Incarnation(digest.Incarnation)
		gossip.Log.Info().Str("peer", digest.Instance).Stringer("address", from).Msg("peer_heard")
		// A peer that has just started lacks the facts sent before its start.
		gossip.resendDueAt = time.Time{}
		gossip.RequestDigest()
	}
	peer.dataCentre = peridotpath.DataCentre(digest.DataCentre)
	peer.receivedAt = now
	peer.clockMicros = digest.Sent
	peer.carryPort = 0
	if digest.Carries {
		peer.carryPort = uint16(digest.ReadingsPort)
	}
	cellCount, inSameDataCentre := gossip.cells.latestCount(), peer.dataCentre == gossip.DataCentre
	gossip.mutex.Unlock()
	if cellCount != 0 && digest.Cells != 0 && int(digest.Cells) != cellCount {
		gossip.OnCellCountMismatch()
	}
	echoMicros, mustForward := digest.Echo, digest.HandOn
	gossip.Loads.ApplyPeerReport(decodeReport(digest, now), now)
	if mustForward {
		gossip.forward(conn, digest)
	}
	echo := clock.FromMicros(echoMicros)
	if echo > gossip.Clock() {
		// The echo predates the last boot of this machine.
		echo = 0
	}
	gossip.OnPeerFreshness(readings.Peer{Address: netip.AddrPortFrom(from.Addr(), uint16(digest.ReadingsPort)), InSameDataCentre: inSameDataCentre}, Freshness{
		RoutingVersion: peridotpath.RoutingVersion(digest.RoutingVersion), RoutingAge: clock.FromMicros(digest.RoutingAge),
		EndpointsHash: digest.Endpoints, EndpointsAge: clock.FromMicros(digest.EndpointsAge),
		Era: keyvalue.Era(digest.Era), EraAge: clock.FromMicros(digest.EraAge), EraAgeKnown: digest.EraDated,
	}, echo)
}
