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

func encodeFacts(told []facts.Fact, now time.Time) []*wire.Fact {
	var encoded []*wire.Fact
	for i := range told {
		fact := &told[i]
		encoded = append(encoded, &wire.Fact{
			Kind: uint32(fact.Kind), Subject: fact.Subject[:], Detail: fact.Detail, Value: fact.Value, Age: clock.Micros(now.Sub(fact.At)),
		})
	}
	return encoded
}

func decodeFacts(digest *wire.Digest, now time.Time) []facts.Fact {
	var told []facts.Fact
	for _, encoded := range digest.Facts {
		if len(encoded.Subject) != len(facts.Subject{}) || !(encoded.Value >= 0) || math.IsInf(encoded.Value, 1) {
			// It could only come from another version.
			continue
		}
		told = append(told, facts.Fact{
			Kind: facts.Kind(encoded.Kind), Subject: facts.Subject(encoded.Subject), Detail: encoded.Detail, Value: encoded.Value,
			At: now.Add(-clock.FromMicros(encoded.Age)), From: peridotpath.InstanceID(digest.Instance),
		})
	}
	return told
}

// again reports whether this digest is to tell facts that all should know already. In
// a fleet of any size some instance does so several times a second, so that one that
// was frozen knows them soon; all do after a new peer was heard. A busy instance sends
// no heartbeats, so that the time decides and not what the digest is sent for.
func (gossip *Gossip) again(now time.Time) bool {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	if now.Before(gossip.againDue) {
		return false
	}
	span := time.Duration(1+len(gossip.peers)) * heartbeat
	gossip.againDue = now.Add(span/2 + rand.N(span))
	return true
}

// tellAbroad tells facts to one instance of each other cell, another one each time.
// Endpoints may be shared between cells, and a request may come to any instance.
func (gossip *Gossip) tellAbroad(conn *net.UDPConn, told []*wire.Fact, now time.Time) {
	if len(told) == 0 {
		return
	}
	datagram, err := proto.Marshal(&wire.Digest{
		Instance: string(gossip.Instance), Address: gossip.Address.String(), Facts: told, FactsOnly: true,
	})
	if err != nil {
		gossip.Log.Error().Err(err).Msg("digest_unmade")
		return
	}
	for _, address := range gossip.abroad(now) {
		if _, err := conn.WriteToUDPAddrPort(datagram, address); err != nil {
			gossip.Log.Debug().Err(err).Stringer("peer", address).Msg("digest_unsent")
		}
	}
}

// abroad returns an instance of each other cell.
func (gossip *Gossip) abroad(now time.Time) []netip.AddrPort {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	own := gossip.cells.told
	if own.Count() == 1 {
		return nil
	}
	cells := make([][]netip.AddrPort, own.Count())
	for address, peer := range gossip.peers {
		if peer.listed && !own.HasInstance(address) {
			cell := own.IndexOf(address)
			cells[cell] = append(cells[cell], address)
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
