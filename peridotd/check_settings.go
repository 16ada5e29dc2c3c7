package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"peridotpath.example/peridotpath/settings"
)

const checkSettingsUsage = `check-settings FILE
  Checks a settings file and prints every fault, each with its path.
`

type checkSettingsCommand struct{}

func (*checkSettingsCommand) Name() string           { return "check-settings" }
func (*checkSettingsCommand) Synopsis() string       { return "checks a settings file" }
func (*checkSettingsCommand) Usage() string          { return checkSettingsUsage }
func (*checkSettingsCommand) SetFlags(*flag.FlagSet) {}

func (*checkSettingsCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		fmt.Fprint(os.Stderr, checkSettingsUsage)
		return subcommands.ExitUsageError
	}
	if _, err := settings.Read(flags.Arg(0)); err != nil {
		fmt.Fprintf(os.Stderr, "%s:\n%v\n", flags.Arg(0), err)
		return subcommands.ExitFailure
	}
	fmt.Printf("%s: no fault found\n", flags.Arg(0))
	return subcommands.ExitSuccess
}
