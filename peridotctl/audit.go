package main

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"peridotpath.example/peridotpath/audit"
	"peridotpath.example/peridotpath/logline"
)

const auditUsage = `audit [--top N] FILE...
  Goes through log files for requests that were not dealt with as callers were
  promised: told not to have run though they may have, sent twice though they
  may run once, ended twice, refused long after they could have been, refused
  without a time to return. Also finds requests that were sent to an endpoint
  later than 2 s after it had said that it leaves, or, after two others, within
  the time for which it had asked for rest, or into a data centre later than 2 s
  after the instance had learnt that it is drained. Prints the lines of the first ones
  and fails if there is any. Reads log files, asks no instance.
  Also finds requests that ended with nothing, and those without an answer whose
  last attempt the instance ended itself, before the deadline and while the
  endpoint was there.

`

var errFindings = errors.New("requests were not dealt with as promised")

func auditCommand(console *console) *command {
	top := defaultTop
	return &command{
		console: console, name: "audit", synopsis: "finds requests in log files that were dealt with wrongly", usage: auditUsage,
		flags: func(flags *flag.FlagSet) { flags.IntVar(&top, "top", defaultTop, "findings shown") },
		run: func(_ context.Context, args []string) error {
			if len(args) == 0 || top < 1 {
				return errUsage
			}
			var logs audit.Audit
			skipped, err := logline.ReadFiles(args, logs.AddLine)
			if err != nil {
				return err
			}
			findings := logs.Findings()
			fmt.Fprintf(console.out, "%d requests, %d findings; %d lines not understood\n", logs.RequestCount(), len(findings), skipped)
			for _, finding := range findings[:min(top, len(findings))] {
				fmt.Fprintf(console.out, "\n%s %s\n", finding.Fault, finding.Request)
				for _, text := range finding.Lines {
					fmt.Fprintln(console.out, "  "+text)
				}
			}
			if len(findings) > 0 {
				return errFindings
			}
			return nil
		},
	}
}
