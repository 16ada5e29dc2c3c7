package main

import (
	"context"

	"peridotpath.example/peridotpath/config"
	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

const endpointReturnUsage = `return ENDPOINT [--wait]
  Lets a drained endpoint take work again.

`

func endpointReturn(console *console) *command {
	changeFlags := &changeFlags{}
	return &command{
		console: console, name: "return", synopsis: "lets a drained endpoint take work again", usage: endpointReturnUsage,
		flags: changeFlags.setFlags,
		run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return errUsage
			}
			return console.commit(ctx, changeFlags, &pb.ChangeRequest{
				Kind: string(config.KindDrain), Name: args[0], Force: true, Delete: true,
			})
		},
	}
}
