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
	changeFlags, force := &changeFlags{}, false
	return &command{
		console: console, name: "apply", synopsis: "creates or changes a " + string(kind.kind), usage: kind.usageText(itemApplyUsage),
		flags: func(flags *flag.FlagSet) {
			changeFlags.setFlags(flags)
			flags.BoolVar(&force, "force", false, "overwrite whatever is there")
		},
		run: func(ctx context.Context, args []string) error {
			file, current, err := kind.loadWithCurrent(ctx, console, args)
			if err != nil {
				return err
			}
			if !file.hasRevision {
				file.revision = current.Revision
			}
			revisions := map[string]uint64{}
			if !console.skipUnchanged(kind, current, file.value, revisions) {
				return console.commit(ctx, changeFlags, &pb.ChangeRequest{
					Kind: string(kind.kind), Name: file.name, Base: file.revision, Force: force, Value: file.value,
				})
			}
			return console.await(ctx, changeFlags, revisions)
		},
	}
}
