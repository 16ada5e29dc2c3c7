package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/faults"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
)

const keyValueUsage = `key-value [-address IP:PORT] [-seed FILE] [-config FILE]
  Plays the platform's key-value service, in memory. FILE is a JSON object: each
  key is written with its value, as JSON, before the service listens. The config
  file has lists of profiles and customers, which are written as an operator would.
  POST /faults switches on outage, slow, or close (a write takes effect and its
  answer is lost); DELETE /faults switches all off. GET /calls counts the calls.
`

type keyValueCommand struct {
	address string
	seed    string
	config  string
	faults  faults.Faults
}

func (*keyValueCommand) Name() string     { return "key-value" }
func (*keyValueCommand) Synopsis() string { return "plays the platform's key-value service" }
func (*keyValueCommand) Usage() string    { return keyValueUsage }

func (command *keyValueCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.address, "address", "127.0.0.1:7001", "where to listen")
	flags.StringVar(&command.seed, "seed", "", "file with the first entries")
	flags.StringVar(&command.config, "config", "", "file with profiles and customers")
}

func (command *keyValueCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() > 0 {
		fmt.Fprint(os.Stderr, keyValueUsage)
		return subcommands.ExitUsageError
	}
	service := &memory.Memory{Fault: command.injectFault}
	if err := writeSeed(ctx, service.Store(), command.seed); err != nil {
		fmt.Fprintf(os.Stderr, "standin key-value: %v\n", err)
		return subcommands.ExitFailure
	}
	if err := writeConfig(ctx, service.Store(), command.config); err != nil {
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

// errFault is the class of the errors that injected faults cause.
var errFault = errs.Class("fault")

// injectFault applies the active faults: an outage or a delay before a call is applied, or
// the loss of its reply afterwards.
func (command *keyValueCommand) injectFault(ctx context.Context, _, _ string, applied bool) error {
	if applied {
		if command.faults.TakeFirst(faults.CloseUnanswered) != "" {
			return errFault.New("answer lost")
		}
		return nil
	}
	command.faults.SleepIfSlow(ctx.Done())
	if command.faults.TakeFirst(faults.Outage) != "" {
		return errFault.New("outage")
	}
	return nil
}

// writeSeed writes the entries of a seed file to the store.
func writeSeed(ctx context.Context, store *keyvalue.Store, file string) error {
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
		if _, err := store.Swap(ctx, key, 0, value, keyvalue.LeaseID{}); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	return nil
}

// configFile is the content of a -config file, with each item in the form that operators
// write.
type configFile struct {
	Profiles  []json.RawMessage `json:"profiles"`
	Customers []json.RawMessage `json:"customers"`
}

// writeConfig writes the profiles and customers of a -config file to the store.
func writeConfig(ctx context.Context, store *keyvalue.Store, file string) error {
	if file == "" {
		return nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var content configFile
	if err := json.Unmarshal(text, &content); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	writer := &config.Store{KeyValue: store, Log: zerolog.Nop()}
	if _, err := writer.Load(ctx); err != nil {
		return err
	}
	for _, item := range content.Profiles {
		if err := writeItem(ctx, writer, config.KindProfile, gjson.GetBytes(item, "name").String(), item); err != nil {
			return err
		}
	}
	for _, item := range content.Customers {
		if err := writeItem(ctx, writer, config.KindCustomer, gjson.GetBytes(item, "id").String(), item); err != nil {
			return err
		}
	}
	return nil
}

func writeItem(ctx context.Context, writer *config.Store, kind config.Kind, name string, item json.RawMessage) error {
	_, err := writer.Change(ctx, config.Change{
		ID: config.ChangeID("standin-" + string(kind) + "-" + name), Who: "standin", Kind: kind, Name: name, Value: item,
	})
	if err != nil {
		return fmt.Errorf("%s %s: %w", kind, name, err)
	}
	return nil
}
