package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/twitchtv/twirp"

	"peridotpath.example/peridotpath"
)

// Exit codes, documented in the help topic "exit-codes".
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
	exitFaults   = 4
	exitTimeout  = 5
	exitUnknown  = 6
)

// command is a subcommand or a group of subcommands.
type command struct {
	console  *console
	name     string
	synopsis string
	usage    string
	// flags registers the command's own flags; nil for none.
	flags func(flags *flag.FlagSet)
	// run executes the command; its error determines the exit code.
	run func(ctx context.Context, args []string) error
	// members are the subcommands of a group.
	members []*command
}

// Name returns the name that selects the command.
func (command *command) Name() string { return command.name }

// Synopsis returns a one-line description of the command.
func (command *command) Synopsis() string { return command.synopsis }

// Usage returns the command's help.
func (command *command) Usage() string { return command.usage }

// SetFlags registers the command's flags and the common ones.
func (command *command) SetFlags(flags *flag.FlagSet) {
	if flags.Output() == os.Stderr {
		flags.SetOutput(command.console.err)
	}
	if command.members != nil {
		return
	}
	command.console.setFlags(flags)
	if command.flags != nil {
		command.flags(flags)
	}
}

// Execute runs the command and returns its exit code.
func (command *command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if command.members != nil {
		return newCommander(command.console, flags, "peridotctl "+command.name, command.members).Execute(ctx)
	}
	args, err := parseInterleaved(flags)
	if err != nil {
		return exitUsage
	}
	err = command.run(ctx, args)
	if errors.Is(err, errUsage) {
		flags.Usage()
	}
	return subcommands.ExitStatus(command.console.reportError(err))
}

// parseInterleaved parses flags that follow positional arguments, as in
// "apply FILE --wait", and returns the positional ones. The flag package stops
// parsing at the first positional argument.
func parseInterleaved(flags *flag.FlagSet) ([]string, error) {
	var args []string
	for flags.NArg() > 0 {
		args = append(args, flags.Arg(0))
		if err := flags.Parse(flags.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return args, nil
}

// errUsage reports an invalid command line.
var errUsage = errors.New("usage")

// exitError is an error with its own exit code. An empty message means that the
// output has been printed already.
type exitError struct {
	code    int
	message string
}

// Error returns the message.
func (failure *exitError) Error() string { return failure.message }

// reportError prints an error and returns its exit code.
func (console *console) reportError(err error) int {
	var failure *exitError
	var faults peridotpath.Faults
	var refusal twirp.Error
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.As(err, &faults):
		console.showFaults(faults)
		return exitFaults
	case errors.As(err, &failure):
		if failure.message != "" {
			fmt.Fprintln(console.err, "peridotctl: "+failure.message)
		}
		return failure.code
	case errors.As(err, &refusal):
		fmt.Fprintln(console.err, "peridotctl: "+refusal.Msg())
		return exitFailure
	}
	fmt.Fprintf(console.err, "peridotctl: %v\n", err)
	return exitFailure
}

// showFaults prints every fault, as JSON to the standard output with --json.
func (console *console) showFaults(faults peridotpath.Faults) {
	if console.json {
		console.showJSON(struct {
			Faults peridotpath.Faults `json:"faults"`
		}{faults})
		return
	}
	fmt.Fprintf(console.err, "peridotctl: faults: %d\n", len(faults))
	for _, fault := range faults {
		fmt.Fprintf(console.err, "  %s: %s\n", fault.Path, fault.Message)
	}
}
