package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"peridotpath.example/peridotpath/logline"
)

const whyUsage = `why [--top N] FILE...
  Counts the failures in log files by cause, and names the kinds of request, the
  seconds, routes, customers and endpoints that have most of them. A kind is
  stream, repeatable or once, with the length class. Reads log files, asks no
  instance.
  Requests that were denied another attempt, or whose last attempt the instance
  ended itself (given_up), are counted by both, with the time for which their
  endpoints had sent nothing.

`

// defaultTop is the default number of rows per table.
const defaultTop = 5

// tally counts requests and failures in logs.
type tally struct {
	requests, failed int
	// results counts failed requests by result and outcomes counts failed attempts
	// by outcome. The others count failed requests by the named attribute.
	results, outcomes, kinds, seconds, routes, customers map[string]int
	// endpoints counts failed attempts by endpoint. crashContents counts, by content
	// hash, the requests that ran on an endpoint when its process terminated.
	// crashParts counts the same by customer and shared part of the prompt.
	endpoints, crashContents, crashParts map[string]int
	otherEvents                          map[string]int
	// givenUp counts the attempts that the instance ended itself, by reason, and causes the
	// requests that failed with such an attempt or were denied another one.
	givenUp      map[string]int
	causes       causeCounts
	lastAttempts lastAttempts
}

func newTally() *tally {
	return &tally{
		results: map[string]int{}, outcomes: map[string]int{}, kinds: map[string]int{}, seconds: map[string]int{}, routes: map[string]int{},
		customers: map[string]int{}, endpoints: map[string]int{}, crashContents: map[string]int{}, crashParts: map[string]int{},
		otherEvents: map[string]int{}, givenUp: map[string]int{}, causes: causeCounts{}, lastAttempts: lastAttempts{},
	}
}

// callerDisconnected is the result of a request whose caller disconnected. It does not
// count as a failure.
const callerDisconnected = "caller_gone"

func (tally *tally) add(line logline.Line) {
	if failure, isFailed := tally.lastAttempts.end(&line); isFailed && failure.result != callerDisconnected {
		tally.causes.add(&failure)
	}
	switch line.Pairs["event"] {
	case "served":
		tally.requests++
	case "failed", "refused":
		tally.requests++
		if line.Pairs["result"] == callerDisconnected {
			return
		}
		tally.failed++
		tally.results[line.Pairs["result"]]++
		tally.seconds[truncateToSecond(line.Pairs["time"])]++
		countName(tally.kinds, strings.TrimSpace(line.Pairs["kind"]+" "+line.Pairs["length"]))
		countName(tally.routes, line.Pairs["route"])
		countName(tally.customers, line.Pairs["customer"])
	case "unanswered":
		tally.requests++
		tally.failed++
		tally.results["unanswered"]++
		tally.seconds[truncateToSecond(line.Pairs["time"])]++
	case "attempt_failed":
		tally.outcomes[line.Pairs["outcome"]]++
		countName(tally.givenUp, line.Pairs["given_up"])
		countName(tally.endpoints, line.Pairs["endpoint"])
		if line.Pairs["endpoint_gone"] == "true" {
			countName(tally.crashContents, line.Pairs["content"])
			tally.addCrashParts(line)
		}
	default:
		tally.otherEvents[line.Pairs["event"]]++
	}
}

// addCrashParts counts the parts of a request that had no event when its endpoint crashed.
func (tally *tally) addCrashParts(line logline.Line) {
	if line.Pairs["events"] != "0" {
		return
	}
	for part := range strings.SplitSeq(line.Pairs["parts"], ",") {
		if part != "" {
			countName(tally.crashParts, line.Pairs["customer"]+" "+part)
		}
	}
}

func countName(counts map[string]int, name string) {
	if name != "" {
		counts[name]++
	}
}

// truncateToSecond removes the fraction of a second from a formatted time.
func truncateToSecond(time string) string {
	const length = len("2006-01-02T15:04:05")
	if len(time) < length {
		return time
	}
	return time[:length]
}

func whyCommand(console *console) *command {
	top := defaultTop
	return &command{
		console: console, name: "why", synopsis: "counts the failures in log files by cause", usage: whyUsage,
		flags: func(flags *flag.FlagSet) { flags.IntVar(&top, "top", defaultTop, "rows of each table") },
		run: func(_ context.Context, args []string) error {
			if len(args) == 0 || top < 1 {
				return errUsage
			}
			tally := newTally()
			skipped, err := logline.ReadFiles(args, tally.add)
			if err != nil {
				return err
			}
			fmt.Fprintf(console.out, "%d requests, %d failed or refused; %d lines not understood\n", tally.requests, tally.failed, skipped)
			tally.write(console.out, top)
			return nil
		},
	}
}

func (tally *tally) write(out io.Writer, top int) {
	tables := []struct {
		title  string
		counts map[string]int
	}{
		{"result", tally.results}, {"failed attempt", tally.outcomes}, {"kind", tally.kinds}, {"second", tally.seconds}, {"route", tally.routes},
		{"customer", tally.customers}, {"endpoint of failed attempts", tally.endpoints},
		{"content where an endpoint ended", tally.crashContents}, {"customer and part where an endpoint ended without an event", tally.crashParts}, {"change of belief", tally.otherEvents},
	}
	for _, table := range tables {
		writeCounts(out, table.title, table.counts, top)
	}
	writeCounts(out, "attempt ended by the instance", tally.givenUp, top)
	tally.causes.write(out, top)
}

// writeCounts writes the largest counts, with ties ordered by name.
func writeCounts(out io.Writer, title string, counts map[string]int, top int) {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	if len(names) == 0 {
		return
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "\n%s\tcount\n", title)
	for _, name := range names[:min(top, len(names))] {
		fmt.Fprintf(table, "%s\t%d\n", name, counts[name])
	}
	if len(names) > top {
		fmt.Fprintf(table, "(%d more)\t\n", len(names)-top)
	}
	// Write errors of the console are ignored.
	_ = table.Flush()
}
