package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/tidwall/gjson"
)

const jsonUsage = `json FILE PATH
  Prints one value of a JSON file, such as "instances.0.id". For the scripts.
`

type jsonCommand struct{}

func (*jsonCommand) Name() string           { return "json" }
func (*jsonCommand) Synopsis() string       { return "prints one value of a JSON file" }
func (*jsonCommand) Usage() string          { return jsonUsage }
func (*jsonCommand) SetFlags(*flag.FlagSet) {}

func (*jsonCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 2 {
		fmt.Fprint(os.Stderr, jsonUsage)
		return subcommands.ExitUsageError
	}
	text, err := os.ReadFile(flags.Arg(0))
	if err != nil {
		fmt.Fprintf(os.Stderr, "standin json: %v\n", err)
		return subcommands.ExitFailure
	}
	value := gjson.GetBytes(text, flags.Arg(1))
	if !value.Exists() {
		fmt.Fprintf(os.Stderr, "standin json: %s has no %s\n", flags.Arg(0), flags.Arg(1))
		return subcommands.ExitFailure
	}
	fmt.Println(value.String())
	return subcommands.ExitSuccess
}
