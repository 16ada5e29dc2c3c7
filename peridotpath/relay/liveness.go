package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/failover"
)

// A machine that loses power closes no connection. Without liveness probes, a request to
// it waits for a first event as long as a long prompt may take, and the KV cache reserved
// at its helpers is renewed for that time. An engine that sends no event is therefore
// probed.
const (
	// probeInterval is the time without an event after which the engine is probed, and
	// the interval of further probes. A probe costs a connection and some milliseconds
	// of the engine's time; at this interval only long prompts incur it.
	probeInterval = time.Second
	// probeTimeout bounds one probe, in time that this process runs. Engines answer probes
	// within milliseconds, also while they run requests.
	probeTimeout = 400 * time.Millisecond
	// maxFailedProbes is the number of consecutive failed probes after which the engine is
	// unresponsive, since a single one may be lost on the network. Two probes with their timeouts end
	// before the deadline by which engines must get back the KV cache of a request that
	// no longer runs.
	maxFailedProbes = 2
)

var errUnresponsive = errors.New("endpoint did not answer consecutive liveness probes")

// livenessProbe probes an engine that sends no events.
type livenessProbe struct {
	eventSeen atomic.Bool
	done      chan struct{}
	stop      context.CancelFunc
}

// startLivenessProbe starts probes that suspect the contender when its engine stops answering them.
// A slow engine answers its probes and keeps the request.
func (race *race) startLivenessProbe(contender *contender) *livenessProbe {
	ctx, stop := context.WithCancel(contender.ctx)
	probe := &livenessProbe{done: make(chan struct{}), stop: stop}
	check := func(ctx context.Context) error { return race.exchange.relay.checkLiveness(ctx, contender.attemptState) }
	go func() {
		defer close(probe.done)
		if err := probe.run(ctx, check); err != nil {
			race.reportSuspicion(contender, failover.DoubtUnresponsive, err)
		}
	}()
	return probe
}

// checkLiveness probes the engine over the link that the attempt uses: where another one works,
// the answer would still never arrive.
func (relay *Relay) checkLiveness(ctx context.Context, attempt *attemptState) error {
	if _, isCarried := attempt.link.Peer(); !isCarried && relay.CheckDirectly != nil {
		return relay.CheckDirectly(ctx, attempt.plan.Primary)
	}
	return relay.Check(ctx, attempt.plan.Primary)
}

// run probes until ctx ends, and then returns nil, or until the engine is unresponsive.
func (probe *livenessProbe) run(ctx context.Context, check func(context.Context) error) error {
	failed := 0
	for clock.SleepContext(ctx, probeInterval) {
		if probe.eventSeen.Swap(false) {
			failed = 0
			continue
		}
		probeCtx, stop := clock.WithRunningTimeout(ctx, probeTimeout)
		err := check(probeCtx)
		stop()
		if err == nil {
			failed = 0
			continue
		}
		if failed++; failed >= maxFailedProbes {
			return errors.Join(errUnresponsive, err)
		}
	}
	return nil
}

// recordEvent records an event of the engine, which replaces the next probe.
func (probe *livenessProbe) recordEvent() { probe.eventSeen.Store(true) }

// Close stops the probes and waits for the running one.
func (probe *livenessProbe) Close() {
	probe.stop()
	<-probe.done
}
