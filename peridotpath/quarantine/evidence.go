package quarantine

import (
	"cmp"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
)

// evidence is the set of facts for a decision: about all suspects, or about one.
type evidence struct {
	suspects map[peridotpath.Fingerprint]*suspect
}

// suspect is what is known about the content of a request or a part of prompts.
type suspect struct {
	// crashes are the endpoints that have crashed under it since an endpoint last survived it,
	// and allCrashes all of them, each with the time of its crash.
	crashes, allCrashes map[peridotpath.EndpointKey]time.Time
	// survivedAt is when an endpoint last survived it; zero if none is known to have.
	survivedAt time.Time
	term       term
	hasTerm    bool
	// isKnownPart reports that it is a part that an endpoint has begun to answer.
	isKnownPart bool
}

// term is the period in which a suspect is quarantined.
type term struct {
	from, until time.Time
}

func (term term) duration() time.Duration { return term.until.Sub(term.from) }

// evidenceKinds are the kinds of facts that evidence consists of, survivals first: they decide
// which crashes count.
var evidenceKinds = []facts.Kind{facts.KindSurvived, facts.KindPartBegun, facts.KindQuarantined, facts.KindCrashed, facts.KindPartCrashed}

// evidence returns the evidence about all suspects.
func (quarantine *Quarantine) evidence(now time.Time) *evidence {
	var list []facts.Fact
	for _, kind := range evidenceKinds {
		list = append(list, quarantine.Facts.ByKind(kind, now)...)
	}
	return newEvidence(list)
}

// evidenceAgainst returns the evidence about one suspect.
func (quarantine *Quarantine) evidenceAgainst(suspect peridotpath.Fingerprint, now time.Time) *evidence {
	list := quarantine.Facts.About(facts.Subject(suspect), now)
	slices.SortFunc(list, func(a, b facts.Fact) int {
		return cmp.Compare(slices.Index(evidenceKinds, a.Kind), slices.Index(evidenceKinds, b.Kind))
	})
	return newEvidence(list)
}

// newEvidence returns the evidence of facts in the order of evidenceKinds.
func newEvidence(list []facts.Fact) *evidence {
	evidence := &evidence{suspects: map[peridotpath.Fingerprint]*suspect{}}
	for i := range list {
		evidence.add(&list[i])
	}
	return evidence
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
		evidence.at(fact.Subject).addCrash(peridotpath.EndpointKey(fact.Detail), fact.ObservedAt)
	}
}

func (evidence *evidence) at(subject facts.Subject) *suspect {
	key := peridotpath.Fingerprint(subject)
	if evidence.suspects[key] == nil {
		evidence.suspects[key] = &suspect{crashes: map[peridotpath.EndpointKey]time.Time{}, allCrashes: map[peridotpath.EndpointKey]time.Time{}}
	}
	return evidence.suspects[key]
}

func (suspect *suspect) addCrash(endpoint peridotpath.EndpointKey, at time.Time) {
	suspect.allCrashes[endpoint] = at
	if at.After(suspect.survivedAt) {
		suspect.crashes[endpoint] = at
	}
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

func (evidence *evidence) crashes(key peridotpath.Fingerprint) map[peridotpath.EndpointKey]time.Time {
	if suspect := evidence.suspects[key]; suspect != nil {
		return suspect.crashes
	}
	return nil
}

// completeCrashes returns the crashes that are old enough for every instance to have reported
// the requests that ran on the endpoint.
func (evidence *evidence) completeCrashes(key peridotpath.Fingerprint, now time.Time) map[peridotpath.EndpointKey]time.Time {
	complete := map[peridotpath.EndpointKey]time.Time{}
	for endpoint, at := range evidence.crashes(key) {
		if now.Sub(at) >= EvidenceDelay {
			complete[endpoint] = at
		}
	}
	return complete
}

// lastCrash returns the time of the last crash under a suspect; zero if there is none.
func (evidence *evidence) lastCrash(key peridotpath.Fingerprint) time.Time {
	var last time.Time
	for _, at := range evidence.crashes(key) {
		if at.After(last) {
			last = at
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

// independentCrashes counts crashes of which each is at least EvidenceDelay later than the one
// before. Endpoints that crash at the same time mostly share a cause, such as a rack or a
// release, and are no more evidence than one.
func independentCrashes(crashes map[peridotpath.EndpointKey]time.Time) int {
	times := make([]time.Time, 0, len(crashes))
	for _, at := range crashes {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	count, last := 0, time.Time{}
	for _, at := range times {
		if count == 0 || at.Sub(last) >= EvidenceDelay {
			count, last = count+1, at
		}
	}
	return count
}

// countShared counts the endpoints that crashed under both suspects.
func countShared(first, second map[peridotpath.EndpointKey]time.Time) int {
	count := 0
	for endpoint := range first {
		if _, found := second[endpoint]; found {
			count++
		}
	}
	return count
}
