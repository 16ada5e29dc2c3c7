package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"peridotpath.example/peridotpath/keyvalue/memory"
)

const keyValueUsage = `key-value [-address IP:PORT] [-load FILE]...
  Plays the platform's key-value service, in memory.
`

type keyValueCommand struct {
	address string
}

func (*keyValueCommand) Name() string     { return "key-value" }
func (*keyValueCommand) Synopsis() string { return "plays the platform's key-value service" }
func (*keyValueCommand) Usage() string    { return keyValueUsage }

func (command *keyValueCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.address, "address", "127.0.0.1:7001", "where to listen")
}

func (command *keyValueCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() > 0 {
		fmt.Fprint(os.Stderr, keyValueUsage)
		return subcommands.ExitUsageError
	}
	return serve(ctx, command.Name(), command.address, &memory.Memory{})
}
