package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"peridotpath.example/measure/bench"
)

// jointCommand compares one instance that receives all requests with several instances that
// share only load reports.
type jointCommand struct {
	offered  int
	seed     uint64
	parallel int
}

// Name implements subcommands.Command.
func (*jointCommand) Name() string { return "joint" }

// Synopsis implements subcommands.Command.
func (*jointCommand) Synopsis() string { return "compares many instances with one that knows all" }

// Usage implements subcommands.Command.
func (*jointCommand) Usage() string { return "joint [-offered 80] [-seed 1] [-parallel 4]\n" }

// SetFlags implements subcommands.Command.
func (command *jointCommand) SetFlags(flags *flag.FlagSet) {
	flags.IntVar(&command.offered, "offered", 80, "offered load, in percent of capacity")
	flags.Uint64Var(&command.seed, "seed", 1, "seed of the arrivals and of the choices")
	flags.IntVar(&command.parallel, "parallel", 4, "runs at a time; changes no figure")
}

// Execute implements subcommands.Command.
func (command *jointCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	runs := bench.ScaleOutRuns(command.offered)
	if err := bench.RunScaleOut(ctx, runs, command.seed, command.parallel); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println("| instances | replaced | lag s | short p50 | p95 | p99 ms | medium p50 | p95 | p99 ms | long p50 | p95 ms | refused of | imbalance ms |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, run := range runs {
		figures := &run.Figures
		refused := 0
		for _, count := range figures.Refused {
			refused += count
		}
		fmt.Printf("| %d | %d | %.1f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %d of %d | %.0f |\n",
			run.Instances, run.ReplacedInstances, run.ReportLag.Seconds(), figures.P50[0], figures.P95[0], figures.P99[0], figures.P50[1], figures.P95[1], figures.P99[1],
			figures.P50[2], figures.P95[2], refused, figures.Requests, run.Imbalance)
	}
	return subcommands.ExitSuccess
}
