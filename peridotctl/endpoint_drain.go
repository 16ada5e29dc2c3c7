package main

import (
	"context"
	"encoding/json"
	"flag"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

const endpointDrainUsage = `drain ENDPOINT [--reason TEXT] [--wait]
  Takes an endpoint out of placement on every instance. It gets no new work;
  what it runs is finished. The drain lasts until "endpoint return", also when
  the endpoint is replaced under the same name. Draining twice is harmless.

`

func endpointDrain(console *console) *command {
	changeFlags, reason := &changeFlags{}, ""
	return &command{
		console: console, name: "drain", synopsis: "takes an endpoint out of placement", usage: endpointDrainUsage,
		flags: func(flags *flag.FlagSet) {
			changeFlags.setFlags(flags)
			flags.StringVar(&reason, "reason", "", "why, for other operators")
		},
		run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return errUsage
			}
			drain, err := json.Marshal(config.Drain{Endpoint: peridotpath.EndpointID(args[0]), Reason: reason})
			if err != nil {
				return err
			}
			return console.commit(ctx, changeFlags, &pb.ChangeRequest{
				Kind: string(config.KindDrain), Name: args[0], Force: true, Value: string(drain),
			})
		},
	}
}
