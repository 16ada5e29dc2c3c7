package reach

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
)

const (
	// probeTimeout bounds one probe, in time that this process runs. Endpoints answer within
	// milliseconds, also under load.
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the time between two probes while the instance is cut off.
	probeInterval = 250 * time.Millisecond
	// peersAskedAfter is the time after which endpoints that have not answered are probed through
	// peers as well.
	peersAskedAfter = 100 * time.Millisecond
	// peerProbeTimeout bounds the probes through peers, from the begin of those over the own link on. It
	// ends before theirs: at the end of a silence an endpoint answers all of them, and the own answer
	// may come a moment later.
	peerProbeTimeout = 240 * time.Millisecond
	// carriersPerRound is the number of peers through which a round probes. With one peer in three
	// in touch, six miss all of these once in eleven rounds, and half of them are of other data
	// centres if there are any.
	carriersPerRound = 6
	// carriersPerFollowUp is the number of peers for each later probe: one that is near and one that
	// is far.
	carriersPerFollowUp = 2
)

// suspectDial begins a round of probes because a dial that began at the given time has failed or
// is overdue, unless there is newer evidence.
func (dialer *Dialer) suspectDial(target netip.AddrPort, dialledAt time.Time) {
	if dialer.Tracker.BeginRoundAfterDial(dialledAt, time.Now()) {
		dialer.suspicions <- target
	}
}

// suspectSilence begins a round of probes because a request that was written at the given time
// has no answer, unless there is newer evidence.
func (dialer *Dialer) suspectSilence(target netip.AddrPort, writtenAt time.Time) {
	if dialer.Tracker.BeginRoundAfterSilence(writtenAt, time.Now()) {
		dialer.suspicions <- target
	}
}

// dialProbe opens the connection of a probe. It is an outbound.Dial.
func (dialer *Dialer) dialProbe(ctx context.Context, network, address string) (net.Conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return dialer.dialDirect(ctx, network, target)
}

// Run probes endpoints when one does not answer and, while the instance is cut off or the
// endpoints are silent, until one answers again. It returns when ctx ends.
func (dialer *Dialer) Run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case target := <-dialer.suspicions:
			startedAt := time.Now()
			probed := dialer.probe(ctx, dialer.Sample(sampleSize, target), carriersPerRound)
			dialer.Tracker.EndRound(startedAt, probed, time.Now())
		case now := <-ticker.C:
			dialer.lingering.expire(now)
			dialer.followUp(ctx)
		}
	}
}

// followUp probes an endpoint while the instance is cut off or the endpoints are silent.
func (dialer *Dialer) followUp(ctx context.Context) {
	startedAt := time.Now()
	isCutOff := dialer.Tracker.IsCutOff()
	if !isCutOff && !dialer.Tracker.IsSilent() {
		return
	}
	carriers := carriersPerFollowUp
	if isCutOff && dialer.Tracker.HasFreshPeerEvidence(startedAt) {
		carriers = 0
	}
	dialer.probe(ctx, dialer.Sample(1, netip.AddrPort{}), carriers)
	dialer.Tracker.Review(startedAt, time.Now())
}

// probe probes endpoints over this instance's own link, all at once, and returns their number. If
// none has answered after peersAskedAfter, or all have failed, the same endpoints are probed through
// peers: what these reach in the same time tells the own link from silent endpoints.
func (dialer *Dialer) probe(ctx context.Context, endpoints []*peridotpath.Endpoint, carriers int) int {
	ctx, cancel := clock.WithRunningTimeout(ctx, probeTimeout)
	defer cancel()
	peersCtx, cancelPeers := clock.WithRunningTimeout(ctx, peerProbeTimeout)
	defer cancelPeers()
	sightings := newSightings(endpoints)
	ended := dialer.startProbes(ctx, sightings)
	select {
	case <-ended:
	case <-time.After(peersAskedAfter):
	}
	if !slices.ContainsFunc(sightings, (*sighting).isAnswered) {
		// A packet that was dropped is sent again after a second only: the own link is dialled once
		// more at the time at which the peers dial, so that both meet the same endpoints.
		again := dialer.startProbes(ctx, sightings)
		dialer.probeThroughPeers(peersCtx, sightings, carriers)
		<-again
	}
	<-ended
	dialer.recordSightings(sightings, time.Now())
	return len(endpoints)
}

// startProbes starts the probes over this instance's own link and returns a channel that is closed
// when all have ended.
func (dialer *Dialer) startProbes(ctx context.Context, sightings []*sighting) (ended <-chan struct{}) {
	var probes sync.WaitGroup
	for _, sighting := range sightings {
		probes.Go(func() { dialer.probeDirectly(ctx, sighting) })
	}
	allEnded := make(chan struct{})
	go func() {
		probes.Wait()
		close(allEnded)
	}()
	return allEnded
}

// recordSightings records what probes have met. Their answers are recorded by the connections.
func (dialer *Dialer) recordSightings(sightings []*sighting, now time.Time) {
	if slices.ContainsFunc(sightings, (*sighting).isSilent) {
		dialer.Tracker.RecordSilentProbe(now)
	}
	if slices.ContainsFunc(sightings, (*sighting).isReachedByPeerOnly) {
		dialer.Tracker.RecordReachedByPeer(now)
	}
}

// probeThroughPeers probes the endpoints through up to count peers, all at once.
func (dialer *Dialer) probeThroughPeers(ctx context.Context, sightings []*sighting, count int) {
	if len(sightings) == 0 || count == 0 {
		return
	}
	var probes sync.WaitGroup
	for i, peer := range spreadCarriers(dialer.Peers(sightings[0].endpoint.Address), count) {
		sighting := sightings[i%len(sightings)]
		probes.Go(func() { dialer.probeThroughPeer(ctx, peer, sighting) })
	}
	probes.Wait()
}
