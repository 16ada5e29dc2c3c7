// Package peer speaks to the other instances: it exchanges digests of load and
// demand with them and relays the configuration. When they are silent each
// instance goes on with what it knows itself.
package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/digest"
	"peridotpath.example/peridotpath/peer/wire"
	"peridotpath.example/peridotpath/share"
)

// Error is the class of this package's errors.
var Error = errs.Class("peer")

// ErrVersion says that a message cannot be read by this version.
var ErrVersion = errs.Class("peer: version")

const (
	// DefaultInterval between two exchanges with one peer, while the budget
	// allows it.
	DefaultInterval = 500 * time.Millisecond
	// DefaultBudget in bytes a second, for messages of both directions. With
	// the readings of reports and the sweeps it leaves a fifth of the 8 kB that
	// control may cost an instance to the configuration.
	DefaultBudget = 3500
	// MessageOverhead is what HTTP adds to a message and its answer: headers,
	// and the headers of the segments that carry them.
	MessageOverhead = 500
	// tick is how often the exchanges that are due are looked for.
	tick = 50 * time.Millisecond
	// callTimeout bounds one exchange. A peer that needs longer is of no use
	// for decisions about load.
	callTimeout = time.Second
	// backoffLimit bounds the time between two tries of a silent peer.
	backoffLimit = 10 * time.Second
	// maxDoublings keeps the backoff's shift from overflowing; backoffLimit is
	// reached long before.
	maxDoublings = 8
	// silentRounds is after how many intervals without a word the side that
	// normally waits for a pair's exchange begins one itself.
	silentRounds = 3
	// urgentRetry spaces the tries to hand over an urgent change.
	urgentRetry = 250 * time.Millisecond
	// forgetAfter is how long a peer that is no longer listed is remembered.
	forgetAfter = time.Minute
)

// Exchanger keeps up the exchange of digests. Set the exported fields before Run.
type Exchanger struct {
	Self peridotpath.InstanceID
	Book *digest.PublishedState
	Log  zerolog.Logger
	// Peers returns the other instances to exchange with.
	Peers func() []peridotpath.Instance
	// Call hands a digest to a peer and returns its answer.
	Call func(ctx context.Context, peer peridotpath.Instance, digest *wire.Digest) (*wire.Digest, error)
	// Report takes the reports that a peer's digest confirms.
	Report func(now time.Time, id peridotpath.EndpointID, load peridotpath.Load)
	// Interval between two exchanges with a peer; zero for DefaultInterval.
	Interval time.Duration
	// Budget in bytes a second; zero for DefaultBudget.
	Budget int
	// Random returns a number from 0 to 1 for jitter; nil for the global source.
	Random func() float64

	once    sync.Once
	limiter *rate.Limiter

	mu      sync.Mutex
	remotes map[peridotpath.InstanceID]*remote
}

// remote is the state of the exchange with one peer.
type remote struct {
	mirror digest.Mirror

	// The fields below are guarded by Exchanger.mu.
	epoch, acked uint64    // what the peer holds of our Book
	next         time.Time // when the next exchange is due
	tried        time.Time
	failures     int
	calling      bool
	since        time.Time // first sight
}

func (exchanger *Exchanger) start() {
	exchanger.once.Do(func() {
		if exchanger.Interval == 0 {
			exchanger.Interval = DefaultInterval
		}
		if exchanger.Budget == 0 {
			exchanger.Budget = DefaultBudget
		}
		if exchanger.Random == nil {
			exchanger.Random = rand.Float64
		}
		// Two seconds' worth may go at once, so that a start, when everything is
		// new, is not held up.
		exchanger.limiter = rate.NewLimiter(rate.Limit(exchanger.Budget), 2*exchanger.Budget)
		exchanger.remotes = map[peridotpath.InstanceID]*remote{}
	})
}

// Run exchanges digests until ctx ends, and returns when the last call has ended.
func (exchanger *Exchanger) Run(ctx context.Context) error {
	exchanger.start()
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		exchanger.round(ctx, &group)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// round begins the exchanges that are due.
func (exchanger *Exchanger) round(ctx context.Context, group *errgroup.Group) {
	now := time.Now()
	urgent := exchanger.Book.UrgentSequence()
	listed := exchanger.Peers()
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	for _, peer := range listed {
		remote := exchanger.remote(now, peer.ID)
		if !exchanger.due(now, peer.ID, remote, urgent) {
			continue
		}
		remote.calling, remote.tried = true, now
		group.Go(func() error {
			exchanger.exchange(ctx, peer, remote)
			return nil
		})
	}
	exchanger.forget(now, listed)
}

func (exchanger *Exchanger) remote(now time.Time, id peridotpath.InstanceID) *remote {
	found := exchanger.remotes[id]
	if found == nil {
		found = &remote{since: now}
		exchanger.remotes[id] = found
	}
	return found
}

// due reports whether to begin an exchange with the peer.
//
// One side of a pair begins, chosen by a hash, because an exchange serves both.
// The other side steps in when it hears nothing: its peer may not have it on
// its membership list yet. Only the news that an endpoint leaves goes out
// whatever the budget says; it is charged to the exchanges that follow.
func (exchanger *Exchanger) due(now time.Time, id peridotpath.InstanceID, remote *remote, urgent uint64) bool {
	if remote.calling {
		return false
	}
	holds := remote.acked
	if remote.epoch != exchanger.Book.Epoch {
		holds = 0
	}
	if urgent > holds && now.Sub(remote.tried) >= urgentRetry && remote.failures == 0 {
		return true
	}
	if now.Before(remote.next) || exchanger.limiter.TokensAt(now) <= 0 {
		return false
	}
	if begins(exchanger.Self, id) {
		return true
	}
	heard := remote.mirror.LastAppliedAt()
	if heard.IsZero() {
		heard = remote.since
	}
	return now.Sub(heard) > silentRounds*exchanger.Interval
}

// begins says which of two instances begins their exchanges.
func begins(self, other peridotpath.InstanceID) bool {
	low, high := min(self, other), max(self, other)
	lowBegins := xxhash.Sum64String(string(low)+"/"+string(high))&1 == 0
	return lowBegins == (self == low)
}

func (exchanger *Exchanger) forget(now time.Time, listed []peridotpath.Instance) {
	if len(exchanger.remotes) <= len(listed) {
		return
	}
	present := make(map[peridotpath.InstanceID]bool, len(listed))
	for _, peer := range listed {
		present[peer.ID] = true
	}
	for id, remote := range exchanger.remotes {
		last := remote.mirror.LastAppliedAt()
		if !present[id] && !remote.calling && now.Sub(last) > forgetAfter && now.Sub(remote.since) > forgetAfter {
			delete(exchanger.remotes, id)
		}
	}
}

func (exchanger *Exchanger) exchange(ctx context.Context, peer peridotpath.Instance, remote *remote) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := exchanger.digest(time.Now(), remote)
	got, err := exchanger.Call(ctx, peer, sent)
	now := time.Now()
	if err == nil {
		err = exchanger.take(now, remote, got)
	}
	exchanger.charge(now, proto.Size(sent)+proto.Size(got)+MessageOverhead)
	exchanger.settle(now, peer, remote, err)
}

// digest makes the digest for a peer.
func (exchanger *Exchanger) digest(now time.Time, remote *remote) *wire.Digest {
	exchanger.mu.Lock()
	epoch, acked := remote.epoch, remote.acked
	exchanger.mu.Unlock()
	digest := exchanger.Book.BuildDigest(now, epoch, acked)
	digest.Instance = string(exchanger.Self)
	digest.SeenEpoch, digest.Seen = remote.mirror.Position()
	return digest
}

// take takes in a peer's digest.
func (exchanger *Exchanger) take(now time.Time, remote *remote, got *wire.Digest) error {
	if !digest.IsReadable(got.GetVersion()) {
		return ErrVersion.New("protocol %d, readable by %d", got.GetVersion().GetProtocol(), got.GetVersion().GetReadableBy())
	}
	for _, report := range remote.mirror.Apply(now, got) {
		if !report.IsUnreadable {
			exchanger.Report(now, report.Endpoint, report.Load)
		}
	}
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	remote.epoch, remote.acked = got.SeenEpoch, got.Seen
	return nil
}

func (exchanger *Exchanger) charge(now time.Time, bytes int) {
	bytesTotal.Add(bytes)
	exchanger.limiter.ReserveN(now, min(bytes, exchanger.limiter.Burst()))
}

// settle notes how an exchange ended and when the next one is due. A silent
// peer is tried less and less often; the random part keeps instances apart that
// lost it at the same moment.
func (exchanger *Exchanger) settle(now time.Time, peer peridotpath.Instance, remote *remote, err error) {
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	remote.calling = false
	wait := exchanger.Interval
	if err != nil {
		remote.failures++
		wait = min(wait<<min(remote.failures, maxDoublings), backoffLimit)
		countFailure(err)
		if remote.failures == 1 {
			exchanger.Log.Warn().Str("event", "exchange_failed").Str("instance", string(peer.ID)).Err(err).Send()
		}
	} else {
		remote.failures = 0
	}
	remote.next = now.Add(clock.Jitter(wait, exchanger.Random()))
}

// Answer takes a peer's digest and returns the one for it. It also serves
// instances that the membership list does not name yet.
func (exchanger *Exchanger) Answer(now time.Time, got *wire.Digest) (*wire.Digest, error) {
	exchanger.start()
	exchanger.mu.Lock()
	remote := exchanger.remote(now, peridotpath.InstanceID(got.Instance))
	exchanger.mu.Unlock()
	if err := exchanger.take(now, remote, got); err != nil {
		countFailure(err)
		return nil, err
	}
	answer := exchanger.digest(now, remote)
	exchanger.charge(now, proto.Size(got)+proto.Size(answer)+MessageOverhead)
	return answer, nil
}

// Remotes returns what customers ask of every peer that is listed or was heard
// of late; it is share.Limiter.Peers.
func (exchanger *Exchanger) Remotes() []share.Peer {
	exchanger.start()
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	peers := make([]share.Peer, 0, len(exchanger.remotes))
	for _, remote := range exchanger.remotes {
		peers = append(peers, share.Peer{ReceivedAt: remote.mirror.LastAppliedAt(), Demand: remote.mirror.DemandByCustomer()})
	}
	return peers
}

var (
	bytesTotal     = metrics.NewCounter(`peridotpath_exchange_bytes_total`)
	failedVersion  = metrics.NewCounter(`peridotpath_exchange_failures_total{reason="version"}`)
	failedNoAnswer = metrics.NewCounter(`peridotpath_exchange_failures_total{reason="no_answer"}`)
)

func countFailure(err error) {
	if ErrVersion.Has(err) {
		failedVersion.Inc()
		return
	}
	failedNoAnswer.Inc()
}

// Epoch returns the epoch of a peer's Book as last heard; zero when it was not
// heard yet. It tells runs of the peer apart sooner than the membership list.
func (exchanger *Exchanger) Epoch(id peridotpath.InstanceID) uint64 {
	exchanger.start()
	exchanger.mu.Lock()
	remote := exchanger.remotes[id]
	exchanger.mu.Unlock()
	if remote == nil {
		return 0
	}
	epoch, _ := remote.mirror.Position()
	return epoch
}
