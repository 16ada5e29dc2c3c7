package audit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/logline"
)

const (
	// maxDrainTime is the time from an instance's learning that an endpoint leaves after which
	// the endpoint may get no request that arrived at the instance since.
	maxDrainTime = 2 * time.Second
	// backoffGrace is the time from a refusal with a backoff until the backoff must be kept, and
	// maxDuringBackoff the number of requests that may be sent in the rest of it.
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
	// logResolution is the resolution of the time of a log line.
	logResolution = time.Millisecond
)

// path is an instance as the sender to an endpoint.
type path struct{ instance, endpoint string }

// announcements are what an endpoint announced to one instance, and what the instance sent to it.
type announcements struct {
	lines []announcement
	sends []send
}

// announcement is a line that changes whether an endpoint takes requests.
type announcement struct {
	at   time.Time
	line logline.Line
}

// send is an attempt that reached the endpoint.
type send struct {
	request           peridotpath.RequestID
	arrivedAt, sentAt time.Time
}

// addAnnouncement adds a line that changes whether an endpoint takes requests; false for any
// other line.
func (audit *Audit) addAnnouncement(line logline.Line) bool {
	switch line.Event() {
	case "endpoint_leaving", "endpoint_backoff", "endpoint_joined":
	case "started":
		// A new process knows nothing of what endpoints announced to the one before.
		if at, ok := timeOf(&line); ok {
			audit.starts = append(audit.starts, instanceStart{instance: line.Pairs["instance"], at: at})
		}
		return true
	default:
		return false
	}
	if at, ok := timeOf(&line); ok && line.Pairs["endpoint"] != "" {
		on := audit.announcementsOn(path{line.Pairs["instance"], line.Pairs["endpoint"]})
		on.lines = append(on.lines, announcement{at: at, line: line})
	}
	return true
}

// instanceStart is a start of an instance's process.
type instanceStart struct {
	instance string
	at       time.Time
}

func (audit *Audit) announcementsOn(key path) *announcements {
	if audit.announcements == nil {
		audit.announcements = map[path]*announcements{}
	}
	found := audit.announcements[key]
	if found == nil {
		found = &announcements{}
		audit.announcements[key] = found
	}
	return found
}

// unsentOutcomes are those of attempts that reached no endpoint.
var unsentOutcomes = []string{"unsent", "no_memory", "withdrawn"}

// addSend adds the attempt of a request's line, if it reached an endpoint.
func (audit *Audit) addSend(line *logline.Line) {
	isAttempt := line.Event() == "served" || line.Event() == "attempt_failed" && !slices.Contains(unsentOutcomes, line.Pairs["outcome"])
	loggedAt, ok := timeOf(line)
	if !isAttempt || !ok || line.Pairs["took"] == "" || line.Pairs["endpoint"] == "" {
		return
	}
	arrivedAt := loggedAt.Add(-milliseconds(line.Number("took")))
	on := audit.announcementsOn(path{line.Pairs["instance"], line.Pairs["endpoint"]})
	sentAt := arrivedAt.Add(milliseconds(line.Number("waited")))
	on.sends = append(on.sends, send{request: peridotpath.RequestID(line.Pairs["request"]), arrivedAt: arrivedAt, sentAt: sentAt})
	audit.addPartSend(line, sentAt)
}

// timeOf returns the time of a line; false for a line that is truncated and has none.
func timeOf(line *logline.Line) (time.Time, bool) {
	at, err := time.Parse(time.RFC3339Nano, line.Pairs["time"])
	return at, err == nil
}

// announcementFindings returns the requests that were sent to endpoints although these had
// announced that they take none.
func (audit *Audit) announcementFindings() []Finding {
	var findings []Finding
	for path, on := range audit.announcements {
		slices.SortStableFunc(on.lines, func(a, b announcement) int { return a.at.Compare(b.at) })
		slices.SortStableFunc(on.sends, func(a, b send) int { return a.sentAt.Compare(b.sentAt) })
		for i := range on.lines {
			end := on.endOf(i, audit.starts, path.instance)
			switch on.lines[i].line.Event() {
			case "endpoint_leaving":
				findings = append(findings, audit.sentToLeaving(on, &on.lines[i], end)...)
			case "endpoint_backoff":
				findings = append(findings, audit.sentDuringBackoff(on, &on.lines[i], end)...)
			}
		}
	}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Fault, b.Fault), strings.Compare(a.Lines[0], b.Lines[0]))
	})
	return slices.CompactFunc(findings, func(a, b Finding) bool { return a.Request == b.Request && a.Fault == b.Fault })
}

// endOf returns when an announcement ends by a new start of the endpoint or of the instance, at
// the earliest that the resolution of the lines allows; zero if it does not end.
func (announcements *announcements) endOf(index int, starts []instanceStart, instance string) time.Time {
	announced := &announcements.lines[index]
	var end time.Time
	for _, later := range announcements.lines[index+1:] {
		if later.line.Event() == "endpoint_joined" && later.line.Pairs["incarnation"] != announced.line.Pairs["incarnation"] {
			end = later.at
			break
		}
	}
	for _, start := range starts {
		if start.instance == instance && start.at.After(announced.at) && (end.IsZero() || start.at.Before(end)) {
			end = start.at
		}
	}
	if !end.IsZero() {
		end = end.Add(-logResolution)
	}
	return end
}

func (audit *Audit) sentToLeaving(on *announcements, announced *announcement, end time.Time) []Finding {
	var findings []Finding
	for _, sent := range on.sends {
		if sent.arrivedAt.After(announced.at.Add(maxDrainTime)) && (end.IsZero() || sent.sentAt.Before(end)) {
			findings = append(findings, audit.finding(FaultSentToLeaving, sent, announced))
		}
	}
	return findings
}

func (audit *Audit) sentDuringBackoff(on *announcements, announced *announcement, end time.Time) []Finding {
	from, until := announced.at.Add(backoffGrace), announced.at.Add(milliseconds(announced.line.Number("backoff")))
	if !end.IsZero() && end.Before(until) {
		until = end
	}
	var findings []Finding
	count := 0
	for _, sent := range on.sends {
		if !sent.sentAt.After(from) || !sent.sentAt.Before(until) {
			continue
		}
		if count++; count > maxDuringBackoff {
			findings = append(findings, audit.finding(FaultSentDuringBackoff, sent, announced))
		}
	}
	return findings
}

func (audit *Audit) finding(fault Fault, sent send, announced *announcement) Finding {
	return Finding{Request: sent.request, Fault: fault, Lines: append([]string{announced.line.Text}, audit.requests[sent.request].lines()...)}
}
