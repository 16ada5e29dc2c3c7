package quarantine

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
)

// evidence is what is known at one moment.
type evidence struct {
	now time.Time
	// ends is when endpoints ended under a request, since one survived it last.
	ends     map[peridotpath.Fingerprint]map[peridotpath.EndpointKey]time.Time
	survived map[peridotpath.Fingerprint]time.Time
	bars     map[peridotpath.Fingerprint]bar
}

// bar is the time for which a request is kept off.
type bar struct {
	from, until time.Time
}

func (bar bar) span() time.Duration { return bar.until.Sub(bar.from) }

func (quarantine *Quarantine) evidence(now time.Time) *evidence {
	evidence := &evidence{
		now:      now,
		ends:     map[peridotpath.Fingerprint]map[peridotpath.EndpointKey]time.Time{},
		survived: map[peridotpath.Fingerprint]time.Time{},
		bars:     map[peridotpath.Fingerprint]bar{},
	}
	for _, fact := range quarantine.Facts.All(facts.KindSurvived, now) {
		evidence.survived[peridotpath.Fingerprint(fact.Subject)] = fact.At
	}
	for _, fact := range quarantine.Facts.All(facts.KindBarred, now) {
		until := fact.At.Add(time.Duration(min(fact.Value, longestBar.Seconds()) * float64(time.Second)))
		evidence.bars[peridotpath.Fingerprint(fact.Subject)] = bar{from: fact.At, until: until}
	}
	for _, fact := range quarantine.Facts.All(facts.KindEnded, now) {
		content := peridotpath.Fingerprint(fact.Subject)
		if !fact.At.After(evidence.survived[content]) {
			continue
		}
		if evidence.ends[content] == nil {
			evidence.ends[content] = map[peridotpath.EndpointKey]time.Time{}
		}
		evidence.ends[content][peridotpath.EndpointKey(fact.Detail)] = fact.At
	}
	return evidence
}

// bar returns a request's bar, which is remembered after its end for as long again;
// none once an endpoint has survived it.
func (evidence *evidence) bar(content peridotpath.Fingerprint) (bar, bool) {
	bar, known := evidence.bars[content]
	remembered := evidence.now.Before(bar.until.Add(bar.span()))
	return bar, known && remembered && bar.from.After(evidence.survived[content])
}

// newest is when an endpoint ended last under a request; zero if none has.
func (evidence *evidence) newest(content peridotpath.Fingerprint) time.Time {
	var newest time.Time
	for _, at := range evidence.ends[content] {
		if at.After(newest) {
			newest = at
		}
	}
	return newest
}

// settled reports whether all is known of those that ran where a request was found last.
func (evidence *evidence) settled(content peridotpath.Fingerprint) bool {
	return evidence.now.Sub(evidence.newest(content)) >= settleTime
}

// newerThan reports whether something is known of a request that is newer.
func (evidence *evidence) newerThan(than time.Time, content peridotpath.Fingerprint) bool {
	return evidence.newest(content).After(than) || evidence.survived[content].After(than)
}

// judge decides whether a request is to be kept off, and for how long.
func (evidence *evidence) judge(content peridotpath.Fingerprint) (bar, bool) {
	newest := evidence.newest(content)
	if before, known := evidence.bar(content); known {
		// What was under way when it was barred says nothing new.
		return bar{from: newest, until: newest.Add(min(2*before.span(), longestBar))}, newest.After(before.until)
	}
	own := evidence.ends[content]
	if len(own)-evidence.explained(content) < endsForBar || !evidence.settled(content) {
		return bar{}, false
	}
	for other, ends := range evidence.ends {
		if _, barred := evidence.bar(other); other != content && !barred && len(ends) >= len(own) && meet(own, ends) {
			return bar{}, false
		}
	}
	return bar{from: newest, until: newest.Add(firstBar)}, true
}

// explained counts the endpoints that ended under the request and under one that is
// barred.
func (evidence *evidence) explained(content peridotpath.Fingerprint) int {
	count := 0
	for endpoint := range evidence.ends[content] {
		for other := range evidence.bars {
			if _, barred := evidence.bar(other); other == content || !barred {
				continue
			}
			if _, ended := evidence.ends[other][endpoint]; ended {
				count++
				break
			}
		}
	}
	return count
}

// meet reports whether an endpoint ended under both.
func meet(first, second map[peridotpath.EndpointKey]time.Time) bool {
	for endpoint := range first {
		if _, both := second[endpoint]; both {
			return true
		}
	}
	return false
}
