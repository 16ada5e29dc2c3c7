// Package sweep frees the memory of streams that nobody will come back for. An
// instance cancels the streams of callers that left; when it is killed, nobody
// does, and the engine would hold their KV cache for good.
//
// The owner of an endpoint looks through its streams and cancels those that
// have had no reader for longer than the resume window, on condition that they
// still have none. The condition is checked by the engine, so two owners at
// once, a late list or a repeated cancellation free nothing that is read.
package sweep

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/engine"
)

const (
	// DefaultInterval between two sweeps. With the resume window, the margin
	// and one sweep that fails, abandoned memory is free after Within.
	DefaultInterval = 5 * time.Second
	// DefaultBudget is what listing streams may cost, in bytes a second. The
	// interval is stretched to keep within it.
	DefaultBudget = 500
	// streamBytes is what one stream takes in a list.
	streamBytes = 175
	// margin keeps a caller from losing its stream that comes back at the last
	// moment of the window: its request may be on the way to the engine.
	margin = 2 * time.Second
	// listLife bounds the time from a list to the last cancellation that is
	// based on it. A stream could otherwise be resumed and detached again in
	// between, and be cancelled though its caller has a whole window left.
	listLife = 500 * time.Millisecond
	// sweepsAtOnce bounds the endpoints that are swept at a time.
	sweepsAtOnce = 8
)

// Sweeper sweeps the endpoints that this instance owns. Set the exported fields
// before Run.
type Sweeper struct {
	Log zerolog.Logger
	// Engines returns the fleet's engines, Owns whether this instance owns one.
	Engines func() []peridotpath.Endpoint
	Owns    func(id peridotpath.EndpointID) bool
	// Streams and Cancel speak to an engine.
	Streams func(ctx context.Context, address netip.AddrPort) ([]engine.StreamInfo, error)
	Cancel  func(ctx context.Context, address netip.AddrPort, stream string, onlyDetached bool) error
	// ResumeWindow is how long a stream without a reader is kept for its caller.
	ResumeWindow time.Duration
	// Interval between two sweeps; zero for DefaultInterval.
	Interval time.Duration
	// Random returns a number from 0 to 1 for jitter; nil for the global source.
	Random func() float64
}

// Within returns the time from a stream's last reader to the return of its
// memory, when one sweep in between fails. If the owner died too, the
// membership list's lag is added.
func (sweeper *Sweeper) Within() time.Duration {
	return sweeper.ResumeWindow + margin + 2*sweeper.interval(0)*11/10 + time.Second
}

// Run sweeps until ctx ends.
func (sweeper *Sweeper) Run(ctx context.Context) error {
	random := sweeper.Random
	if random == nil {
		random = rand.Float64
	}
	for {
		interval := sweeper.interval(sweeper.sweep(ctx))
		// The random part keeps two that take themselves for the owner apart.
		if !clock.SleepContext(ctx, clock.Jitter(interval, random())) {
			return ctx.Err()
		}
	}
}

// interval stretches the interval for the number of streams that a sweep lists.
func (sweeper *Sweeper) interval(streams int) time.Duration {
	interval := sweeper.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	return max(interval, time.Duration(streams*streamBytes)*time.Second/DefaultBudget)
}

// sweep looks through all owned endpoints once and returns how many streams
// they hold.
func (sweeper *Sweeper) sweep(ctx context.Context) int {
	var group errgroup.Group
	group.SetLimit(sweepsAtOnce)
	var streams atomic.Int64
	for _, endpoint := range sweeper.Engines() {
		if !sweeper.Owns(endpoint.ID) {
			continue
		}
		group.Go(func() error {
			streams.Add(int64(sweeper.sweepEndpoint(ctx, endpoint)))
			return nil
		})
	}
	_ = group.Wait()
	return int(streams.Load())
}

func (sweeper *Sweeper) sweepEndpoint(ctx context.Context, endpoint peridotpath.Endpoint) int {
	asked := time.Now()
	streams, err := sweeper.Streams(ctx, endpoint.Address)
	if err != nil {
		unlisted.Inc()
		return 0
	}
	for _, stream := range streams {
		if stream.DetachedMS.Duration() < sweeper.ResumeWindow+margin {
			continue
		}
		if time.Since(asked) > listLife {
			break // the next sweep goes on from a new list
		}
		sweeper.free(ctx, endpoint, stream)
	}
	return len(streams)
}

func (sweeper *Sweeper) free(ctx context.Context, endpoint peridotpath.Endpoint, stream engine.StreamInfo) {
	if err := sweeper.Cancel(ctx, endpoint.Address, stream.ID, true); err != nil {
		// The answer may have been lost, or the order. The next sweep tells.
		uncancelled.Inc()
		return
	}
	freed.Add(int(stream.KVTokens))
	sweeper.Log.Info().Str("event", "stream_freed").Str("endpoint", string(endpoint.ID)).Str("stream", stream.ID).
		Str("instance", string(stream.Instance)).Int64("kv_tokens", int64(stream.KVTokens)).
		Dur("detached_ms", stream.DetachedMS.Duration()).Send()
}

var (
	freed       = metrics.NewCounter(`peridotpath_swept_kv_tokens_total`)
	unlisted    = metrics.NewCounter(`peridotpath_sweep_failures_total{reason="list"}`)
	uncancelled = metrics.NewCounter(`peridotpath_sweep_failures_total{reason="cancel"}`)
)
