// Package audit checks the logs of instances for violations of the guarantees to callers,
// such as at-most-once execution and timely refusal. It also finds violations that the
// caller's answer does not show: it correlates the log lines of all instances by request id.
package audit

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/logline"
)

// Fault is a violation of a guarantee by a request.
type Fault int

// Faults, the most harmful to callers first.
const (
	// FaultRanThoughRefused means that the answer guarantees that the request was not
	// executed, although it may have been.
	FaultRanThoughRefused Fault = iota
	// FaultRanTwice means that a request that is not idempotent was retried although an
	// earlier attempt may have been executed.
	FaultRanTwice
	// FaultEndedTwice means that more than one end of the request was logged.
	FaultEndedTwice
	// FaultUnanswered means that the request, which was read whole, would have ended without an
	// answer, a refusal or an aborted stream.
	FaultUnanswered
	// FaultGivenUpInVain means that the instance ended the last attempt itself, before the
	// deadline and while the endpoint was there, and the caller got no answer.
	FaultGivenUpInVain
	// FaultRefusedTooLate means that the request was never sent to an endpoint and was refused
	// after more than maxHoldFactor times its latency target.
	FaultRefusedTooLate
	// FaultNoRetryAfter means that a refusal has no Retry-After.
	FaultNoRetryAfter
	// FaultSentToLeaving means that the request was sent to an endpoint although it arrived
	// later than maxDrainTime after the instance had learned that the endpoint leaves.
	FaultSentToLeaving
	// FaultSentDuringBackoff means that the request was sent to an endpoint that had asked the
	// instance for a backoff, after maxDuringBackoff others.
	FaultSentDuringBackoff
	// FaultSentToDrained means that the request was sent to an endpoint although it arrived
	// more than maxDrainTime after the instance had learned that its data centre is drained.
	FaultSentToDrained
	// FaultSentOverLostLink means that the request was sent over the instance's own links more than
	// linkNotice after it had found out that they lead to no endpoint.
	FaultSentOverLostLink
	// FaultSentWhileBarred means that the request was sent and crashed an endpoint although a part
	// of its prompt was barred, after maxSentWhileBarred others.
	FaultSentWhileBarred
)

var faultNames = [...]string{"ran_though_refused", "ran_twice", "ended_twice", "unanswered", "given_up_in_vain", "held_and_never_sent", "no_return_time", "sent_to_leaving", "sent_during_backoff", "sent_to_drained", "sent_over_lost_link", "sent_while_barred"}

func (fault Fault) String() string { return faultNames[fault] }

// maxHoldFactor bounds the time for which a request may be held without being sent to an
// endpoint, as a multiple of the request's latency target. A queued long prompt may miss its
// target, but must be refused early enough that the caller has time for a retry.
const maxHoldFactor = 2

// Finding is a request with a fault and the log lines that prove it.
type Finding struct {
	Request peridotpath.RequestID
	Fault   Fault
	Lines   []string
}

// Audit collects the log lines of all instances, which may be added in any order.
type Audit struct {
	requests map[peridotpath.RequestID]*history
	// pauses holds the process pauses of each instance.
	pauses map[string][]pause
	// announcements holds what endpoints announced to each instance and got from it, and
	// starts the starts of the instances' processes.
	announcements map[path]*announcements
	starts        []instanceStart
	// drains holds what each instance knew of drained data centres, and dataCentres the data
	// centre of each endpoint.
	drains      map[string][]drain
	dataCentres map[string]string
	// linkOutages holds when each instance knew that it is cut off from all endpoints.
	linkOutages map[string][]linkOutage
	// bars holds when parts were barred, and partSends the attempts at requests with a part, both
	// by the part's fingerprint.
	bars      map[string][]bar
	partSends map[string][]partSend
	// endpointProcesses holds when each endpoint ended and started, stops when instances began to
	// stop.
	endpointProcesses map[string]*endpointProcesses
	stops             []instanceStop
}

// pause is an interval in which an instance's process did not run.
type pause struct{ from, to time.Time }

// history holds the log lines of one request.
type history struct {
	ends           []logline.Line
	failedAttempts []logline.Line
	unanswered     []logline.Line
}

// AddLine adds a log line.
func (audit *Audit) AddLine(line logline.Line) {
	if line.Event() == "paused" {
		audit.addPause(line)
		return
	}
	audit.addEndpointProcess(&line)
	if audit.addStop(line) || audit.addLinkChange(line) || audit.addDrain(line) || audit.addAnnouncement(line) || audit.addBar(line) {
		return
	}
	id := peridotpath.RequestID(line.Pairs["request"])
	if id == "" {
		return
	}
	if audit.requests == nil {
		audit.requests = map[peridotpath.RequestID]*history{}
	}
	entry := audit.requests[id]
	if entry == nil {
		entry = &history{}
		audit.requests[id] = entry
	}
	switch line.Event() {
	case "served", "failed", "refused":
		entry.ends = append(entry.ends, line)
	case "attempt_failed":
		entry.failedAttempts = append(entry.failedAttempts, line)
	case "unanswered":
		entry.unanswered = append(entry.unanswered, line)
	}
	audit.addSend(&line)
}

func (audit *Audit) addPause(line logline.Line) {
	to, err := time.Parse(time.RFC3339Nano, line.Pairs["time"])
	if err != nil {
		// The line is truncated, so it does not count as a pause.
		return
	}
	if audit.pauses == nil {
		audit.pauses = map[string][]pause{}
	}
	instance := line.Pairs["instance"]
	audit.pauses[instance] = append(audit.pauses[instance], pause{from: to.Add(-milliseconds(line.Number("span"))), to: to})
}

func milliseconds(number float64) time.Duration {
	return time.Duration(number * float64(time.Millisecond))
}

// pausedTime returns how long the instance was paused while it held the request.
func (audit *Audit) pausedTime(end *logline.Line) time.Duration {
	ended, err := time.Parse(time.RFC3339Nano, end.Pairs["time"])
	if err != nil {
		return 0
	}
	arrived := ended.Add(-milliseconds(end.Number("took")))
	var total time.Duration
	for _, pause := range audit.pauses[end.Pairs["instance"]] {
		from, to := pause.from, pause.to
		if from.Before(arrived) {
			from = arrived
		}
		if to.After(ended) {
			to = ended
		}
		total += max(0, to.Sub(from))
	}
	return total
}

// RequestCount returns the number of requests in the logs.
func (audit *Audit) RequestCount() int { return len(audit.requests) }

// Findings returns the faults, sorted by request id.
func (audit *Audit) Findings() []Finding {
	var findings []Finding
	for _, id := range slices.Sorted(maps.Keys(audit.requests)) {
		for _, fault := range audit.faultsOf(audit.requests[id]) {
			findings = append(findings, Finding{Request: id, Fault: fault, Lines: audit.requests[id].lines()})
		}
	}
	findings = append(findings, audit.announcementFindings()...)
	findings = append(findings, audit.drainFindings()...)
	findings = append(findings, audit.linkFindings()...)
	findings = append(findings, audit.barFindings()...)
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(a.Request, b.Request) })
	return findings
}

func (audit *Audit) faultsOf(history *history) []Fault {
	var faults []Fault
	addIf := func(fault Fault, isViolated bool) {
		if isViolated {
			faults = append(faults, fault)
		}
	}
	possibleRuns := history.countPossibleRuns()
	addIf(FaultRanTwice, history.isAtMostOnce() && possibleRuns > 0 && possibleRuns+history.countServed() > 1)
	addIf(FaultEndedTwice, len(history.ends) > 1)
	addIf(FaultUnanswered, len(history.unanswered) > 0)
	addIf(FaultGivenUpInVain, audit.isGivenUpInVain(history))
	for i := range history.ends {
		end := &history.ends[i]
		notRun := codeOf(end).NotRun()
		addIf(FaultRanThoughRefused, notRun && possibleRuns > 0)
		addIf(FaultRefusedTooLate, notRun && end.Event() == "failed" && end.Number("sent") == 0 && audit.heldTooLong(end))
		addIf(FaultNoRetryAfter, notRun && end.Event() == "failed" && end.Number("retry_after") == 0)
	}
	return faults
}

// countPossibleRuns counts the failed attempts that may have been executed, because no
// endpoint guaranteed the contrary.
func (history *history) countPossibleRuns() int {
	count := 0
	for i := range history.failedAttempts {
		if outcome := history.failedAttempts[i].Pairs["outcome"]; outcome == "failed" || outcome == "broken" || outcome == "errored" {
			count++
		}
	}
	return count
}

func (history *history) countServed() int {
	count := 0
	for i := range history.ends {
		if history.ends[i].Event() == "served" {
			count++
		}
	}
	return count
}

func (history *history) isAtMostOnce() bool {
	return len(history.ends) > 0 && history.ends[0].Pairs["kind"] == "once"
}

// heldTooLong reports whether a request was held longer than maxHoldFactor allows, not
// counting pauses of the instance: a paused process cannot refuse requests.
func (audit *Audit) heldTooLong(end *logline.Line) bool {
	target := end.Number("aim")
	return target > 0 && milliseconds(end.Number("took"))-audit.pausedTime(end) > milliseconds(maxHoldFactor*target)
}

func codeOf(line *logline.Line) peridotpath.Code {
	number, err := strconv.Atoi(line.Pairs["code"])
	if err != nil {
		// The line is truncated, so it gives no guarantee.
		return peridotpath.CodeOK
	}
	return peridotpath.Code(number)
}

// lines returns the log lines of the request, sorted by time.
func (history *history) lines() []string {
	all := slices.Concat(history.failedAttempts, history.ends, history.unanswered)
	slices.SortStableFunc(all, func(a, b logline.Line) int { return cmp.Compare(a.Pairs["time"], b.Pairs["time"]) })
	texts := make([]string, 0, len(all))
	for i := range all {
		texts = append(texts, all[i].Text)
	}
	return texts
}
