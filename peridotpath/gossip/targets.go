package gossip

import (
	"net/netip"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
)

// target is a peer to which a digest is sent.
type target struct {
	address netip.AddrPort
	// echoMicros is the newest clock value received from the peer, which the digest returns
	// as its echo.
	echoMicros uint64
	// forward asks the peer to forward the digest within its data centre.
	forward bool
}

// selectTargets returns the peers of the cell to which a digest is sent: all in this or an
// unknown data centre and, with remote, one in each other data centre. It removes
// unregistered peers that have been silent for longer than forgetPeerAfter.
func (gossip *Gossip) selectTargets(now time.Time, remote bool) []target {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	var targets []target
	gossipCell := gossip.cells.gossipCell
	byDataCentre := map[peridotpath.DataCentre][]netip.AddrPort{}
	for address, peer := range gossip.peers {
		switch {
		case !peer.registered && now.Sub(peer.receivedAt) > forgetPeerAfter:
			delete(gossip.peers, address)
		case !gossipCell.HasInstance(address):
		case peer.dataCentre == gossip.DataCentre || peer.dataCentre == "":
			targets = append(targets, target{address: address, echoMicros: peer.clockMicros})
		default:
			byDataCentre[peer.dataCentre] = append(byDataCentre[peer.dataCentre], address)
		}
	}
	if !remote {
		return targets
	}
	gossip.remoteDigestCount++
	gossip.remoteSentAt = now
	for _, addresses := range byDataCentre {
		address := gossip.nextForwarder(addresses, now)
		targets = append(targets, target{address: address, echoMicros: gossip.peers[address].clockMicros, forward: true})
	}
	return targets
}

// nextForwarder picks the instance of another data centre that forwards the next digest
// there, in rotation. Silent instances are skipped unless all are silent.
func (gossip *Gossip) nextForwarder(addresses []netip.AddrPort, now time.Time) netip.AddrPort {
	reachable := make([]netip.AddrPort, 0, len(addresses))
	for _, address := range addresses {
		if now.Sub(gossip.peers[address].receivedAt) < peerSilentAfter {
			reachable = append(reachable, address)
		}
	}
	if len(reachable) == 0 {
		reachable = addresses
	}
	slices.SortFunc(reachable, netip.AddrPort.Compare)
	return reachable[gossip.remoteDigestCount%len(reachable)]
}
