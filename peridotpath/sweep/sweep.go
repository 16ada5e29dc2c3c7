// Package sweep cancels orphaned streams, so that engines free their KV cache. An instance
// cancels the streams of callers that disconnect; without a sweep, the streams of an
// instance that is killed would occupy KV cache indefinitely.
//
// The instance that owns an endpoint periodically lists the endpoint's streams and cancels those that
// have had no reader for longer than the resume window, on the condition that they still
// have none. The engine checks this condition when it cancels. Two owners at once, an
// outdated membership list or a repeated cancellation therefore never cancel a stream that
// is being read.
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
	// DefaultInterval is the time between two sweeps. Together with the resume window, the
	// margin and one failed sweep it bounds the time to free the memory of an orphaned
	// stream (see Sweeper.MaxReclaimTime).
	DefaultInterval = 5 * time.Second
	// DefaultListBytesPerSecond bounds the traffic of listing streams, in bytes a second.
	// The interval is extended to stay within it.
	DefaultListBytesPerSecond = 500
	// listBytesPerStream is the size of one stream in a list.
	listBytesPerStream = 175
	// resumeMargin is added to the resume window for a caller that resumes its stream at
	// the last moment, while its request is on the way to the engine.
	resumeMargin = 2 * time.Second
	// maxListAge bounds the time from a list to the last cancellation based on it. A stream
	// could otherwise be resumed and detached again in between, and be cancelled though its
	// caller still has a whole resume window.
	maxListAge = 500 * time.Millisecond
	// maxConcurrentSweeps bounds the endpoints that are swept concurrently.
	maxConcurrentSweeps = 8
)

// Sweeper sweeps the endpoints that this instance owns. The exported fields must be set
// before Run.
type Sweeper struct {
	Log zerolog.Logger
	// Engines returns all engine endpoints; IsOwner reports whether this instance owns one.
	Engines func() []peridotpath.Endpoint
	IsOwner func(id peridotpath.EndpointID) bool
	// ListStreams lists an engine's streams; CancelStream cancels one of them.
	ListStreams  func(ctx context.Context, address netip.AddrPort) ([]engine.StreamInfo, error)
	CancelStream func(ctx context.Context, address netip.AddrPort, stream string, onlyDetached bool) error
	// ResumeWindow is how long a stream without a reader is kept for its caller to resume
	// it.
	ResumeWindow time.Duration
	// Interval is the time between two sweeps; zero means DefaultInterval.
	Interval time.Duration
	// Random returns a number from 0 to 1 for jitter; nil means the global source.
	Random func() float64
}

// MaxReclaimTime returns the maximum time from the disconnect of a stream's last reader
// until its memory is freed, if one sweep fails. If the endpoint's owner died too, the
// delay until the membership list shows the owner's death is added.
func (sweeper *Sweeper) MaxReclaimTime() time.Duration {
	return sweeper.ResumeWindow + resumeMargin + 2*sweeper.nextInterval(0)*11/10 + time.Second
}

// Run sweeps until ctx ends.
func (sweeper *Sweeper) Run(ctx context.Context) error {
	random := sweeper.Random
	if random == nil {
		random = rand.Float64
	}
	for {
		interval := sweeper.nextInterval(sweeper.sweep(ctx))
		// Jitter desynchronises two instances that both assume to own an endpoint.
		if !clock.SleepContext(ctx, clock.Jitter(interval, random())) {
			return ctx.Err()
		}
	}
}

// nextInterval returns the time until the next sweep, extended in proportion to the number
// of streams that the last one listed.
func (sweeper *Sweeper) nextInterval(streams int) time.Duration {
	interval := sweeper.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	return max(interval, time.Duration(streams*listBytesPerStream)*time.Second/DefaultListBytesPerSecond)
}

// sweep sweeps all owned endpoints once and returns the number of their streams.
func (sweeper *Sweeper) sweep(ctx context.Context) int {
	var group errgroup.Group
	group.SetLimit(maxConcurrentSweeps)
	var streams atomic.Int64
	for _, endpoint := range sweeper.Engines() {
		if !sweeper.IsOwner(endpoint.ID) {
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
	listRequestedAt := time.Now()
	streams, err := sweeper.ListStreams(ctx, endpoint.Address)
	if err != nil {
		listFailures.Inc()
		return 0
	}
	for _, stream := range streams {
		if stream.DetachedMS.Duration() < sweeper.ResumeWindow+resumeMargin {
			continue
		}
		if time.Since(listRequestedAt) > maxListAge {
			break // the next sweep continues from a new list
		}
		sweeper.cancelStream(ctx, endpoint, stream)
	}
	return len(streams)
}

func (sweeper *Sweeper) cancelStream(ctx context.Context, endpoint peridotpath.Endpoint, stream engine.StreamInfo) {
	if err := sweeper.CancelStream(ctx, endpoint.Address, stream.ID, true); err != nil {
		// Either the request or its reply may have been lost; the next sweep lists the
		// stream again if it still exists.
		cancelFailures.Inc()
		return
	}
	sweptKVTokens.Add(int(stream.KVTokens))
	sweeper.Log.Info().Str("event", "stream_freed").Str("endpoint", string(endpoint.ID)).Str("stream", stream.ID).
		Str("instance", string(stream.Instance)).Int64("kv_tokens", int64(stream.KVTokens)).
		Dur("detached_ms", stream.DetachedMS.Duration()).Send()
}

var (
	sweptKVTokens  = metrics.NewCounter(`peridotpath_swept_kv_tokens_total`)
	listFailures   = metrics.NewCounter(`peridotpath_sweep_failures_total{reason="list"}`)
	cancelFailures = metrics.NewCounter(`peridotpath_sweep_failures_total{reason="cancel"}`)
)
