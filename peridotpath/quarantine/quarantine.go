// Package quarantine detects requests that crash the endpoints that run them (queries of
// death, poison requests) and stops sending them for a limited time.
//
// It matters for a request that crashes every endpoint that starts to run it and that is
// retried, under another ID, at any instance, and for a part of prompts that does so in
// whatever request it stands. Without quarantine each request crashes another endpoint,
// until the service's endpoints and all their other requests are lost.
//
// One crash is weak evidence against any single request that ran on the endpoint. A suspect,
// which is the content of a request or a part of its prompt, is quarantined after three
// endpoints have crashed under it, if none has survived it since and the crashes are not
// explained by another suspect that the request does not have. The evidence is gossiped, so
// that all instances decide alike.
package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// firstQuarantine is the duration of the first quarantine. When it ends, one attempt is
	// allowed; a further crash doubles the duration, up to maxQuarantine.
	firstQuarantine, maxQuarantine = time.Minute, time.Hour
	// EvidenceDelay is the time after a crash by which every instance has reported the
	// requests that ran on the endpoint. Instances detect a crash within milliseconds and
	// gossip it at once.
	EvidenceDelay = 100 * time.Millisecond
	// trialTimeout bounds the time in which an instance finds out whether an endpoint
	// survives a request.
	trialTimeout = 3 * time.Second
	// maxEvidenceParts bounds the parts of one request that a crash is evidence against.
	maxEvidenceParts = 16
)

// Quarantine decides which requests are quarantined, by the facts that instances gossip.
// Set the exported fields before use.
type Quarantine struct {
	Instance peridotpath.InstanceID
	Facts    *facts.Table
	Log      zerolog.Logger

	// mutex makes reserving a trial atomic.
	mutex sync.Mutex
	begun begunParts
	// known is the evidence as last read; nil after an observation of this instance.
	known atomic.Pointer[evidence]
}

// Request is what is known about a request.
type Request struct {
	Content peridotpath.Fingerprint
	// Parts are the parts of its prompt that other requests may have, too.
	Parts []Part
}

// Part is a shared part of prompts.
type Part struct {
	ID          peridotpath.PartID
	Fingerprint peridotpath.Fingerprint
}

// State is the quarantine state of a request.
type State int

// The states, each stricter than the one before.
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

// Verdict is the state of a request and what decides it.
type Verdict struct {
	State State
	// Suspect is the content or the part that decides; Part is empty for the content.
	Suspect peridotpath.Fingerprint
	Part    peridotpath.PartID
	// Remaining is the remaining time of a quarantine.
	Remaining time.Duration
	// Crashes is the number of endpoints that crashed under the suspect, and LastCrash when
	// the last one did.
	Crashes   int
	LastCrash time.Time
}

// Crash is the crash of an endpoint under a request.
type Crash struct {
	Endpoint peridotpath.EndpointKey
	At       time.Time
	// Age is how long before the crash the request was sent.
	Age time.Duration
	// IsContentSuspect reports that it happened so soon after the request started to run that its
	// content may be the cause, ArePartsSuspect that the endpoint had not begun to answer, so
	// that a part of its prompt may be.
	IsContentSuspect, ArePartsSuspect bool
}

// RecordCrash records that an endpoint crashed while it ran a request. A crash without a
// suspect counts among all that happen, which shows how likely chance is.
func (quarantine *Quarantine) RecordCrash(request Request, crash Crash) {
	telemetry.CountEndpointTermination()
	quarantine.observeCrash(facts.KindPartCrashed, facts.EndpointSubject(crash.Endpoint), crash)
	if crash.IsContentSuspect {
		quarantine.observeCrash(facts.KindCrashed, facts.Subject(request.Content), crash)
	}
	if crash.ArePartsSuspect {
		for _, part := range quarantine.suspectParts(request.Parts, crash.At) {
			quarantine.observeCrash(facts.KindPartCrashed, facts.Subject(part.Fingerprint), crash)
		}
	}
}

func (quarantine *Quarantine) observeCrash(kind facts.Kind, subject facts.Subject, crash Crash) {
	quarantine.observe(facts.Fact{Kind: kind, Subject: subject, Detail: uint64(crash.Endpoint), Value: max(crash.Age, 0).Seconds(), ObservedAt: crash.At})
}

// suspectParts returns the parts of a request that a crash is evidence against, at most
// maxEvidenceParts: the quarantined ones if there are any, since these explain the crash, else
// first those that no endpoint has lately begun to answer. For the others it records when one
// did, as evidence in their favour.
func (quarantine *Quarantine) suspectParts(parts []Part, now time.Time) []Part {
	evidence := quarantine.current(now)
	var quarantined, fresh, known []Part
	for _, part := range parts {
		term, hasTerm := evidence.term(part.Fingerprint, now)
		begunAt, hasBegun := quarantine.begun.lastBegun(part.Fingerprint, now)
		switch {
		case hasTerm && now.Before(term.until):
			quarantined = append(quarantined, part)
		case hasBegun:
			known = append(known, part)
			quarantine.observeBegun(part.Fingerprint, begunAt)
		default:
			fresh = append(fresh, part)
		}
	}
	if len(quarantined) > 0 {
		return quarantined[:min(len(quarantined), maxEvidenceParts)]
	}
	suspects := append(fresh, known...)
	return suspects[:min(len(suspects), maxEvidenceParts)]
}

// RecordSurvival records that an endpoint ran a request without a crash. The fact is stored
// and gossiped only if there is evidence against the request.
func (quarantine *Quarantine) RecordSurvival(content peridotpath.Fingerprint, now time.Time) {
	subject := facts.Subject(content)
	if !quarantine.current(now).isAgainst(content, now) {
		return
	}
	before, _ := quarantine.Facts.Get(facts.KindSurvived, subject, 0, now)
	quarantine.observe(facts.Fact{Kind: facts.KindSurvived, Subject: subject, Value: before.Value + 1, ObservedAt: now})
}

// RecordBegun records that an endpoint began to answer a request and did not crash: no part of
// its prompt crashes endpoints. It is remembered, but stored and gossiped as a fact only if
// there is evidence against a part.
func (quarantine *Quarantine) RecordBegun(parts []Part, now time.Time) {
	for _, part := range parts {
		quarantine.begun.add(part.Fingerprint, now)
	}
	if quarantine.HasNoEvidence() {
		return
	}
	evidence := quarantine.current(now)
	for _, part := range parts {
		if evidence.isAgainst(part.Fingerprint, now) {
			quarantine.observeBegun(part.Fingerprint, now)
		}
	}
}

// ReceiveFact answers a peer's report of a crash: if an endpoint has lately begun to answer a
// request with that part at this instance, it tells so, unless all know it.
func (quarantine *Quarantine) ReceiveFact(fact facts.Fact, now time.Time) {
	if fact.Kind != facts.KindPartCrashed {
		return
	}
	if _, isKnown := quarantine.Facts.Get(facts.KindPartBegun, fact.Subject, 0, now); isKnown {
		return
	}
	part := peridotpath.Fingerprint(fact.Subject)
	if begunAt, hasBegun := quarantine.begun.lastBegun(part, now); hasBegun {
		quarantine.observeBegun(part, begunAt)
	}
}

// observeBegun gossips that an endpoint has begun to answer a request with a part, unless that
// is known of a later one.
func (quarantine *Quarantine) observeBegun(part peridotpath.Fingerprint, at time.Time) {
	quarantine.observe(facts.Fact{Kind: facts.KindPartBegun, Subject: facts.Subject(part), ObservedAt: at})
}

// HasNoEvidence reports whether there is no evidence against any request. Requests need
// no fingerprint in that case.
func (quarantine *Quarantine) HasNoEvidence() bool {
	return !quarantine.Facts.Has(facts.KindCrashed) && !quarantine.Facts.Has(facts.KindPartCrashed) && !quarantine.Facts.Has(facts.KindQuarantined)
}

// Judge returns the state of a request. It starts a quarantine if the evidence suffices.
func (quarantine *Quarantine) Judge(request Request, now time.Time) Verdict {
	evidence := quarantine.current(now)
	if !evidence.mayBeSuspected(request) {
		return Verdict{}
	}
	verdict, convicted := evidence.judge(request, now)
	for _, conviction := range convicted {
		quarantine.announce(conviction)
	}
	return verdict
}

// announce gossips the quarantine of a suspect to all instances.
func (quarantine *Quarantine) announce(conviction conviction) {
	telemetry.CountQuarantine()
	quarantine.Log.Warn().Stringer("content", conviction.suspect).Str("part", string(conviction.part)).Int("ends", conviction.crashes).
		Strs("endpoints", conviction.endpoints).Int64("evidence_age", conviction.evidenceAge.Milliseconds()).
		Int64("span", conviction.term.duration().Milliseconds()).Msg("request_barred")
	quarantine.observe(facts.Fact{
		Kind: facts.KindQuarantined, Subject: facts.Subject(conviction.suspect), Value: conviction.term.duration().Seconds(),
		ObservedAt: conviction.term.from,
	})
}

// ReserveTrial reserves the next attempt at a suspect. It returns false while another attempt
// is in progress, and within EvidenceDelay of the last crash, when the other requests that
// ran on the endpoint may not have been reported yet.
func (quarantine *Quarantine) ReserveTrial(suspect peridotpath.Fingerprint, now time.Time) bool {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	evidence := quarantine.current(now)
	trials := quarantine.runningTrials(suspect, evidence, now)
	if !evidence.isComplete(suspect, now) || len(trials) > 0 {
		return false
	}
	before, _ := quarantine.Facts.Get(facts.KindTrial, facts.Subject(suspect), quarantine.trialDetail(), now)
	quarantine.observe(facts.Fact{
		Kind: facts.KindTrial, Subject: facts.Subject(suspect), Detail: quarantine.trialDetail(), Value: before.Value + 1, ObservedAt: now,
	})
	return true
}

// HoldsTrial reports whether this instance's reservation is the only one, or the one that goes
// first where several instances reserved before they heard of each other. Ask it
// EvidenceDelay after ReserveTrial.
func (quarantine *Quarantine) HoldsTrial(suspect peridotpath.Fingerprint, now time.Time) bool {
	holds := false
	for _, trial := range quarantine.runningTrials(suspect, quarantine.current(now), now) {
		if trial.Detail < quarantine.trialDetail() {
			return false
		}
		holds = holds || trial.Detail == quarantine.trialDetail()
	}
	return holds
}

// runningTrials returns the reservations whose outcome is not known.
func (quarantine *Quarantine) runningTrials(suspect peridotpath.Fingerprint, evidence *evidence, now time.Time) []facts.Fact {
	var running []facts.Fact
	for _, trial := range quarantine.Facts.BySubject(facts.KindTrial, facts.Subject(suspect), now) {
		if now.Sub(trial.ObservedAt) < trialTimeout && !evidence.hasChangedSince(trial.ObservedAt, suspect) {
			running = append(running, trial)
		}
	}
	return running
}

// trialDetail identifies this instance in facts about trials.
func (quarantine *Quarantine) trialDetail() uint64 {
	return xxhash.Sum64String(string(quarantine.Instance))
}
