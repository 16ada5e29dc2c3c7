package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/digest"
)

const (
	// DefaultInterval leaves a second of the two within which an endpoint that
	// leaves must be known everywhere.
	DefaultInterval = 500 * time.Millisecond
	// DefaultBudget is what the reading of reports may cost, in bytes a second.
	DefaultBudget = 2500
	// pollBytes is what reading one report costs on the wire, both ways.
	pollBytes = 450
	// readTimeout bounds one reading. An endpoint that takes longer is published
	// as unread, so that its last figures do not pass for confirmed.
	readTimeout = time.Second
	// pollsAtOnce bounds the reports that are being read at a time.
	pollsAtOnce = 32
	// DefaultStaleAfter is how long another owner may be silent about an
	// endpoint. Several exchanges, so that a slow one sends nobody polling.
	DefaultStaleAfter = 6 * time.Second
	// FallbackPolls bounds the endpoints of other owners that are read in one
	// round. When a rack is lost every instance takes the same endpoints for
	// unwatched, and reading all of them from everywhere would multiply their
	// load by the number of instances in a bad moment.
	FallbackPolls = 4
)

// Poller reads the reports of the endpoints that this instance owns, publishes
// them, and reads a few of those whose owner is silent. Set the exported fields
// before Run.
type Poller struct {
	View *View
	Book *digest.PublishedState
	// Load reads an endpoint's report.
	Load func(ctx context.Context, address netip.AddrPort) (peridotpath.Load, error)
	// Owns reports whether this instance owns the endpoint.
	Owns func(id peridotpath.EndpointID) bool
	// Interval between two readings of an endpoint; zero for DefaultInterval.
	// It is stretched to keep within Budget.
	Interval time.Duration
	// Budget in bytes a second; zero for DefaultBudget.
	Budget int
	// StaleAfter is when an owner counts as silent; zero for DefaultStaleAfter.
	StaleAfter time.Duration
	// Random returns a number from 0 to 1 for jitter and choices; nil for the
	// global source.
	Random func() float64

	mu   sync.Mutex
	busy map[peridotpath.EndpointID]bool
}

// Run reads reports until ctx ends, and returns when the last reading has ended.
func (poller *Poller) Run(ctx context.Context) error {
	poller.setDefaults()
	var group errgroup.Group
	group.SetLimit(pollsAtOnce)
	defer func() { _ = group.Wait() }()
	for {
		owned := poller.round(ctx, &group)
		// The random part keeps instances that started together apart.
		if !clock.SleepContext(ctx, clock.Jitter(poller.interval(owned), poller.Random())) {
			return ctx.Err()
		}
	}
}

func (poller *Poller) setDefaults() {
	if poller.Interval == 0 {
		poller.Interval = DefaultInterval
	}
	if poller.Budget == 0 {
		poller.Budget = DefaultBudget
	}
	if poller.StaleAfter == 0 {
		poller.StaleAfter = DefaultStaleAfter
	}
	if poller.Random == nil {
		poller.Random = rand.Float64
	}
	poller.busy = map[peridotpath.EndpointID]bool{}
}

// interval stretches the interval so that the readings keep within the budget.
func (poller *Poller) interval(owned int) time.Duration {
	return max(poller.Interval, time.Duration(owned*pollBytes)*time.Second/time.Duration(poller.Budget))
}

// round starts the readings that are due and returns how many endpoints are owned.
func (poller *Poller) round(ctx context.Context, group *errgroup.Group) int {
	now := time.Now()
	var owned, silent []peridotpath.Endpoint
	for _, endpoint := range poller.View.Engines() {
		switch {
		case poller.Owns(endpoint.ID):
			owned = append(owned, endpoint)
		case poller.View.Age(now, endpoint.ID) > poller.StaleAfter:
			silent = append(silent, endpoint)
		}
	}
	poller.Book.RetainEndpoints(poller.Owns)
	silent = poller.few(silent)
	metrics.GetOrCreateCounter(`peridotpath_fallback_polls_total`).Add(len(silent))
	for _, endpoint := range append(owned, silent...) {
		poller.begin(ctx, group, endpoint)
	}
	return len(owned)
}

// few chooses at most FallbackPolls endpoints, so that instances that have the
// same ones to choose from read different ones.
func (poller *Poller) few(endpoints []peridotpath.Endpoint) []peridotpath.Endpoint {
	count := min(len(endpoints), FallbackPolls)
	for i := range count {
		j := i + int(poller.Random()*float64(len(endpoints)-i))
		endpoints[i], endpoints[j] = endpoints[j], endpoints[i]
	}
	return endpoints[:count]
}

// begin starts one reading, unless the last one of the endpoint still runs: an
// endpoint that hangs may not hold up the others.
func (poller *Poller) begin(ctx context.Context, group *errgroup.Group, endpoint peridotpath.Endpoint) {
	if !poller.claim(endpoint.ID) {
		return
	}
	started := group.TryGo(func() error {
		defer poller.release(endpoint.ID)
		poller.read(ctx, endpoint)
		return nil
	})
	if !started {
		poller.release(endpoint.ID)
	}
}

func (poller *Poller) claim(id peridotpath.EndpointID) bool {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	if poller.busy[id] {
		return false
	}
	poller.busy[id] = true
	return true
}

func (poller *Poller) release(id peridotpath.EndpointID) {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	delete(poller.busy, id)
}

func (poller *Poller) read(ctx context.Context, endpoint peridotpath.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := time.Now()
	load, err := poller.Load(ctx, endpoint.Address)
	if err != nil {
		metrics.GetOrCreateCounter(`peridotpath_reports_unread_total`).Inc()
		poller.Book.MarkUnreadable(endpoint.ID)
		return
	}
	// From before the call: what was dispatched while it ran may not be in it.
	load.AsOf = sent
	poller.View.Report(time.Now(), endpoint.ID, load)
	if poller.Owns(endpoint.ID) {
		poller.Book.PutEndpoint(endpoint.ID, load)
	}
}
