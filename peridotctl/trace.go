package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"

	"peridotpath.example/peridotpath/logline"
)

const traceUsage = `trace --id ID FILE...
  Prints what the instances logged of one request, in the order of their time:
  which endpoints it was sent to, by what it was decided, and how it ended.
  Reads log files, asks no instance.
  Of a request that an instance gave up itself, says why and what denied it
  another attempt.

`

// traceKeys are printed first, in this order; other keys follow sorted by name.
var traceKeys = []string{"event", "result", "outcome", "endpoint", "helpers", "tries", "sent", "took", "waited", "predicted", "first_event", "error"}

// traceHidden are keys that are identical on every line or unrelated to the request.
var traceHidden = []string{"time", "level", "instance", "request", "code"}

func trace(console *console) *command {
	id := ""
	return &command{
		console: console, name: "trace", synopsis: "prints what the logs say of one request", usage: traceUsage,
		flags: func(flags *flag.FlagSet) { flags.StringVar(&id, "id", "", "the request's id") },
		run: func(_ context.Context, args []string) error {
			if id == "" || len(args) == 0 {
				return errUsage
			}
			var lines []logline.Line
			skipped, err := logline.ReadFiles(args, func(line logline.Line) {
				if line.Pairs["request"] == id {
					lines = append(lines, line)
				}
			})
			if err != nil {
				return err
			}
			slices.SortStableFunc(lines, func(a, b logline.Line) int { return strings.Compare(a.Pairs["time"], b.Pairs["time"]) })
			attempts := lastAttempts{}
			for i := range lines {
				fmt.Fprintln(console.out, traceText(&lines[i]))
				if failure, isFailed := attempts.end(&lines[i]); isFailed && failure.explanation() != "" {
					fmt.Fprintln(console.out, failure.explanation())
				}
			}
			fmt.Fprintf(console.out, "%d lines of request %s, %d others not understood\n", len(lines), id, skipped)
			return nil
		},
	}
}

func traceText(line *logline.Line) string {
	parts := []string{line.Pairs["time"], line.Pairs["instance"]}
	for _, key := range traceKeys {
		if value := line.Pairs[key]; value != "" {
			parts = append(parts, key+"="+value)
		}
	}
	var rest []string
	for key, value := range line.Pairs {
		if !slices.Contains(traceKeys, key) && !slices.Contains(traceHidden, key) {
			rest = append(rest, key+"="+value)
		}
	}
	slices.Sort(rest)
	return strings.Join(append(parts, rest...), " ")
}
