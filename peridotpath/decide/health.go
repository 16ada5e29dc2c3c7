package decide

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// ejectAfterFailures is the number of consecutive failures that eject an
	// endpoint. A single failure is ordinary. An endpoint that fails fast
	// reaches this number within a second; without ejection it would appear
	// idle and attract all traffic.
	ejectAfterFailures = 3
	// minEjection is the duration of the first ejection. It doubles up to
	// maxEjection while probes fail, so that an unreachable endpoint costs one
	// probe a minute.
	minEjection = 3 * time.Second
	maxEjection = time.Minute
	// maxBackoff caps the time for which an endpoint can ask to get no work, so that an absurd
	// value does not take it out of use.
	maxBackoff = time.Minute
	// maxEjectedShare is the maximum share of a service's endpoints that may be
	// ejected. Beyond it the endpoints are probably not the cause of the
	// failures, and the remaining ones would receive more than twice their load
	// and fail as well.
	maxEjectedShare = 0.5
	// probeAnyClassAfter is the time after an ejection from which work of any
	// class may probe the endpoint, and not short work only.
	probeAnyClassAfter = 10 * time.Second
	// probeNonIdempotentAfter is the time after an ejection from which a
	// non-idempotent call may probe the endpoint. Such a call may end as
	// outcome_unknown, so it probes last. Without such probes, a service with only
	// non-idempotent calls would permanently lose each endpoint after a brief
	// failure, up to maxEjectedShare.
	probeNonIdempotentAfter = 30 * time.Second
	// slownessWeight is the weight of one observation in the moving average of
	// slowness, which follows a change within about ten observations.
	slownessWeight = 0.1
	// maxSlowness is the maximum slowness, so that an endpoint still receives an
	// occasional request by which its recovery is observed.
	maxSlowness = 10
	// minSlownessRatio is the ratio to the predicted time from which an
	// endpoint counts as slow. Smaller ratios are within the error of the
	// prediction.
	minSlownessRatio = 1.5
	// slownessDecayPerSecond is the factor per second by which the logarithm of the
	// slowness decays, so that an avoided endpoint is tried again after a minute.
	slownessDecayPerSecond = 0.97
	// decodeRateWeight is the weight of one answer in the moving average of the
	// decode rate, and minDecodedTokens is the minimum length of an answer that
	// counts.
	decodeRateWeight = 0.1
	minDecodedTokens = 16
	// minPredictedTTFT is the lower bound of a predicted time, so that the
	// ratios of very short times do not count as slow.
	minPredictedTTFT = 100 * time.Millisecond
)

// health is the observed state of one endpoint, for outlier ejection and the
// correction of its rates. The request path reads atomics; the end of an attempt
// writes under the lock.
type health struct {
	ejectedUntil atomic.Int64
	// backoffUntil is the end of the time for which the endpoint wants no work.
	backoffUntil atomic.Int64
	isProbing    atomic.Bool
	logSlowness  atomicFloat // natural logarithm of the slowness factor, zero or more
	decodeRate   atomicFloat // observed tokens per second and request, zero if unknown

	mu                  sync.Mutex // guards the fields below
	consecutiveFailures int
	ejectionTime        time.Duration
}

// slowness is the factor by which the endpoint is slower than it reports.
func (health *health) slowness() float64 {
	logFactor := health.logSlowness.load()
	if logFactor == 0 {
		return 1
	}
	return math.Exp(logFactor)
}

// observeTTFT updates the slowness from a time to first token and its prediction.
func (health *health) observeTTFT(elapsed, predicted time.Duration) {
	ratio := elapsed.Seconds() / max(predicted, minPredictedTTFT).Seconds()
	if ratio < minSlownessRatio {
		ratio = 1
	}
	health.mu.Lock()
	defer health.mu.Unlock()
	logFactor := health.logSlowness.load()
	logFactor += slownessWeight * (math.Log(ratio) - logFactor)
	health.logSlowness.store(min(logFactor, math.Log(maxSlowness)))
}

// observeDecode updates the decode rate from the duration of an answer.
func (health *health) observeDecode(tokens peridotpath.Tokens, elapsed time.Duration) {
	if tokens < minDecodedTokens || elapsed <= 0 {
		return
	}
	observed := float64(tokens) / elapsed.Seconds()
	health.mu.Lock()
	defer health.mu.Unlock()
	if average := health.decodeRate.load(); average > 0 {
		observed = average + decodeRateWeight*(observed-average)
	}
	health.decodeRate.store(observed)
}

// decaySlowness reduces the slowness with time.
func (health *health) decaySlowness(elapsed time.Duration) {
	health.mu.Lock()
	defer health.mu.Unlock()
	logFactor := health.logSlowness.load() * math.Pow(slownessDecayPerSecond, elapsed.Seconds())
	if logFactor < 0.01 {
		logFactor = 0
	}
	health.logSlowness.store(logFactor)
}

// recordSuccess resets the failures and ends an ejection.
func (health *health) recordSuccess() {
	health.mu.Lock()
	defer health.mu.Unlock()
	health.consecutiveFailures = 0
	health.ejectionTime = 0
	health.ejectedUntil.Store(0)
}

// recordFailure counts a failure and reports whether the endpoint is due for
// ejection.
func (health *health) recordFailure() bool {
	health.mu.Lock()
	defer health.mu.Unlock()
	health.consecutiveFailures++
	return health.consecutiveFailures >= ejectAfterFailures
}

// eject ejects the endpoint, for twice as long each time (exponential backoff).
func (health *health) eject(at int64) {
	health.mu.Lock()
	defer health.mu.Unlock()
	health.ejectionTime = min(max(2*health.ejectionTime, minEjection), maxEjection)
	health.ejectedUntil.Store(at + int64(health.ejectionTime))
}

// canTake reports whether the work may be placed on the endpoint, and whether it
// would be a probe. After the ejection, one request at a time probes the
// endpoint, so that an endpoint that is still failing does not receive all queued
// work. Short idempotent work probes first, since its failure costs the least;
// non-idempotent work probes last.
func (health *health) canTake(at int64, work *Work) (usable, probe bool) {
	until := health.ejectedUntil.Load()
	switch {
	case until == 0:
		return true, false
	case at < until:
		return false, false
	case !work.Profile.Idempotent && at < until+int64(probeNonIdempotentAfter):
		return false, false
	case work.queueClass() != peridotpath.Short && at < until+int64(probeAnyClassAfter):
		return false, false
	default:
		return !health.isProbing.Load(), true
	}
}

// backOff extends the time for which the endpoint wants no work. A later refusal never shortens
// it: refusals may overtake each other.
func (health *health) backOff(until int64) {
	health.mu.Lock()
	defer health.mu.Unlock()
	health.backoffUntil.Store(max(until, health.backoffUntil.Load()))
}

// isEjected reports whether the endpoint is ejected or being probed.
func (health *health) isEjected() bool { return health.ejectedUntil.Load() != 0 }
