package main

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"

	"peridotpath.example/peridotpath/service/servicetest"
)

const serviceUsage = `service [-address IP:PORT] [-name NAME] [-takes DURATION]
  Plays a plain service: any method and path, except /load, /counts and /faults.
`

type serviceCommand struct {
	address string
	service servicetest.Service
}

func (*serviceCommand) Name() string     { return "service" }
func (*serviceCommand) Synopsis() string { return "plays a plain service" }
func (*serviceCommand) Usage() string    { return serviceUsage }

func (command *serviceCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.address, "address", "127.0.0.1:7200", "where to listen")
	flags.StringVar(&command.service.Name, "name", "service", "name in the answers")
	flags.DurationVar(&command.service.CallDuration, "takes", 5*time.Millisecond, "how long a call runs")
	flags.DurationVar(&command.service.MinLoadReportAge, "load-lag", 200*time.Millisecond, "age of a load report, at least")
}

func (command *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return serve(ctx, command.Name(), command.address, command.service.Handler())
}
