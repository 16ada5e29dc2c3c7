package audit

import (
	"time"

	"peridotpath.example/peridotpath/logline"
)

// linkNotice is the time after which an instance that is cut off from all endpoints must send
// nothing over its own links: an attempt may begin just before it is found to be cut off.
const linkNotice = time.Second

// linkOutage is the time for which an instance knew that it is cut off from all endpoints; a zero
// end where it did not end.
type linkOutage struct {
	from, to time.Time
	line     logline.Line
}

// addLinkChange adds a line that begins or ends an outage of an instance's links; false for any
// other line.
func (audit *Audit) addLinkChange(line logline.Line) bool {
	instance := line.Pairs["instance"]
	at, ok := timeOf(&line)
	switch line.Event() {
	case "links_lost":
		if ok {
			if audit.linkOutages == nil {
				audit.linkOutages = map[string][]linkOutage{}
			}
			audit.linkOutages[instance] = append(audit.linkOutages[instance], linkOutage{from: at, line: line})
		}
	case "links_restored":
		audit.endLinkOutage(instance, at)
	case "started":
		// A new process finds out anew.
		audit.endLinkOutage(instance, at)
		return false
	default:
		return false
	}
	return true
}

func (audit *Audit) endLinkOutage(instance string, at time.Time) {
	outages := audit.linkOutages[instance]
	if last := len(outages) - 1; last >= 0 && outages[last].to.IsZero() {
		outages[last].to = at
	}
}

// linkFindings returns the requests that an instance sent over its own links while it knew that
// they lead to no endpoint.
func (audit *Audit) linkFindings() []Finding {
	var findings []Finding
	for id, history := range audit.requests {
		for _, outage := range audit.outagesMet(history) {
			findings = append(findings, Finding{
				Request: id, Fault: FaultSentOverLostLink, Lines: append([]string{outage.line.Text}, history.lines()...),
			})
		}
	}
	return findings
}

// outagesMet returns the outages in which an attempt of the request was sent over the own links.
func (audit *Audit) outagesMet(history *history) []linkOutage {
	var met []linkOutage
	for _, lines := range [][]logline.Line{history.failedAttempts, history.ends} {
		for i := range lines {
			if outage, found := audit.outageMet(&lines[i]); found {
				met = append(met, outage)
			}
		}
	}
	return met
}

// outageMet returns the outage in which the attempt that the line ends was sent over the own
// links, if there is one.
func (audit *Audit) outageMet(line *logline.Line) (linkOutage, bool) {
	endedAt, ok := timeOf(line)
	if !ok || line.Pairs["carrier"] != "" || !wasSent(line) {
		return linkOutage{}, false
	}
	sentAt := endedAt.Add(-milliseconds(line.Number("took") - line.Number("waited")))
	for _, outage := range audit.linkOutages[line.Pairs["instance"]] {
		if sentAt.After(outage.from.Add(linkNotice)) && (outage.to.IsZero() || sentAt.Before(outage.to.Add(-logResolution))) {
			return outage, true
		}
	}
	return linkOutage{}, false
}

// wasSent reports whether the line ends an attempt that was sent to an endpoint.
func wasSent(line *logline.Line) bool {
	if line.Event() == "served" {
		return true
	}
	switch line.Pairs["outcome"] {
	case "failed", "broken", "errored", "refused":
		return true
	}
	return false
}
