package main

import (
	"context"
	"flag"

	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

const itemDeleteUsage = `delete NAME [--base REVISION] [--wait]
  Deletes a %[1]s. Requests already admitted under it finish.

`

func itemDelete(console *console, kind itemKind) *command {
	changeFlags, base := &changeFlags{}, uint64(0)
	return &command{
		console: console, name: "delete", synopsis: "deletes a " + string(kind.kind), usage: kind.usageText(itemDeleteUsage),
		flags: func(flags *flag.FlagSet) {
			changeFlags.setFlags(flags)
			flags.Uint64Var(&base, "base", 0, "revision that you saw; the one in force when left out")
		},
		run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return errUsage
			}
			if base == 0 {
				current, err := kind.current(ctx, console, args[0])
				if err != nil {
					return err
				}
				base = current.Revision
			}
			if base == 0 {
				return &exitError{exitFailure, string(kind.kind) + " " + args[0] + " does not exist"}
			}
			return console.commit(ctx, changeFlags, &pb.ChangeRequest{
				Kind: string(kind.kind), Name: args[0], Base: base, Delete: true,
			})
		},
	}
}
