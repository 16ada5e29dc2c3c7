package decide

import "time"

const (
	// returnShare is the part of the drain rate that is promised to callers who
	// were refused. The rest is for callers who come for the first time; were
	// all of it promised, the returners would find it taken.
	returnShare = 0.4
	// returnLeast keeps a refused caller from coming back within the same
	// overload.
	returnLeast = time.Second
	// returnMost bounds what a caller is told. In an overload that lasts, no
	// later promise would be kept either.
	returnMost = 5 * time.Minute
	// returnPause without a refusal ends an overload.
	returnPause = 10 * time.Second
	// returnSpread is the share by which a time is drawn out at random, so that
	// callers refused in one instant do not return in one.
	returnSpread = 0.25
)

// returns keeps what refused callers were promised. Each refusal books its
// work into the future drain, so that a burst of ten thousand refusals comes
// back as a stream that the fleet can take and not as a second burst.
type returns struct {
	promised int64 // until when the promised share is booked, in nanoseconds
	began    int64 // when the refusals began that have not ceased since
	last     int64 // the latest refusal
}

// age notes a refusal and returns for how long there have been refusals.
func (returns *returns) age(at int64) time.Duration {
	if at-returns.last > int64(returnPause) {
		returns.began = at
	}
	returns.last = at
	return time.Duration(at - returns.began)
}

// book returns when work of the given cost may come back. wait is how long
// what is queued will take, drain the rate in tokens per second, and chance a
// random number from 0 to 1. An overload that has lasted for some time is taken
// to last as long again, so that nobody is sent back into the middle of it.
func (returns *returns) book(at int64, wait time.Duration, cost int64, drain, chance float64) time.Duration {
	begin := max(returns.promised, at+int64(max(wait, returns.age(at), returnLeast)))
	took := time.Duration(float64(cost) / max(drain*returnShare, 1) * float64(time.Second))
	returns.promised = min(begin+int64(took), at+int64(returnMost))
	return spread(min(time.Duration(begin-at)+took, returnMost), chance)
}

// spread draws a time out by a random part of returnSpread.
func spread(after time.Duration, chance float64) time.Duration {
	return after + time.Duration(chance*returnSpread*float64(max(after, returnLeast)))
}
