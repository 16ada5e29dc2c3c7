package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

// waiting holds the flags of a command that changes the configuration.
type waiting struct {
	wait    bool
	timeout time.Duration
	id      string
}

const (
	defaultWaitTimeout = 30 * time.Second
	// pollInterval is well below the second within which a change usually
	// spreads, and makes few calls while an operator waits.
	pollInterval = 200 * time.Millisecond
	// sendLimit is when the last try begins. An instance takes up to 15 s over
	// one while the platform hangs; an operator shall not wait for all of them.
	sendLimit = 15 * time.Second
	// sendRounds is how often a change goes to all servers while its outcome
	// is unknown.
	sendRounds = 3
)

func (waiting *waiting) setFlags(flags *flag.FlagSet) {
	flags.BoolVar(&waiting.wait, "wait", false, "return when the change is in force on every live instance")
	flags.DurationVar(&waiting.timeout, "wait-timeout", defaultWaitTimeout, "how long --wait waits")
	flags.StringVar(&waiting.id, "change-id", "", "id of an earlier try whose outcome is unknown")
}

// commit sends a change, prints the outcome and waits if that is asked for.
func (console *console) commit(ctx context.Context, waiting *waiting, request *pb.ChangeRequest) error {
	response, err := console.send(ctx, waiting, request)
	if err != nil {
		return err
	}
	if err := console.showAccepted(request, response); err != nil {
		return err
	}
	return console.await(ctx, waiting, map[string]uint64{response.Document: response.Revision})
}

// send sends a change until its outcome is sure, always with the same id, so
// that it takes effect once. An answer that is lost on the way to the operator
// leaves the outcome as unknown as one that is lost on the way from the platform.
func (console *console) send(ctx context.Context, waiting *waiting, request *pb.ChangeRequest) (*pb.ChangeResponse, error) {
	clients, err := console.clients()
	if err != nil {
		return nil, err
	}
	request.Who, request.ChangeId = console.who, waiting.id
	if request.ChangeId == "" {
		request.ChangeId = console.newID()
	}
	unsure, reason, begin := false, "", time.Now()
	for range sendRounds {
		for _, client := range clients {
			if time.Since(begin) > sendLimit {
				break
			}
			response, err := call(ctx, client, pb.Operator.Change, request)
			switch {
			case neverSent(err):
				reason = err.Error()
			case err != nil:
				unsure, reason = true, err.Error()
			case response.Outcome == pb.Outcome_OUTCOME_UNKNOWN:
				unsure, reason = true, response.Reason
			case response.Outcome == pb.Outcome_OUTCOME_NOT_ACCEPTED:
				reason = response.Reason
			default:
				return response, console.refused(request, response)
			}
		}
		console.pause(ctx, pollInterval)
	}
	if unsure {
		return nil, &exitError{exitUnknown, fmt.Sprintf("outcome unknown: %s\nsend it again with --change-id %s", reason, request.ChangeId)}
	}
	return nil, &exitError{exitFailure, "nothing changed: " + reason}
}

// neverSent reports that no connection was made, so that nothing can have
// happened.
func neverSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// refused returns the error of a conflict or of faults, nil for a change that
// was accepted.
func (console *console) refused(request *pb.ChangeRequest, response *pb.ChangeResponse) error {
	switch response.Outcome {
	case pb.Outcome_OUTCOME_FAULTS:
		return faultsOf(response.Faults)
	case pb.Outcome_OUTCOME_CONFLICT:
		if err := console.showConflict(request, response); err != nil {
			return err
		}
		return &exitError{code: exitConflict}
	default:
		return nil
	}
}

func (console *console) showAccepted(request *pb.ChangeRequest, response *pb.ChangeResponse) error {
	return console.show(response, func(out io.Writer) {
		verb := "changed"
		if request.Delete {
			verb = "deleted"
		}
		fmt.Fprintf(out, "%s %s %s: revision %d of %s\n", request.Kind, request.Name, verb, response.Revision, response.Document)
	})
}

// showConflict prints both sides of a conflict.
func (console *console) showConflict(request *pb.ChangeRequest, response *pb.ChangeResponse) error {
	conflict := response.Conflict
	return console.show(response, func(out io.Writer) {
		fmt.Fprintf(out, "conflict: %s %s is at revision %d, your change is based on %d; nothing changed\n",
			request.Kind, request.Name, conflict.Current, conflict.Base)
		if last := conflict.Last; last != nil {
			fmt.Fprintf(out, "changed last by %s at %s, change %s\n", last.Who, clock(last.WhenMs), last.ChangeId)
		}
		fmt.Fprintf(out, "field\ttheirs\tyours\n")
		for _, field := range differences(conflict.Theirs, conflict.Yours) {
			fmt.Fprintf(out, "%s\t%s\t%s\n", field.Field, field.Before, field.After)
		}
	})
}

// await returns when every live instance has each document at its revision.
func (console *console) await(ctx context.Context, waiting *waiting, revisions map[string]uint64) error {
	if !waiting.wait {
		return nil
	}
	for waited := time.Duration(0); ; waited += pollInterval {
		behind, err := console.behind(ctx, revisions)
		if err != nil {
			return err
		}
		if len(behind) == 0 {
			fmt.Fprintln(console.err, "in force on every live instance")
			return nil
		}
		if waited >= waiting.timeout || ctx.Err() != nil {
			return &exitError{exitTimeout, fmt.Sprintf("accepted, but not in force after %s on %s", waiting.timeout, strings.Join(behind, ", "))}
		}
		console.pause(ctx, pollInterval)
	}
}

// behind names the instances that lack a revision or gave no answer.
func (console *console) behind(ctx context.Context, revisions map[string]uint64) ([]string, error) {
	var behind []string
	for _, document := range slices.Sorted(maps.Keys(revisions)) {
		revision := revisions[document]
		response, err := ask(ctx, console, pb.Operator.Applied, &pb.AppliedRequest{Document: document})
		if err != nil {
			return nil, err
		}
		for _, instance := range response.Instances {
			switch {
			case instance.Error != "":
				behind = append(behind, fmt.Sprintf("%s (%s)", instance.Instance, instance.Error))
			case instance.Revision < revision:
				behind = append(behind, fmt.Sprintf("%s (%s at %d)", instance.Instance, document, instance.Revision))
			}
		}
	}
	return behind, nil
}

func clock(millis int64) string { return time.UnixMilli(millis).UTC().Format(time.RFC3339) }
