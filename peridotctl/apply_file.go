package main

import (
	"context"
	"encoding/json"
	"fmt"

	"peridotpath.example/peridotpath/config"
	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

const applyFileUsage = `apply FILE [--wait]
  Puts every profile and customer of FILE in force; items that FILE does not
  name stay as they are, and those that are the same already are left alone.
  FILE has the form {"profiles": [...], "customers": [...]}; "check" has the
  same rules. Items are changed one by one: at the first refusal the rest is
  not tried, and applying FILE again goes on from there.

`

func applyFile(console *console) *command {
	changeFlags := &changeFlags{}
	return &command{
		console: console, name: "apply", synopsis: "puts a file of profiles and customers in force", usage: applyFileUsage,
		flags: changeFlags.setFlags,
		run: func(ctx context.Context, args []string) error {
			if len(args) != 1 || changeFlags.changeID != "" {
				return errUsage
			}
			file, err := loadFile(console, args[0])
			if err != nil {
				return err
			}
			revisions := map[string]uint64{}
			for i := range file.Profiles {
				if err := console.applyItem(ctx, profiles, string(file.Profiles[i].Name), file.Profiles[i], revisions); err != nil {
					return err
				}
			}
			for i := range file.Customers {
				if err := console.applyItem(ctx, customers, string(file.Customers[i].ID), file.Customers[i], revisions); err != nil {
					return err
				}
			}
			return console.await(ctx, changeFlags, revisions)
		},
	}
}

// applyItem changes one item unless it is unchanged, and records the
// document's revision.
func (console *console) applyItem(ctx context.Context, kind itemKind, name string, value any, revisions map[string]uint64) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	current, err := kind.current(ctx, console, name)
	if err != nil {
		return err
	}
	if console.skipUnchanged(kind, current, string(text), revisions) {
		return nil
	}
	request := &pb.ChangeRequest{Kind: string(kind.kind), Name: name, Base: current.Revision, Value: string(text)}
	response, err := console.send(ctx, &changeFlags{}, request)
	if err != nil {
		return err
	}
	revisions[response.Document] = response.Revision
	return console.showAccepted(request, response)
}

// skipUnchanged prints a note and returns true if the item already has this
// value. The value is active on the queried instance but may not be on others,
// so its revision is recorded for --wait too.
func (console *console) skipUnchanged(kind itemKind, current *pb.Item, value string, revisions map[string]uint64) bool {
	if current.Value != value {
		return false
	}
	fmt.Fprintf(console.err, "%s %s is the same already\n", kind.kind, current.Name)
	document := string(config.DocumentOf(kind.kind, current.Name))
	revisions[document] = max(revisions[document], current.Revision)
	return true
}
