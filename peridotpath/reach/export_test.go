package reach

import (
	"context"
	"net"
	"time"
)

// DialProbe opens the connection of a probe.
func (dialer *Dialer) DialProbe(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.dialProbe(ctx, network, address)
}

// Evidence is what is known after probes.
type Evidence struct {
	Probed                                             int
	IsAnswered, IsReachedByPeer, IsSilent, IsReceiving bool
	SilentFor                                          time.Duration
}

// Judge returns what the evidence shows: "work", "silent", or why the links are lost.
func Judge(known Evidence) string {
	found := evidence{known.Probed, known.IsAnswered, known.IsReachedByPeer, known.IsSilent, known.IsReceiving, known.SilentFor}
	switch verdict, ground := found.judge(); verdict {
	case linksWork:
		return "work"
	case endpointsSilent:
		return "silent"
	default:
		return string(ground)
	}
}

// SpreadCarriers returns up to count of the peers.
func SpreadCarriers(peers []int, count int) []int { return spreadCarriers(peers, count) }
