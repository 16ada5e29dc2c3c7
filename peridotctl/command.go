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

// The exit codes. The topic "exit-codes" explains them.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
	exitFaults   = 4
	exitTimeout  = 5
	exitUnknown  = 6
)

// command is one subcommand, or a group of them.
type command struct {
	console  *console
	name     string
	synopsis string
	usage    string
	// flags adds the command's own flags; nil for none.
	flags func(flags *flag.FlagSet)
	// run does the work; its error decides the exit code.
	run func(ctx context.Context, args []string) error
	// members are the subcommands of a group.
	members []*command
}

// Name returns the name that selects the command.
func (command *command) Name() string { return command.name }

// Synopsis returns one line about the command.
func (command *command) Synopsis() string { return command.synopsis }

// Usage returns the command's help.
func (command *command) Usage() string { return command.usage }

// SetFlags adds the command's flags and those that every command takes.
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
	args, err := interleaved(flags)
	if err != nil {
		return exitUsage
	}
	err = command.run(ctx, args)
	if errors.Is(err, errUsage) {
		flags.Usage()
	}
	return subcommands.ExitStatus(command.console.fail(err))
}

// interleaved returns the arguments that are no flags. The flag package stops
// at the first of them; operators write "apply FILE --wait" as well.
func interleaved(flags *flag.FlagSet) ([]string, error) {
	var args []string
	for flags.NArg() > 0 {
		args = append(args, flags.Arg(0))
		if err := flags.Parse(flags.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return args, nil
}

// errUsage says that the command line makes no sense.
var errUsage = errors.New("usage")

// exitError is an error with an exit code of its own. What is to be shown has
// been printed already when message is empty.
type exitError struct {
	code    int
	message string
}

// Error returns the message.
func (failure *exitError) Error() string { return failure.message }

// fail prints an error and returns its exit code.
func (console *console) fail(err error) int {
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

// showFaults prints every fault, as JSON on the output when that is asked for.
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
