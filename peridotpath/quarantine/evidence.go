package quarantine

import (
	"maps"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
)

// evidence is the set of facts for a decision.
type evidence struct {
	suspects map[peridotpath.Fingerprint]*suspect
	// crashedAt is when endpoints last crashed, under any request.
	crashedAt map[peridotpath.EndpointKey]time.Time
	// explanations are the crashes of an endpoint under quarantined suspects.
	explanations map[peridotpath.EndpointKey][]explanation
	// readAt is when the facts were read, version the version of their table.
	readAt  time.Time
	version uint64
	// newPartsKnown reports that a part which no endpoint is known to have begun to answer is a
	// new one.
	newPartsKnown bool
}

// suspect is what is known about the content of a request or a part of prompts.
type suspect struct {
	// crashes are the endpoints that have crashed under it since an endpoint last survived it.
	crashes crashes
	// survivedAt is when an endpoint last survived it; zero if none is known to have.
	survivedAt time.Time
	term       term
	hasTerm    bool
	// isPart reports that it is a part of prompts, isKnownPart that an endpoint has begun to
	// answer it.
	isPart, isKnownPart bool
}

// crashes are crashes by endpoint.
type crashes map[peridotpath.EndpointKey]crash

// crash is the crash of an endpoint under a suspect.
type crash struct {
	at time.Time
	// age is how long before the crash the request was sent.
	age time.Duration
}

// explanation is the last crash of an endpoint under a quarantined suspect.
type explanation struct {
	suspect peridotpath.Fingerprint
	crash   crash
}

// mayBeSame reports whether the later crashes of an endpoint under another suspect, of which only
// the last is known, may include this one. An earlier one is another crash: the endpoint was back
// since.
func (crash crash) mayBeSame(last crash) bool {
	return !last.at.Before(crash.at.Add(-maxDetectionSpread))
}

// isSentAfter reports whether the request is known to have been sent after a time.
func (crash crash) isSentAfter(at time.Time) bool {
	return crash.age > 0 && crash.at.Add(-crash.age).After(at)
}

// term is the period in which a suspect is quarantined.
type term struct {
	from, until time.Time
}

func (term term) duration() time.Duration { return term.until.Sub(term.from) }

const (
	// maxCrashAge bounds the age that a peer may report.
	maxCrashAge = time.Hour
	// fullWeightAge is about the time in which endpoints begin to answer most requests.
	fullWeightAge = 500 * time.Millisecond
	// minEvidenceAge is the shortest time between two readings of facts that peers report: in
	// a series of crashes they report many, and a reading costs up to a millisecond.
	minEvidenceAge = 20 * time.Millisecond
	// maxDetectionSpread bounds the time between the first and the last report of the same crash: an
	// instance may see it late, and reports do not count the time that they are under way. Endpoints
	// take some seconds to be back.
	maxDetectionSpread = 2 * time.Second
	// maxEvidenceAge is the time after which evidence is read again although no fact has
	// changed, since facts expire.
	maxEvidenceAge = time.Second
)

// current returns the evidence, which other goroutines share and must not change. Facts that
// this instance observed are part of it at once, those of peers after minEvidenceAge at most.
func (quarantine *Quarantine) current(now time.Time) *evidence {
	version := quarantine.Facts.Version()
	if known := quarantine.known.Load(); known != nil {
		age := now.Sub(known.readAt)
		if age >= 0 && (age < minEvidenceAge || age < maxEvidenceAge && known.version == version) {
			return known
		}
	}
	read := quarantine.readEvidence(now)
	read.version = version
	quarantine.known.Store(read)
	return read
}

// observe gossips a fact and makes it part of the evidence at once.
func (quarantine *Quarantine) observe(fact facts.Fact) {
	fact.Source = quarantine.Instance
	quarantine.Facts.Observe(fact)
	quarantine.known.Store(nil)
}

// readEvidence reads the facts, survivals first: they decide which crashes count.
func (quarantine *Quarantine) readEvidence(now time.Time) *evidence {
	evidence := &evidence{
		suspects: map[peridotpath.Fingerprint]*suspect{}, crashedAt: map[peridotpath.EndpointKey]time.Time{},
		readAt: now, newPartsKnown: quarantine.begun.isMeaningful(now),
	}
	for _, kind := range []facts.Kind{facts.KindSurvived, facts.KindPartBegun, facts.KindQuarantined, facts.KindCrashed, facts.KindPartCrashed} {
		for _, fact := range quarantine.Facts.ByKind(kind, now) {
			evidence.add(&fact)
		}
	}
	evidence.explain(now)
	return evidence
}

// explain collects the crashes of endpoints under quarantined suspects.
func (evidence *evidence) explain(now time.Time) {
	evidence.explanations = map[peridotpath.EndpointKey][]explanation{}
	for key, suspect := range evidence.suspects {
		if _, isQuarantined := evidence.term(key, now); !isQuarantined {
			continue
		}
		for endpoint, crash := range suspect.crashes {
			evidence.explanations[endpoint] = append(evidence.explanations[endpoint], explanation{key, crash})
		}
	}
}

func (evidence *evidence) add(fact *facts.Fact) {
	switch fact.Kind {
	case facts.KindSurvived, facts.KindPartBegun:
		suspect := evidence.at(fact.Subject)
		suspect.survivedAt = fact.ObservedAt
		suspect.isKnownPart = fact.Kind == facts.KindPartBegun
	case facts.KindQuarantined:
		suspect := evidence.at(fact.Subject)
		until := fact.ObservedAt.Add(time.Duration(min(fact.Value, maxQuarantine.Seconds()) * float64(time.Second)))
		suspect.term, suspect.hasTerm = term{from: fact.ObservedAt, until: until}, true
	case facts.KindCrashed, facts.KindPartCrashed:
		evidence.addCrash(fact)
	}
}

func (evidence *evidence) addCrash(fact *facts.Fact) {
	suspect, endpoint := evidence.at(fact.Subject), peridotpath.EndpointKey(fact.Detail)
	suspect.isPart = fact.Kind == facts.KindPartCrashed
	if fact.ObservedAt.After(evidence.crashedAt[endpoint]) {
		evidence.crashedAt[endpoint] = fact.ObservedAt
	}
	if fact.ObservedAt.After(suspect.survivedAt) {
		age := time.Duration(min(fact.Value, maxCrashAge.Seconds()) * float64(time.Second))
		suspect.crashes[endpoint] = crash{at: fact.ObservedAt, age: age}
	}
}

func (evidence *evidence) at(subject facts.Subject) *suspect {
	key := peridotpath.Fingerprint(subject)
	if evidence.suspects[key] == nil {
		evidence.suspects[key] = &suspect{crashes: crashes{}}
	}
	return evidence.suspects[key]
}

// term returns the current or most recent quarantine of a suspect. A quarantine that has
// ended is still returned for as long again as it lasted. None is returned once an endpoint
// has survived the suspect after the quarantine began.
func (evidence *evidence) term(key peridotpath.Fingerprint, now time.Time) (term, bool) {
	suspect := evidence.suspects[key]
	if suspect == nil || !suspect.hasTerm {
		return term{}, false
	}
	term := suspect.term
	return term, now.Before(term.until.Add(term.duration())) && term.from.After(suspect.survivedAt)
}

func (evidence *evidence) crashes(key peridotpath.Fingerprint) crashes {
	if suspect := evidence.suspects[key]; suspect != nil {
		return suspect.crashes
	}
	return nil
}

// isAgainst reports whether there is evidence against a suspect.
func (evidence *evidence) isAgainst(key peridotpath.Fingerprint, now time.Time) bool {
	_, hasTerm := evidence.term(key, now)
	return hasTerm || len(evidence.crashes(key)) > 0
}

// mayBeSuspected reports whether there is enough evidence against a request to judge it.
func (evidence *evidence) mayBeSuspected(request Request) bool {
	if evidence.isNoted(request.Content) {
		return true
	}
	return slices.ContainsFunc(request.Parts, func(part Part) bool { return evidence.isNoted(part.Fingerprint) })
}

func (evidence *evidence) isNoted(key peridotpath.Fingerprint) bool {
	suspect := evidence.suspects[key]
	return suspect != nil && (suspect.hasTerm || len(suspect.crashes) >= minCrashesToSerialise)
}

// completeCrashes returns the crashes that are old enough for every instance to have reported
// the requests that ran on the endpoint.
func (evidence *evidence) completeCrashes(key peridotpath.Fingerprint, now time.Time) crashes {
	complete := crashes{}
	for endpoint, crash := range evidence.crashes(key) {
		if now.Sub(crash.at) >= EvidenceDelay {
			complete[endpoint] = crash
		}
	}
	return complete
}

// lastCrash returns the time of the last crash under a suspect; zero if there is none.
func (evidence *evidence) lastCrash(key peridotpath.Fingerprint) time.Time {
	var last time.Time
	for _, crash := range evidence.crashes(key) {
		if crash.at.After(last) {
			last = crash.at
		}
	}
	return last
}

// isComplete reports whether the last crash under a suspect is old enough for every
// instance to have reported the requests that ran on the endpoint.
func (evidence *evidence) isComplete(key peridotpath.Fingerprint, now time.Time) bool {
	return now.Sub(evidence.lastCrash(key)) >= EvidenceDelay
}

// hasChangedSince reports whether an endpoint crashed under the suspect, or survived it,
// after the given time.
func (evidence *evidence) hasChangedSince(since time.Time, key peridotpath.Fingerprint) bool {
	suspect := evidence.suspects[key]
	return suspect != nil && (evidence.lastCrash(key).After(since) || suspect.survivedAt.After(since))
}

// weight returns how much evidence the crashes are. One is a full crash: under a request that
// was sent up to fullWeightAge before. The longer a request is in flight, the likelier it is
// that it meets a crash by chance. A crash within EvidenceDelay of the one before counts only if
// the request was sent after that: endpoints that crash at the same time mostly share a cause,
// such as a rack or a release, and requests that were there by chance are all from before.
func (crashes crashes) weight() float64 {
	list := slices.SortedFunc(maps.Values(crashes), func(a, b crash) int { return a.at.Compare(b.at) })
	weight, last := 0.0, time.Time{}
	for _, crash := range list {
		if !last.IsZero() && crash.at.Sub(last) < EvidenceDelay && !crash.isSentAfter(last) {
			continue
		}
		weight += min(1, fullWeightAge.Seconds()/max(crash.age, 1).Seconds())
		last = crash.at
	}
	return weight
}

// countShared counts the crashes that may have happened under another suspect, too.
func (crashes crashes) countShared(other crashes) int {
	count := 0
	for endpoint, crash := range crashes {
		if last, found := other[endpoint]; found && crash.mayBeSame(last) {
			count++
		}
	}
	return count
}
