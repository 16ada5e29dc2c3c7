package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

const itemListUsage = `list [--json]
  Lists every %[1]s in force with the revision of its last change.

`

func itemList(console *console, kind itemKind) *command {
	return &command{
		console: console, name: "list", synopsis: "lists every " + string(kind.kind), usage: kind.usageText(itemListUsage),
		run: func(ctx context.Context, args []string) error {
			return callAndShow(ctx, console, args, pb.Operator.ListItems, &pb.ListItemsRequest{Kind: string(kind.kind)}, kind.table)
		},
	}
}

func (kind itemKind) table(out io.Writer, list *pb.ListItemsResponse) {
	fmt.Fprintf(out, "name\trevision\t%s\n", strings.Join(kind.columns, "\t"))
	for _, item := range list.Items {
		values := jsonFields(item.Value)
		fmt.Fprintf(out, "%s\t%d", item.Name, item.Revision)
		for _, column := range kind.columns {
			fmt.Fprintf(out, "\t%s", strings.Trim(values[column], `"`))
		}
		fmt.Fprintln(out)
	}
}
