package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/google/subcommands"

	"peridotpath.example/standin/load"
)

const loadUsage = `load -plan FILE -instances IP:PORT,... -endpoints IP:PORT,...
  Plays callers: sends the plan to the instances, checks that each answer is
  whole and its caller's own, and asks the endpoints what they ran. Exits with 1
  if a request was lost, ran twice or was cut off.
`

type loadCommand struct {
	plan      string
	instances string
	endpoints string
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "plays callers and measures" }
func (*loadCommand) Usage() string    { return loadUsage }

func (command *loadCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.plan, "plan", "", "file with the plan")
	flags.StringVar(&command.instances, "instances", "", "instances, separated by commas")
	flags.StringVar(&command.endpoints, "endpoints", "", "endpoints that are asked for their counts")
}

func (command *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	report, err := command.run(ctx)
	if err != nil {
		fmt.Fprintf(os.Stderr, "standin load: %v\n", err)
		return subcommands.ExitFailure
	}
	report.PrintFailures(os.Stdout)
	report.Print(os.Stdout)
	if !report.Audit.IsClean() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (command *loadCommand) run(ctx context.Context) (*load.Report, error) {
	text, err := os.ReadFile(command.plan)
	if err != nil {
		return nil, err
	}
	plan, faults := load.ParsePlan(text)
	if err := faults.OrNil(); err != nil {
		return nil, fmt.Errorf("%s:\n%w", command.plan, err)
	}
	target := &load.Target{}
	if target.Instances, err = parseAddresses(command.instances); err != nil {
		return nil, err
	}
	if target.Endpoints, err = parseAddresses(command.endpoints); err != nil {
		return nil, err
	}
	return load.Run(ctx, plan, target, os.Stdout)
}

func parseAddresses(list string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, text := range strings.Split(list, ",") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
