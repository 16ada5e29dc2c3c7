package reach

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/outbound"
)

const (
	// probeTimeout bounds one probe, in time that this process runs. Endpoints answer within
	// milliseconds, also under load.
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the time between two probes while the instance is cut off.
	probeInterval = 250 * time.Millisecond
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

// Run probes endpoints when one does not answer and, while the instance is cut off, until one
// answers again. It returns when ctx ends.
func (dialer *Dialer) Run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case target := <-dialer.suspicions:
			startedAt := time.Now()
			probed := dialer.probe(ctx, dialer.Sample(sampleSize, target))
			dialer.Tracker.EndRound(startedAt, probed, time.Now())
		case <-ticker.C:
			if dialer.Tracker.IsCutOff() {
				dialer.probe(ctx, dialer.Sample(1, netip.AddrPort{}))
			}
		}
	}
}

// probe probes endpoints over this instance's own link, all at once, and returns their number.
// Their answers are recorded by the connections.
func (dialer *Dialer) probe(ctx context.Context, endpoints []*peridotpath.Endpoint) int {
	ctx, cancel := clock.WithRunningTimeout(outbound.WithDial(ctx, dialer.dialProbe), probeTimeout)
	defer cancel()
	var probes sync.WaitGroup
	for _, endpoint := range endpoints {
		probes.Go(func() {
			// The result is not needed: any answer, even that of another endpoint at the address,
			// shows that the link works.
			_ = dialer.Probe(ctx, endpoint)
		})
	}
	probes.Wait()
	return len(endpoints)
}
