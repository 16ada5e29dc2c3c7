package instance

import (
	"context"
	"time"
)

const (
	// notice is how long callers that still come are served: the balancer asks
	// each second, and two misses take an instance out. Requests on connections
	// that stay open are told to close them. What is taken later may not end
	// before the process does.
	notice = 3 * time.Second
	// noticeShare bounds the notice where the grace is short.
	noticeShare = 0.4
	// exitMargin is how long before the grace's end the process exits by itself.
	exitMargin = 200 * time.Millisecond
	// activePoll is how often a stop looks whether requests still run.
	activePoll = 20 * time.Millisecond
)

// stop is the planned stop: not ready first, then served on until the balancer
// has moved callers on, then nothing new, then what still runs is finished.
func (instance *Instance) stop(ctx context.Context) {
	began, grace := time.Now(), instance.Settings.Grace
	instance.stopping.Store(true)
	instance.Log.Info().Int64("active", instance.active.Load()).Dur("grace", grace).Msg("stopping")
	time.Sleep(min(notice, time.Duration(noticeShare*float64(grace))))
	instance.closing.Store(true)
	ctx, cancel := context.WithDeadline(ctx, began.Add(grace-exitMargin))
	defer cancel()
	instance.finish(ctx)
	instance.Log.Info().Int64("active", instance.active.Load()).Dur("took", time.Since(began)).Msg("callers_closed")
	instance.keeper.Close(ctx)
	// The others end at once: nothing that they serve outlives the callers' side.
	_ = instance.balancer.Close(ctx)
	_ = instance.readings.Close(ctx)
	_ = instance.metrics.Close(ctx)
}

// finish takes no new connections and waits for the requests that run. It does
// not wait for connections on which nothing has come: net/http would, for five
// seconds.
func (instance *Instance) finish(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	closed := make(chan error, 1)
	go func() { closed <- instance.callers.Close(ctx) }()
	ticker := time.NewTicker(activePoll)
	defer ticker.Stop()
	for {
		select {
		case err := <-closed:
			if err != nil {
				instance.Log.Debug().Err(err).Msg("connections_left")
			}
			return
		case <-ticker.C:
			if instance.active.Load() == 0 {
				cancel()
			}
		}
	}
}
