package reach

import "time"

// maxSilence is the longest time for which an endpoint that works may answer nothing. When nothing
// has answered for longer, requests can only use up their time on direct connections, whatever the
// cause.
const maxSilence = 2500 * time.Millisecond

// evidence is what is known after probes, none of which may have been answered.
type evidence struct {
	// probed is the number of endpoints that were probed.
	probed int
	// isAnswered reports whether an endpoint has answered on a connection that was opened since the
	// probes began.
	isAnswered bool
	// isReachedByPeer reports whether a peer reached an endpoint that this instance did not reach
	// in the same time.
	isReachedByPeer bool
	// isSilent reports whether a probe met nothing at all. A process that answers nothing does not
	// refuse or reset connections.
	isSilent bool
	// isReceiving reports whether an endpoint has sent anything on a direct connection.
	isReceiving bool
	// silentFor is how long nothing has answered.
	silentFor time.Duration
}

// verdict is what the evidence shows.
type verdict int

const (
	linksWork verdict = iota
	// endpointsSilent means that nothing tells lost links from endpoints that answer nothing.
	endpointsSilent
	linksLost
)

// ground is why the links count as lost.
type ground string

const (
	groundPeer    ground = "peer_reaches"
	groundRefused ground = "refused"
	groundSilence ground = "silence"
)

// judge returns what the evidence shows, and why if the links are lost.
func (evidence *evidence) judge() (verdict, ground) {
	switch {
	case evidence.probed == 0 || evidence.isAnswered:
		return linksWork, ""
	case evidence.isReachedByPeer:
		return linksLost, groundPeer
	case !evidence.isSilent:
		return linksLost, groundRefused
	case evidence.isReceiving:
		return linksWork, ""
	case evidence.silentFor >= maxSilence:
		return linksLost, groundSilence
	}
	return endpointsSilent, ""
}

// contact is how far a probe came.
type contact int

const (
	noContact contact = iota
	contactOpened
	contactAnswered
)

// isReachedByPeerOnly reports whether a peer came further with an endpoint than this instance in
// the same time. That a peer opens a connection says nothing where this instance opens one, too.
func isReachedByPeerOnly(own, peer contact) bool { return peer > own }

// spreadCarriers returns up to count of the peers, taken from both ends of the list in turn. The
// nearest come first in it and may share the loss of links with this instance.
func spreadCarriers[Peer any](peers []Peer, count int) []Peer {
	var spread []Peer
	for i := range min(count, len(peers)) {
		if i%2 == 0 {
			spread = append(spread, peers[i/2])
		} else {
			spread = append(spread, peers[len(peers)-1-i/2])
		}
	}
	return spread
}
