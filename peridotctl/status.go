package main

import (
	"context"
	"fmt"
	"io"

	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

const statusUsage = `status [--json]
  Prints what the instance that is asked is doing: work, time to first token by
  length class, refusals and retries by reason.

`

func status(console *console) *command {
	return &command{
		console: console, name: "status", synopsis: "prints what an instance is doing", usage: statusUsage,
		run: func(ctx context.Context, args []string) error {
			return callAndShow(ctx, console, args, pb.Operator.Status, &pb.StatusRequest{}, statusTable)
		},
	}
}

func statusTable(out io.Writer, status *pb.StatusResponse) {
	fmt.Fprintf(out, "instance\t%s in %s\n", status.Instance, status.DataCentre)
	fmt.Fprintf(out, "ready\t%t, stopping %t, configuration heard of %d ms ago\n", status.Ready, status.Stopping, status.ConfigAgeMs)
	fmt.Fprintf(out, "endpoints\t%d live, %d leaving, %d drained\n", status.EndpointsLive, status.EndpointsLeaving, status.EndpointsDrained)
	fmt.Fprintf(out, "requests\t%d running, %d waiting\n", status.Running, status.Waiting)
	for _, class := range status.Classes {
		fmt.Fprintf(out, "first token %s\tp50 %d ms, p95 %d ms, p99 %d ms, %d requests\n", class.Class, class.P50Ms, class.P95Ms, class.P99Ms, class.Count)
	}
	for _, refusal := range status.Refusals {
		fmt.Fprintf(out, "refused %s\t%d\n", refusal.Reason, refusal.Count)
	}
	for _, retry := range status.Retries {
		fmt.Fprintf(out, "retried %s\t%d\n", retry.Reason, retry.Count)
	}
}
