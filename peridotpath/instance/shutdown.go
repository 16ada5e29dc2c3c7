package instance

import (
	"context"
	"time"
)

const (
	// deregistrationDelay is how long new requests are still served after a shutdown began:
	// the load balancer checks readiness each second, and removes an instance after two
	// failed checks. Responses on open connections ask the caller to close them. Requests
	// that are accepted later may not finish before the process exits.
	deregistrationDelay = 3 * time.Second
	// maxDeregistrationShare bounds deregistrationDelay as a share of a short grace period.
	maxDeregistrationShare = 0.4
	// exitMargin is how long before the end of the grace period the process exits.
	exitMargin = 200 * time.Millisecond
	// answerMargin is how long before the exit requests are ended, so that their answers are written.
	answerMargin = 100 * time.Millisecond
	// activePollInterval is the interval at which a shutdown checks for requests that still
	// run.
	activePollInterval = 20 * time.Millisecond
)

// shutDown performs a planned shutdown: it reports not ready, serves requests until the
// load balancer has moved callers to other instances, then accepts no more and lets running
// requests finish. Those that have not ended shortly before the exit are ended with an answer. It
// returns when the process must exit.
func (instance *Instance) shutDown(ctx context.Context) (exitAt time.Time) {
	startedAt, grace := time.Now(), instance.Settings.Grace
	exitAt = startedAt.Add(grace - exitMargin)
	instance.stopping.Store(true)
	instance.exitNotice.Begin(exitAt.Add(-answerMargin))
	instance.Log.Info().Int64("active", instance.activeRequests.Load()).Dur("grace", grace).Msg("stopping")
	time.Sleep(min(deregistrationDelay, time.Duration(maxDeregistrationShare*float64(grace))))
	instance.closing.Store(true)
	ctx, cancel := context.WithDeadline(ctx, exitAt)
	defer cancel()
	instance.drainCallers(ctx)
	instance.Log.Info().Int64("active", instance.activeRequests.Load()).Dur("took", time.Since(startedAt)).Msg("callers_closed")
	if err := instance.tunnels.Close(ctx); err != nil {
		instance.Log.Warn().Err(err).Msg("tunnels_left")
	}
	instance.reservations.Close(ctx)
	// The other listeners close at once: none of their requests outlasts those of callers.
	_ = instance.readinessListener.Close(ctx)
	_ = instance.snapshotListener.Close(ctx)
	_ = instance.metricsListener.Close(ctx)
	return exitAt
}

// drainCallers accepts no new connections and waits until the answers of running requests are
// written to the end. It does not wait for connections without a request, for which net/http would
// wait five seconds.
func (instance *Instance) drainCallers(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	closed := make(chan error, 1)
	go func() { closed <- instance.callerListener.Close(ctx) }()
	ticker := time.NewTicker(activePollInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-closed:
			if err != nil {
				instance.Log.Debug().Err(err).Msg("connections_left")
			}
			return
		case <-ticker.C:
			if instance.callerListener.AnsweringCount() == 0 {
				cancel()
			}
		}
	}
}
