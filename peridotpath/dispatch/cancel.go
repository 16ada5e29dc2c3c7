package dispatch

import (
	"context"
	"net/netip"
	"time"
)

const (
	// cancelQueue bounds the streams that wait to be cancelled. What does not
	// fit is freed by the sweep of detached streams.
	cancelQueue = 1024
	// cancelTick is how often due cancellations go out.
	cancelTick = 100 * time.Millisecond
)

// cancellation is a stream whose reader has left.
type cancellation struct {
	address netip.AddrPort
	stream  string
	due     time.Time
	// onlyDetached spares a stream that was resumed meanwhile, here or at
	// another Instance.
	onlyDetached bool
}

// abandon has a stream cancelled: at once, or after the resume window when its
// caller may come back for it.
func (dispatcher *Dispatcher) abandon(address netip.AddrPort, stream string, mayReturn bool) {
	if stream == "" {
		return
	}
	due := time.Now()
	if mayReturn {
		due = due.Add(dispatcher.ResumeWindow)
	}
	select {
	case dispatcher.cancels <- cancellation{address, stream, due, mayReturn}:
	default:
	}
}

// cancelAbandoned sends cancellations when they are due, until ctx ends.
func (dispatcher *Dispatcher) cancelAbandoned(ctx context.Context) {
	ticker := time.NewTicker(cancelTick)
	defer ticker.Stop()
	var waiting []cancellation
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-dispatcher.cancels:
			waiting = append(waiting, next)
		case <-ticker.C:
		}
		waiting = dispatcher.cancelDue(ctx, waiting)
	}
}

func (dispatcher *Dispatcher) cancelDue(ctx context.Context, waiting []cancellation) []cancellation {
	now := time.Now()
	kept := waiting[:0]
	for _, next := range waiting {
		if next.due.After(now) && len(waiting) < cancelQueue {
			kept = append(kept, next)
			continue
		}
		if err := dispatcher.Cancel(ctx, next.address, next.stream, next.onlyDetached); err != nil {
			dispatcher.Log.Info().Str("stream", next.stream).Err(err).Msg("cancel_failed")
		}
	}
	return kept
}
