// Command peridotctl is the command line for operators of peridotpath.
//
// It calls any instance, and fails over to the next configured one if an instance
// does not respond. The subcommands trace, why, losses and audit analyse log files
// instead. `peridotctl help` lists the subcommands and the help topics.
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
		newID: uuid.NewString, sleep: sleep,
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
	commander := newCommander(console, flags, "peridotctl", allCommands(console))
	commander.Register(commander.FlagsCommand(), "")
	commander.ImportantFlag("servers")
	commander.ImportantFlag("who")
	commander.ImportantFlag("json")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	return int(commander.Execute(ctx))
}

// newCommander returns a commander with the given commands that writes to console.
func newCommander(console *console, flags *flag.FlagSet, name string, commands []*command) *subcommands.Commander {
	commander := subcommands.NewCommander(flags, name)
	commander.Output, commander.Error = console.out, console.err
	for _, command := range commands {
		commander.Register(command, "")
	}
	return commander
}

// allCommands returns every subcommand.
func allCommands(console *console) []*command {
	commands := []*command{
		newGroup(console, "profile", "profiles: list, show, apply, delete, diff", itemCommands(console, profiles)),
		newGroup(console, "customer", "customers: list, show, apply, delete, diff", itemCommands(console, customers)),
		newGroup(console, "endpoint", "endpoints: list, drain, return", []*command{endpointList(console), endpointDrain(console), endpointReturn(console)}),
		newGroup(console, "instance", "instances: list", []*command{instanceList(console)}),
		newGroup(console, "config", "configuration: history", []*command{configHistory(console)}),
		applyFile(console), status(console), watch(console), explain(console), check(console),
		trace(console), whyCommand(console), lossesCommand(console), auditCommand(console), callsCommand(console), roomCommand(console),
	}
	return append(commands, help(console, commands))
}

func itemCommands(console *console, kind itemKind) []*command {
	return []*command{
		itemList(console, kind), itemShow(console, kind), itemApply(console, kind),
		itemDelete(console, kind), itemDiff(console, kind),
	}
}

// newGroup returns a command with subcommands.
func newGroup(console *console, name, synopsis string, members []*command) *command {
	group := &command{console: console, name: name, synopsis: synopsis, members: members}
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.name)
	}
	group.usage = name + " " + strings.Join(names, "|") + " ...\n  " + synopsis + ".\n"
	return group
}
