package decide

import "time"

const (
	// retryDrainShare is the share of the drain rate that is reserved for the
	// retries of refused callers. New requests use the rest: retries scheduled at
	// the full drain rate would find a part of it used by new requests.
	retryDrainShare = 0.4
	// minRetryDelay is the minimum retry delay, so that a refused caller does not
	// retry within the same overload.
	minRetryDelay = time.Second
	// maxRetryDelay is the maximum retry delay. In a lasting overload, a longer
	// one would not make the retry succeed either.
	maxRetryDelay = 5 * time.Minute
	// overloadPause is the time without a refusal after which an overload has
	// ended.
	overloadPause = 10 * time.Second
	// retryJitter is the maximum jitter, as a share of the delay, so that callers
	// refused at the same time do not retry at the same time.
	retryJitter = 0.25
)

// retrySchedule schedules the retries of refused callers. Each refusal reserves
// a part of the future drain rate, so that the retries of ten thousand refused
// requests arrive at a rate that the fleet can serve and not as a second burst.
type retrySchedule struct {
	reservedUntil int64 // when the capacity reserved so far ends, in Unix nanoseconds
	overloadSince int64 // when the current overload began, in Unix nanoseconds
	lastRefusal   int64 // when the latest refusal was made, in Unix nanoseconds
}

// recordRefusal records a refusal and returns the duration of the current
// overload.
func (retrySchedule *retrySchedule) recordRefusal(at int64) time.Duration {
	if at-retrySchedule.lastRefusal > int64(overloadPause) {
		retrySchedule.overloadSince = at
	}
	retrySchedule.lastRefusal = at
	return time.Duration(at - retrySchedule.overloadSince)
}

// reserve reserves drain capacity for the retry of work of the given cost, and
// returns the delay after which to retry. wait is the predicted time to drain
// the queue, drain the rate in tokens per second, and chance a random number
// from 0 to 1. An overload is assumed to last as long again as it has lasted,
// so that retries do not arrive during it.
func (retrySchedule *retrySchedule) reserve(at int64, wait time.Duration, cost int64, drain, chance float64) time.Duration {
	start := max(retrySchedule.reservedUntil, at+int64(max(wait, retrySchedule.recordRefusal(at), minRetryDelay)))
	drainTime := time.Duration(float64(cost) / max(drain*retryDrainShare, 1) * float64(time.Second))
	retrySchedule.reservedUntil = min(start+int64(drainTime), at+int64(maxRetryDelay))
	return addJitter(min(time.Duration(start-at)+drainTime, maxRetryDelay), chance)
}

// addJitter adds jitter of up to retryJitter to a delay.
func addJitter(delay time.Duration, chance float64) time.Duration {
	return delay + time.Duration(chance*retryJitter*float64(max(delay, minRetryDelay)))
}
