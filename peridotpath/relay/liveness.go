package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
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
	// maxFailedProbes is the number of consecutive failed probes that cancels the attempt,
	// since a single one may be lost on the network. Two probes with their timeouts end
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

// startLivenessProbe starts probes that cancel the attempt when the engine stops answering
// them. A slow engine answers its probes and keeps the request.
func (exchange *exchange) startLivenessProbe(ctx context.Context, cancel context.CancelCauseFunc) *livenessProbe {
	ctx, stop := context.WithCancel(ctx)
	probe := &livenessProbe{done: make(chan struct{}), stop: stop}
	go func() {
		defer close(probe.done)
		probe.run(ctx, exchange.checkLiveness, exchange.plan.Primary, cancel)
	}()
	return probe
}

// checkLiveness probes the engine over the link that the attempt uses: where another one works,
// the answer would still never arrive.
func (exchange *exchange) checkLiveness(ctx context.Context, endpoint *peridotpath.Endpoint) error {
	if _, isCarried := exchange.link.Peer(); !isCarried && exchange.relay.CheckDirectly != nil {
		return exchange.relay.CheckDirectly(ctx, endpoint)
	}
	return exchange.relay.Check(ctx, endpoint)
}

func (probe *livenessProbe) run(ctx context.Context, check Checker, endpoint *peridotpath.Endpoint, cancel context.CancelCauseFunc) {
	failed := 0
	for clock.SleepContext(ctx, probeInterval) {
		if probe.eventSeen.Swap(false) {
			failed = 0
			continue
		}
		probeCtx, stop := clock.WithRunningTimeout(ctx, probeTimeout)
		err := check(probeCtx, endpoint)
		stop()
		if err == nil {
			failed = 0
			continue
		}
		if failed++; failed >= maxFailedProbes {
			cancel(errors.Join(errUnresponsive, err))
			return
		}
	}
}

// recordEvent records an event of the engine, which replaces the next probe.
func (probe *livenessProbe) recordEvent() { probe.eventSeen.Store(true) }

// Close stops the probes and waits for the running one.
func (probe *livenessProbe) Close() {
	probe.stop()
	<-probe.done
}
