package main

import (
	"context"
	"flag"

	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

const itemApplyUsage = `apply FILE [--wait] [--force]
  Creates or changes the %[1]s in FILE ("-" is the standard input). FILE holds
  the bare %[1]s, or what "%[1]s show" printed. In the second case the change
  is refused as a conflict when the %[1]s was changed after it was shown;
  both sides are printed. Fields left out get their defaults.

`

func itemApply(console *console, kind itemKind) *command {
	waiting, force := &waiting{}, false
	return &command{
		console: console, name: "apply", synopsis: "creates or changes a " + string(kind.kind), usage: kind.usage(itemApplyUsage),
		flags: func(flags *flag.FlagSet) {
			waiting.setFlags(flags)
			flags.BoolVar(&force, "force", false, "overwrite whatever is there")
		},
		run: func(ctx context.Context, args []string) error {
			file, current, err := kind.both(ctx, console, args)
			if err != nil {
				return err
			}
			if !file.revised {
				file.revision = current.Revision
			}
			revisions := map[string]uint64{}
			if !console.same(kind, current, file.value, revisions) {
				return console.commit(ctx, waiting, &pb.ChangeRequest{
					Kind: string(kind.kind), Name: file.name, Base: file.revision, Force: force, Value: file.value,
				})
			}
			return console.await(ctx, waiting, revisions)
		},
	}
}
