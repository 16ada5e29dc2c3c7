package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
)

const traceUsage = `trace --id ID FILE...
  Prints what the instances logged of one request, in the order of their time:
  which endpoints it was sent to, by what it was decided, and how it ended.
  Reads log files, asks no instance.

`

// traceKeys are shown first, in this order; the others follow by name.
var traceKeys = []string{"event", "result", "outcome", "endpoint", "helpers", "tries", "sent", "took", "waited", "predicted", "first_event", "error"}

// traceHidden are the same on each line, or say nothing of the request.
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
			var lines []logLine
			skipped, err := readLogs(args, func(line logLine) {
				if line.pairs["request"] == id {
					lines = append(lines, line)
				}
			})
			if err != nil {
				return err
			}
			slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.pairs["time"], b.pairs["time"]) })
			for i := range lines {
				fmt.Fprintln(console.out, traceText(&lines[i]))
			}
			fmt.Fprintf(console.out, "%d lines of request %s, %d others not understood\n", len(lines), id, skipped)
			return nil
		},
	}
}

func traceText(line *logLine) string {
	parts := []string{line.pairs["time"], line.pairs["instance"]}
	for _, key := range traceKeys {
		if value := line.pairs[key]; value != "" {
			parts = append(parts, key+"="+value)
		}
	}
	var rest []string
	for key, value := range line.pairs {
		if !slices.Contains(traceKeys, key) && !slices.Contains(traceHidden, key) {
			rest = append(rest, key+"="+value)
		}
	}
	slices.Sort(rest)
	return strings.Join(append(parts, rest...), " ")
}
