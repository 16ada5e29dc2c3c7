// Command standin simulates the systems around peridotpath for tests and demos: model
// engines, plain services, the key-value service, the membership list, and a load generator
// for callers. It is not for production use.
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
