// Package throttle keeps what all instances together send to an endpoint within what
// the endpoint says that it takes.
//
// The load that it is made for is an endpoint in need that names a few requests a second
// before many instances. Were each to keep to it alone, it would get as many times more;
// were each to have a fixed part, most of it would be lost at those that nobody asks. So
// instances tell each other what they send there, and each counts what all have sent.
package throttle

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
)

const (
	// leastRate is what is sent even to an endpoint that names less: only its answers
	// say that its need is over.
	leastRate peridotpath.Rate = 0.4
	// burstTime is the time for which an endpoint's requests may be saved up, beyond one.
	burstTime = 500 * time.Millisecond
	// debtTime bounds how far what was sent beyond the limit is made up for.
	debtTime = 4 * time.Second
	// noLimit is the value of a fact that says that a limit has ended.
	noLimit peridotpath.Rate = 1e12
)

// Throttle decides by the facts that instances tell each other. Set the exported fields
// before use.
type Throttle struct {
	// Instance and Sender name this instance, the latter this start of it.
	Instance peridotpath.InstanceID
	Sender   uint64
	Facts    *facts.Table
	Log      zerolog.Logger

	mutex   sync.Mutex
	buckets map[peridotpath.EndpointKey]*bucket
}

// bucket is what may be sent to one endpoint.
type bucket struct {
	rate peridotpath.Rate
	// level is how many requests may be sent now; less than none where others sent at
	// the same time.
	level     float64
	began, at time.Time
	// own is how many this instance has sent, heard how many each other one.
	own   float64
	heard map[uint64]float64
}

// SenderOf names one start of an instance among all that send.
func SenderOf(instance peridotpath.InstanceID, incarnation peridotpath.Incarnation) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", instance, incarnation))
}

// Named notes that an endpoint named its limit.
func (throttle *Throttle) Named(endpoint *peridotpath.Endpoint, limit peridotpath.Rate, now time.Time) {
	before, known := throttle.limit(endpoint.Key(), now)
	if !known || before != limit {
		throttle.Log.Info().Str("endpoint", string(endpoint.ID)).Float64("limit", float64(limit)).Float64("before", float64(before)).Msg("limit_changed")
	}
	throttle.tell(endpoint.Key(), limit, now)
}

// Unnamed notes that an endpoint named no limit in its answer to a request that was sent
// at a time. What was sent before the limit was named says nothing.
func (throttle *Throttle) Unnamed(endpoint *peridotpath.Endpoint, sent, now time.Time) {
	if throttle.Idle() {
		return
	}
	named, known := throttle.Facts.Get(facts.KindLimit, facts.SubjectOf(endpoint.Key()), 0, now)
	if !known || peridotpath.Rate(named.Value) >= noLimit || !sent.After(named.At) {
		return
	}
	throttle.Log.Info().Str("endpoint", string(endpoint.ID)).Float64("before", named.Value).Msg("limit_ended")
	throttle.tell(endpoint.Key(), noLimit, now)
}

func (throttle *Throttle) tell(endpoint peridotpath.EndpointKey, limit peridotpath.Rate, now time.Time) {
	throttle.Facts.Learn(facts.Fact{
		Kind: facts.KindLimit, Subject: facts.SubjectOf(endpoint), Value: float64(limit), At: now, From: throttle.Instance,
	})
}

// limit returns what an endpoint takes, if it has said so.
func (throttle *Throttle) limit(endpoint peridotpath.EndpointKey, now time.Time) (peridotpath.Rate, bool) {
	fact, known := throttle.Facts.Get(facts.KindLimit, facts.SubjectOf(endpoint), 0, now)
	limit := peridotpath.Rate(fact.Value)
	return limit, known && limit < noLimit
}

// Idle reports whether no endpoint has a limit.
func (throttle *Throttle) Idle() bool { return !throttle.Facts.Has(facts.KindLimit) }

// Wait returns how long it is until a request may be sent to an endpoint; zero where one
// may be sent now. With contenders, others that want to send to it at this moment and of
// which nothing is known yet, only each of so many is let through, by chance.
func (throttle *Throttle) Wait(endpoint peridotpath.EndpointKey, contenders float64, now time.Time) time.Duration {
	throttle.mutex.Lock()
	defer throttle.mutex.Unlock()
	bucket := throttle.bucket(endpoint, now)
	switch {
	case bucket == nil:
		return 0
	case bucket.level < 1:
		return time.Duration((1 - bucket.level) / float64(bucket.rate) * float64(time.Second))
	case rand.Float64()*(1+contenders) > 1:
		return time.Duration(float64(time.Second) / float64(bucket.rate))
	}
	return 0
}

// Take counts a request that is about to be sent to the first endpoint, with the others
// helping. It returns false where the first one's limit has been used up meanwhile.
func (throttle *Throttle) Take(endpoints []peridotpath.EndpointKey, now time.Time) bool {
	throttle.mutex.Lock()
	defer throttle.mutex.Unlock()
	for i, endpoint := range endpoints {
		bucket := throttle.bucket(endpoint, now)
		if bucket == nil {
			continue
		}
		if i == 0 && bucket.level < 1 {
			return false
		}
		bucket.level--
		bucket.own++
		throttle.Facts.Learn(facts.Fact{
			Kind: facts.KindSent, Subject: facts.SubjectOf(endpoint), Detail: throttle.Sender, Value: bucket.own, At: now, From: throttle.Instance,
		})
	}
	return true
}

// bucket returns an endpoint's bucket as it is now; nil where it has no limit.
func (throttle *Throttle) bucket(endpoint peridotpath.EndpointKey, now time.Time) *bucket {
	limit, limited := throttle.limit(endpoint, now)
	if !limited {
		delete(throttle.buckets, endpoint)
		return nil
	}
	known := throttle.buckets[endpoint]
	if known == nil {
		known = &bucket{began: now, at: now, heard: map[uint64]float64{}}
		if throttle.buckets == nil {
			throttle.buckets = map[peridotpath.EndpointKey]*bucket{}
		}
		throttle.buckets[endpoint] = known
	}
	known.rate = max(limit, leastRate)
	known.level += now.Sub(known.at).Seconds() * float64(known.rate)
	known.at = now
	for _, sent := range throttle.Facts.About(facts.KindSent, facts.SubjectOf(endpoint), now) {
		if sent.Detail != throttle.Sender {
			known.hear(&sent)
		}
	}
	known.bound()
	return known
}

// hear counts what an instance has sent since it was last heard of.
func (bucket *bucket) hear(sent *facts.Fact) {
	before, known := bucket.heard[sent.Detail]
	if !known {
		before = sent.Value
		if sent.At.After(bucket.began) {
			before--
		}
	}
	bucket.heard[sent.Detail] = sent.Value
	bucket.level -= max(sent.Value-before, 0)
}

// bound bounds what is saved up, and what is made up for. What others sent since the
// last look comes off first: one that looks seldom would lose it twice.
func (bucket *bucket) bound() {
	most := 1 + float64(bucket.rate)*burstTime.Seconds()
	bucket.level = min(max(bucket.level, -float64(bucket.rate)*debtTime.Seconds()), most)
}
