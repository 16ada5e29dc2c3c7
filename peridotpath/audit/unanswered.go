package audit

import (
	"cmp"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/logline"
	"peridotpath.example/peridotpath/retrybudget"
)

const (
	// endpointGoneNotice is the time after the end of an attempt by which the end of its endpoint
	// is logged: the endpoint's entry lapses, or another request finds that it is gone.
	endpointGoneNotice = 5 * time.Second
	// drainReturnTime bounds the time between the lines of a drain's end and of the use of an
	// endpoint that returns from it, which an instance logs at once.
	drainReturnTime = 100 * time.Millisecond
	// immediateDenial bounds the time from the end of an attempt to a refusal of another one for
	// which the request did not wait.
	immediateDenial = 10 * time.Millisecond
)

// instanceStop is when an instance's process began to stop.
type instanceStop struct {
	instance string
	at       time.Time
}

// endpointProcesses holds when an endpoint was found gone, and when instances began to use it.
type endpointProcesses struct {
	ends  []time.Time
	joins []endpointJoin
}

// endpointJoin is when an instance began to use an endpoint, or another incarnation of it.
type endpointJoin struct {
	instance, dataCentre, incarnation string
	at                                time.Time
}

// addEndpointProcess adds what a line says about the end or the start of an endpoint.
func (audit *Audit) addEndpointProcess(line *logline.Line) {
	isEnd := line.Event() == "endpoint_left" || line.Event() == "broken_off" && line.Pairs["gone"] == "true" || line.Pairs["endpoint_gone"] == "true"
	at, ok := timeOf(line)
	if !ok || !isEnd && line.Event() != "endpoint_joined" {
		return
	}
	if audit.endpointProcesses == nil {
		audit.endpointProcesses = map[string]*endpointProcesses{}
	}
	processes := audit.endpointProcesses[line.Pairs["endpoint"]]
	if processes == nil {
		processes = &endpointProcesses{}
		audit.endpointProcesses[line.Pairs["endpoint"]] = processes
	}
	if isEnd {
		processes.ends = append(processes.ends, at)
		return
	}
	processes.joins = append(processes.joins, endpointJoin{
		instance: line.Pairs["instance"], dataCentre: line.Pairs["data_centre"], incarnation: line.Pairs["incarnation"], at: at,
	})
}

// hasEnded reports whether the endpoint was found gone, or may have started again, in the interval.
func (audit *Audit) hasEnded(processes *endpointProcesses, from, to time.Time) bool {
	if processes == nil {
		return false
	}
	isMeanwhile := func(at time.Time) bool { return !at.Before(from) && !at.After(to) }
	return slices.ContainsFunc(processes.ends, isMeanwhile) || slices.ContainsFunc(processes.joins, func(join endpointJoin) bool {
		return isMeanwhile(join.at) && !processes.wasKnown(&join) && !audit.isReturnFromDrain(&join)
	})
}

// wasKnown reports whether the incarnation had been in use at an instance before.
func (processes *endpointProcesses) wasKnown(join *endpointJoin) bool {
	return slices.ContainsFunc(processes.joins, func(other endpointJoin) bool {
		return other.incarnation == join.incarnation && other.at.Before(join.at)
	})
}

// isReturnFromDrain reports whether the instance began to use the endpoint since the drain of its
// data centre ended. Instances log no endpoint that they find at their start, so that its
// incarnation may be logged then for the first time.
func (audit *Audit) isReturnFromDrain(join *endpointJoin) bool {
	return slices.ContainsFunc(audit.drains[join.instance], func(drain drain) bool {
		return drain.dataCentre == join.dataCentre && join.at.Sub(drain.to).Abs() <= drainReturnTime
	})
}

// addStop adds the line with which an instance begins to stop; false for any other line.
func (audit *Audit) addStop(line logline.Line) bool {
	if line.Event() != "stopping" {
		return false
	}
	if at, ok := timeOf(&line); ok {
		audit.stops = append(audit.stops, instanceStop{instance: line.Pairs["instance"], at: at})
	}
	return true
}

// isGivenUpInVain reports whether the instance ended the last attempt of the request itself, before
// the request's deadline and while the endpoint was there, and the caller got no answer.
func (audit *Audit) isGivenUpInVain(history *history) bool {
	last := history.lastSentAttempt()
	if last == nil || last.Pairs["given_up"] == "" || history.hasEndpointError() || len(history.ends) != 1 {
		return false
	}
	end := &history.ends[0]
	endedAt, ok := timeOf(end)
	return ok && end.Pairs["instance"] == last.Pairs["instance"] && isBrokenOff(end) && !timedOutWhileWaiting(last, end) &&
		!audit.isStopping(end.Pairs["instance"], endedAt) && !audit.hasEndpointEnded(last, end)
}

// lastSentAttempt returns the last failed attempt that reached an endpoint; nil if there is none.
func (history *history) lastSentAttempt() *logline.Line {
	var last *logline.Line
	for i := range history.failedAttempts {
		attempt := &history.failedAttempts[i]
		if !slices.Contains(unsentOutcomes, attempt.Pairs["outcome"]) && (last == nil || cmp.Compare(attempt.Pairs["time"], last.Pairs["time"]) >= 0) {
			last = attempt
		}
	}
	return last
}

// hasEndpointError reports whether an endpoint answered with an error, which the caller then gets.
func (history *history) hasEndpointError() bool {
	return slices.ContainsFunc(history.failedAttempts, func(attempt logline.Line) bool { return attempt.Pairs["outcome"] == "errored" })
}

// isBrokenOff reports whether the line ends a request that may have run without an answer, for
// another reason than its deadline, its caller or the end of the instance. A truncated line has no
// code and proves nothing.
func isBrokenOff(end *logline.Line) bool {
	if end.Event() != "failed" {
		return false
	}
	switch codeOf(end) {
	case peridotpath.CodeEndpointFailed, peridotpath.CodeStreamCut:
		return true
	case peridotpath.CodeOK, peridotpath.CodeDeadline, peridotpath.CodeCallerGone, peridotpath.CodeStopping:
		return false
	}
	return end.Pairs["aborted"] == "true"
}

// timedOutWhileWaiting reports whether the request waited for a lent retry for less than
// retrybudget.MaxWait. Only its deadline or its client's time-out ends the wait earlier; the lines
// have neither.
func timedOutWhileWaiting(last, end *logline.Line) bool {
	waited := milliseconds(end.Number("took") - last.Number("took"))
	return end.Pairs["denied"] == "budget" && waited > immediateDenial && waited < retrybudget.MaxWait
}

// isStopping reports whether the instance's process was stopping.
func (audit *Audit) isStopping(instance string, at time.Time) bool {
	return slices.ContainsFunc(audit.stops, func(stop instanceStop) bool {
		return stop.instance == instance && !stop.at.After(at) && !slices.ContainsFunc(audit.starts, func(start instanceStart) bool {
			return start.instance == instance && start.at.After(stop.at) && !start.at.After(at)
		})
	})
}

// hasEndpointEnded reports whether the endpoint of the attempt ended during it or soon after. A
// line names the primary only: of an attempt with helpers, any endpoint may have been one.
func (audit *Audit) hasEndpointEnded(last, end *logline.Line) bool {
	failedAt, ok := timeOf(last)
	if !ok {
		return true
	}
	from := failedAt.Add(-milliseconds(last.Number("took")-last.Number("waited")) - logResolution)
	to := failedAt.Add(endpointGoneNotice)
	if end.Number("helpers") == 0 {
		return audit.hasEnded(audit.endpointProcesses[last.Pairs["endpoint"]], from, to)
	}
	for _, processes := range audit.endpointProcesses {
		if audit.hasEnded(processes, from, to) {
			return true
		}
	}
	return false
}
