package main

import (
	"context"
	"encoding/json"
)

const itemShowUsage = `show NAME
  Prints a %[1]s as JSON, with its revision. What is printed can be edited and
  given to "%[1]s apply", which then finds out when somebody else changed the
  %[1]s in between.

`

func itemShow(console *console, kind itemKind) *command {
	return &command{
		console: console, name: "show", synopsis: "prints a " + string(kind.kind) + " for editing", usage: kind.usageText(itemShowUsage),
		run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return errUsage
			}
			item, err := kind.current(ctx, console, args[0])
			if err != nil {
				return err
			}
			if item.Revision == 0 {
				return &exitError{exitFailure, string(kind.kind) + " " + args[0] + " does not exist"}
			}
			console.showJSON(map[string]any{
				"revision": item.Revision, string(kind.kind): json.RawMessage(item.Value),
			})
			return nil
		},
	}
}
