package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

const configHistoryUsage = `history [--limit N] [--json]
  Lists the last accepted changes, latest first. Each document of the
  configuration remembers its last 32. Times are those of the instance that
  accepted the change.

`

const defaultHistoryLimit = 20

func configHistory(console *console) *command {
	limit := 0
	return &command{
		console: console, name: "history", synopsis: "lists the last accepted changes", usage: configHistoryUsage,
		flags: func(flags *flag.FlagSet) {
			flags.IntVar(&limit, "limit", defaultHistoryLimit, "how many changes, at most 1000")
		},
		run: func(ctx context.Context, args []string) error {
			return callAndShow(ctx, console, args, pb.Operator.History, &pb.HistoryRequest{Limit: int32(limit)}, historyTable)
		},
	}
}

func historyTable(out io.Writer, history *pb.HistoryResponse) {
	fmt.Fprintln(out, "when\twho\tkind\tname\tchange\trevision\tchange_id")
	for _, event := range history.Events {
		verb := "put"
		if event.Deleted {
			verb = "deleted"
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", formatTime(event.WhenMs), event.Who, event.Kind, event.Name, verb, event.Revision, event.ChangeId)
	}
}
