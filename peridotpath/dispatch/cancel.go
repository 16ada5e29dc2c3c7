package dispatch

import (
	"context"
	"net/netip"
	"time"
)

const (
	// maxPendingCancellations bounds the pending cancellations. When it is reached, they
	// are sent before they are due. A cancellation that finds the channel full is dropped;
	// the sweep of detached streams frees its stream.
	maxPendingCancellations = 1024
	// cancelInterval is the time between two checks for due cancellations.
	cancelInterval = 100 * time.Millisecond
)

// cancellation is a pending cancellation of an abandoned stream.
type cancellation struct {
	address netip.AddrPort
	stream  string
	dueAt   time.Time
	// onlyDetached leaves a stream running that was resumed in the meantime, at
	// this Instance or another.
	onlyDetached bool
}

// queueCancellation queues the cancellation of a stream, due at once, or after the resume
// window if its caller may still resume it.
func (dispatcher *Dispatcher) queueCancellation(address netip.AddrPort, stream string, mayResume bool) {
	if stream == "" {
		return
	}
	dueAt := time.Now()
	if mayResume {
		dueAt = dueAt.Add(dispatcher.ResumeWindow)
	}
	select {
	case dispatcher.cancellations <- cancellation{address, stream, dueAt, mayResume}:
	default:
	}
}

// runCancellations sends each cancellation when it is due, until ctx ends.
func (dispatcher *Dispatcher) runCancellations(ctx context.Context) {
	ticker := time.NewTicker(cancelInterval)
	defer ticker.Stop()
	var pending []cancellation
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-dispatcher.cancellations:
			pending = append(pending, next)
		case <-ticker.C:
		}
		pending = dispatcher.sendDueCancellations(ctx, pending)
	}
}

func (dispatcher *Dispatcher) sendDueCancellations(ctx context.Context, pending []cancellation) []cancellation {
	now := time.Now()
	remaining := pending[:0]
	for _, next := range pending {
		if next.dueAt.After(now) && len(pending) < maxPendingCancellations {
			remaining = append(remaining, next)
			continue
		}
		if err := dispatcher.Cancel(ctx, next.address, next.stream, next.onlyDetached); err != nil {
			dispatcher.Log.Info().Str("stream", next.stream).Err(err).Msg("cancel_failed")
		}
	}
	return remaining
}
