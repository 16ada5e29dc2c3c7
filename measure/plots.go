package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"peridotpath.example/measure/bench"
	"peridotpath.example/measure/chart"
	"peridotpath.example/peridotpath"
)

// mechanismOfferedPercent is the offered load of the plots that compare mechanisms.
const mechanismOfferedPercent = 130

// plotsCommand plots the figures of the mixed load.
type plotsCommand struct {
	folder   string
	seed     uint64
	parallel int
}

// Name implements subcommands.Command.
func (*plotsCommand) Name() string { return "plots" }

// Synopsis implements subcommands.Command.
func (*plotsCommand) Synopsis() string { return "draws the mixed load as SVG" }

// Usage implements subcommands.Command.
func (*plotsCommand) Usage() string { return "plots [-folder docs/plots]\n" }

// SetFlags implements subcommands.Command.
func (command *plotsCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.folder, "folder", "docs/plots", "where the files go")
	flags.Uint64Var(&command.seed, "seed", 1, "seed of the arrivals and of the policies' choices")
	flags.IntVar(&command.parallel, "parallel", 4, "runs at a time; changes no figure")
}

// Execute implements subcommands.Command.
func (command *plotsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := command.drawAll(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (command *plotsCommand) drawAll(ctx context.Context) error {
	if err := os.MkdirAll(command.folder, 0o755); err != nil {
		return err
	}
	tested := bench.NewPeridotpath("peridotpath", 0)
	policies, err := command.runMixedLoad(ctx, append(bench.Baselines(), tested))
	if err != nil {
		return err
	}
	for class := range peridotpath.Oversize {
		if err := chart.DrawLatency(command.folder, class, policies); err != nil {
			return err
		}
	}
	mechanisms, err := command.runMixedLoad(ctx, append([]bench.Policy{tested}, bench.Ablations()...))
	if err != nil {
		return err
	}
	for _, effect := range chart.Effects() {
		if err := chart.DrawMechanisms(command.folder, effect, mechanismOfferedPercent, mechanisms); err != nil {
			return err
		}
	}
	return nil
}

// runMixedLoad runs policies under the mixed load.
func (command *plotsCommand) runMixedLoad(ctx context.Context, policies []bench.Policy) ([]bench.Figures, error) {
	comparison := &bench.Comparison{
		Loads: bench.Loads()[:1], OfferedPercents: bench.OfferedPercents, Policies: policies,
		Seed: command.seed, ConcurrentRuns: command.parallel,
	}
	return comparison.Run(ctx)
}
