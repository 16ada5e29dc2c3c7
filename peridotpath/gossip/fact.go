package gossip

import (
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/gossip/wire"
)

// encodeFacts encodes facts for a digest, with their ages at the time now.
func encodeFacts(list []facts.Fact, now time.Time) []*wire.Fact {
	var encoded []*wire.Fact
	for i := range list {
		fact := &list[i]
		encoded = append(encoded, &wire.Fact{
			Kind: uint32(fact.Kind), Subject: fact.Subject[:], Detail: fact.Detail, Value: fact.Value, Age: clock.Micros(now.Sub(fact.ObservedAt)),
		})
	}
	return encoded
}

// decodeFacts decodes the facts of a digest that was received at the time now. It skips
// malformed ones.
func decodeFacts(digest *wire.Digest, now time.Time) []facts.Fact {
	var decoded []facts.Fact
	for _, encoded := range digest.Facts {
		if len(encoded.Subject) != len(facts.Subject{}) || !(encoded.Value >= 0) || math.IsInf(encoded.Value, 1) {
			// Only an instance of another version sends such a fact.
			continue
		}
		decoded = append(decoded, facts.Fact{
			Kind: facts.Kind(encoded.Kind), Subject: facts.Subject(encoded.Subject), Detail: encoded.Detail, Value: encoded.Value,
			ObservedAt: now.Add(-clock.FromMicros(encoded.Age)), Source: peridotpath.InstanceID(digest.Instance),
		})
	}
	return decoded
}

// takeResendDue reports whether the next digest repeats the facts that are resent
// periodically, although peers should hold them already, and schedules the following
// repetition. The interval grows with the number of peers, so that the fleet as a whole
// repeats them several times a second and an instance that was suspended receives them
// soon. A new peer makes them due at once. Otherwise the schedule depends on time alone,
// since a busy instance sends no heartbeats.
func (gossip *Gossip) takeResendDue(now time.Time) bool {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	if now.Before(gossip.resendDueAt) {
		return false
	}
	interval := time.Duration(1+len(gossip.peers)) * heartbeatInterval
	gossip.resendDueAt = now.Add(interval/2 + rand.N(interval))
	return true
}

// sendFactsToOtherCells sends facts to one instance of each other cell, picked at random
// each time. Cells may share endpoints, and a request may arrive at any instance, so facts
// must cross cells.
func (gossip *Gossip) sendFactsToOtherCells(conn *net.UDPConn, list []*wire.Fact, now time.Time) {
	if len(list) == 0 {
		return
	}
	datagram, err := proto.Marshal(&wire.Digest{
		Instance: string(gossip.Instance), Address: gossip.Address.String(), Facts: list, FactsOnly: true,
	})
	if err != nil {
		gossip.Log.Error().Err(err).Msg("digest_unmade")
		return
	}
	for _, address := range gossip.otherCellTargets(now) {
		if _, err := conn.WriteToUDPAddrPort(datagram, address); err != nil {
			gossip.Log.Debug().Err(err).Stringer("peer", address).Msg("digest_unsent")
		}
	}
}

// otherCellTargets returns one registered instance of each other cell, picked at random.
func (gossip *Gossip) otherCellTargets(now time.Time) []netip.AddrPort {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossipCell := gossip.cells.gossipCell
	if gossipCell.Count() == 1 {
		return nil
	}
	cells := make([][]netip.AddrPort, gossipCell.Count())
	for address, peer := range gossip.peers {
		if peer.registered && !gossipCell.HasInstance(address) {
			index := gossipCell.IndexOf(address)
			cells[index] = append(cells[index], address)
		}
	}
	var picked []netip.AddrPort
	for _, addresses := range cells {
		if len(addresses) > 0 {
			slices.SortFunc(addresses, netip.AddrPort.Compare)
			picked = append(picked, addresses[rand.IntN(len(addresses))])
		}
	}
	return picked
}
