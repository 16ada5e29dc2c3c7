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
	// DefaultInterval is the default time between two polls of an endpoint. A leaving
	// endpoint must be known at all instances within two seconds; the interval, together
	// with the poll itself, leaves one second for the exchange between instances.
	DefaultInterval = 500 * time.Millisecond
	// DefaultBytesPerSecond is the default limit on poll traffic, in bytes per second.
	DefaultBytesPerSecond = 2500
	// bytesPerPoll is the traffic of one poll, request and response together.
	bytesPerPoll = 450
	// pollTimeout bounds one poll. An endpoint that takes longer is published as unreadable, so
	// that peers do not treat its last load as confirmed.
	pollTimeout = time.Second
	// maxConcurrentPolls bounds the polls that run at the same time.
	maxConcurrentPolls = 32
	// DefaultStaleAfter is the default age of a load after which the owner of its endpoint
	// counts as silent. It spans several exchanges, so that one slow exchange causes no
	// fallback polls.
	DefaultStaleAfter = 6 * time.Second
	// MaxFallbackPolls bounds the polls per round of endpoints that other instances own. When a
	// rack fails, the same endpoints become stale at every instance. If all instances polled
	// all of them, the poll load of these endpoints would be multiplied by the number of
	// instances during the outage.
	MaxFallbackPolls = 4
)

// Poller polls the load reports of the endpoints that this instance owns and publishes them to
// peers. It also polls a few endpoints whose owner is silent. Set the exported fields before
// Run.
type Poller struct {
	View      *View
	Published *digest.PublishedState
	// FetchLoad fetches an endpoint's load report.
	FetchLoad func(ctx context.Context, address netip.AddrPort) (peridotpath.Load, error)
	// IsOwner reports whether this instance owns the endpoint.
	IsOwner func(id peridotpath.EndpointID) bool
	// Interval is the minimum time between two polls of an endpoint; zero selects
	// DefaultInterval. It is extended to keep the traffic within the budget.
	Interval time.Duration
	// BytesPerSecond limits poll traffic in bytes per second; zero selects
	// DefaultBytesPerSecond.
	BytesPerSecond int
	// StaleAfter is the age of a load after which the endpoint's owner counts as silent; zero
	// selects DefaultStaleAfter.
	StaleAfter time.Duration
	// Random returns a number in [0, 1) for jitter and the choice of fallback polls; nil
	// selects the global source.
	Random func() float64

	mu         sync.Mutex
	inProgress map[peridotpath.EndpointID]bool
}

// Run polls until ctx is done, and returns when the last poll has ended.
func (poller *Poller) Run(ctx context.Context) error {
	poller.setDefaults()
	var group errgroup.Group
	group.SetLimit(maxConcurrentPolls)
	defer func() { _ = group.Wait() }()
	for {
		ownedCount := poller.startPolls(ctx, &group)
		// The jitter spreads the polls of instances that started at the same time.
		if !clock.SleepContext(ctx, clock.Jitter(poller.extendedInterval(ownedCount), poller.Random())) {
			return ctx.Err()
		}
	}
}

func (poller *Poller) setDefaults() {
	if poller.Interval == 0 {
		poller.Interval = DefaultInterval
	}
	if poller.BytesPerSecond == 0 {
		poller.BytesPerSecond = DefaultBytesPerSecond
	}
	if poller.StaleAfter == 0 {
		poller.StaleAfter = DefaultStaleAfter
	}
	if poller.Random == nil {
		poller.Random = rand.Float64
	}
	poller.inProgress = map[peridotpath.EndpointID]bool{}
}

// extendedInterval returns the poll interval for the number of owned endpoints, extended so
// that the polls stay within the budget.
func (poller *Poller) extendedInterval(ownedCount int) time.Duration {
	return max(poller.Interval, time.Duration(ownedCount*bytesPerPoll)*time.Second/time.Duration(poller.BytesPerSecond))
}

// startPolls starts one poll of each owned endpoint and of some stale ones, and returns the
// number of owned endpoints.
func (poller *Poller) startPolls(ctx context.Context, group *errgroup.Group) int {
	now := time.Now()
	var ownedEndpoints, staleEndpoints []peridotpath.Endpoint
	for _, endpoint := range poller.View.ListedEngines() {
		switch {
		case poller.IsOwner(endpoint.ID):
			ownedEndpoints = append(ownedEndpoints, endpoint)
		case poller.View.ReportAge(now, endpoint.ID) > poller.StaleAfter:
			staleEndpoints = append(staleEndpoints, endpoint)
		}
	}
	poller.Published.RetainEndpoints(poller.IsOwner)
	staleEndpoints = poller.chooseFallbacks(staleEndpoints)
	metrics.GetOrCreateCounter(`peridotpath_fallback_polls_total`).Add(len(staleEndpoints))
	for _, endpoint := range append(ownedEndpoints, staleEndpoints...) {
		poller.startPoll(ctx, group, endpoint)
	}
	return len(ownedEndpoints)
}

// chooseFallbacks returns at most MaxFallbackPolls random endpoints, so that instances with the
// same stale endpoints poll different ones.
func (poller *Poller) chooseFallbacks(endpoints []peridotpath.Endpoint) []peridotpath.Endpoint {
	count := min(len(endpoints), MaxFallbackPolls)
	for i := range count {
		j := i + int(poller.Random()*float64(len(endpoints)-i))
		endpoints[i], endpoints[j] = endpoints[j], endpoints[i]
	}
	return endpoints[:count]
}

// startPoll starts a poll of the endpoint unless its last one is still running or
// maxConcurrentPolls polls are running. An unresponsive endpoint thus does not delay the others.
func (poller *Poller) startPoll(ctx context.Context, group *errgroup.Group, endpoint peridotpath.Endpoint) {
	if !poller.markInProgress(endpoint.ID) {
		return
	}
	started := group.TryGo(func() error {
		defer poller.clearInProgress(endpoint.ID)
		poller.poll(ctx, endpoint)
		return nil
	})
	if !started {
		poller.clearInProgress(endpoint.ID)
	}
}

func (poller *Poller) markInProgress(id peridotpath.EndpointID) bool {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	if poller.inProgress[id] {
		return false
	}
	poller.inProgress[id] = true
	return true
}

func (poller *Poller) clearInProgress(id peridotpath.EndpointID) {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	delete(poller.inProgress, id)
}

func (poller *Poller) poll(ctx context.Context, endpoint peridotpath.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := time.Now()
	load, err := poller.FetchLoad(ctx, endpoint.Address)
	if err != nil {
		metrics.GetOrCreateCounter(`peridotpath_reports_unread_total`).Inc()
		poller.Published.MarkUnreadable(endpoint.ID)
		return
	}
	// AsOf is the time before the poll: the report may not contain requests that were
	// dispatched during the poll.
	load.AsOf = sentAt
	poller.View.ApplyReport(time.Now(), endpoint.ID, load)
	if poller.IsOwner(endpoint.ID) {
		poller.Published.PutEndpoint(endpoint.ID, load)
	}
}
