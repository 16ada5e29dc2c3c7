// Command peridotctl is the operators' command line of peridotpath.
//
// It calls any instance; an instance that gives no answer is passed over for
// the next one. `peridotctl help` lists the subcommands and the help topics.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/subcommands"
	"github.com/google/uuid"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	console := &console{
		in: os.Stdin, out: os.Stdout, err: os.Stderr,
		newID: uuid.NewString, pause: pause,
		who:     os.Getenv("USER"),
		servers: os.Getenv("PERIDOTCTL_SERVERS"),
	}
	os.Exit(run(ctx, console, os.Args[1:]))
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, console *console, args []string) int {
	flags := flag.NewFlagSet("peridotctl", flag.ContinueOnError)
	flags.SetOutput(console.err)
	console.setFlags(flags)
	commander := newCommander(console, flags, "peridotctl", all(console))
	commander.Register(commander.FlagsCommand(), "")
	commander.ImportantFlag("servers")
	commander.ImportantFlag("who")
	commander.ImportantFlag("json")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	return int(commander.Execute(ctx))
}

// newCommander returns a commander that knows commands and writes to console.
func newCommander(console *console, flags *flag.FlagSet, name string, commands []*command) *subcommands.Commander {
	commander := subcommands.NewCommander(flags, name)
	commander.Output, commander.Error = console.out, console.err
	for _, command := range commands {
		commander.Register(command, "")
	}
	return commander
}

// all returns every subcommand.
func all(console *console) []*command {
	commands := []*command{
		group(console, "profile", "profiles: list, show, apply, delete, diff", itemCommands(console, profiles)),
		group(console, "customer", "customers: list, show, apply, delete, diff", itemCommands(console, customers)),
		group(console, "endpoint", "endpoints: list, drain, return", []*command{endpointList(console), endpointDrain(console), endpointReturn(console)}),
		group(console, "instance", "instances: list", []*command{instanceList(console)}),
		group(console, "config", "configuration: history", []*command{configHistory(console)}),
		applyFile(console), status(console), watch(console), explain(console), check(console),
		trace(console), why(console), lossesCommand(console), auditCommand(console),
	}
	return append(commands, help(console, commands))
}

func itemCommands(console *console, kind itemKind) []*command {
	return []*command{
		itemList(console, kind), itemShow(console, kind), itemApply(console, kind),
		itemDelete(console, kind), itemDiff(console, kind),
	}
}

// group returns a command that has subcommands of its own.
func group(console *console, name, synopsis string, members []*command) *command {
	group := &command{console: console, name: name, synopsis: synopsis, members: members}
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.name)
	}
	group.usage = name + " " + strings.Join(names, "|") + " ...\n  " + synopsis + ".\n"
	return group
}
