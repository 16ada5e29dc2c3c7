// Command peridotd serves prompts of very different lengths on one fleet of
// endpoints. Every instance runs the same program; none is special.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&serveCommand{}, "")
	subcommands.Register(&relayCommand{}, "")
	subcommands.Register(&checkSettingsCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
