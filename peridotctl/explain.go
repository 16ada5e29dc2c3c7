package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

const explainUsage = `explain --profile NAME --tokens N [--customer ID]
  Says what would become of a request of that profile and prompt length now:
  where it would be placed, or why it would wait or be refused, and what spoke
  for and against each endpoint. Sends no request.

`

func explain(console *console) *command {
	request := &pb.ExplainRequest{}
	return &command{
		console: console, name: "explain", synopsis: "says where a request would be placed, and why", usage: explainUsage,
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&request.Profile, "profile", "", "name or alias of the profile")
			flags.StringVar(&request.Customer, "customer", "", "id of the customer")
			flags.Int64Var(&request.PromptTokens, "tokens", 0, "length of the prompt in tokens")
		},
		run: func(ctx context.Context, args []string) error {
			if len(args) > 0 || request.Profile == "" || request.PromptTokens < 1 {
				return errUsage
			}
			return callAndShow(ctx, console, nil, pb.Operator.Explain, request, explainTable)
		},
	}
}

func explainTable(out io.Writer, explanation *pb.ExplainResponse) {
	fmt.Fprintf(out, "profile %s, service %s, class %s: %s\n", explanation.Profile, explanation.Service, explanation.Class, verdictOf(explanation))
	if len(explanation.Candidates) == 0 {
		return
	}
	fmt.Fprintln(out, "endpoint\tpredicted_ttft_ms\texcluded")
	for _, candidate := range explanation.Candidates {
		fmt.Fprintf(out, "%s\t%d\t%s\n", candidate.Endpoint, candidate.PredictedTtftMs, candidate.Excluded)
	}
}

func verdictOf(explanation *pb.ExplainResponse) string {
	switch explanation.Verdict {
	case "place":
		return "placed on " + explanation.Endpoint
	case "refuse":
		return fmt.Sprintf("refused with %d %s (%s), retry after %d ms", explanation.Code, explanation.Name, explanation.Message, explanation.RetryAfterMs)
	default:
		return explanation.Verdict
	}
}
