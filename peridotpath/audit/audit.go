// Package audit goes through instances' logs for requests that were not dealt with
// as callers were promised, whatever they were answered.
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

// Fault is what is wrong with a request.
type Fault int

// The faults, by what they do to callers.
const (
	// FaultRan: the caller was told that the request had not run, and it may have.
	FaultRan Fault = iota
	// FaultTwice: a request that may run once was sent again though it may have run.
	FaultTwice
	// FaultAnswers: one request ended twice.
	FaultAnswers
	// FaultHeld: the request was refused long after it could have been, and was
	// never sent.
	FaultHeld
	// FaultNoReturn: the caller was not told when to come back.
	FaultNoReturn
)

var faultNames = [...]string{"ran_though_refused", "ran_twice", "ended_twice", "held_and_never_sent", "no_return_time"}

func (fault Fault) String() string { return faultNames[fault] }

// heldAims is how many aims a request may be here without being sent: a long prompt
// that waits for its turn may be late, but its caller has to learn while there is
// time to come back that it will not be served.
const heldAims = 2

// Finding is a request with a fault, and the lines that show it.
type Finding struct {
	Request peridotpath.RequestID
	Fault   Fault
	Lines   []string
}

// Audit collects what instances logged. Add the lines of all instances, in any order.
type Audit struct {
	requests map[peridotpath.RequestID]*history
	// pauses holds when each instance stood still.
	pauses map[string][]pause
}

// pause is a time in which an instance's process did not run.
type pause struct{ from, to time.Time }

// history is what was logged of one request.
type history struct {
	ended  []logline.Line
	failed []logline.Line
}

// Add takes a line in.
func (audit *Audit) Add(line logline.Line) {
	if line.Event() == "paused" {
		audit.addPause(line)
		return
	}
	id := peridotpath.RequestID(line.Pairs["request"])
	if id == "" {
		return
	}
	if audit.requests == nil {
		audit.requests = map[peridotpath.RequestID]*history{}
	}
	known := audit.requests[id]
	if known == nil {
		known = &history{}
		audit.requests[id] = known
	}
	switch line.Event() {
	case "served", "failed", "refused":
		known.ended = append(known.ended, line)
	case "attempt_failed":
		known.failed = append(known.failed, line)
	}
}

func (audit *Audit) addPause(line logline.Line) {
	to, err := time.Parse(time.RFC3339Nano, line.Pairs["time"])
	if err != nil {
		// A line that was cut; it excuses nothing.
		return
	}
	if audit.pauses == nil {
		audit.pauses = map[string][]pause{}
	}
	instance := line.Pairs["instance"]
	audit.pauses[instance] = append(audit.pauses[instance], pause{from: to.Add(-millis(line.Number("span"))), to: to})
}

func millis(number float64) time.Duration { return time.Duration(number * float64(time.Millisecond)) }

// paused returns for how long of a request's time its instance stood still.
func (audit *Audit) paused(end *logline.Line) time.Duration {
	ended, err := time.Parse(time.RFC3339Nano, end.Pairs["time"])
	if err != nil {
		return 0
	}
	arrived := ended.Add(-millis(end.Number("took")))
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

// Requests returns how many requests were seen.
func (audit *Audit) Requests() int { return len(audit.requests) }

// Findings returns what is wrong, by request.
func (audit *Audit) Findings() []Finding {
	var findings []Finding
	for _, id := range slices.Sorted(maps.Keys(audit.requests)) {
		for _, fault := range audit.faults(audit.requests[id]) {
			findings = append(findings, Finding{Request: id, Fault: fault, Lines: audit.requests[id].lines()})
		}
	}
	return findings
}

func (audit *Audit) faults(history *history) []Fault {
	var faults []Fault
	note := func(fault Fault, holds bool) {
		if holds {
			faults = append(faults, fault)
		}
	}
	mayHaveRun := history.mayHaveRun()
	note(FaultTwice, history.runsOnce() && mayHaveRun > 0 && mayHaveRun+history.served() > 1)
	note(FaultAnswers, len(history.ended) > 1)
	for i := range history.ended {
		end := &history.ended[i]
		promised := codeOf(end).NotRun()
		note(FaultRan, promised && mayHaveRun > 0)
		note(FaultHeld, promised && end.Event() == "failed" && end.Number("sent") == 0 && audit.heldTooLong(end))
		note(FaultNoReturn, promised && end.Event() == "failed" && end.Number("retry_after") == 0)
	}
	return faults
}

// mayHaveRun counts the attempts of which no endpoint said that they had not run.
func (history *history) mayHaveRun() int {
	count := 0
	for i := range history.failed {
		if outcome := history.failed[i].Pairs["outcome"]; outcome == "failed" || outcome == "broken" || outcome == "errored" {
			count++
		}
	}
	return count
}

func (history *history) served() int {
	count := 0
	for i := range history.ended {
		if history.ended[i].Event() == "served" {
			count++
		}
	}
	return count
}

func (history *history) runsOnce() bool {
	return len(history.ended) > 0 && history.ended[0].Pairs["kind"] == "once"
}

// heldTooLong reports whether a request was held by an instance that ran all the while: one
// that stands still can refuse nothing.
func (audit *Audit) heldTooLong(end *logline.Line) bool {
	aim := end.Number("aim")
	return aim > 0 && millis(end.Number("took"))-audit.paused(end) > millis(heldAims*aim)
}

func codeOf(line *logline.Line) peridotpath.Code {
	number, err := strconv.Atoi(line.Pairs["code"])
	if err != nil {
		// A line that was cut; it promises nothing.
		return peridotpath.CodeOK
	}
	return peridotpath.Code(number)
}

// lines returns what was logged of the request, in the order of time.
func (history *history) lines() []string {
	all := append(slices.Clone(history.failed), history.ended...)
	slices.SortStableFunc(all, func(a, b logline.Line) int { return cmp.Compare(a.Pairs["time"], b.Pairs["time"]) })
	texts := make([]string, 0, len(all))
	for i := range all {
		texts = append(texts, all[i].Text)
	}
	return texts
}
