package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"peridotpath.example/measure/bench"
)

// figuresCommand prints a line for each policy under each load.
type figuresCommand struct {
	loads    string
	policies string
	offered  int
	seed     uint64
	parallel int
}

// Name implements subcommands.Command.
func (*figuresCommand) Name() string { return "figures" }

// Synopsis implements subcommands.Command.
func (*figuresCommand) Synopsis() string { return "prints a line for each policy under each load" }

// Usage implements subcommands.Command.
func (*figuresCommand) Usage() string { return "figures [-loads a,b] [-policies c,d] [-offered 80]\n" }

// SetFlags implements subcommands.Command.
func (command *figuresCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.loads, "loads", "", "only these loads, separated by commas")
	flags.StringVar(&command.policies, "policies", "", "only these policies, separated by commas")
	flags.IntVar(&command.offered, "offered", 0, "only this offered load, in percent")
	flags.Uint64Var(&command.seed, "seed", 1, "seed of the arrivals and of the policies' choices")
	flags.IntVar(&command.parallel, "parallel", 4, "runs at a time; changes no figure")
}

// Execute implements subcommands.Command.
func (command *figuresCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	for _, comparison := range bench.Comparisons() {
		comparison.Seed = command.seed
		comparison.ConcurrentRuns = command.parallel
		command.filter(&comparison)
		all, err := comparison.Run(ctx)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		for i := range all {
			fmt.Println(all[i].Line())
		}
	}
	return subcommands.ExitSuccess
}

// filter restricts the comparison to the loads and policies that the flags name.
func (command *figuresCommand) filter(comparison *bench.Comparison) {
	if command.offered > 0 {
		comparison.OfferedPercents = []int{command.offered}
	}
	var loads []bench.Load
	for _, load := range comparison.Loads {
		if isListed(command.loads, load.Name) {
			loads = append(loads, load)
		}
	}
	var policies []bench.Policy
	for _, policy := range comparison.Policies {
		if isListed(command.policies, policy.Name) {
			policies = append(policies, policy)
		}
	}
	comparison.Loads = loads
	comparison.Policies = policies
}

func isListed(list, name string) bool {
	if list == "" {
		return true
	}
	for part := range strings.SplitSeq(list, ",") {
		if part == name {
			return true
		}
	}
	return false
}
