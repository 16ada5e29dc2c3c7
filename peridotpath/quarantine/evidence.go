package quarantine

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
)

// evidence is the set of facts for a decision at one time.
type evidence struct {
	now time.Time
	// crashes maps each request to the endpoints that have crashed under it since an
	// endpoint last survived it, with the time of each crash.
	crashes    map[peridotpath.Fingerprint]map[peridotpath.EndpointKey]time.Time
	survivedAt map[peridotpath.Fingerprint]time.Time
	terms      map[peridotpath.Fingerprint]term
}

// term is the period in which a request is quarantined.
type term struct {
	from, until time.Time
}

func (term term) duration() time.Duration { return term.until.Sub(term.from) }

func (quarantine *Quarantine) evidence(now time.Time) *evidence {
	evidence := &evidence{
		now:        now,
		crashes:    map[peridotpath.Fingerprint]map[peridotpath.EndpointKey]time.Time{},
		survivedAt: map[peridotpath.Fingerprint]time.Time{},
		terms:      map[peridotpath.Fingerprint]term{},
	}
	for _, fact := range quarantine.Facts.ByKind(facts.KindSurvived, now) {
		evidence.survivedAt[peridotpath.Fingerprint(fact.Subject)] = fact.ObservedAt
	}
	for _, fact := range quarantine.Facts.ByKind(facts.KindQuarantined, now) {
		until := fact.ObservedAt.Add(time.Duration(min(fact.Value, maxQuarantine.Seconds()) * float64(time.Second)))
		evidence.terms[peridotpath.Fingerprint(fact.Subject)] = term{from: fact.ObservedAt, until: until}
	}
	for _, fact := range quarantine.Facts.ByKind(facts.KindCrashed, now) {
		content := peridotpath.Fingerprint(fact.Subject)
		if !fact.ObservedAt.After(evidence.survivedAt[content]) {
			continue
		}
		if evidence.crashes[content] == nil {
			evidence.crashes[content] = map[peridotpath.EndpointKey]time.Time{}
		}
		evidence.crashes[content][peridotpath.EndpointKey(fact.Detail)] = fact.ObservedAt
	}
	return evidence
}

// term returns the current or most recent quarantine of a request. A quarantine that has
// ended is still returned for as long again as it lasted. None is returned once an endpoint
// has survived the request after the quarantine began.
func (evidence *evidence) term(content peridotpath.Fingerprint) (term, bool) {
	term, found := evidence.terms[content]
	isRelevant := evidence.now.Before(term.until.Add(term.duration()))
	return term, found && isRelevant && term.from.After(evidence.survivedAt[content])
}

// lastCrash returns the time of the last crash under a request; zero if there is none.
func (evidence *evidence) lastCrash(content peridotpath.Fingerprint) time.Time {
	var last time.Time
	for _, at := range evidence.crashes[content] {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// isComplete reports whether the last crash under a request is old enough for every
// instance to have reported the requests that ran on the endpoint.
func (evidence *evidence) isComplete(content peridotpath.Fingerprint) bool {
	return evidence.now.Sub(evidence.lastCrash(content)) >= evidenceDelay
}

// hasChangedSince reports whether an endpoint crashed under the request, or survived it,
// after the given time.
func (evidence *evidence) hasChangedSince(since time.Time, content peridotpath.Fingerprint) bool {
	return evidence.lastCrash(content).After(since) || evidence.survivedAt[content].After(since)
}

// judge reports whether a request has to be quarantined, and for which period.
func (evidence *evidence) judge(content peridotpath.Fingerprint) (term, bool) {
	lastCrash := evidence.lastCrash(content)
	if previous, found := evidence.term(content); found {
		// Crashes before the end of the previous quarantine come from attempts that were in
		// flight when that quarantine began; they are no new evidence.
		return term{from: lastCrash, until: lastCrash.Add(min(2*previous.duration(), maxQuarantine))}, lastCrash.After(previous.until)
	}
	crashes := evidence.crashes[content]
	if len(crashes)-evidence.explainedCrashes(content) < minCrashesToQuarantine || !evidence.isComplete(content) {
		return term{}, false
	}
	for other, otherCrashes := range evidence.crashes {
		if _, quarantined := evidence.term(other); other != content && !quarantined && len(otherCrashes) >= len(crashes) && shareEndpoint(crashes, otherCrashes) {
			return term{}, false
		}
	}
	return term{from: lastCrash, until: lastCrash.Add(firstQuarantine)}, true
}

// explainedCrashes counts the endpoints that crashed under both the request and a
// quarantined one.
func (evidence *evidence) explainedCrashes(content peridotpath.Fingerprint) int {
	count := 0
	for endpoint := range evidence.crashes[content] {
		for other := range evidence.terms {
			if _, quarantined := evidence.term(other); other == content || !quarantined {
				continue
			}
			if _, crashed := evidence.crashes[other][endpoint]; crashed {
				count++
				break
			}
		}
	}
	return count
}

// shareEndpoint reports whether an endpoint crashed under both requests.
func shareEndpoint(first, second map[peridotpath.EndpointKey]time.Time) bool {
	for endpoint := range first {
		if _, isShared := second[endpoint]; isShared {
			return true
		}
	}
	return false
}
