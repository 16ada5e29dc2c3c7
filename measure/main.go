// Command measure compares the scheduler's placement and admission control with baseline
// load-balancing policies in a discrete-event simulation, and measures the effect of each
// mechanism by ablation.
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
