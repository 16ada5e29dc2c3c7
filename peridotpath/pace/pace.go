// Package pace detects engines that process work more slowly than their published rates.
//
// It matters for a burst of prompts whose prefill is split across many engines while a
// few of these are slow. Each prompt waits for its slowest part; the parts queue up at the
// slow engines, and in the end all prompts are blocked there (head-of-line blocking) while
// the other engines are idle. An instance sees one request in fifty, and of each only that
// it missed its TTFT target, not which engine delayed it. When a first token is overdue,
// the instance therefore probes the engines involved and gossips their slowdown to all
// instances.
package pace

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
)

// Slowdown is the ratio of an engine's processing time to the published one.
type Slowdown float64

const (
	// probeInterval is the shortest time between two probes of an engine.
	probeInterval = time.Second
	// probeTimeout bounds one probe. Engines answer within milliseconds, in parallel with
	// their work.
	probeTimeout = 400 * time.Millisecond
	// maxConcurrentProbes bounds the probes in flight.
	maxConcurrentProbes = 8
	// maxQueuedProbes bounds the queue of engines to probe. When it is full, reports are
	// dropped; an engine that is still slow is reported again.
	maxQueuedProbes = 64
	// slowThreshold is the lowest slowdown that counts as slow.
	slowThreshold Slowdown = 1.1
	// maxSlowdown bounds the slowdown that an engine can report.
	maxSlowdown Slowdown = 100
	// reprobeCheckInterval is the interval at which engines known to be slow are checked for a due
	// probe.
	reprobeCheckInterval = 250 * time.Millisecond
)

var (
	probesTotal       = metrics.NewCounter("peridotpath_pace_asked_total")
	probesFailedTotal = metrics.NewCounter("peridotpath_pace_unanswered_total")
)

// Prober probes engines for their slowdown. Set the exported fields before Run.
type Prober struct {
	Facts *facts.Table
	// FetchSlowdown requests an engine's current slowdown.
	FetchSlowdown func(ctx context.Context, endpoint *peridotpath.Endpoint) (Slowdown, error)
	// FindEndpoint returns the engine with this key; nil if it is not in use.
	FindEndpoint func(endpoint peridotpath.EndpointKey) *peridotpath.Endpoint
	// OwnsEndpoint reports whether this instance owns the repeated probes of a slow engine.
	OwnsEndpoint func(endpoint peridotpath.EndpointKey) bool
	Log          zerolog.Logger

	once  sync.Once
	queue chan *peridotpath.Endpoint

	mutex sync.Mutex
	// probedAt is the time of this instance's last probe of each engine.
	probedAt map[peridotpath.EndpointKey]time.Time
}

func (prober *Prober) setUp() {
	prober.once.Do(func() {
		prober.queue = make(chan *peridotpath.Endpoint, maxQueuedProbes)
		prober.probedAt = map[peridotpath.EndpointKey]time.Time{}
	})
}

// ProbeOverdue queues probes of engines whose work is overdue. It never blocks.
func (prober *Prober) ProbeOverdue(endpoints ...*peridotpath.Endpoint) {
	prober.setUp()
	for _, endpoint := range endpoints {
		select {
		case prober.queue <- endpoint:
		default:
			return
		}
	}
}

// SlowEngines returns the slowdown of each engine known to be slow.
func (prober *Prober) SlowEngines(now time.Time) map[peridotpath.EndpointKey]Slowdown {
	if prober == nil || !prober.Facts.Has(facts.KindSlowdown) {
		return nil
	}
	slow := map[peridotpath.EndpointKey]Slowdown{}
	for _, fact := range prober.Facts.ByKind(facts.KindSlowdown, now) {
		if slowdown := Slowdown(fact.Value); slowdown >= slowThreshold {
			slow[peridotpath.EndpointKey(fact.Detail)] = min(slowdown, maxSlowdown)
		}
	}
	return slow
}

// Run probes engines until ctx is cancelled.
func (prober *Prober) Run(ctx context.Context) error {
	prober.setUp()
	slots := make(chan struct{}, maxConcurrentProbes)
	var probes sync.WaitGroup
	defer probes.Wait()
	ticker := time.NewTicker(reprobeCheckInterval)
	defer ticker.Stop()
	startProbe := func(endpoint *peridotpath.Endpoint) {
		if !prober.claimProbe(endpoint.Key(), time.Now()) {
			return
		}
		slots <- struct{}{}
		probes.Go(func() {
			prober.probe(ctx, endpoint)
			<-slots
		})
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case endpoint := <-prober.queue:
			startProbe(endpoint)
		case now := <-ticker.C:
			for _, endpoint := range prober.ownedSlowEngines(now) {
				startProbe(endpoint)
			}
		}
	}
}

// claimProbe reports whether a probe of the engine is due, and records it as started. None
// is due within probeInterval of the last probe by this or any other instance.
func (prober *Prober) claimProbe(key peridotpath.EndpointKey, now time.Time) bool {
	if fact, found := prober.Facts.Get(facts.KindSlowdown, facts.EndpointSubject(key), uint64(key), now); found && now.Sub(fact.ObservedAt) < probeInterval {
		return false
	}
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	if now.Sub(prober.probedAt[key]) < probeInterval {
		return false
	}
	maps.DeleteFunc(prober.probedAt, func(_ peridotpath.EndpointKey, at time.Time) bool { return now.Sub(at) > probeInterval })
	prober.probedAt[key] = now
	return true
}

// ownedSlowEngines returns the slow engines that this instance probes repeatedly.
func (prober *Prober) ownedSlowEngines(now time.Time) []*peridotpath.Endpoint {
	var owned []*peridotpath.Endpoint
	for key := range prober.SlowEngines(now) {
		if endpoint := prober.FindEndpoint(key); endpoint != nil && prober.OwnsEndpoint(key) {
			owned = append(owned, endpoint)
		}
	}
	return owned
}

func (prober *Prober) probe(ctx context.Context, endpoint *peridotpath.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	probesTotal.Inc()
	slowdown, err := prober.FetchSlowdown(ctx, endpoint)
	if err != nil {
		probesFailedTotal.Inc()
		prober.Log.Debug().Err(err).Str("endpoint", string(endpoint.ID)).Msg("pace_unanswered")
		return
	}
	now, key := time.Now(), endpoint.Key()
	before := prober.SlowEngines(now)[key]
	if before < slowThreshold && slowdown < slowThreshold {
		// The engine was not slow before either. Every fact is sent to all instances, so an
		// unchanged state is not recorded.
		return
	}
	prober.Facts.Observe(facts.Fact{Kind: facts.KindSlowdown, Subject: facts.EndpointSubject(key), Detail: uint64(key), Value: float64(slowdown), ObservedAt: now})
	if (before >= slowThreshold) != (slowdown >= slowThreshold) {
		prober.Log.Info().Str("endpoint", string(endpoint.ID)).Float64("pace", float64(slowdown)).Float64("before", float64(before)).Msg("pace_changed")
	}
}
