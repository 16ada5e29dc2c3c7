package gossip

import (
	"net/netip"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
)

// target is a peer as a digest is sent to it.
type target struct {
	address netip.AddrPort
	echo    uint64
	// handOn asks it to tell its data centre.
	handOn bool
}

// targets returns the peers of the cell to tell: all of the own data centre, and
// with far of each other one the next in turn that was heard lately. It forgets
// peers that are gone.
func (gossip *Gossip) targets(now time.Time, far bool) []target {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	var targets []target
	own := gossip.cells.told
	elsewhere := map[peridotpath.DataCentre][]netip.AddrPort{}
	for address, peer := range gossip.peers {
		switch {
		case !peer.listed && now.Sub(peer.heard) > forgetAfter:
			delete(gossip.peers, address)
		case !own.HasInstance(address):
		case peer.dataCentre == gossip.DataCentre || peer.dataCentre == "":
			targets = append(targets, target{address: address, echo: peer.echo})
		default:
			elsewhere[peer.dataCentre] = append(elsewhere[peer.dataCentre], address)
		}
	}
	if !far {
		return targets
	}
	gossip.turn++
	gossip.toldFar = now
	for _, addresses := range elsewhere {
		address := gossip.inTurn(addresses, now)
		targets = append(targets, target{address: address, echo: gossip.peers[address].echo, handOn: true})
	}
	return targets
}

// inTurn picks one of a data centre's instances, each time another one; those
// that have been silent only when all have.
func (gossip *Gossip) inTurn(addresses []netip.AddrPort, now time.Time) netip.AddrPort {
	heard := make([]netip.AddrPort, 0, len(addresses))
	for _, address := range addresses {
		if now.Sub(gossip.peers[address].heard) < silentAfter {
			heard = append(heard, address)
		}
	}
	if len(heard) == 0 {
		heard = addresses
	}
	slices.SortFunc(heard, netip.AddrPort.Compare)
	return heard[gossip.turn%len(heard)]
}
