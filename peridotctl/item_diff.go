package main

import (
	"context"
	"fmt"
	"text/tabwriter"
)

const itemDiffUsage = `diff FILE
  Prints what "%[1]s apply FILE" would change, field by field. Changes nothing.

`

func itemDiff(console *console, kind itemKind) *command {
	return &command{
		console: console, name: "diff", synopsis: "prints what apply would change", usage: kind.usageText(itemDiffUsage),
		run: func(ctx context.Context, args []string) error {
			file, current, err := kind.loadWithCurrent(ctx, console, args)
			if err != nil {
				return err
			}
			differences := diffFields(current.Value, file.value)
			if console.json {
				console.showJSON(differences)
				return nil
			}
			fmt.Fprintf(console.out, "%s %s, revision %d, fields that differ: %d\n", kind.kind, file.name, current.Revision, len(differences))
			writer := tabwriter.NewWriter(console.out, 0, 0, 1, ' ', 0)
			showDifferences(writer, differences)
			return writer.Flush()
		},
	}
}
