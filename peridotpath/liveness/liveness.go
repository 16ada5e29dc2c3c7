// Package liveness probes an engine that sends no events.
//
// A machine that loses power closes no connection. Without probes, a request to it waits for a first
// event as long as a long prompt may take, and the KV cache reserved at its helpers is renewed for
// that time.
package liveness

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath/clock"
)

const (
	// interval is the time without an event after which the engine is probed, and the interval of
	// further probes. A probe costs a connection and some milliseconds of the engine's time; at
	// this interval only long prompts incur it.
	interval = time.Second
	// timeout bounds one probe, in time that this process runs. Engines answer probes within
	// milliseconds, also while they run requests.
	timeout = 400 * time.Millisecond
	// maxFailed is the number of consecutive failed probes after which the engine is unresponsive,
	// since a single one may be lost on the network. Two probes with their timeouts end before the
	// deadline by which engines must get back the KV cache of a request that no longer runs.
	maxFailed = 2
)

// ErrUnresponsive is the error of an engine that answers no probes.
var ErrUnresponsive = errors.New("endpoint did not answer consecutive liveness probes")

// Probe probes an engine until it is closed, or until the engine is unresponsive.
type Probe struct {
	eventSeen atomic.Bool
	done      chan struct{}
	stop      context.CancelFunc
}

// Start starts a probe. Check asks the engine once. OnUnresponsive is called once, with an error that
// wraps ErrUnresponsive, when the engine has stopped answering; it must not block. A slow engine
// answers.
func Start(ctx context.Context, check func(context.Context) error, onUnresponsive func(error)) *Probe {
	ctx, stop := context.WithCancel(ctx)
	probe := &Probe{done: make(chan struct{}), stop: stop}
	go func() {
		defer close(probe.done)
		if err := probe.run(ctx, check); err != nil {
			onUnresponsive(err)
		}
	}()
	return probe
}

// run probes until ctx ends, and then returns nil, or until the engine is unresponsive.
func (probe *Probe) run(ctx context.Context, check func(context.Context) error) error {
	failed := 0
	for clock.SleepContext(ctx, interval) {
		if probe.eventSeen.Swap(false) {
			failed = 0
			continue
		}
		probeCtx, stop := clock.WithRunningTimeout(ctx, timeout)
		err := check(probeCtx)
		stop()
		if err == nil {
			failed = 0
			continue
		}
		if failed++; failed >= maxFailed {
			return errors.Join(ErrUnresponsive, err)
		}
	}
	return nil
}

// RecordEvent records an event of the engine, which replaces the next probe.
func (probe *Probe) RecordEvent() { probe.eventSeen.Store(true) }

// Close stops the probe and waits for the running check.
func (probe *Probe) Close() {
	probe.stop()
	<-probe.done
}
