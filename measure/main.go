// Command measure compares the decisions under load with simple policies, on
// a fake fleet and a fake clock.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.CommandsCommand(), "")
	subcommands.Register(&figuresCommand{}, "")
	subcommands.Register(&plotsCommand{}, "")
	subcommands.Register(&jointCommand{}, "")
	subcommands.Register(&ablationCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
