package instance

import (
	"context"
	"time"
)

const (
	// noticeShare is the part of the grace during which callers that still come
	// are served: the balancer asks each second and needs two misses, and
	// callers on open connections are told to close them with their next answer.
	noticeShare = 0.6
	// exitMargin is how long before the grace's end the process exits by itself.
	exitMargin = 300 * time.Millisecond
)

// stop is the planned stop: not ready first, then served on until the balancer
// has moved callers on, then nothing new, then what still runs is finished.
func (instance *Instance) stop(ctx context.Context) error {
	began := time.Now()
	instance.stopping.Store(true)
	instance.Log.Info().Int64("active", instance.active.Load()).Dur("grace", instance.Settings.Grace).Msg("stopping")
	time.Sleep(time.Duration(noticeShare * float64(instance.Settings.Grace)))
	ctx, cancel := context.WithDeadline(ctx, began.Add(instance.Settings.Grace-exitMargin))
	defer cancel()
	err := instance.callers.Close(ctx)
	instance.Log.Info().Int64("active", instance.active.Load()).Dur("took", time.Since(began)).Err(err).Msg("callers_closed")
	instance.keeper.Close(ctx)
	// The others end at once: nothing that they serve outlives the callers' side.
	_ = instance.balancer.Close(ctx)
	_ = instance.metrics.Close(ctx)
	return nil
}
