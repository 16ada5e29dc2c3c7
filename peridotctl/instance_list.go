package main

import (
	"context"
	"fmt"
	"io"

	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

const instanceListUsage = `list [--json]
  Lists the instances on the membership list. A reader watches the platform for
  configuration; the others follow readers.

`

func instanceList(console *console) *command {
	return &command{
		console: console, name: "list", synopsis: "lists instances", usage: instanceListUsage,
		run: func(ctx context.Context, args []string) error {
			return callAndShow(ctx, console, args, pb.Operator.ListInstances, &pb.ListInstancesRequest{}, instanceTable)
		},
	}
}

func instanceTable(out io.Writer, list *pb.ListInstancesResponse) {
	fmt.Fprintln(out, "instance\tdata_centre\tcallers\tpeers\tstate\tready\treader\terror")
	for _, instance := range list.Instances {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%t\t%t\t%s\n",
			instance.Id, instance.DataCentre, instance.CallerAddress, instance.PeerAddress,
			instance.State, instance.Ready, instance.ConfigReader, instance.Error)
	}
}
