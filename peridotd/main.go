// Command peridotd is the gateway daemon: it schedules prompts of very different lengths
// on a shared fleet of LLM engines. All instances run the same program in the same role.
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
