package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/google/subcommands"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath/faults"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
)

const keyValueUsage = `key-value [-address IP:PORT] [-seed FILE]
  Plays the platform's key-value service, in memory. FILE is a JSON object: each
  key is written with its value, as JSON, before the service listens.
  POST /faults switches on outage, slow, or close (a write takes effect and its
  answer is lost); DELETE /faults switches all off. GET /calls counts the calls.
`

type keyValueCommand struct {
	address string
	seed    string
	faults  faults.Faults
}

func (*keyValueCommand) Name() string     { return "key-value" }
func (*keyValueCommand) Synopsis() string { return "plays the platform's key-value service" }
func (*keyValueCommand) Usage() string    { return keyValueUsage }

func (command *keyValueCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.address, "address", "127.0.0.1:7001", "where to listen")
	flags.StringVar(&command.seed, "seed", "", "file with the first entries")
}

func (command *keyValueCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() > 0 {
		fmt.Fprint(os.Stderr, keyValueUsage)
		return subcommands.ExitUsageError
	}
	service := &memory.Memory{Fault: command.fault}
	if err := seed(ctx, service.Store(), command.seed); err != nil {
		fmt.Fprintf(os.Stderr, "standin key-value: %v\n", err)
		return subcommands.ExitFailure
	}
	mux := http.NewServeMux()
	mux.Handle(faults.Path, &command.faults)
	mux.HandleFunc("GET /calls", func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(service.Calls())
	})
	mux.Handle("/", service)
	return serve(ctx, command.Name(), command.address, mux)
}

// errFault is the class of failures that were switched on.
var errFault = errs.Class("fault")

// fault plays the faults that are on: before a call is applied an outage or a
// delay, after it the loss of its answer.
func (command *keyValueCommand) fault(ctx context.Context, _, _ string, applied bool) error {
	if applied {
		if command.faults.First(faults.Close) != "" {
			return errFault.New("answer lost")
		}
		return nil
	}
	command.faults.Wait(ctx.Done())
	if command.faults.First(faults.Outage) != "" {
		return errFault.New("outage")
	}
	return nil
}

// seed writes the entries of a file.
func seed(ctx context.Context, store *keyvalue.Store, file string) error {
	if file == "" {
		return nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var entries map[string]json.RawMessage
	if err := json.Unmarshal(text, &entries); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	for key, value := range entries {
		if _, err := store.Swap(ctx, key, 0, value, 0); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	return nil
}
