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

// mechanismLoad is the offered load, in percent, at which mechanisms are drawn.
const mechanismLoad = 130

// plotsCommand draws the mixed load.
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
	if err := command.draw(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (command *plotsCommand) draw(ctx context.Context) error {
	if err := os.MkdirAll(command.folder, 0o755); err != nil {
		return err
	}
	ours := bench.Peridotpath("peridotpath", 0)
	policies, err := command.mixed(ctx, append(bench.Baselines(), ours))
	if err != nil {
		return err
	}
	for class := range peridotpath.Oversize {
		if err := chart.Latency(command.folder, class, policies); err != nil {
			return err
		}
	}
	mechanisms, err := command.mixed(ctx, append([]bench.Policy{ours}, bench.Ablations()...))
	if err != nil {
		return err
	}
	for _, effect := range chart.Effects() {
		if err := chart.Mechanisms(command.folder, effect, mechanismLoad, mechanisms); err != nil {
			return err
		}
	}
	return nil
}

// mixed runs policies under the mixed load.
func (command *plotsCommand) mixed(ctx context.Context, policies []bench.Policy) ([]bench.Figures, error) {
	comparison := &bench.Comparison{
		Loads: bench.Loads()[:1], Offered: bench.OfferedPercents, Policies: policies,
		Seed: command.seed, Parallel: command.parallel,
	}
	return comparison.Run(ctx)
}
