// Package peer implements the protocol between instances. Pairs of instances periodically
// exchange delta-encoded digests of endpoint load and customer demand, within a byte
// budget, and instances that do not read the configuration from the platform fetch it from
// peers by long polling. When peers are unreachable, an instance continues with the state
// that it has.
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

// ErrUnreadableVersion is the class of errors for messages of a protocol version that this
// instance cannot read.
var ErrUnreadableVersion = errs.Class("peer: version")

const (
	// DefaultInterval is the default time between two exchanges with one peer, if the
	// budget allows it.
	DefaultInterval = 500 * time.Millisecond
	// DefaultBytesPerSecond is the default limit on exchange traffic in bytes per second, for
	// both directions together. Control traffic may use 8 kB/s per instance; the exchanges, the
	// polls of load reports and the stream sweeps leave a fifth of it to the configuration.
	DefaultBytesPerSecond = 3500
	// MessageOverheadBytes is the number of bytes that HTTP and TCP headers add to a message
	// and its reply.
	MessageOverheadBytes = 500
	// dueCheckInterval is the time between two checks of Exchanger.Run for due exchanges.
	dueCheckInterval = 50 * time.Millisecond
	// exchangeTimeout bounds one exchange. Load that takes longer to arrive is too old for
	// placement decisions.
	exchangeTimeout = time.Second
	// maxBackoff bounds the time between two attempts to reach an unresponsive peer.
	maxBackoff = 10 * time.Second
	// maxBackoffDoublings prevents an overflow of the backoff's shift. The backoff reaches
	// maxBackoff after fewer doublings.
	maxBackoffDoublings = 8
	// maxSilentIntervals is the number of intervals without a message after which the
	// passive side of a pair starts an exchange itself.
	maxSilentIntervals = 3
	// minUrgentInterval is the minimum time between two attempts to send an urgent change.
	minUrgentInterval = 250 * time.Millisecond
	// unlistedRetention is how long the state of a peer that is no longer listed is kept after
	// the peer's last message.
	unlistedRetention = time.Minute
)

// Exchanger exchanges digests with the other instances. Set the exported fields before the
// first call of a method.
type Exchanger struct {
	Self      peridotpath.InstanceID
	Published *digest.PublishedState
	Log       zerolog.Logger
	// Peers returns the other instances to exchange digests with.
	Peers func() []peridotpath.Instance
	// SendDigest sends a digest to a peer and returns the digest in its reply.
	SendDigest func(ctx context.Context, peer peridotpath.Instance, digest *wire.Digest) (*wire.Digest, error)
	// OnReport is called with each load report that a peer's digest adds or confirms.
	OnReport func(now time.Time, id peridotpath.EndpointID, load peridotpath.Load)
	// Interval is the time between two exchanges with a peer; zero selects DefaultInterval.
	Interval time.Duration
	// BytesPerSecond limits exchange traffic in bytes per second; zero selects
	// DefaultBytesPerSecond.
	BytesPerSecond int
	// Random returns a number in [0, 1) for jitter; nil selects the global source.
	Random func() float64

	once    sync.Once
	limiter *rate.Limiter

	mu         sync.Mutex
	peerStates map[peridotpath.InstanceID]*peerState
}

// peerState is the state of the exchange with one peer.
type peerState struct {
	mirror digest.Mirror

	// The fields below are guarded by Exchanger.mu.
	ackedEpoch, ackedSequence uint64 // what the peer has received of the published state
	nextExchange              time.Time
	lastAttempt               time.Time
	failures                  int
	isExchanging              bool
	firstSeen                 time.Time
}

// init sets the defaults of the exported fields, once.
func (exchanger *Exchanger) init() {
	exchanger.once.Do(func() {
		if exchanger.Interval == 0 {
			exchanger.Interval = DefaultInterval
		}
		if exchanger.BytesPerSecond == 0 {
			exchanger.BytesPerSecond = DefaultBytesPerSecond
		}
		if exchanger.Random == nil {
			exchanger.Random = rand.Float64
		}
		// The burst of two seconds' worth of bytes keeps the limiter from delaying the first
		// exchanges after a start, which carry the full state.
		exchanger.limiter = rate.NewLimiter(rate.Limit(exchanger.BytesPerSecond), 2*exchanger.BytesPerSecond)
		exchanger.peerStates = map[peridotpath.InstanceID]*peerState{}
	})
}

// Run exchanges digests until ctx is done, and returns when the last exchange has ended.
func (exchanger *Exchanger) Run(ctx context.Context) error {
	exchanger.init()
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	ticker := time.NewTicker(dueCheckInterval)
	defer ticker.Stop()
	for {
		exchanger.startDueExchanges(ctx, &group)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// startDueExchanges starts the exchanges that are due, and evicts peers that are no longer
// listed.
func (exchanger *Exchanger) startDueExchanges(ctx context.Context, group *errgroup.Group) {
	now := time.Now()
	urgent := exchanger.Published.UrgentSequence()
	peers := exchanger.Peers()
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	for _, peer := range peers {
		state := exchanger.peerStateOf(now, peer.ID)
		if !exchanger.isDue(now, peer.ID, state, urgent) {
			continue
		}
		state.isExchanging, state.lastAttempt = true, now
		group.Go(func() error {
			exchanger.runExchange(ctx, peer, state)
			return nil
		})
	}
	exchanger.evictUnlisted(now, peers)
}

// peerStateOf returns the state of a peer, creating it if needed. The caller holds
// exchanger.mu.
func (exchanger *Exchanger) peerStateOf(now time.Time, id peridotpath.InstanceID) *peerState {
	state := exchanger.peerStates[id]
	if state == nil {
		state = &peerState{firstSeen: now}
		exchanger.peerStates[id] = state
	}
	return state
}

// isDue reports whether to start an exchange with the peer.
//
// An exchange transfers both digests, so only one side of a pair, selected by a hash,
// initiates. The passive side starts an exchange when it has received nothing for
// maxSilentIntervals, since the initiator may not have it on the membership list yet. Only an
// urgent change, an endpoint that starts to leave, is sent regardless of the budget; its
// bytes are charged to later exchanges.
func (exchanger *Exchanger) isDue(now time.Time, id peridotpath.InstanceID, state *peerState, urgentSequence uint64) bool {
	if state.isExchanging {
		return false
	}
	acked := state.ackedSequence
	if state.ackedEpoch != exchanger.Published.Epoch {
		acked = 0
	}
	if urgentSequence > acked && now.Sub(state.lastAttempt) >= minUrgentInterval && state.failures == 0 {
		return true
	}
	if now.Before(state.nextExchange) || exchanger.limiter.TokensAt(now) <= 0 {
		return false
	}
	if isInitiator(exchanger.Self, id) {
		return true
	}
	lastReceived := state.mirror.LastAppliedAt()
	if lastReceived.IsZero() {
		lastReceived = state.firstSeen
	}
	return now.Sub(lastReceived) > maxSilentIntervals*exchanger.Interval
}

// isInitiator reports whether self is the instance of the pair that starts their exchanges.
func isInitiator(self, other peridotpath.InstanceID) bool {
	low, high := min(self, other), max(self, other)
	lowBegins := xxhash.Sum64String(string(low)+"/"+string(high))&1 == 0
	return lowBegins == (self == low)
}

// evictUnlisted removes the state of peers that are not listed and have sent nothing for
// unlistedRetention. The caller holds exchanger.mu.
func (exchanger *Exchanger) evictUnlisted(now time.Time, peers []peridotpath.Instance) {
	if len(exchanger.peerStates) <= len(peers) {
		return
	}
	listed := make(map[peridotpath.InstanceID]bool, len(peers))
	for _, peer := range peers {
		listed[peer.ID] = true
	}
	for id, state := range exchanger.peerStates {
		lastReceived := state.mirror.LastAppliedAt()
		if !listed[id] && !state.isExchanging && now.Sub(lastReceived) > unlistedRetention && now.Sub(state.firstSeen) > unlistedRetention {
			delete(exchanger.peerStates, id)
		}
	}
}

func (exchanger *Exchanger) runExchange(ctx context.Context, peer peridotpath.Instance, state *peerState) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := exchanger.buildDigest(time.Now(), state)
	received, err := exchanger.SendDigest(ctx, peer, sent)
	now := time.Now()
	if err == nil {
		err = exchanger.applyDigest(now, state, received)
	}
	exchanger.chargeBudget(now, proto.Size(sent)+proto.Size(received)+MessageOverheadBytes)
	exchanger.recordOutcome(now, peer, state, err)
}

// buildDigest returns the digest for a peer: the changes since the last acknowledged one, and
// the acknowledgement of what was received.
func (exchanger *Exchanger) buildDigest(now time.Time, state *peerState) *wire.Digest {
	exchanger.mu.Lock()
	epoch, acked := state.ackedEpoch, state.ackedSequence
	exchanger.mu.Unlock()
	digest := exchanger.Published.BuildDigest(now, epoch, acked)
	digest.Instance = string(exchanger.Self)
	digest.SeenEpoch, digest.Seen = state.mirror.Position()
	return digest
}

// applyDigest applies a peer's digest and forwards the load reports in it.
func (exchanger *Exchanger) applyDigest(now time.Time, state *peerState, received *wire.Digest) error {
	if !digest.IsReadable(received.GetVersion()) {
		return ErrUnreadableVersion.New("protocol %d, readable by %d", received.GetVersion().GetProtocol(), received.GetVersion().GetReadableBy())
	}
	for _, report := range state.mirror.Apply(now, received) {
		if !report.IsUnreadable {
			exchanger.OnReport(now, report.Endpoint, report.Load)
		}
	}
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	state.ackedEpoch, state.ackedSequence = received.SeenEpoch, received.Seen
	return nil
}

// chargeBudget counts the bytes of an exchange against the budget.
func (exchanger *Exchanger) chargeBudget(now time.Time, bytes int) {
	exchangeBytes.Add(bytes)
	exchanger.limiter.ReserveN(now, min(bytes, exchanger.limiter.Burst()))
}

// recordOutcome records the result of an exchange and schedules the next one. Failures back
// off exponentially; the jitter spreads the attempts of instances that lost the same peer at
// the same time.
func (exchanger *Exchanger) recordOutcome(now time.Time, peer peridotpath.Instance, state *peerState, err error) {
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	state.isExchanging = false
	delay := exchanger.Interval
	if err != nil {
		state.failures++
		delay = min(delay<<min(state.failures, maxBackoffDoublings), maxBackoff)
		countFailure(err)
		if state.failures == 1 {
			exchanger.Log.Warn().Str("event", "exchange_failed").Str("instance", string(peer.ID)).Err(err).Send()
		}
	} else {
		state.failures = 0
	}
	state.nextExchange = now.Add(clock.Jitter(delay, exchanger.Random()))
}

// HandleDigest applies a peer's digest and returns the reply for that peer. The peer need not
// be on the membership list yet.
func (exchanger *Exchanger) HandleDigest(now time.Time, received *wire.Digest) (*wire.Digest, error) {
	exchanger.init()
	exchanger.mu.Lock()
	state := exchanger.peerStateOf(now, peridotpath.InstanceID(received.Instance))
	exchanger.mu.Unlock()
	if err := exchanger.applyDigest(now, state, received); err != nil {
		countFailure(err)
		return nil, err
	}
	answer := exchanger.buildDigest(now, state)
	exchanger.chargeBudget(now, proto.Size(received)+proto.Size(answer)+MessageOverheadBytes)
	return answer, nil
}

// PeerDemands returns the customer demand at every peer that is listed or has recently sent a
// digest, for the division of customers' limits.
func (exchanger *Exchanger) PeerDemands() []share.PeerDemand {
	exchanger.init()
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	peers := make([]share.PeerDemand, 0, len(exchanger.peerStates))
	for _, state := range exchanger.peerStates {
		peers = append(peers, share.PeerDemand{ReceivedAt: state.mirror.LastAppliedAt(), Demand: state.mirror.DemandByCustomer()})
	}
	return peers
}

var (
	exchangeBytes    = metrics.NewCounter(`peridotpath_exchange_bytes_total`)
	versionFailures  = metrics.NewCounter(`peridotpath_exchange_failures_total{reason="version"}`)
	noAnswerFailures = metrics.NewCounter(`peridotpath_exchange_failures_total{reason="no_answer"}`)
)

func countFailure(err error) {
	if ErrUnreadableVersion.Has(err) {
		versionFailures.Inc()
		return
	}
	noAnswerFailures.Inc()
}

// PeerEpoch returns the epoch of a peer's digests as last received, or zero if none was received
// yet. The epoch identifies the peer's current run earlier than the membership list does.
func (exchanger *Exchanger) PeerEpoch(id peridotpath.InstanceID) uint64 {
	exchanger.init()
	exchanger.mu.Lock()
	state := exchanger.peerStates[id]
	exchanger.mu.Unlock()
	if state == nil {
		return 0
	}
	epoch, _ := state.mirror.Position()
	return epoch
}
