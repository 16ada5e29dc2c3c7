package main

import (
	"context"
	"fmt"
	"io"

	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

const endpointListUsage = `list [--json]
  Lists the endpoints with their load. State is live or leaving by the
  membership list, drained by an operator, or ejected after failures; age is
  that of the load report.

`

func endpointList(console *console) *command {
	return &command{
		console: console, name: "list", synopsis: "lists endpoints with their load", usage: endpointListUsage,
		run: func(ctx context.Context, args []string) error {
			return callAndShow(ctx, console, args, pb.Operator.ListEndpoints, &pb.ListEndpointsRequest{}, endpointTable)
		},
	}
}

func endpointTable(out io.Writer, list *pb.ListEndpointsResponse) {
	fmt.Fprintln(out, "endpoint\tservice\tdata_centre\taddress\tstate\trunning\twaiting\tprefill_tokens\tkv_used\tage_ms\treason")
	for _, endpoint := range list.Endpoints {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n",
			endpoint.Id, endpoint.Service, endpoint.DataCentre, endpoint.Address, stateOf(endpoint),
			endpoint.Running, endpoint.Waiting, endpoint.PrefillTokens, formatShare(endpoint.KvUsedTokens, endpoint.KvTokens),
			formatAge(endpoint.ReportAgeMs), endpoint.Reason)
	}
}

func stateOf(endpoint *pb.Endpoint) string {
	switch {
	case endpoint.Drained:
		return "drained"
	case endpoint.Ejected:
		return "ejected"
	default:
		return endpoint.State
	}
}

func formatShare(used, all int64) string {
	if all == 0 {
		return absent
	}
	return fmt.Sprintf("%d%%", 100*used/all)
}

func formatAge(millis int64) string {
	if millis < 0 {
		return absent
	}
	return fmt.Sprint(millis)
}
