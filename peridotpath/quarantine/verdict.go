package quarantine

import (
	"slices"
	"strconv"
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// minCrashesToQuarantine is the number of endpoints that must have crashed under a
	// suspect before it is quarantined. Below three, requests that ran there by chance are
	// quarantined, too.
	minCrashesToQuarantine = 3
	// minCrashesOfKnownPart is that number for a part that endpoints have answered before.
	// Many requests have such a part, so that crashes for other reasons find it often.
	// minCrashesAfterStart is that number while an instance that has just started cannot know
	// which parts are new.
	minCrashesOfKnownPart, minCrashesAfterStart = 8, 4
	// minCrashesToSerialise is the number of crashes from which only one instance at a time
	// sends a request.
	minCrashesToSerialise = 2
	// otherCrashesPerCrash is the number of endpoints that crash without a suspect for which
	// one more crash under it is wanted. With two, each of two fatal parts that come equally
	// often is quarantined after twice the crashes, and one that stands in a quarter of the
	// requests is not for crashes by chance.
	otherCrashesPerCrash = 2
)

// conviction is the decision to quarantine a suspect.
type conviction struct {
	suspect peridotpath.Fingerprint
	part    peridotpath.PartID
	term    term
	crashes int
	// endpoints are the keys of the endpoints that crashed, evidenceAge the time since the last
	// crash.
	endpoints   []string
	evidenceAge time.Duration
}

// judge returns the state of a request, which is the strictest of its suspects', and the new
// quarantines.
func (evidence *evidence) judge(request Request, now time.Time) (Verdict, []conviction) {
	var convicted []conviction
	strictest := Verdict{}
	consider := func(key peridotpath.Fingerprint, part peridotpath.PartID) {
		verdict, newTerm := evidence.judgeSuspect(key, request, now)
		verdict.Suspect, verdict.Part = key, part
		verdict.Crashes, verdict.LastCrash = len(evidence.crashes(key)), evidence.lastCrash(key)
		if newTerm != nil {
			convicted = append(convicted, evidence.conviction(key, part, *newTerm, now))
		}
		if verdict.isStricter(&strictest) {
			strictest = verdict
		}
	}
	consider(request.Content, "")
	for _, part := range request.Parts {
		consider(part.Fingerprint, part.ID)
	}
	return strictest, convicted
}

// isStricter reports whether a verdict restricts a request more than another one: by its state,
// then by the time that remains, then by the number of crashes.
func (verdict *Verdict) isStricter(other *Verdict) bool {
	switch {
	case verdict.State != other.State:
		return verdict.State > other.State
	case verdict.Remaining != other.Remaining:
		return verdict.Remaining > other.Remaining
	}
	return verdict.State != Clear && verdict.Crashes > other.Crashes
}

func (evidence *evidence) conviction(key peridotpath.Fingerprint, part peridotpath.PartID, term term, now time.Time) conviction {
	conviction := conviction{suspect: key, part: part, term: term, crashes: len(evidence.crashes(key)), evidenceAge: now.Sub(evidence.lastCrash(key))}
	for endpoint := range evidence.crashes(key) {
		conviction.endpoints = append(conviction.endpoints, strconv.FormatUint(uint64(endpoint), 36))
	}
	return conviction
}

// judgeSuspect returns the state that one suspect of a request imposes on it, and its new
// quarantine if the evidence suffices for one.
func (evidence *evidence) judgeSuspect(key peridotpath.Fingerprint, request Request, now time.Time) (Verdict, *term) {
	current, hasTerm := evidence.term(key, now)
	if hasTerm && now.Before(current.until) {
		if evidence.hasRival(key, request, now) {
			return Verdict{State: Suspected}, nil
		}
		return Verdict{State: Quarantined, Remaining: current.until.Sub(now)}, nil
	}
	if hasTerm {
		if last := evidence.lastCrash(key); last.After(current.until) {
			// Crashes before the end of the previous quarantine come from attempts that were in
			// flight when that quarantine began; they are no new evidence.
			next := term{from: last, until: last.Add(min(2*current.duration(), maxQuarantine))}
			return Verdict{State: Quarantined, Remaining: next.until.Sub(now)}, &next
		}
		return Verdict{State: OnTrial}, nil
	}
	if evidence.isSufficient(key, now) && !evidence.hasRival(key, request, now) {
		last := evidence.lastCrash(key)
		next := term{from: last, until: last.Add(firstQuarantine)}
		return Verdict{State: Quarantined, Remaining: next.until.Sub(now)}, &next
	}
	if len(evidence.crashes(key)) >= minCrashesToSerialise && !evidence.suspects[key].isKnownPart {
		return Verdict{State: Suspected}, nil
	}
	return Verdict{}, nil
}

// isSufficient reports whether enough endpoints have crashed under a suspect that no other
// quarantined one explains, and that so many are unlikely by chance.
func (evidence *evidence) isSufficient(key peridotpath.Fingerprint, now time.Time) bool {
	suspect := evidence.suspects[key]
	if suspect == nil {
		return false
	}
	unexplained := crashes{}
	for endpoint, crash := range evidence.completeCrashes(key, now) {
		if !evidence.isExplained(endpoint, crash, key) {
			unexplained[endpoint] = crash
		}
	}
	weight, wanted := unexplained.weight(), evidence.minCrashes(suspect)
	return weight >= wanted && weight >= wanted+evidence.otherCrashes(unexplained, key).weight()/otherCrashesPerCrash
}

// minCrashes returns the number of crashes that are evidence enough against a suspect.
func (evidence *evidence) minCrashes(suspect *suspect) float64 {
	switch {
	case suspect.isKnownPart:
		return minCrashesOfKnownPart
	case suspect.isPart && !evidence.newPartsKnown:
		return minCrashesAfterStart
	}
	return minCrashesToQuarantine
}

// isExplained reports whether the crash of an endpoint may have happened under a quarantined suspect
// other than the given one.
func (evidence *evidence) isExplained(endpoint peridotpath.EndpointKey, crash crash, key peridotpath.Fingerprint) bool {
	return slices.ContainsFunc(evidence.explanations[endpoint], func(other explanation) bool {
		return other.suspect != key && crash.mayBeSame(other.crash)
	})
}

// otherCrashes returns the endpoints that have crashed since the first of a suspect's crashes,
// but not under it, and that no quarantined suspect explains.
func (evidence *evidence) otherCrashes(own crashes, key peridotpath.Fingerprint) crashes {
	var first time.Time
	for _, crash := range own {
		if first.IsZero() || crash.at.Before(first) {
			first = crash.at
		}
	}
	others := crashes{}
	for endpoint, at := range evidence.crashedAt {
		other := crash{at: at}
		if _, isOwn := own[endpoint]; !isOwn && !at.Before(first) && !evidence.isExplained(endpoint, other, key) {
			others[endpoint] = other
		}
	}
	return others
}

// hasRival reports whether the crashes under a suspect may be due to another one that the
// request does not have: the request may be a sound one then. A rival is found at as many
// crashes, half of the suspect's among them; against a suspect that is quarantined, all.
func (evidence *evidence) hasRival(key peridotpath.Fingerprint, request Request, now time.Time) bool {
	crashes := evidence.crashes(key)
	_, quarantined := evidence.term(key, now)
	wanted := (len(crashes) + 1) / 2
	if quarantined {
		wanted = len(crashes)
	}
	for other, suspect := range evidence.suspects {
		if other == key || suspect.isKnownPart || len(suspect.crashes) < len(crashes) || request.has(other) {
			continue
		}
		if _, isExplanation := evidence.term(other, now); isExplanation && !quarantined {
			continue
		}
		if crashes.countShared(suspect.crashes) >= wanted {
			return true
		}
	}
	return false
}

func (request *Request) has(suspect peridotpath.Fingerprint) bool {
	if request.Content == suspect {
		return true
	}
	for _, part := range request.Parts {
		if part.Fingerprint == suspect {
			return true
		}
	}
	return false
}
