package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

const watchUsage = `watch [--interval 2s] [--count N]
  Shows status and endpoints over and over, until interrupted or N times. With
  --json each round is one "status" document.

`

const (
	defaultInterval = 2 * time.Second
	// clearScreen is the ANSI sequence that moves the cursor home and clears the
	// screen below it.
	clearScreen = "\x1b[H\x1b[J"
)

func watch(console *console) *command {
	interval, count := defaultInterval, 0
	return &command{
		console: console, name: "watch", synopsis: "shows status and endpoints over and over", usage: watchUsage,
		flags: func(flags *flag.FlagSet) {
			flags.DurationVar(&interval, "interval", defaultInterval, "time between two rounds")
			flags.IntVar(&count, "count", 0, "how many rounds; 0 for no end")
		},
		run: func(ctx context.Context, args []string) error {
			if len(args) > 0 || interval <= 0 || count < 0 {
				return errUsage
			}
			for round := 1; ; round++ {
				if err := console.watchOnce(ctx); err != nil {
					return err
				}
				if round == count || ctx.Err() != nil {
					return nil
				}
				console.sleep(ctx, interval)
			}
		},
	}
}

func (console *console) watchOnce(ctx context.Context) error {
	status, err := callAny(ctx, console, pb.Operator.Status, &pb.StatusRequest{})
	if err != nil {
		return err
	}
	list, err := callAny(ctx, console, pb.Operator.ListEndpoints, &pb.ListEndpointsRequest{})
	if err != nil {
		return err
	}
	if !console.json {
		fmt.Fprint(console.out, clearScreen)
	}
	if err := console.show(status, func(out io.Writer) { statusTable(out, status) }); err != nil || console.json {
		return err
	}
	fmt.Fprintln(console.out)
	return console.show(list, func(out io.Writer) { endpointTable(out, list) })
}
