package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
)

const helpUsage = `help [COMMAND [SUBCOMMAND] | TOPIC]
  Prints the help of a command or a topic; without one, lists both.

`

// topics are help texts by name that apply to several commands.
var topics = map[string]string{
	"exit-codes": `Exit codes:
  0  done
  1  failure: no instance answered, or nothing changed
  2  the command line makes no sense
  3  conflict: somebody else changed the item first; nothing changed
  4  the file or the change has faults; nothing changed
  5  accepted, but not in force everywhere within --wait-timeout
  6  outcome unknown: the change may have taken effect; send it again with the
     --change-id that was printed, and it takes effect once
`,
	"changes": `How a change takes effect:
  An instance checks a change and writes it to the platform with one
  compare-and-swap. Accepted means that this write took effect. Instances then
  put it in force by themselves, usually well within a second; with --wait the
  command returns when every live instance has. What was accepted never
  reverts: instances apply only higher revisions.

  Two operators at one item: "profile show NAME > FILE", edit, "profile apply
  FILE". The one who applies second gets a conflict with both sides, exit code
  3, and nothing changes. Show the item again, put your edit in, apply.
`,
	"outages": `While the platform is down:
  Instances go on with the configuration in force, and tell it to instances that
  start. Changes are refused with exit code 1; one whose outcome is
  unknown gives exit code 6. An instance that hears neither the platform nor
  any other instance turns not ready after 30 s, finishes what it holds, and
  turns ready again when it hears one.
`,
	"files": `Files:
  {"profiles": [PROFILE, ...], "customers": [CUSTOMER, ...]}

  PROFILE:  name, service, aliases, idempotent, priority (0 to 9),
            deadline_ms, max_prompt_tokens, max_output_tokens, max_attempts,
            max_queue_ms, max_queued
  CUSTOMER: id, key_sha256, weight, max_requests_per_s, max_concurrent

  Units are part of the field's name. Fields left out get defaults; "profile
  show" prints them. key_sha256 is the SHA-256 of the API key, which is kept
  nowhere: printf %s "$KEY" | sha256sum
`,
}

func help(console *console, commands []*command) *command {
	return &command{
		console: console, name: "help", synopsis: "prints help on a command or a topic", usage: helpUsage,
		run: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				console.listHelp(commands)
				return nil
			}
			if topic, ok := topics[args[0]]; ok && len(args) == 1 {
				fmt.Fprint(console.out, topic)
				return nil
			}
			return console.helpOn(commands, args)
		},
	}
}

func (console *console) listHelp(commands []*command) {
	fmt.Fprintln(console.out, "Commands:")
	for _, command := range commands {
		fmt.Fprintf(console.out, "  %-10s %s\n", command.name, command.synopsis)
	}
	fmt.Fprintln(console.out, "Topics:")
	for _, name := range slices.Sorted(maps.Keys(topics)) {
		fmt.Fprintf(console.out, "  %s\n", name)
	}
}

// helpOn prints the help of a command or, with two arguments, of one of its
// subcommands.
func (console *console) helpOn(commands []*command, args []string) error {
	at := slices.IndexFunc(commands, func(command *command) bool { return command.name == args[0] })
	if at < 0 {
		return errUsage
	}
	command := commands[at]
	if len(args) > 1 && command.members != nil {
		return console.helpOn(command.members, args[1:])
	}
	fmt.Fprint(console.out, command.usage)
	for _, member := range command.members {
		fmt.Fprintf(console.out, "  %-10s %s\n", member.name, member.synopsis)
	}
	flags := flag.NewFlagSet(command.name, flag.ContinueOnError)
	flags.SetOutput(console.out)
	command.SetFlags(flags)
	flags.PrintDefaults()
	return nil
}
