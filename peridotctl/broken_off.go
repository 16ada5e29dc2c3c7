package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"peridotpath.example/peridotpath/logline"
)

// unsentOutcomes are those of attempts that reached no endpoint.
var unsentOutcomes = []string{"unsent", "no_memory", "withdrawn"}

// endpointFailed is the result of a request that may have run and got no answer.
const endpointFailed = "endpoint_failed"

// lastAttempts holds the last failed attempt that reached an endpoint, by instance and request,
// until the line that ends the request. An instance logs both in this order.
type lastAttempts map[string]logline.Line

// end adds a line, and returns how the request that it ends failed; false for any other line.
func (lastAttempts lastAttempts) end(line *logline.Line) (failure, bool) {
	key := line.Pairs["instance"] + " " + line.Pairs["request"]
	switch line.Event() {
	case "attempt_failed":
		if !slices.Contains(unsentOutcomes, line.Pairs["outcome"]) {
			lastAttempts[key] = *line
		}
	case "served":
		delete(lastAttempts, key)
	case "failed":
		last := lastAttempts[key]
		delete(lastAttempts, key)
		return failure{
			instance: line.Pairs["instance"], result: line.Pairs["result"], givenUp: last.Pairs["given_up"], denied: line.Pairs["denied"],
			isAborted: line.Pairs["aborted"] == "true", silent: time.Duration(last.Number("silent") * float64(time.Millisecond)),
		}, true
	}
	return failure{}, false
}

// failure is how a request failed.
type failure struct {
	instance, result string
	// givenUp is why the instance ended the last attempt itself; empty if it did not.
	givenUp string
	// denied is what allowed no further attempt; empty if none was denied.
	denied    string
	isAborted bool
	// silent is the time for which the endpoint had sent nothing.
	silent time.Duration
}

// cause returns the result with the log fields that explain it.
func (failure *failure) cause() string {
	cause := failure.result
	if failure.givenUp != "" {
		cause += " given_up=" + failure.givenUp
	}
	if failure.denied != "" && !failure.isRefusedByPlacement() {
		cause += " denied=" + failure.denied
	}
	return cause
}

// isRefusedByPlacement reports whether the result is the placement's, with no attempt before it
// that may have run: after such an attempt the result is endpoint_failed, whatever denied another.
func (failure *failure) isRefusedByPlacement() bool {
	return failure.denied == failure.result && failure.result != endpointFailed
}

// explanation returns a sentence about a request that the instance gave up, or "" if it did not.
func (failure *failure) explanation() string {
	if failure.givenUp == "" || failure.result == callerDisconnected || failure.result == "deadline" {
		return ""
	}
	verb := "given up"
	if failure.isAborted {
		verb = "broken off"
	}
	return fmt.Sprintf("%s by %s: %s, silent for %s%s", verb, failure.instance, failure.givenUp, formatSeconds(failure.silent), failure.deniedText())
}

func (failure *failure) deniedText() string {
	switch failure.denied {
	case "":
		return ""
	case "budget":
		return ", budget denied another attempt"
	case "attempts":
		return ", no attempt was left"
	case "not_repeatable":
		return ", it may not be repeated"
	case endpointFailed:
		return ", placement denied another attempt"
	default:
		return ", placement denied another attempt: " + failure.denied
	}
}

func formatSeconds(duration time.Duration) string { return fmt.Sprintf("%.1f s", duration.Seconds()) }

// causeCounts counts failed requests that were given up or denied another attempt.
type causeCounts map[string]*causeCount

// causeCount counts requests, with the shortest and the longest silence of their endpoints.
type causeCount struct {
	requests          int
	shortest, longest time.Duration
	hasSilence        bool
}

func (causeCounts causeCounts) add(failure *failure) {
	if cause := failure.cause(); cause != failure.result {
		row := causeCounts[cause]
		if row == nil {
			row = &causeCount{}
			causeCounts[cause] = row
		}
		row.add(failure)
	}
}

func (causeCount *causeCount) add(failure *failure) {
	causeCount.requests++
	if failure.givenUp == "" {
		return
	}
	if !causeCount.hasSilence || failure.silent < causeCount.shortest {
		causeCount.shortest = failure.silent
	}
	causeCount.longest, causeCount.hasSilence = max(causeCount.longest, failure.silent), true
}

// write writes the largest counts, with ties ordered by cause.
func (causeCounts causeCounts) write(out io.Writer, top int) {
	if len(causeCounts) == 0 {
		return
	}
	causes := slices.SortedFunc(maps.Keys(causeCounts), func(a, b string) int {
		return cmp.Or(cmp.Compare(causeCounts[b].requests, causeCounts[a].requests), strings.Compare(a, b))
	})
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "\ncause of a failed request\tcount\tendpoint silent\n")
	for _, cause := range causes[:min(top, len(causes))] {
		row, silent := causeCounts[cause], "-"
		if row.hasSilence {
			silent = formatSeconds(row.shortest) + " to " + formatSeconds(row.longest)
		}
		fmt.Fprintf(table, "%s\t%d\t%s\n", cause, row.requests, silent)
	}
	if len(causes) > top {
		fmt.Fprintf(table, "(%d more)\t\t\n", len(causes)-top)
	}
	// Write errors of the console are ignored.
	_ = table.Flush()
}
