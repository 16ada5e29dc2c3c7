// Package pace finds out which engines work more slowly than their service says.
//
// The load that it is made for is a burst of prompts that are spread over many engines
// while a few of these are slow. Each prompt waits for its slowest part; the parts queue
// up at the slow engines, and in the end all prompts wait there while the other engines
// stand idle. An instance sees one request in fifty and of each only that it was late, not
// which engine it was. So where a first event is overdue the engines are asked, and all
// instances are told what they answer.
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

// Pace is how many times as long as published an engine takes for its work.
type Pace float64

const (
	// askAgain is the age from which what is known of an engine is asked anew.
	askAgain = time.Second
	// askTimeout bounds one question. Engines answer within milliseconds, beside their work.
	askTimeout = 400 * time.Millisecond
	// askMost is how many are asked at a time.
	askMost = 8
	// doubtMost bounds the doubts that wait; an engine that is still slow is doubted again.
	doubtMost = 64
	// slowLeast is the pace from which an engine counts as slow.
	slowLeast Pace = 1.1
	// slowMost bounds what an engine may say of itself.
	slowMost Pace = 100
	// look is the time between two looks at the engines that are known to be slow.
	look = 250 * time.Millisecond
)

var (
	asked  = metrics.NewCounter("peridotpath_pace_asked_total")
	failed = metrics.NewCounter("peridotpath_pace_unanswered_total")
)

// Watch knows the engines' paces. Set the exported fields before Run.
type Watch struct {
	Facts *facts.Table
	// Ask asks an engine for its pace.
	Ask func(ctx context.Context, endpoint *peridotpath.Endpoint) (Pace, error)
	// Find returns an engine by its key; nil where it is not in use.
	Find func(endpoint peridotpath.EndpointKey) *peridotpath.Endpoint
	// Mine reports whether this instance is the one that asks an engine again which is
	// known to be slow.
	Mine func(endpoint peridotpath.EndpointKey) bool
	Log  zerolog.Logger

	once   sync.Once
	doubts chan *peridotpath.Endpoint

	mutex sync.Mutex
	// asked is when this instance asked an engine last.
	asked map[peridotpath.EndpointKey]time.Time
}

func (watch *Watch) setUp() {
	watch.once.Do(func() {
		watch.doubts = make(chan *peridotpath.Endpoint, doubtMost)
		watch.asked = map[peridotpath.EndpointKey]time.Time{}
	})
}

// Doubt says that work at these engines is overdue. It never waits.
func (watch *Watch) Doubt(endpoints ...*peridotpath.Endpoint) {
	watch.setUp()
	for _, endpoint := range endpoints {
		select {
		case watch.doubts <- endpoint:
		default:
			return
		}
	}
}

// Slow returns the paces of the engines that are slow, as far as is known.
func (watch *Watch) Slow(now time.Time) map[peridotpath.EndpointKey]Pace {
	if watch == nil || !watch.Facts.Has(facts.KindPace) {
		return nil
	}
	slow := map[peridotpath.EndpointKey]Pace{}
	for _, fact := range watch.Facts.All(facts.KindPace, now) {
		if pace := Pace(fact.Value); pace >= slowLeast {
			slow[peridotpath.EndpointKey(fact.Detail)] = min(pace, slowMost)
		}
	}
	return slow
}

// Run asks until ctx ends.
func (watch *Watch) Run(ctx context.Context) error {
	watch.setUp()
	places := make(chan struct{}, askMost)
	var asking sync.WaitGroup
	defer asking.Wait()
	ticker := time.NewTicker(look)
	defer ticker.Stop()
	ask := func(endpoint *peridotpath.Endpoint) {
		if !watch.due(endpoint.Key(), time.Now()) {
			return
		}
		places <- struct{}{}
		asking.Go(func() {
			watch.ask(ctx, endpoint)
			<-places
		})
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case endpoint := <-watch.doubts:
			ask(endpoint)
		case now := <-ticker.C:
			for _, endpoint := range watch.again(now) {
				ask(endpoint)
			}
		}
	}
}

// due reports whether nobody has asked the engine for a while, and notes that it is asked.
func (watch *Watch) due(key peridotpath.EndpointKey, now time.Time) bool {
	if fact, known := watch.Facts.Get(facts.KindPace, facts.SubjectOf(key), uint64(key), now); known && now.Sub(fact.At) < askAgain {
		return false
	}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	if now.Sub(watch.asked[key]) < askAgain {
		return false
	}
	maps.DeleteFunc(watch.asked, func(_ peridotpath.EndpointKey, at time.Time) bool { return now.Sub(at) > askAgain })
	watch.asked[key] = now
	return true
}

// again returns the engines known to be slow that this instance is to ask again.
func (watch *Watch) again(now time.Time) []*peridotpath.Endpoint {
	var due []*peridotpath.Endpoint
	for key := range watch.Slow(now) {
		if endpoint := watch.Find(key); endpoint != nil && watch.Mine(key) {
			due = append(due, endpoint)
		}
	}
	return due
}

func (watch *Watch) ask(ctx context.Context, endpoint *peridotpath.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked.Inc()
	pace, err := watch.Ask(ctx, endpoint)
	if err != nil {
		failed.Inc()
		watch.Log.Debug().Err(err).Str("endpoint", string(endpoint.ID)).Msg("pace_unanswered")
		return
	}
	now, key := time.Now(), endpoint.Key()
	before := watch.Slow(now)[key]
	if before < slowLeast && pace < slowLeast {
		// Nobody took it for slow, and everything told is a datagram to everybody.
		return
	}
	watch.Facts.Learn(facts.Fact{Kind: facts.KindPace, Subject: facts.SubjectOf(key), Detail: uint64(key), Value: float64(pace), At: now})
	if (before >= slowLeast) != (pace >= slowLeast) {
		watch.Log.Info().Str("endpoint", string(endpoint.ID)).Float64("pace", float64(pace)).Float64("before", float64(before)).Msg("pace_changed")
	}
}
