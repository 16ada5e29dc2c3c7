package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"peridotpath.example/peridotpath/availability"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/instance"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/telemetry"
	"peridotpath.example/platform"
)

const relayUsage = `relay [-settings FILE] [-check]
  Serves callers on the users' platform until SIGTERM or SIGINT, then stops
  gracefully. Without -settings the file is the one that the environment
  variable ` + platform.SettingsVariable + ` names. With -check it only reads the settings and
  prints every fault by field.
`

type relayCommand struct {
	settings string
	check    bool
}

func (*relayCommand) Name() string     { return "relay" }
func (*relayCommand) Synopsis() string { return "serves callers on the users' platform" }
func (*relayCommand) Usage() string    { return relayUsage }

func (command *relayCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.settings, "settings", os.Getenv(platform.SettingsVariable), "settings file")
	flags.BoolVar(&command.check, "check", false, "only check the settings")
}

func (command *relayCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if command.settings == "" || flags.NArg() > 0 {
		fmt.Fprint(os.Stderr, relayUsage)
		return subcommands.ExitUsageError
	}
	settings, err := platform.ReadSettings(command.settings)
	if err != nil {
		fmt.Fprintf(os.Stderr, "peridotd: %v\n", err)
		return subcommands.ExitFailure
	}
	if command.check {
		fmt.Printf("%s: no faults\n", command.settings)
		return subcommands.ExitSuccess
	}
	if err := runRelay(settings); err != nil {
		fmt.Fprintf(os.Stderr, "peridotd: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func runRelay(settings *instance.Settings) error {
	// Further signals are ignored, so that they do not interrupt running requests.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	// SIGHUP announces new settings. It is ignored, since this process reads its settings
	// only at the start.
	signal.Ignore(syscall.SIGHUP)
	writer := &telemetry.LogWriter{Out: os.Stdout}
	defer writer.Close()
	log, err := telemetry.NewLog(writer, settings.LogLevel, settings.InstanceID)
	if err != nil {
		return err
	}
	eras := &keyvalue.EraTracker{Now: clock.SinceBoot, Log: log}
	account, control := &keyvalue.Account{}, &platform.ControlClient{}
	adapter := instance.Adapter{
		Store: platform.ConnectStore(settings.StoreAddress, eras, account), Account: account, Eras: eras,
		RoutingKey: platform.RoutingKey, DecodeRouting: platform.DecodeRouting,
		EndpointPrefix: platform.EndpointPrefix, DecodeEndpoints: platform.DecodeEndpoints,
		CompactEndpoints: platform.CompactEndpoints,
		DrainPrefix:      platform.DrainPrefix, DecodeDrains: platform.DecodeDrains,
		Send: platform.Send, Check: control.ProbeEndpoint, FetchSlowdown: control.FetchSlowdown, Reserve: control.Reserve, Release: control.Release, ReadyPath: platform.ReadyPath,
		SetAnnouncementHandler: func(handler availability.Handler) { control.OnAnnouncement = handler },
		Ingress: func(callers instance.IngressDependencies) http.Handler {
			return &platform.Ingress{Dependencies: callers}
		},
	}
	return instance.New(settings, adapter, log).Run(stop)
}
