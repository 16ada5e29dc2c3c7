// Package throttle enforces an endpoint's rate limit across all instances.
//
// It matters for an overloaded endpoint that allows a few requests per second in total and
// receives them from many instances. If each instance applied the limit by itself, the
// endpoint would receive a multiple of it; if each had a fixed share, most of the limit
// would be unused at instances without traffic. Each instance therefore keeps a token
// bucket for the endpoint's whole limit, gossips how many requests it has sent, and deducts
// what the others have sent.
//
// It matters as well for the endpoints of a data centre that return together: each of them is
// cold, is empty and so attracts all instances at once, and crashes at a rate well above the
// one that its service publishes for cold endpoints.
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
	// minRate is applied to endpoints with a lower limit: only responses show that the
	// limit has ended.
	minRate peridotpath.Rate = 0.4
	// maxBurstTime bounds the burst: a full bucket holds one token and those of this time.
	maxBurstTime = 500 * time.Millisecond
	// maxDebtTime bounds the debt for requests sent beyond the limit to the tokens of this
	// time.
	maxDebtTime = 4 * time.Second
	// noLimit is the value of a fact that ends a limit.
	noLimit peridotpath.Rate = 1e12
)

// Throttle limits the request rate to endpoints, by the facts that instances gossip. Set
// the exported fields before use.
type Throttle struct {
	Instance peridotpath.InstanceID
	// SenderID identifies this start of the instance.
	SenderID uint64
	Facts    *facts.Table
	// HasCold reports whether any endpoint is cold; nil where none ever is. ColdRate returns
	// the rate that an endpoint tolerates while it is cold; false for one that is not.
	HasCold  func() bool
	ColdRate func(endpoint peridotpath.EndpointKey) (peridotpath.Rate, bool)
	Log      zerolog.Logger

	mutex   sync.Mutex
	buckets map[peridotpath.EndpointKey]*bucket
}

// bucket is the token bucket of one endpoint.
type bucket struct {
	rate peridotpath.Rate
	// tokens is the number of requests that may be sent now. It is negative after other
	// instances have sent requests at the same time.
	tokens              float64
	createdAt, filledAt time.Time
	// ownSent is the number of requests that this instance has sent, and peerSent the
	// last reported number of each other sender.
	ownSent  float64
	peerSent map[uint64]float64
}

// SenderID returns the ID of one start of an instance.
func SenderID(instance peridotpath.InstanceID, incarnation peridotpath.Incarnation) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", instance, incarnation))
}

// RecordLimit records the limit that an endpoint reported in a response.
func (throttle *Throttle) RecordLimit(endpoint *peridotpath.Endpoint, limit peridotpath.Rate, now time.Time) {
	before, found := throttle.announcedLimit(endpoint.Key(), now)
	if !found || before != limit {
		throttle.Log.Info().Str("endpoint", string(endpoint.ID)).Float64("limit", float64(limit)).Float64("before", float64(before)).Msg("limit_changed")
	}
	throttle.publishLimit(endpoint.Key(), limit, now)
}

// RecordNoLimit records a response without a limit. It ends the endpoint's limit, unless
// the request was sent before the limit was reported.
func (throttle *Throttle) RecordNoLimit(endpoint *peridotpath.Endpoint, sentAt, now time.Time) {
	if !throttle.Facts.Has(facts.KindRateLimit) {
		return
	}
	reported, found := throttle.Facts.Get(facts.KindRateLimit, facts.EndpointSubject(endpoint.Key()), 0, now)
	if !found || peridotpath.Rate(reported.Value) >= noLimit || !sentAt.After(reported.ObservedAt) {
		return
	}
	throttle.Log.Info().Str("endpoint", string(endpoint.ID)).Float64("before", reported.Value).Msg("limit_ended")
	throttle.publishLimit(endpoint.Key(), noLimit, now)
}

func (throttle *Throttle) publishLimit(endpoint peridotpath.EndpointKey, limit peridotpath.Rate, now time.Time) {
	throttle.Facts.Observe(facts.Fact{
		Kind: facts.KindRateLimit, Subject: facts.EndpointSubject(endpoint), Value: float64(limit), ObservedAt: now, Source: throttle.Instance,
	})
}

// limit returns an endpoint's limit: the lower one of what it announced and what it tolerates
// while it is cold; false if it has none.
func (throttle *Throttle) limit(endpoint peridotpath.EndpointKey, now time.Time) (peridotpath.Rate, bool) {
	limit, found := throttle.announcedLimit(endpoint, now)
	if !throttle.hasCold() {
		return limit, found
	}
	coldRate, cold := throttle.ColdRate(endpoint)
	if cold && (!found || coldRate < limit) {
		return coldRate, true
	}
	return limit, found
}

func (throttle *Throttle) hasCold() bool { return throttle.HasCold != nil && throttle.HasCold() }

// announcedLimit returns the limit that an endpoint announced; false if it announced none.
func (throttle *Throttle) announcedLimit(endpoint peridotpath.EndpointKey, now time.Time) (peridotpath.Rate, bool) {
	fact, found := throttle.Facts.Get(facts.KindRateLimit, facts.EndpointSubject(endpoint), 0, now)
	limit := peridotpath.Rate(fact.Value)
	return limit, found && limit < noLimit
}

// HasNoLimits reports whether no endpoint has a limit. It is cheap enough for every request.
func (throttle *Throttle) HasNoLimits() bool {
	return !throttle.Facts.Has(facts.KindRateLimit) && !throttle.hasCold()
}

// TimeUntilAllowed returns the time until a request may be sent to an endpoint; zero if one
// may be sent now. contenders is the estimated number of competing requests at other
// instances that have not been gossiped yet. Where fewer tokens are left than the request and
// its contenders need, it is admitted with a probability of tokens/(1+contenders).
func (throttle *Throttle) TimeUntilAllowed(endpoint peridotpath.EndpointKey, contenders float64, now time.Time) time.Duration {
	throttle.mutex.Lock()
	defer throttle.mutex.Unlock()
	bucket := throttle.refilledBucket(endpoint, now)
	switch {
	case bucket == nil:
		return 0
	case bucket.tokens < 1:
		return time.Duration((1 - bucket.tokens) / float64(bucket.rate) * float64(time.Second))
	case rand.Float64()*(1+contenders) > bucket.tokens:
		return time.Duration(float64(time.Second) / float64(bucket.rate))
	}
	return 0
}

// TakeTokens deducts a token for a request from each of its endpoints: the primary, which
// is the first, and its helpers. It returns false and deducts nothing if the primary's
// bucket has no token left; helpers may go into debt.
func (throttle *Throttle) TakeTokens(endpoints []peridotpath.EndpointKey, now time.Time) bool {
	throttle.mutex.Lock()
	defer throttle.mutex.Unlock()
	for i, endpoint := range endpoints {
		bucket := throttle.refilledBucket(endpoint, now)
		if bucket == nil {
			continue
		}
		if i == 0 && bucket.tokens < 1 {
			return false
		}
		bucket.tokens--
		bucket.ownSent++
		throttle.Facts.Observe(facts.Fact{
			Kind: facts.KindRequestsSent, Subject: facts.EndpointSubject(endpoint), Detail: throttle.SenderID, Value: bucket.ownSent, ObservedAt: now, Source: throttle.Instance,
		})
	}
	return true
}

// refilledBucket returns an endpoint's bucket, updated to now; nil if the endpoint has no
// limit.
func (throttle *Throttle) refilledBucket(endpoint peridotpath.EndpointKey, now time.Time) *bucket {
	limit, isLimited := throttle.limit(endpoint, now)
	if !isLimited {
		delete(throttle.buckets, endpoint)
		return nil
	}
	stored := throttle.buckets[endpoint]
	if stored == nil {
		stored = &bucket{createdAt: now, filledAt: now, peerSent: map[uint64]float64{}}
		if throttle.buckets == nil {
			throttle.buckets = map[peridotpath.EndpointKey]*bucket{}
		}
		throttle.buckets[endpoint] = stored
	}
	stored.rate = max(limit, minRate)
	stored.tokens += now.Sub(stored.filledAt).Seconds() * float64(stored.rate)
	stored.filledAt = now
	for _, sent := range throttle.Facts.BySubject(facts.KindRequestsSent, facts.EndpointSubject(endpoint), now) {
		if sent.Detail != throttle.SenderID {
			stored.deductPeer(&sent)
		}
	}
	stored.clampTokens()
	return stored
}

// deductPeer deducts the requests that a peer has sent since its previous report.
func (bucket *bucket) deductPeer(sent *facts.Fact) {
	before, found := bucket.peerSent[sent.Detail]
	if !found {
		before = sent.Value
		if sent.ObservedAt.After(bucket.createdAt) {
			before--
		}
	}
	bucket.peerSent[sent.Detail] = sent.Value
	bucket.tokens -= max(sent.Value-before, 0)
}

// clampTokens bounds the burst and the debt. It runs after the requests of peers are
// deducted: if the refill were bounded first, an instance that rarely updates the bucket
// would lose the bounded tokens and be charged for the peers' requests as well.
func (bucket *bucket) clampTokens() {
	maxTokens := 1 + float64(bucket.rate)*maxBurstTime.Seconds()
	bucket.tokens = min(max(bucket.tokens, -float64(bucket.rate)*maxDebtTime.Seconds()), maxTokens)
}
