// Package quarantine detects requests that crash the endpoints that run them (queries of
// death, poison requests) and stops sending them for a limited time.
//
// It matters for one request that crashes every endpoint that starts to run it and that is
// retried, under another ID, at any instance. Without quarantine each retry crashes
// another endpoint, until the service's endpoints and all their other requests are lost.
//
// One crash is weak evidence against any single request that ran on the endpoint. A
// request is quarantined after three endpoints have crashed under it, if none has survived
// it since and the crashes are not explained by another request that ran on at least as
// many of the crashed endpoints. The evidence is gossiped, so that all instances decide
// alike.
package quarantine

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// minCrashesToQuarantine is the number of endpoints that must have crashed under a
	// request before it is quarantined. Below three, requests that ran there by chance are
	// quarantined, too.
	minCrashesToQuarantine = 3
	// minCrashesToSerialise is the number of crashes from which only one instance at a time
	// sends a request.
	minCrashesToSerialise = 2
	// firstQuarantine is the duration of the first quarantine. When it ends, one attempt is
	// allowed; a further crash doubles the duration, up to maxQuarantine.
	firstQuarantine, maxQuarantine = time.Minute, time.Hour
	// evidenceDelay is the time after a crash by which every instance has reported the
	// requests that ran on the endpoint. Instances detect a crash within milliseconds and
	// gossip it at once.
	evidenceDelay = 100 * time.Millisecond
	// trialTimeout bounds the time in which an instance finds out whether an endpoint
	// survives a request.
	trialTimeout = 3 * time.Second
)

// Quarantine decides which requests are quarantined, by the facts that instances gossip.
// Set the exported fields before use.
type Quarantine struct {
	Instance peridotpath.InstanceID
	Facts    *facts.Table
	Log      zerolog.Logger

	mutex sync.Mutex
}

// State is the quarantine state of a request.
type State int

// The states.
const (
	// Clear: the request is sent without restriction.
	Clear State = iota
	// Suspected: endpoints have crashed under the request. One instance at a time sends it,
	// as long as the request can wait for that.
	Suspected
	// OnTrial: the quarantine has ended. One instance at a time sends the request, as in
	// the half-open state of a circuit breaker.
	OnTrial
	// Quarantined: the request is not sent until the quarantine ends.
	Quarantined
)

// RecordCrash records that an endpoint crashed while it ran a request.
func (quarantine *Quarantine) RecordCrash(content peridotpath.Fingerprint, endpoint peridotpath.EndpointKey, now time.Time) {
	telemetry.CountEndpointTermination()
	quarantine.Facts.Observe(facts.Fact{
		Kind: facts.KindCrashed, Subject: facts.Subject(content), Detail: uint64(endpoint), ObservedAt: now, Source: quarantine.Instance,
	})
}

// RecordSurvival records that an endpoint ran a request without a crash. The fact is stored
// and gossiped only if there is evidence against the request.
func (quarantine *Quarantine) RecordSurvival(content peridotpath.Fingerprint, now time.Time) {
	subject := facts.Subject(content)
	if !quarantine.Facts.HasSubject(subject) || !quarantine.hasEvidenceAgainst(content, now) {
		return
	}
	before, _ := quarantine.Facts.Get(facts.KindSurvived, subject, 0, now)
	quarantine.Facts.Observe(facts.Fact{Kind: facts.KindSurvived, Subject: subject, Value: before.Value + 1, ObservedAt: now, Source: quarantine.Instance})
}

func (quarantine *Quarantine) hasEvidenceAgainst(content peridotpath.Fingerprint, now time.Time) bool {
	evidence := quarantine.evidence(now)
	_, quarantined := evidence.term(content)
	return quarantined || len(evidence.crashes[content]) > 0
}

// HasNoEvidence reports whether there is no evidence against any request. Requests need
// no fingerprint in that case.
func (quarantine *Quarantine) HasNoEvidence() bool {
	return !quarantine.Facts.Has(facts.KindCrashed) && !quarantine.Facts.Has(facts.KindQuarantined)
}

// Check returns the state of a request and, if it is quarantined, the remaining time. It
// starts a quarantine if the evidence suffices.
func (quarantine *Quarantine) Check(content peridotpath.Fingerprint, now time.Time) (State, time.Duration) {
	if !quarantine.Facts.HasSubject(facts.Subject(content)) {
		return Clear, 0
	}
	evidence := quarantine.evidence(now)
	current, hasTerm := evidence.term(content)
	if hasTerm && now.Before(current.until) {
		return Quarantined, current.until.Sub(now)
	}
	if next, quarantined := evidence.judge(content); quarantined {
		quarantine.announce(content, next, len(evidence.crashes[content]))
		return Quarantined, next.until.Sub(now)
	}
	switch {
	case hasTerm:
		return OnTrial, 0
	case len(evidence.crashes[content]) >= minCrashesToSerialise:
		return Suspected, 0
	default:
		return Clear, 0
	}
}

// announce gossips the quarantine of a request to all instances.
func (quarantine *Quarantine) announce(content peridotpath.Fingerprint, next term, crashes int) {
	telemetry.CountQuarantine()
	quarantine.Log.Warn().Stringer("content", content).Int("ends", crashes).Int64("span", next.duration().Milliseconds()).Msg("request_barred")
	quarantine.Facts.Observe(facts.Fact{
		Kind: facts.KindQuarantined, Subject: facts.Subject(content), Value: next.duration().Seconds(), ObservedAt: next.from, Source: quarantine.Instance,
	})
}

// ReserveTrial reserves the next attempt at a suspected request. It returns false while
// another attempt is in progress, and within evidenceDelay of the last crash, when the
// other requests that ran on the endpoint may not have been reported yet.
func (quarantine *Quarantine) ReserveTrial(content peridotpath.Fingerprint, now time.Time) bool {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	evidence := quarantine.evidence(now)
	trial, found := quarantine.Facts.Get(facts.KindTrial, facts.Subject(content), 0, now)
	if !evidence.isComplete(content) || found && now.Sub(trial.ObservedAt) < trialTimeout && !evidence.hasChangedSince(trial.ObservedAt, content) {
		return false
	}
	quarantine.Facts.Observe(facts.Fact{Kind: facts.KindTrial, Subject: facts.Subject(content), Value: trial.Value + 1, ObservedAt: now, Source: quarantine.Instance})
	return true
}
