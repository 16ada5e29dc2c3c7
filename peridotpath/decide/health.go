package decide

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// ejectAfter is how many attempts in a row must fail. A single failure is
	// ordinary; an endpoint that fails fast collects these within a second and
	// would otherwise look idle and draw all traffic.
	ejectAfter = 3
	// ejectFor is the first time out; it doubles up to ejectAtMost while probes
	// fail, so that a dead endpoint costs one probe a minute.
	ejectFor    = 3 * time.Second
	ejectAtMost = time.Minute
	// maxEjected is the largest share of a service's endpoints that may be out.
	// Beyond it the failures are probably not the endpoints' own, and the rest
	// would get more than twice their load and fail as well.
	maxEjected = 0.5
	// probeAnyAfter is when an endpoint that no short work probed gets any.
	probeAnyAfter = 10 * time.Second
	// probeOnceAfter is when an endpoint that no idempotent work probed gets one
	// call that must run once. Such a call may end as outcome_unknown, so it comes
	// last; but a service whose calls all run once would else lose each endpoint
	// that failed for a moment for good, down to the half that may not be ejected.
	probeOnceAfter = 30 * time.Second
	// slownessStep weighs one observation: ten of them show a slow endpoint.
	slownessStep = 0.1
	// slownessMost bounds the correction, so that an endpoint still gets the
	// odd request that shows its recovery.
	slownessMost = 10
	// slownessFrom is the ratio to the service's own that counts as slow. Below
	// it the difference is the prediction's error.
	slownessFrom = 1.5
	// slownessDecay is what is left of a slowness after a second without an
	// observation, so that an avoided endpoint is tried again after a minute.
	slownessDecay = 0.97
	// decodeStep weighs one answer in the rate at which answers come, and
	// leastDecoded is the shortest that counts.
	decodeStep   = 0.1
	leastDecoded = 16
	// leastPredicted keeps ratios of very short times from counting as slow.
	leastPredicted = 100 * time.Millisecond
)

// health is what attempts showed of one endpoint. The path of a request reads
// atomics; ends of attempts write under the lock.
type health struct {
	ejectedUntil atomic.Int64
	probing      atomic.Bool
	slow         atomicFloat // natural logarithm of the factor, zero or more
	decode       atomicFloat // tokens per second and request as seen, zero while unknown

	mu       sync.Mutex // guards what follows
	failures int        // in a row
	ejection time.Duration
}

// slowness is the factor by which the endpoint is slower than it claims.
func (health *health) slowness() float64 {
	slow := health.slow.load()
	if slow == 0 {
		return 1
	}
	return math.Exp(slow)
}

// observe compares a time to first token with its prediction.
func (health *health) observe(took, predicted time.Duration) {
	ratio := took.Seconds() / max(predicted, leastPredicted).Seconds()
	if ratio < slownessFrom {
		ratio = 1
	}
	health.mu.Lock()
	defer health.mu.Unlock()
	slow := health.slow.load()
	slow += slownessStep * (math.Log(ratio) - slow)
	health.slow.store(min(slow, math.Log(slownessMost)))
}

// observeDecode takes in how fast an answer came.
func (health *health) observeDecode(tokens peridotpath.Tokens, took time.Duration) {
	if tokens < leastDecoded || took <= 0 {
		return
	}
	seen := float64(tokens) / took.Seconds()
	health.mu.Lock()
	defer health.mu.Unlock()
	if known := health.decode.load(); known > 0 {
		seen = known + decodeStep*(seen-known)
	}
	health.decode.store(seen)
}

// decay lets an old observation fade.
func (health *health) decay(elapsed time.Duration) {
	health.mu.Lock()
	defer health.mu.Unlock()
	slow := health.slow.load() * math.Pow(slownessDecay, elapsed.Seconds())
	if slow < 0.01 {
		slow = 0
	}
	health.slow.store(slow)
}

// succeeded ends an ejection.
func (health *health) succeeded() {
	health.mu.Lock()
	defer health.mu.Unlock()
	health.failures = 0
	health.ejection = 0
	health.ejectedUntil.Store(0)
}

// failed counts a failure and reports whether the endpoint should be out.
func (health *health) failed() bool {
	health.mu.Lock()
	defer health.mu.Unlock()
	health.failures++
	return health.failures >= ejectAfter
}

// eject takes the endpoint out, for longer each time.
func (health *health) eject(at int64) {
	health.mu.Lock()
	defer health.mu.Unlock()
	health.ejection = min(max(2*health.ejection, ejectFor), ejectAtMost)
	health.ejectedUntil.Store(at + int64(health.ejection))
}

// usable reports whether work may go to the endpoint. After the time out, one
// request at a time probes it: an endpoint that is still dead must not be met
// by everything that waits. A probe is work that may run twice, and short work
// if there is any: it loses least. Work that must run once probes last.
func (health *health) usable(at int64, work *Work) (usable, probe bool) {
	until := health.ejectedUntil.Load()
	switch {
	case until == 0:
		return true, false
	case at < until:
		return false, false
	case !work.Profile.Idempotent && at < until+int64(probeOnceAfter):
		return false, false
	case work.slot() != peridotpath.Short && at < until+int64(probeAnyAfter):
		return false, false
	default:
		return !health.probing.Load(), true
	}
}

// out reports whether the endpoint is ejected or being probed.
func (health *health) out() bool { return health.ejectedUntil.Load() != 0 }
