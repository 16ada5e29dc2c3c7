// Command standin plays the outside systems that peridotpath meets: model
// engines, plain services, the key-value service, the membership list, and the
// callers. It is made for trials and tests, never for real work.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&engineCommand{}, "")
	subcommands.Register(&serviceCommand{}, "")
	subcommands.Register(&keyValueCommand{}, "")
	subcommands.Register(&membersCommand{}, "")
	subcommands.Register(&loadCommand{}, "")
	subcommands.Register(&jsonCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}
