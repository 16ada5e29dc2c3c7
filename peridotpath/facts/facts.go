// Package facts stores observations that one instance makes and every instance needs:
// endpoint crashes, quarantined requests, rate limits, request counts, engine slowdowns
// and endpoints that leave. Each fact has a timestamp, a source and a time to live.
// Instances gossip new facts, so that all of them decide by the same data.
//
// It matters for events of which each instance sees only a part: a request that crashes its
// endpoint and reaches a different instance at each retry, or an endpoint that reports
// its rate limit to only one of its senders. There are few facts in normal operation; the
// number stored and the number sent are bounded for each kind.
package facts

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/telemetry"
)

// Kind is the type of an observation. Gossip digests carry its number.
type Kind uint8

// The kinds.
const (
	// KindCrashed: an endpoint (detail) crashed while it ran a request (subject); the value is
	// as for KindPartCrashed.
	KindCrashed Kind = 1
	// KindSurvived: an endpoint ran a request (subject) and did not crash.
	KindSurvived Kind = 2
	// KindQuarantined: a request or a part (subject) is quarantined; the value is the duration
	// in seconds.
	KindQuarantined Kind = 3
	// KindTrial: an instance (detail) sends a suspected request (subject); the value is the
	// number of the attempt.
	KindTrial Kind = 4
	// KindRateLimit: the rate limit of an endpoint (subject); the value is in requests per
	// second, for all instances together.
	KindRateLimit Kind = 5
	// KindRequestsSent: the value is the number of requests that a sender (detail) has
	// sent to a rate-limited endpoint (subject).
	KindRequestsSent Kind = 6
	// KindSlowdown: the slowdown of an engine (detail); the value is the ratio of its
	// processing time to the published one.
	KindSlowdown Kind = 7
	// KindLeaving: an endpoint (subject) announced that it is leaving the fleet.
	KindLeaving Kind = 8
	// KindPartCrashed: an endpoint (detail) crashed before it answered a request whose prompt
	// has a part (subject), or under any request, with the endpoint as the subject; the value is
	// how long before the crash the request was sent, in seconds.
	KindPartCrashed Kind = 9
	// KindPartBegun: an endpoint began to answer a request whose prompt has a part (subject).
	KindPartBegun Kind = 10
	// KindBudgetNeed: an instance (detail) needs more of a service's retry budget (subject: the
	// service and the number of the need); the value is the number of retries.
	KindBudgetNeed Kind = 11
	// KindBudgetGrant: an instance (detail) lends retries of a service's budget to another one
	// (subject: both, and the number of the need that it answers); the value is the number lent.
	KindBudgetGrant Kind = 12
	// KindReturnBooked: a refused request (subject) was booked to return; the value is the time
	// until then in seconds.
	KindReturnBooked Kind = 13

	kindCount = 14
)

// policy sets how facts of a kind are stored and gossiped.
type policy struct {
	name string
	// ttl is the time after which a fact expires.
	ttl time.Duration
	// maxStored bounds the number of facts in the table.
	maxStored int
	// isResent marks facts that are repeated periodically, for instances that missed
	// them.
	isResent bool
	// ageTolerance is the difference in age up to which two facts with the same value are
	// duplicates: the age of a forwarded fact grows by the network delay.
	ageTolerance time.Duration
}

// crashEvidenceTTL is long enough to detect a request that recurs once a minute.
const crashEvidenceTTL = 10 * time.Minute

// maxNetworkDelay bounds the time that a fact takes between instances.
const maxNetworkDelay = 250 * time.Millisecond

var policies = [kindCount]policy{
	KindCrashed:     {name: "ended", ttl: crashEvidenceTTL, maxStored: 2048, ageTolerance: maxNetworkDelay},
	KindSurvived:    {name: "survived", ttl: crashEvidenceTTL, maxStored: 1024, ageTolerance: maxNetworkDelay},
	KindQuarantined: {name: "barred", ttl: 2 * time.Hour, maxStored: 256, ageTolerance: maxNetworkDelay, isResent: true},
	KindTrial:       {name: "trial", ttl: 5 * time.Second, maxStored: 256, ageTolerance: maxNetworkDelay},
	KindPartCrashed: {name: "part_ended", ttl: crashEvidenceTTL, maxStored: 2048, ageTolerance: maxNetworkDelay},
	KindPartBegun:   {name: "part_begun", ttl: crashEvidenceTTL, maxStored: 2048, ageTolerance: maxNetworkDelay},
	// Endpoints report their limit in every response. The wider tolerance keeps an
	// unchanged limit from being gossiped for each of them.
	KindRateLimit:    {name: "limit", ttl: time.Minute, maxStored: 1024, ageTolerance: 5 * time.Second, isResent: true},
	KindRequestsSent: {name: "sent", ttl: 20 * time.Second, maxStored: 4096, ageTolerance: maxNetworkDelay},
	// Slow engines are probed every second; the fact expires when probing stops.
	KindSlowdown: {name: "pace", ttl: 3 * time.Second, maxStored: 4096, ageTolerance: maxNetworkDelay},
	// A need and a grant last for as long as a grant may be used, with a margin for the network.
	KindBudgetNeed:  {name: "budget_need", ttl: 2 * time.Second, maxStored: 1024, ageTolerance: maxNetworkDelay},
	KindBudgetGrant: {name: "budget_grant", ttl: 2 * time.Second, maxStored: 4096, ageTolerance: maxNetworkDelay},
	// A booked time is at most a client's timeout away.
	KindReturnBooked: {name: "return_booked", ttl: 20 * time.Second, maxStored: 1024, ageTolerance: maxNetworkDelay},
	// Receivers remember the endpoint for longer; the fact lasts for instances that start or
	// resume later. An endpoint tells many instances at about the same time that it leaves;
	// the wide tolerance keeps them from all gossiping it.
	KindLeaving: {name: "leaving", ttl: 2 * time.Minute, maxStored: 1024, ageTolerance: 2 * time.Minute, isResent: true},
}

// String returns the name of the kind in logs and metrics.
func (kind Kind) String() string { return policies[kind].name }

// Subject identifies what a fact is about: the fingerprint of a request or of a part of
// prompts, or an endpoint.
type Subject [16]byte

// EndpointSubject returns the subject of facts about an endpoint.
func EndpointSubject(endpoint peridotpath.EndpointKey) Subject {
	var subject Subject
	binary.BigEndian.PutUint64(subject[:], uint64(endpoint))
	return subject
}

// Endpoint returns the endpoint of a subject that EndpointSubject returned.
func (subject Subject) Endpoint() peridotpath.EndpointKey {
	return peridotpath.EndpointKey(binary.BigEndian.Uint64(subject[:]))
}

// Fact is one observation.
type Fact struct {
	Kind    Kind
	Subject Subject
	Detail  uint64
	Value   float64
	// ObservedAt is the time of the observation, on the monotonic clock of this instance.
	ObservedAt time.Time
	// Source is the instance that sent the fact to this one.
	Source peridotpath.InstanceID
}

type key struct {
	kind    Kind
	subject Subject
	detail  uint64
}

func (fact *Fact) key() key { return key{fact.Kind, fact.Subject, fact.Detail} }

type entry struct {
	fact Fact
	// sends is the number of times that the fact has been sent.
	sends    int
	nextSend time.Time
}

const (
	// maxSends is the number of times that a fact is sent, so that a lost datagram only
	// delays it.
	maxSends = 5
	// firstResendDelay is the time between the first two sends. It doubles after each.
	firstResendDelay = 100 * time.Millisecond
	// maxFactsPerDigest keeps a digest within one datagram.
	maxFactsPerDigest = 64
)

// Table stores facts until they expire. Set the exported fields before use.
type Table struct {
	// OnChange, when set, is called when there are new facts to send.
	OnChange func()
	// OnReceive, when set, is called with each new fact of a peer.
	OnReceive func(fact Fact)

	mutex sync.Mutex
	facts map[key]*entry
	// bySubject indexes the same facts by subject.
	bySubject map[Subject]map[key]*entry
	counts    [kindCount]atomic.Int64
	// version counts the changes of the table.
	version atomic.Uint64
	// nextSend is the earliest time at which a fact has to be sent.
	nextSend time.Time
}

// Version returns a number that changes whenever facts are added, replaced or removed.
func (table *Table) Version() uint64 { return table.version.Load() }

// Has reports whether the table holds any fact of a kind. It takes no lock and is cheap
// enough for every request.
func (table *Table) Has(kind Kind) bool { return table.counts[kind].Load() > 0 }

// HasSubject reports whether the table holds any fact about a subject.
func (table *Table) HasSubject(subject Subject) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return len(table.bySubject[subject]) > 0
}

// Observe stores an observation of this instance and schedules it for gossip.
func (table *Table) Observe(fact Fact) {
	table.merge(fact, true)
	if table.OnChange != nil {
		table.OnChange()
	}
}

// Receive stores facts received from a peer. With forward, which is set for facts from
// another cell, new ones are also gossiped to the peers of this cell. OnReceive is called when
// all of them are stored, since those of one digest belong together.
func (table *Table) Receive(received []Fact, forward bool) {
	var added []Fact
	for _, fact := range received {
		if fact.Kind > 0 && fact.Kind < kindCount && table.merge(fact, forward) {
			added = append(added, fact)
		}
	}
	if table.OnReceive != nil {
		for _, fact := range added {
			table.OnReceive(fact)
		}
	}
	if len(added) > 0 && forward && table.OnChange != nil {
		table.OnChange()
	}
}

// merge stores the fact unless a newer or duplicate fact with the same key is stored, and
// reports whether it did. With send, the fact is scheduled for gossip.
func (table *Table) merge(fact Fact, send bool) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	stored := table.facts[fact.key()]
	if stored != nil && !fact.ObservedAt.After(stored.fact.ObservedAt.Add(policies[fact.Kind].ageTolerance)) && (fact.Value == stored.fact.Value || !fact.ObservedAt.After(stored.fact.ObservedAt)) {
		return false
	}
	added := &entry{fact: fact, sends: maxSends}
	if send {
		added.sends, added.nextSend = 0, fact.ObservedAt
		table.nextSend = time.Time{}
	}
	table.insert(added)
	table.evict(fact.Kind, fact.ObservedAt)
	return true
}

func (table *Table) insert(added *entry) {
	if table.facts == nil {
		table.facts, table.bySubject = map[key]*entry{}, map[Subject]map[key]*entry{}
	}
	table.version.Add(1)
	factKey, subject := added.fact.key(), added.fact.Subject
	if table.facts[factKey] == nil {
		table.counts[factKey.kind].Add(1)
	}
	if table.bySubject[subject] == nil {
		table.bySubject[subject] = map[key]*entry{}
	}
	table.facts[factKey], table.bySubject[subject][factKey] = added, added
}

func (table *Table) remove(key key) {
	table.version.Add(1)
	delete(table.facts, key)
	table.counts[key.kind].Add(-1)
	delete(table.bySubject[key.subject], key)
	if len(table.bySubject[key.subject]) == 0 {
		delete(table.bySubject, key.subject)
	}
}

// evict removes the expired facts of a kind that exceeds its maximum, and the oldest one
// if that was not enough.
func (table *Table) evict(kind Kind, now time.Time) {
	policy := policies[kind]
	if table.counts[kind].Load() <= int64(policy.maxStored) {
		return
	}
	var kept []*entry
	for key, entry := range table.facts {
		if key.kind != kind {
			continue
		}
		if now.Sub(entry.fact.ObservedAt) > policy.ttl {
			table.remove(key)
			continue
		}
		kept = append(kept, entry)
	}
	if len(kept) <= policy.maxStored {
		return
	}
	oldest := slices.MinFunc(kept, func(a, b *entry) int { return a.fact.ObservedAt.Compare(b.fact.ObservedAt) })
	table.remove(oldest.fact.key())
	telemetry.CountDroppedFact(kind.String())
}

// ByKind returns the unexpired facts of a kind, in no order.
func (table *Table) ByKind(kind Kind, now time.Time) []Fact {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return unexpired(table.facts, kind, now)
}

// BySubject returns the unexpired facts of a kind about a subject, in no order.
func (table *Table) BySubject(kind Kind, subject Subject, now time.Time) []Fact {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return unexpired(table.bySubject[subject], kind, now)
}

func unexpired(entries map[key]*entry, kind Kind, now time.Time) []Fact {
	var found []Fact
	for key, entry := range entries {
		if key.kind == kind && now.Sub(entry.fact.ObservedAt) <= policies[kind].ttl {
			found = append(found, entry.fact)
		}
	}
	return found
}

// Get returns the unexpired fact of a kind with this subject and detail.
func (table *Table) Get(kind Kind, subject Subject, detail uint64, now time.Time) (Fact, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	entry := table.facts[key{kind, subject, detail}]
	if entry == nil || now.Sub(entry.fact.ObservedAt) > policies[kind].ttl {
		return Fact{}, false
	}
	return entry.fact, true
}

// TakeDue returns the facts to send now and counts them as sent: those sent least often
// first, then the newest. With resend, it includes facts of the periodically repeated kinds
// that were sent before. TakeDue also removes expired facts.
func (table *Table) TakeDue(now time.Time, resend bool) []Fact {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if !resend && now.Before(table.nextSend) {
		return nil
	}
	var due []*entry
	for key, entry := range table.facts {
		policy := policies[key.kind]
		switch {
		case now.Sub(entry.fact.ObservedAt) > policy.ttl:
			table.remove(key)
		case entry.sends < maxSends && !now.Before(entry.nextSend), resend && policy.isResent:
			due = append(due, entry)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), b.fact.ObservedAt.Compare(a.fact.ObservedAt))
	})
	sent := make([]Fact, 0, min(len(due), maxFactsPerDigest))
	for _, entry := range due[:min(len(due), maxFactsPerDigest)] {
		if entry.sends < maxSends {
			entry.nextSend = now.Add(firstResendDelay << entry.sends)
			entry.sends++
		}
		sent = append(sent, entry.fact)
	}
	table.nextSend = table.earliestSend(now)
	return sent
}

// earliestSend returns when the next fact has to be sent; an hour from now if there is
// none.
func (table *Table) earliestSend(now time.Time) time.Time {
	earliest := now.Add(time.Hour)
	for _, entry := range table.facts {
		if entry.sends < maxSends && entry.nextSend.Before(earliest) {
			earliest = entry.nextSend
		}
	}
	return earliest
}
