package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"peridotpath.example/peridotpath/settings"
	"peridotpath.example/peridotpath/telemetry"
)

const serveUsage = `serve -settings FILE
  Serves callers until SIGTERM or SIGINT, then stops gracefully: it turns not
  ready, waits until the balancer has noticed, finishes what it holds, and ends.
`

type serveCommand struct {
	settings string
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "serves callers until it is told to stop" }
func (*serveCommand) Usage() string    { return serveUsage }

func (command *serveCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.settings, "settings", "", "settings file")
}

func (command *serveCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if command.settings == "" || flags.NArg() > 0 {
		fmt.Fprint(os.Stderr, serveUsage)
		return subcommands.ExitUsageError
	}
	settings, err := settings.Read(command.settings)
	if err != nil {
		fmt.Fprintf(os.Stderr, "peridotd: %s:\n%v\n", command.settings, err)
		return subcommands.ExitFailure
	}
	// Further signals are ignored, so that they do not interrupt running requests.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	writer := &telemetry.LogWriter{Out: os.Stdout}
	defer writer.Close()
	daemon, err := newDaemon(settings, writer)
	if err == nil {
		err = daemon.run(stop)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "peridotd: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
